// Package budgeter bounds the memory that the bodies of requests and responses in flight may hold.
package budgeter

import (
	"context"
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Shares of the process's memory limit, in percent. What remains is for the program, its other data and garbage.
const (
	shortPercent  = 10
	longPercent   = 45
	streamPercent = 15
)

const (
	// MaxShort is the length of the longest short body, in bytes.
	MaxShort = 64 << 10
	// MaxStream is what the kernel may hold of a body that a node passes on while it arrives, in bytes.
	MaxStream = 4 << 20
)

// Budget bounds the bytes that bodies hold. Short bodies, long bodies that are kept whole, and bodies that are passed
// on while they arrive have shares of their own, so that none delays another. A nil budget has no bounds.
type Budget struct {
	short        share
	long, stream queuedShare
}

// New returns the budget of a process with a memory limit in bytes.
func New(clock timekeeper.Clock, limit int64) *Budget {
	return &Budget{
		short:  share{limit: limit * shortPercent / 100},
		long:   queuedShare{clock: clock, limit: limit * longPercent / 100},
		stream: queuedShare{clock: clock, limit: limit * streamPercent / 100},
	}
}

// Longest returns the length of the longest body that can be kept whole, in bytes.
func (b *Budget) Longest() int64 {
	return b.long.limit
}

// Held returns the bytes that are reserved.
func (b *Budget) Held() int64 {
	return b.short.held.Load() + b.stream.held.Load() + b.long.held.Load()
}

// Waiting returns the number of bodies that wait for memory.
func (b *Budget) Waiting() int64 {
	return b.long.waiting.Load() + b.stream.waiting.Load()
}

// Refused returns the number of reservations that were refused.
func (b *Budget) Refused() int64 {
	return b.short.refused.Load() + b.stream.refused.Load() + b.long.refused.Load()
}

// Short reserves memory for a short body; false if there is none.
func (b *Budget) Short(bytes int64) (*Reservation, bool) {
	if b == nil || bytes == 0 {
		return nil, true
	}
	return b.short.take(bytes)
}

// Long reserves memory for a long body that is kept whole. If there is none, it waits until ctx ends, for patience at
// most. It fails with a *RefusedError, at once if the memory is not expected in time.
func (b *Budget) Long(ctx context.Context, bytes int64, patience timekeeper.Millis) (*Reservation, error) {
	if b == nil {
		return nil, nil
	}
	return b.long.begin(ctx, bytes, patience)
}

// Stream reserves memory for a body of a length that is passed on while it arrives, as Long does.
func (b *Budget) Stream(ctx context.Context, length int64, patience timekeeper.Millis) (*Reservation, error) {
	if b == nil {
		return nil, nil
	}
	return b.stream.begin(ctx, min(length, MaxStream, b.stream.limit), patience)
}

// ForceStream reserves memory for a response of a length that is passed on while it arrives, also above the limit: a
// response that has begun cannot be refused. A length of -1 is unknown.
func (b *Budget) ForceStream(length int64) *Reservation {
	if b == nil {
		return nil
	}
	if length < 0 {
		length = MaxStream
	}
	r := &Reservation{owner: &b.stream}
	b.stream.force(r, min(length, MaxStream))
	return r
}

// HasStreamRoom reports whether the bodies that are passed on while they arrive are within their share, those of
// ForceStream included.
func (b *Budget) HasStreamRoom() bool {
	return b == nil || b.stream.held.Load() <= b.stream.limit
}

// Grow adds to a reservation of Long for a body of unknown length. It waits and fails as Long does, and keeps the
// reservation as it was when it fails.
func (r *Reservation) Grow(ctx context.Context, bytes int64, patience timekeeper.Millis) error {
	if r == nil {
		return nil
	}
	queued, ok := r.owner.(*queuedShare)
	if !ok {
		return &RefusedError{}
	}
	return queued.reserve(ctx, r, bytes, patience)
}

// Reservation is memory that a body may hold. A nil reservation has no bounds.
type Reservation struct {
	owner interface{ release(r *Reservation) }
	bytes atomic.Int64
	since timekeeper.Millis // start of a reservation in a queuedShare
}

// Release returns the memory. Only the first call has an effect.
func (r *Reservation) Release() {
	if r != nil {
		r.owner.release(r)
	}
}

// share is a part of the budget without a queue.
type share struct {
	limit         int64 // bytes
	held, refused atomic.Int64
}

func (s *share) take(bytes int64) (*Reservation, bool) {
	if s.held.Add(bytes) > s.limit {
		s.held.Add(-bytes)
		s.refused.Add(1)
		return nil, false
	}
	r := &Reservation{owner: s}
	r.bytes.Store(bytes)
	return r, true
}

func (s *share) release(r *Reservation) {
	s.held.Add(-r.bytes.Swap(0))
}
