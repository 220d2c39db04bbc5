package forwarder

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/budgeter"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// attemptResult is a failure, or a response: complete in body, or continued in stream.
type attemptResult struct {
	failure         *classifier.Error
	status          int
	header          http.Header
	body            *buffer
	stream          io.ReadCloser // the rest of a long response
	streamReserved  *budgeter.Reservation
	length          int64 // of the whole body in bytes; -1 for a chunked body
	cancel          context.CancelFunc
	load            admitter.Load
	serviceTime     timekeeper.Millis // average service time of the call at the host node
	failurePermille int               // share of runs that the upstream fails, in thousandths
	loadReported    bool
	broken          bool              // the exchange ended without a complete response
	upstreamCrashed bool              // the upstream crashed during the run
	unsent          bool              // the request did not reach the upstream
	hostResponds    bool              // the exchange broke, but the host node reported its outcome over a new connection
	retryDelay      timekeeper.Millis // Retry-After hint of a refusal
	onClose         func()
}

// failedResult returns the result of an attempt without a response.
func failedResult(failure *classifier.Error) *attemptResult {
	return &attemptResult{failure: failure}
}

// brokenResult returns the result of an attempt whose exchange broke.
func brokenResult(failure *classifier.Error) *attemptResult {
	return &attemptResult{failure: failure, broken: true}
}

// receive reads the response of a host node. Up to maxBufferedBytes are read before anything is delivered, so that a
// truncated response can be retried.
func (e *Entry) receive(
	ctx context.Context, c *call, response *http.Response, used *usedConnection, cancel context.CancelFunc,
) *attemptResult {
	result := &attemptResult{
		status: response.StatusCode, header: response.Header, length: response.ContentLength, cancel: cancel,
	}
	result.load, result.serviceTime, result.failurePermille, result.loadReported = decodeLoad(
		response.Header.Get(headerLoad),
	)
	if !c.matches(response, used) {
		_ = response.Body.Close()
		used.abandon()
		result.failure = classifier.Unknown(
			classifier.CodeOutcomeUnknown, c.job.Call, "the response belongs to another request",
		)
		result.broken = true
		return result
	}
	if outcome := response.Header.Get(HeaderOutcome); outcome != string(classifier.OutcomeAnswered) {
		result.readRefusal(c, response, outcome)
		return result
	}
	result.body = buffers.get()
	limit := reserveResponse(e.Memory, result.body, result.length)
	complete, err := readUpTo(result.body, response.Body, result.length, limit)
	if err != nil && !c.deliverTruncated {
		_ = response.Body.Close()
		result.failure = exchangeFailure(ctx, c, used, err)
		result.failure.Code, result.broken = classifier.CodeAnswerTruncated, true
		return result
	}
	if !complete {
		result.stream, result.streamReserved = response.Body, e.Memory.ForceStream(result.length)
		return result
	}
	_ = response.Body.Close()
	result.length = int64(len(result.body.bytes))
	return result
}

// matches reports whether a response belongs to this attempt. Responses without a Jasmine-Answers header are refusals
// of a host node that could not decode the request; they carry no response of the upstream, and count only as the first
// response of a connection.
func (c *call) matches(response *http.Response, used *usedConnection) bool {
	attempt := response.Header.Get(headerAnswers)
	if attempt == "" {
		return used.first && response.Header.Get(HeaderOutcome) != string(classifier.OutcomeAnswered)
	}
	return c.skipMatch || attempt == c.job.key().String()
}

// readUpTo reads up to limit bytes and reports whether the body is complete. A length of -1 is unknown.
func readUpTo(b *buffer, source io.Reader, length, limit int64) (complete bool, err error) {
	if length >= 0 {
		err = fill(b, source, limit, limit)
		return length == limit, err
	}
	for {
		b.grow(4 << 10)
		n, err := source.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if err == io.EOF {
			return true, nil
		}
		if err != nil || int64(len(b.bytes)) >= limit {
			return false, err
		}
	}
}

