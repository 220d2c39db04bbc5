package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/budgeter"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// upstreamResponse is the upstream's response: complete in body, or continued in stream if it is longer than
// maxBufferedBytes.
type upstreamResponse struct {
	status int
	header http.Header
	body   *buffer
	stream io.ReadCloser
	length int64
	// reserved is the memory of the stream.
	reserved *budgeter.Reservation
}

// callUpstream runs a request on the upstream. The outcome of a failure states whether the request may have run.
func (h *Host) callUpstream(ctx context.Context, x *hostAttempt) (*upstreamResponse, *classifier.Error) {
	j := x.job
	t, err := parseTarget(j.URI)
	if err != nil {
		return nil, failureOf(err)
	}
	upstreamURL := t.url(h.Upstream)
	sent := h.Clock.Now()
	response, used, err := roundTrip(ctx, h.upstreamTransport, x.stream == nil, func(ctx context.Context) *http.Request {
		return h.buildRequest(ctx, x, upstreamURL)
	})
	if err == nil || !used.unsent {
		x.writer.Header()[headerReached] = []string{"1"}
	}
	if err != nil {
		used.abandon()
		if !used.first && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			h.transport.CloseIdleConnections() // whatever silenced this connection may have silenced them, too
		}
		return nil, upstreamFailure(ctx, j, used, err)
	}
	refused := response.Header.Get(HeaderOutcome) == string(classifier.OutcomeNotRun)
	if refused && !h.provesNotRun(x, response, used) {
		_ = response.Body.Close()
		used.abandon()
		return nil, classifier.Unknown(classifier.CodeOutcomeUnknown, j.Call,
			"the refusal of the upstream may belong to an earlier request")
	}
	h.observe(x, response, sent)
	if refused {
		_ = response.Body.Close()
		failure := classifier.Refuse(classifier.CodeOverload, j.Call, "the upstream shed the request")
		failure.Cause = &admitter.RetryError{After: 1}
		return nil, failure
	}
	a := &upstreamResponse{status: response.StatusCode, header: response.Header, length: response.ContentLength}
	if j.Method == http.MethodHead {
		_ = response.Body.Close()
		return a, nil
	}
	err = a.readBody(response, h.Memory)
	if err == nil && h.Bulk != nil {
		err = a.readAhead(h.Memory)
	}
	if err != nil {
		a.close()
		return nil, truncatedFailure(ctx, j, used, err)
	}
	return a, nil
}

// observe reports what the upstream states about itself in the response to a request sent at a time. A response of
// another process than the expected one is ignored, and an unreadable limit leaves the known one in force.
func (h *Host) observe(x *hostAttempt, response *http.Response, sent timekeeper.Millis) {
	if h.Observer == nil || response.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	if response.Header.Get(HeaderLeaving) == "1" {
		h.Observer.ObserveLeaving(x.instance, sent)
	}
	limit, err := admitter.ParseLimit(response.Header.Get(HeaderLimit))
	if err != nil {
		h.logUnreadableLimit(x, err)
		return
	}
	h.Observer.ObserveLimit(x.instance, limit, sent)
}

// readBody reads the whole body, or its first part if it is longer than maxBufferedBytes.
func (a *upstreamResponse) readBody(response *http.Response, memory *budgeter.Budget) error {
	a.body = buffers.get()
	limit := reserveResponse(memory, a.body, a.length)
	complete, err := readUpTo(a.body, response.Body, a.length, limit)
	if err != nil {
		_ = response.Body.Close()
		a.close()
		return err
	}
	if !complete {
		a.stream, a.reserved = response.Body, memory.ForceStream(a.length)
		return nil
	}
	_ = response.Body.Close()
	a.length = int64(len(a.body.bytes))
	return nil
}

func (h *Host) buildRequest(ctx context.Context, x *hostAttempt, target *url.URL) *http.Request {
	r, j := x.request, x.job
	header := make(http.Header, len(r.Header)+4)
	passHeaders(header, r.Header)
	suppressAgent(header)
	header[headerID] = []string{j.ID}
	header[headerDeadline] = []string{strconv.FormatInt(int64(x.deadline-h.Clock.Now()), 10)}
	header[headerDepth] = []string{strconv.Itoa(j.Depth)}
	if x.instance != "" {
		header[HeaderInstance] = []string{x.instance}
		header[HeaderOrigin] = []string{j.Origin}
	}
	if j.Client != "" {
		header[HeaderClient] = []string{j.Client}
	}
	if j.Retry {
		header[headerRetry] = []string{"1"}
	}
	request := &http.Request{
		Method: j.Method, URL: target, Host: r.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	switch {
	case x.body != nil:
		setBody(request, newOnceBody(x.body), r.ContentLength)
	case x.stream != nil:
		setBody(request, x.stream, r.ContentLength)
	default:
		setNoContent(request, r.Header[headerContentLength] != nil)
	}
	return request.WithContext(ctx)
}

func upstreamFailure(ctx context.Context, j *job, used *usedConnection, err error) *classifier.Error {
	switch {
	case used.unsent:
		return classifier.Refuse(classifier.CodeUpstreamUnreached, j.Call, "no connection to the upstream: %v", err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return classifier.Unknown(classifier.CodeOutcomeUnknown, j.Call, "no answer from the upstream by the deadline")
	}
	failure := classifier.Unknown(classifier.CodeOutcomeUnknown, j.Call, "no valid response from the upstream: %v", err)
	failure.Cause = &brokenConnectionError{err}
	return failure
}

func truncatedFailure(ctx context.Context, j *job, used *usedConnection, err error) *classifier.Error {
	failure := upstreamFailure(ctx, j, used, err)
	failure.Code, failure.Outcome = classifier.CodeAnswerTruncated, classifier.OutcomeUnknown
	return failure
}

// write sends the response to the entry node, with its body through a writer that may wait. It closes the connection if
// a long response breaks off.
func (a *upstreamResponse) write(w http.ResponseWriter, body io.Writer, j *job, load string) {
	defer a.close()
	header := w.Header()
	passHeaders(header, a.header)
	header[HeaderOutcome] = []string{string(classifier.OutcomeAnswered)}
	header[headerLoad] = []string{load}
	if j.Method == http.MethodHead {
		if length := header[headerContentLength]; length != nil {
			header[headerLength] = length
			delete(header, headerContentLength)
		}
		w.WriteHeader(a.status)
		return
	}
	if a.length >= 0 && bodyAllowed(a.status) {
		header[headerContentLength] = contentLength(int(a.length))
	}
	w.WriteHeader(a.status)
	for _, part := range a.body.parts() {
		_, _ = body.Write(part)
	}
	if a.stream == nil {
		return
	}
	if complete, _ := copyStream(body, a.stream, a.length-a.body.size(), a.length >= 0); !complete {
		panic(http.ErrAbortHandler)
	}
}

func (a *upstreamResponse) close() {
	if a.stream != nil {
		_ = a.stream.Close()
	}
	a.reserved.Release()
	releaseBuffer(a.body)
	a.body, a.stream = nil, nil
}
