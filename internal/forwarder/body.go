package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/budgeter"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/isolator"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// memoryWait bounds the wait of a long body for memory, in ms, and memoryWaitDivisor divides the remaining time of the
	// request into another bound. Callers give up a node that reads nothing for a second, or for a third of their time.
	memoryWait        = 800 * timekeeper.Millis(1)
	memoryWaitDivisor = 4
	// memoryStep is the memory that is reserved at a time for a long body of unknown length, in bytes.
	memoryStep = 1 << 20
	// minBufferedBytes is what is read of a response before it is delivered when there is no memory for more.
	minBufferedBytes = 4 << 10
	// maxDiscarded is the length of a refused body, in bytes, up to which net/http reads it itself.
	maxDiscarded = 256 << 10
	// discardTime bounds the time for which a longer one is read, in ms.
	discardTime = 500 * timekeeper.Millis(1)
)

// readBody reads the whole request body, which the fingerprint covers and a retry sends again.
func (e *Entry) readBody(c *call, w http.ResponseWriter, r *http.Request) error {
	if r.ContentLength > e.MaxBody {
		announceClose(w)
		return classifier.Refuse(classifier.CodeBodyTooLarge, c.job.Call, "body has %d bytes, the limit is %d",
			r.ContentLength, e.MaxBody)
	}
	if r.ContentLength != 0 && r.Body != nil {
		c.body = buffers.get()
		if err := e.holdBody(c, w, r); err != nil {
			return err
		}
	}
	c.job.Fingerprint = isolator.Fingerprint(c.job.Account, c.job.Call, c.job.Method, c.target.path, c.target.query,
		c.body.parts()...)
	return nil
}

// holdBody reserves memory for a body and reads it.
func (e *Entry) holdBody(c *call, w http.ResponseWriter, r *http.Request) error {
	if r.ContentLength <= maxBufferedBytes {
		short := r.ContentLength
		if short < 0 {
			short = min(maxBufferedBytes, e.MaxBody)
		}
		reserved, ok := e.Memory.Short(short)
		if !ok {
			announceClose(w)
			return refuseForMemory(c.job.Call, &budgeter.RefusedError{})
		}
		c.body.reserved = reserved
		if err := fillWithTimeout(w, c.deadline-e.Clock.Now(), c.body, r, short); err != nil {
			return bodyFailure(c.job.Call, err)
		}
		if c.body.size() <= short {
			return nil
		}
		reserved.Release()
	}
	err := e.holdLongBody(r.Context(), c, w, r)
	if err != nil {
		announceClose(w) // or the server would wait for the rest before it responds
	}
	return err
}

// holdLongBody reserves memory for a long body and reads what has not been read of it. The memory for a body of unknown
// length grows with it.
func (e *Entry) holdLongBody(ctx context.Context, c *call, w http.ResponseWriter, r *http.Request) error {
	length, step := r.ContentLength, r.ContentLength
	if length < 0 {
		length, step = max(e.MaxBody+1, c.body.size()), memoryStep
	}
	first := c.body.size() + min(step, length-c.body.size())
	reserved, err := e.Memory.Long(ctx, first, memoryPatience(c.deadline-e.Clock.Now()))
	if err != nil {
		return refuseForMemory(c.job.Call, err)
	}
	c.body.reserved = reserved
	for {
		err = withReadDeadline(w, c.deadline-e.Clock.Now(), func() error {
			return c.body.extend(r.Body, min(step, length-c.body.size()))
		})
		switch {
		case errors.Is(err, io.EOF) && r.ContentLength < 0:
			return nil
		case errors.Is(err, io.EOF):
			return bodyFailure(c.job.Call, io.ErrUnexpectedEOF)
		case err != nil:
			return bodyFailure(c.job.Call, err)
		case c.body.size() > e.MaxBody:
			return classifier.Refuse(classifier.CodeBodyTooLarge, c.job.Call, "body is over the limit of %d bytes", e.MaxBody)
		case c.body.size() == length:
			return nil
		}
		if err = reserved.Grow(ctx, min(step, length-c.body.size()), memoryPatience(c.deadline-e.Clock.Now())); err != nil {
			return refuseForMemory(c.job.Call, err)
		}
	}
}

