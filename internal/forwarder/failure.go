package forwarder

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/router"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// statusCanceled is the status that proxies use for a request whose caller disconnected.
const statusCanceled = 499

var statuses = map[classifier.Code]int{
	classifier.CodeUnknownHost:      http.StatusNotFound,
	classifier.CodeUnknownCall:      http.StatusNotFound,
	classifier.CodeBodyTooLarge:     http.StatusRequestEntityTooLarge,
	classifier.CodeDeadlinePassed:   http.StatusGatewayTimeout,
	classifier.CodeIDMalformed:      http.StatusBadRequest,
	classifier.CodeIDFuture:         http.StatusBadRequest,
	classifier.CodeTooDeep:          http.StatusBadRequest,
	classifier.CodeBadRequest:       http.StatusBadRequest,
	classifier.CodePeerFormat:       http.StatusBadRequest,
	classifier.CodePeerInvalid:      http.StatusBadRequest,
	classifier.CodeInternalCall:     http.StatusForbidden,
	classifier.CodeIDExpired:        http.StatusGone,
	classifier.CodeAnswerGone:       http.StatusGone,
	classifier.CodeUnknownKey:       http.StatusUnauthorized,
	classifier.CodeAllotmentUsed:    http.StatusTooManyRequests,
	classifier.CodeObjectMissing:    http.StatusNotFound,
	classifier.CodeDuplicateRunning: http.StatusConflict,
	classifier.CodeCanceled:         statusCanceled,
	classifier.CodeOutcomeUnknown:   http.StatusBadGateway,
	classifier.CodeAnswerTruncated:  http.StatusBadGateway,
}

// statusOf returns the HTTP status for a code; 503 for refusals for lack of capacity.
func statusOf(code classifier.Code) int {
	if status, ok := statuses[code]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// failureOf returns err as a classifier.Error; errors of other types have an unknown outcome.
func failureOf(err error) *classifier.Error {
	var failure *classifier.Error
	if errors.As(err, &failure) {
		return failure
	}
	failure = classifier.Wrap(classifier.CodeOutcomeUnknown, "", err)
	failure.Outcome = classifier.OutcomeUnknown
	return failure
}

// exchangeFailure classifies the error of an exchange with a host node.
func exchangeFailure(ctx context.Context, c *call, used *usedConnection, err error) *classifier.Error {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return classifier.Unknown(classifier.CodeCanceled, c.job.Call, "the caller went away")
	case used.unsent:
		return classifier.Refuse(classifier.CodeUpstreamUnreached, c.job.Service, "no connection to the host node: %v", err)
	}
	return classifier.Unknown(
		classifier.CodeOutcomeUnknown, c.job.Call, "no complete response from the host node: %v", err,
	)
}

// retryAfter returns the Retry-After hint of a refusal in ms, or 0 if it has none.
func retryAfter(failure *classifier.Error, now timekeeper.Millis) timekeeper.Millis {
	var retry *admitter.RetryError
	if errors.As(failure.Cause, &retry) {
		return max(retry.After, 1)
	}
	var busy *router.BusyError
	if errors.As(failure.Cause, &busy) {
		return max(busy.Until-now, 1)
	}
	return 0
}

// writeFailure sends a failure with its code, outcome and Retry-After hint.
func writeFailure(w http.ResponseWriter, failure *classifier.Error, now timekeeper.Millis) {
	header := w.Header()
	header[HeaderCode] = []string{strconv.Itoa(int(failure.Code))}
	header[HeaderOutcome] = []string{string(failure.Outcome)}
	if wait := retryAfter(failure, now); wait > 0 {
		header[headerWait] = []string{strconv.FormatInt(int64(wait), 10)}
		header["Retry-After"] = []string{strconv.FormatInt(int64((wait+timekeeper.Second-1)/timekeeper.Second), 10)}
	}
	content, err := json.Marshal(failure)
	if err != nil {
		content = []byte("{}")
	}
	header["Content-Type"] = []string{"application/json"}
	header[headerContentLength] = []string{strconv.Itoa(len(content))}
	w.WriteHeader(statusOf(failure.Code))
	_, _ = w.Write(content)
}
