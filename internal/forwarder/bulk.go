package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/budgeter"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// bulkBytes is the length of a response from which on it is a long one.
	bulkBytes = 16 << 10
	// bulkShare is the share of the link that long responses get. The rest is for short ones and for the messages of the
	// node, which would be late behind a full link.
	bulkShare = 0.75
	// bulkBurst is the time for which an idle link saves up its share.
	bulkBurst = 20 * timekeeper.Millis(1)
	// bulkWeight is the weight of the newest response in the average length of a call.
	bulkWeight = 0.1
	// backlogDivisor divides the target of a call into the longest time that a long response may have to wait for others.
	backlogDivisor = 2
	// maxReadAhead is the length of the longest response that is read whole before its turn on the link, and the most that
	// one reserves of the link at once, in bytes.
	maxReadAhead = 1 << 20
)

// BulkPacer spaces the long responses that a node sends to callers and to other nodes by the bandwidth of its link. It
// knows the usual length of the responses of each call, so that a request whose response would wait too long is refused
// before it runs. A nil *BulkPacer does nothing.
type BulkPacer struct {
	rate     float64 // bytes per ms
	mutex    sync.Mutex
	free     float64 // time in ms at which all responses so far are sent
	promised float64 // expected bytes of the responses of admitted requests that have none yet
	lengths  map[string]float64
	refused  atomic.Int64
}

// NewBulkPacer returns the pacer for a link with a bandwidth in Mbit/s, nil for an unknown one.
func NewBulkPacer(megabits float64) *BulkPacer {
	if megabits <= 0 {
		return nil
	}
	return &BulkPacer{
		rate: megabits * 1e6 / 8 * bulkShare / float64(timekeeper.Second), lengths: make(map[string]float64),
	}
}

// Backlog returns the time in ms that the long responses take which have not been sent.
func (p *BulkPacer) Backlog(now timekeeper.Millis) timekeeper.Millis {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return max(timekeeper.Millis(p.free)-now, 0)
}

// Refused returns the number of requests that were refused because long responses waited for the link.
func (p *BulkPacer) Refused() int64 { return p.refused.Load() }

// observe records the length of a complete response to a method; -1 for an unknown one.
func (p *BulkPacer) observe(call, method string, length int64) {
	if p == nil || method == http.MethodHead || length < 0 {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	average, known := p.lengths[call]
	if !known {
		average = float64(length)
	}
	p.lengths[call] = average + (float64(length)-average)*bulkWeight
}

// admit refuses a request whose response is usually long while those before it take too long to send. The responses of
// admitted requests count as such until done is called.
func (p *BulkPacer) admit(now timekeeper.Millis, x *hostAttempt) (done func(), err error) {
	if p == nil {
		return func() {}, nil
	}
	limit := (x.deadline - now) / backlogDivisor
	if x.Target > 0 {
		limit = min(limit, x.Target/backlogDivisor)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	expected := p.lengths[x.Call]
	if expected < bulkBytes {
		return func() {}, nil
	}
	backlog := timekeeper.Millis(max(p.free-float64(now), 0) + p.promised/p.rate)
	if backlog > limit {
		p.refused.Add(1)
		failure := classifier.Refuse(classifier.CodeOverload, x.Call, "long responses wait for the link of the server")
		failure.Cause = &admitter.RetryError{After: backlog - limit}
		return nil, failure
	}
	p.promised += expected
	return sync.OnceFunc(func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.promised = max(p.promised-expected, 0)
	}), nil
}

// bulkTurn is the time that a long response has on the link. A nil *bulkTurn is that of a response that does not wait.
type bulkTurn struct {
	pacer *BulkPacer
	clock timekeeper.Clock
	next  float64 // time in ms from which on the next piece may be sent
	end   float64 // time in ms at which the reserved part is sent
}

// reserve returns the turn of a response to a method after those before it. Its length is -1 if it is not known. Bytes
// after the first maxReadAhead get their time as they are sent: the upstream may state a length that it never sends.
func (p *BulkPacer) reserve(clock timekeeper.Clock, method string, length int64) *bulkTurn {
	if p == nil || method == http.MethodHead || length >= 0 && length < bulkBytes {
		return nil
	}
	start, end := p.take(clock.Now(), min(max(length, bulkBytes), maxReadAhead))
	return &bulkTurn{pacer: p, clock: clock, next: start, end: end}
}

// take reserves time for some bytes behind all others.
func (p *BulkPacer) take(now timekeeper.Millis, bytes int64) (start, end float64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	start = max(p.free, float64(now-bulkBurst))
	p.free = start + float64(bytes)/p.rate
	return start, p.free
}

// writer returns a writer that waits for the turn of each piece.
func (u *bulkTurn) writer(ctx context.Context, w io.Writer) io.Writer {
	if u == nil {
		return w
	}
	return &bulkWriter{ctx: ctx, turn: u, target: w}
}

// bulkWriter writes a long response in pieces, so that short responses go out between them.
type bulkWriter struct {
	ctx    context.Context
	turn   *bulkTurn
	target io.Writer
}

// Write implements io.Writer.
func (w *bulkWriter) Write(content []byte) (int, error) {
	written := 0
	for len(content) > 0 {
		piece := content[:min(len(content), bulkBytes)]
		w.turn.await(w.ctx, len(piece))
		n, err := w.target.Write(piece)
		written += n
		if err != nil {
			return written, err
		}
		content = content[len(piece):]
	}
	return written, nil
}

// await waits until the next piece of the response may be sent, in bytes. When ctx ends it may go out at once: its
// caller may still take it.
func (u *bulkTurn) await(ctx context.Context, bytes int) {
	if u.next >= u.end { // the response is longer than it was expected to be
		u.next, u.end = u.pacer.take(u.clock.Now(), int64(bytes))
	}
	if wait := timekeeper.Millis(u.next) - u.clock.Now(); wait > 0 {
		pause(ctx, wait)
	}
	u.next += float64(bytes) / u.pacer.rate
}

// readAhead reads the rest of a long response while it waits for its turn on the link, so that the upstream is free for
// other requests. It holds the memory that is reserved for the stream. A response that is too long, or for which there
// is no memory, remains a stream.
func (a *upstreamResponse) readAhead(memory *budgeter.Budget) error {
	if a.stream == nil || a.length > maxReadAhead || !memory.HasStreamRoom() {
		return nil
	}
	end := a.length
	if end < 0 {
		end = maxReadAhead
	}
	err := a.body.extend(a.stream, end-int64(len(a.body.bytes)))
	if a.length < 0 {
		if err == nil { // there may be more
			return nil
		}
		if errors.Is(err, io.EOF) {
			a.length, err = a.body.size(), nil
		}
	}
	_ = a.stream.Close()
	a.stream = nil
	return err
}
