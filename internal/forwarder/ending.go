package forwarder

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// ending is how an attempt ended: a failure, or an answer that is whole in body or continues in stream.
type ending struct {
	failure  *classifier.Error
	status   int
	header   http.Header
	body     *buffer
	stream   io.ReadCloser // the rest of a long answer
	length   int64         // of the whole answer; -1 when it ends with its last chunk
	cancel   context.CancelFunc
	load     admitter.Load
	span     timekeeper.Millis // average service time of the call at the host node
	faults   int               // runs that the upstream fails, in thousandths
	reported bool
	broken   bool              // the exchange ended without a whole response
	died     bool              // the upstream ended during the run
	unsent   bool              // the request did not reach the upstream
	wait     timekeeper.Millis // hint of a refusal
	finished func()
}

// failed is an attempt without a response.
func failed(failure *classifier.Error) *ending {
	return &ending{failure: failure}
}

// interrupted is an attempt whose exchange broke.
func interrupted(failure *classifier.Error) *ending {
	return &ending{failure: failure, broken: true}
}

// receive reads a response of a host node. Answers of up to keptBytes are read whole before anything is delivered, so
// that a truncated one can be retried.
func receive(ctx context.Context, c *call, response *http.Response, cancel context.CancelFunc) *ending {
	end := &ending{status: response.StatusCode, header: response.Header, length: response.ContentLength, cancel: cancel}
	end.load, end.span, end.faults, end.reported = decodeLoad(response.Header.Get(headerLoad))
	if !c.owns(response) {
		_ = response.Body.Close()
		end.failure = classifier.Unknown(classifier.CodeOutcomeUnknown, c.job.Call, "the response belongs to another request")
		end.broken = true
		return end
	}
	if outcome := response.Header.Get(HeaderOutcome); outcome != string(classifier.OutcomeAnswered) {
		end.refused(c, response, outcome)
		return end
	}
	end.body = buffers.get()
	limit := int64(keptBytes)
	if end.length >= 0 && end.length <= limit {
		limit = end.length
	}
	complete, err := readUpTo(end.body, response.Body, end.length, limit)
	if err != nil && !c.deliverShort {
		_ = response.Body.Close()
		end.failure = broken(ctx, c, err)
		end.failure.Code, end.broken = classifier.CodeAnswerTruncated, true
		return end
	}
	if !complete {
		end.stream = response.Body
		return end
	}
	_ = response.Body.Close()
	end.length = int64(len(end.body.bytes))
	return end
}

// owns reports whether a response belongs to this attempt. Responses without the mark are refusals from before the host
// node read the request; they carry no answer.
func (c *call) owns(response *http.Response) bool {
	mark := response.Header.Get(headerAnswers)
	if mark == "" {
		return response.Header.Get(HeaderOutcome) != string(classifier.OutcomeAnswered)
	}
	return c.takeAny || mark == c.job.key().String()
}

// readUpTo reads up to limit bytes, and reports whether the source ended there as its length says.
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

// refused turns a response that is no answer of the upstream into a failure.
func (e *ending) refused(c *call, response *http.Response, outcome string) {
	defer func() { _ = response.Body.Close() }()
	content, _ := io.ReadAll(io.LimitReader(response.Body, 4<<10))
	var told classifier.Error
	if json.Unmarshal(content, &told) != nil {
		told.Reason = "the host node gave no reason"
	}
	code, err := strconv.Atoi(response.Header.Get(HeaderCode))
	wait, _ := decodeMillis(response.Header, headerWait, 0)
	e.died = response.Header.Get(headerDied) != ""
	e.unsent = response.Header.Get(headerReached) == "" && outcome == string(classifier.OutcomeNotRun)
	c.certain = c.certain || response.Header.Get(headerCertain) != ""
	if err != nil || outcome != string(classifier.OutcomeNotRun) {
		e.failure = classifier.Unknown(classifier.CodeOutcomeUnknown, c.job.Call, "%s", told.Reason)
		if err == nil {
			e.failure.Code = classifier.Code(code)
		}
		return
	}
	e.wait = wait
	e.failure = classifier.Refuse(classifier.Code(code), c.job.Call, "%s", told.Reason)
	if wait > 0 {
		e.failure.Cause = &admitter.RetryError{After: wait}
	}
}

// deliver writes the answer to the caller. When a long answer breaks off, the caller's connection is closed: a short
// answer must not look whole.
func (e *ending) deliver(w http.ResponseWriter, c *call) {
	defer e.close()
	header := w.Header()
	passHeaders(header, e.header)
	header[HeaderOutcome] = []string{string(classifier.OutcomeAnswered)}
	header[HeaderCode] = []string{"0"}
	if length := e.header.Get(headerLength); c.job.Method == http.MethodHead && length != "" {
		header[headerLengthIn] = []string{length}
	} else if e.length >= 0 && bodyAllowed(e.status) {
		header[headerLengthIn] = lengthOf(int(e.length))
	}
	w.WriteHeader(e.status)
	if c.job.Method == http.MethodHead {
		return
	}
	_, _ = w.Write(e.body.bytes)
	if e.stream == nil {
		return
	}
	if !stream(w, e.stream, e.length-int64(len(e.body.bytes)), e.length >= 0) {
		e.failure = classifier.Unknown(classifier.CodeAnswerTruncated, c.job.Call, "the answer broke off")
		e.close()
		panic(http.ErrAbortHandler)
	}
}

// stream copies the rest of a body and reports whether it came whole and the writer took it.
func stream(w io.Writer, source io.Reader, rest int64, known bool) bool {
	chunk := chunks.get()
	defer chunks.put(chunk)
	for {
		n, err := source.Read(chunk[:])
		if n > 0 {
			if _, failure := w.Write(chunk[:n]); failure != nil {
				return false
			}
			rest -= int64(n)
		}
		if err == io.EOF {
			return !known || rest == 0
		}
		if err != nil {
			return false
		}
	}
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// faulty reports whether the answer is a failure of the upstream. A timeout would only come again.
func (e *ending) faulty() bool {
	return e.status >= http.StatusInternalServerError && e.status != http.StatusGatewayTimeout
}

// close releases what the attempt holds and reports its end, once.
func (e *ending) close() {
	if e.finished != nil {
		e.finished()
		e.finished = nil
	}
	if e.stream != nil {
		_ = e.stream.Close()
		e.stream = nil
	}
	if e.cancel != nil {
		e.cancel()
		e.cancel = nil
	}
	releaseBuffer(e.body)
	e.body = nil
}