// memoryPatience returns how long a body may wait for memory, given the remaining time of its request.
func memoryPatience(remaining timekeeper.Millis) timekeeper.Millis {
	return min(memoryWait, remaining/memoryWaitDivisor)
}

// refuseForMemory returns the refusal of a request whose body finds no memory.
func refuseForMemory(call string, err error) error {
	var refused *budgeter.RefusedError
	if errors.As(err, &refused) && refused.Never {
		return classifier.Refuse(classifier.CodeBodyTooLarge, call, "%v", err)
	}
	failure := classifier.Refuse(classifier.CodeBodyMemory, call, "%v", err)
	if refused != nil && refused.After > 0 {
		failure.Cause = &admitter.RetryError{After: refused.After}
	}
	return failure
}

// discardBody reads the rest of a refused body for a moment, after its response. The connection would otherwise be
// reset while its caller still sends, and the reset can overtake the response.
func discardBody(w http.ResponseWriter, r *http.Request) {
	if http.NewResponseController(w).Flush() != nil {
		return
	}
	_ = withReadDeadline(w, discardTime, func() error { return discard(r.Body) })
}

// discardRest is discardBody for a refused request whose end net/http does not know: it reads what comes on the
// connection for a moment, and closes it.
func discardRest(w http.ResponseWriter) {
	control := http.NewResponseController(w)
	if control.Flush() != nil {
		return
	}
	conn, _, err := control.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(discardTime.Duration()))
	_ = discard(conn)
}

// discard reads a source to its end, through a pooled buffer.
func discard(source io.Reader) error {
	chunk := chunks.get()
	defer chunks.put(chunk)
	_, err := io.CopyBuffer(struct{ io.Writer }{io.Discard}, struct{ io.Reader }{source}, chunk[:])
	return err
}

// reserveResponse reserves memory for the part of a response that is read before it is delivered, and returns the
// length of that part. A length of -1 is unknown.
func reserveResponse(memory *budgeter.Budget, b *buffer, length int64) int64 {
	limit := int64(maxBufferedBytes)
	if length >= 0 && length <= limit {
		limit = length
	}
	var ok bool
	if b.reserved, ok = memory.Short(limit); !ok {
		return min(limit, minBufferedBytes)
	}
	return limit
}

// fillWithTimeout reads the body of a request within a timeout, so that a stalled sender cannot block the handler
// permanently.
func fillWithTimeout(w http.ResponseWriter, timeout timekeeper.Millis, b *buffer, r *http.Request, limit int64) error {
	err := withReadDeadline(w, timeout, func() error { return fill(b, r.Body, r.ContentLength, limit) })
	if err != nil {
		announceClose(w) // or the server would wait for the rest before it responds
	}
	return err
}

// withReadDeadline calls read with a timeout for the connection of a request.
func withReadDeadline(w http.ResponseWriter, timeout timekeeper.Millis, read func() error) error {
	control := http.NewResponseController(w)
	bounded := control.SetReadDeadline(time.Now().Add(timeout.Duration())) == nil
	if err := read(); err != nil || !bounded {
		return err
	}
	return control.SetReadDeadline(time.Time{})
}

func bodyFailure(subject string, err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return classifier.Refuse(classifier.CodeDeadlinePassed, subject, "the body did not arrive by the deadline")
	}
	return classifier.Refuse(classifier.CodeBadRequest, subject, "body ended early: %v", err)
}

// fill reads all of source into b. If length is -1 (unknown), it reads up to limit+1 bytes.
func fill(b *buffer, source io.Reader, length, limit int64) error {
	if length >= 0 {
		b.grow(int(length))
		b.bytes = b.bytes[:length]
		_, err := io.ReadFull(source, b.bytes)
		return err
	}
	for int64(len(b.bytes)) <= limit {
		b.grow(4 << 10)
		n, err := source.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}