// readRefusal turns a response that does not come from the upstream into a failure.
func (e *attemptResult) readRefusal(c *call, response *http.Response, outcome string) {
	defer func() { _ = response.Body.Close() }()
	content, _ := io.ReadAll(io.LimitReader(response.Body, 4<<10))
	var reported classifier.Error
	if json.Unmarshal(content, &reported) != nil {
		reported.Reason = "the host node gave no reason"
	}
	code, err := strconv.Atoi(response.Header.Get(HeaderCode))
	retryDelay, _ := decodeMillis(response.Header, headerWait, 0)
	e.upstreamCrashed = response.Header.Get(headerDied) != ""
	e.unsent = response.Header.Get(headerReached) == "" && outcome == string(classifier.OutcomeNotRun)
	c.neverRan = c.neverRan || response.Header.Get(headerCertain) != ""
	if err != nil || outcome != string(classifier.OutcomeNotRun) {
		e.failure = classifier.Unknown(classifier.CodeOutcomeUnknown, c.job.Call, "%s", reported.Reason)
		if err == nil {
			e.failure.Code = classifier.Code(code)
		}
		return
	}
	e.retryDelay = retryDelay
	e.failure = classifier.Refuse(classifier.Code(code), c.job.Call, "%s", reported.Reason)
	if retryDelay > 0 {
		e.failure.Cause = &admitter.RetryError{After: retryDelay}
	}
}

// deliver writes the response to the caller, with its body through a writer that may wait. If a long response breaks
// off, it closes the caller's connection, so that the truncated response does not look complete.
func (e *attemptResult) deliver(w http.ResponseWriter, body io.Writer, c *call) {
	defer e.close()
	header := w.Header()
	passHeaders(header, e.header)
	header[HeaderOutcome] = []string{string(classifier.OutcomeAnswered)}
	header[HeaderCode] = []string{"0"}
	if length := e.header.Get(headerLength); c.job.Method == http.MethodHead && length != "" {
		header[headerContentLength] = []string{length}
	} else if e.length >= 0 && bodyAllowed(e.status) {
		header[headerContentLength] = contentLength(int(e.length))
	}
	w.WriteHeader(e.status)
	if c.job.Method == http.MethodHead {
		return
	}
	_, _ = body.Write(e.body.bytes)
	if e.stream == nil {
		return
	}
	complete, written := copyStream(body, e.stream, e.length-int64(len(e.body.bytes)), e.length >= 0)
	if !complete {
		if written {
			e.failure = classifier.Unknown(classifier.CodeAnswerTruncated, c.job.Call, "the answer broke off")
		}
		e.close()
		if c.untilClose && e.length < 0 {
			reset(w)
		}
		panic(http.ErrAbortHandler)
	}
}

// reset resets the connection of a caller to whom its end would look like the end of the body.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// copyStream copies the rest of a body and reports whether all of it was read and written, and whether all that was
// read was written.
func copyStream(w io.Writer, source io.Reader, remaining int64, lengthKnown bool) (complete, written bool) {
	chunk := chunks.get()
	defer chunks.put(chunk)
	for {
		n, err := source.Read(chunk[:])
		if n > 0 {
			if _, failure := w.Write(chunk[:n]); failure != nil {
				return false, false
			}
			remaining -= int64(n)
		}
		if err == io.EOF {
			return !lengthKnown || remaining == 0, true
		}
		if err != nil {
			return false, true
		}
	}
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// upstreamFailed reports whether the response is a failure of the upstream. A 504 does not count, since a retry would
// time out again.
func (e *attemptResult) upstreamFailed() bool {
	return e.status >= http.StatusInternalServerError && e.status != http.StatusGatewayTimeout
}

// finish ends an attempt whose response is complete. The caller may take long to read it, or wait for earlier ones.
func (e *attemptResult) finish() {
	if e.stream == nil {
		e.callOnClose()
	}
}

func (e *attemptResult) callOnClose() {
	if e.onClose != nil {
		e.onClose()
		e.onClose = nil
	}
}

// addCancel calls a further function when the resources of the attempt are released.
func (e *attemptResult) addCancel(cancel context.CancelFunc) {
	if e.failure != nil {
		cancel()
		return
	}
	before := e.cancel
	e.cancel = func() {
		if before != nil {
			before()
		}
		cancel()
	}
}

// onEnd calls a function when the exchange of the attempt has ended: at once, unless the response is continued in a
// stream.
func (e *attemptResult) onEnd(ended func()) {
	if e.stream == nil {
		ended()
		return
	}
	e.addCancel(ended)
}

// close releases the resources of the attempt and calls onClose once.
func (e *attemptResult) close() {
	e.callOnClose()
	if e.stream != nil {
		_ = e.stream.Close()
		e.stream = nil
	}
	e.streamReserved.Release()
	if e.cancel != nil {
		e.cancel()
		e.cancel = nil
	}
	releaseBuffer(e.body)
	e.body = nil
}
