package administrator

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/publisher"
)

// ReplyError is the JSON body of a refused request.
type ReplyError struct {
	Code      classifier.Code      `json:"code"`
	Subject   string               `json:"subject,omitempty"`
	Field     string               `json:"field,omitempty"`
	Reason    string               `json:"reason"`
	Operation string               `json:"operation,omitempty"`
	Conflicts []publisher.Conflict `json:"conflicts,omitempty"`
	Problems  []compiler.Problem   `json:"problems,omitempty"`
}

// Error formats the failure on one line.
func (f *ReplyError) Error() string {
	return f.Unwrap().Error()
}

// Unwrap returns the failure as a *classifier.Error.
func (f *ReplyError) Unwrap() error {
	return &classifier.Error{Code: f.Code, Subject: f.Subject, Field: f.Field, Reason: f.Reason}
}

func failureOf(err error) ReplyError {
	var failure *ReplyError
	if errors.As(err, &failure) {
		return *failure
	}
	var refused *publisher.RefusedError
	if errors.As(err, &refused) {
		refusal := refused.Refusal
		return ReplyError{
			Code: refusal.Code, Subject: refusal.Subject, Field: refusal.Field, Reason: refusal.Reason,
			Operation: refusal.Operation, Conflicts: refusal.Conflicts, Problems: refusal.Problems,
		}
	}
	var coded *classifier.Error
	if errors.As(err, &coded) {
		return ReplyError{Code: coded.Code, Subject: coded.Subject, Field: coded.Field, Reason: coded.Reason}
	}
	return ReplyError{Code: refusedAs(err), Reason: err.Error()}
}

// statuses maps result codes to HTTP status codes. All others are 422.
var statuses = map[classifier.Code]int{
	classifier.CodeEditConflict:   http.StatusConflict,
	classifier.CodeEditNotInForce: http.StatusAccepted,
	classifier.CodeVersionMissing: http.StatusNotFound,
	classifier.CodeNotReady:       http.StatusServiceUnavailable,
	classifier.CodeDraining:       http.StatusServiceUnavailable,
	classifier.CodeTokenMissing:   http.StatusUnauthorized,
	classifier.CodeTokenScope:     http.StatusForbidden,
	classifier.CodeBadRequest:     http.StatusBadRequest,
	classifier.CodeObjectMissing:  http.StatusNotFound,
	classifier.CodeConflict:       http.StatusConflict,
	classifier.CodeTooLarge:       http.StatusRequestEntityTooLarge,
	classifier.CodeRateLimited:    http.StatusTooManyRequests,
	classifier.CodeUnavailable:    http.StatusServiceUnavailable,
	classifier.CodePlatformReply:  http.StatusBadGateway,
}

func writeFailure(w http.ResponseWriter, failure ReplyError) {
	status, ok := statuses[failure.Code]
	if !ok {
		status = http.StatusUnprocessableEntity
	}
	if status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, status, failure)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the status line has been sent, so a broken connection cannot be reported
}
