package budgeter

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// maxWaiting bounds the bodies that wait: of each, the kernel holds what its caller has already sent.
	maxWaiting = 32
	// heldDecay is the weight of earlier reservations in the average time that a byte is held.
	heldDecay = 0.8
)

// RefusedError reports that there is no memory for a body.
type RefusedError struct {
	After timekeeper.Millis // until there is expected to be, in ms; 0 if not known
	Never bool              // the body is longer than the whole share
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Never {
		return "the node cannot hold a body of this length"
	}
	return fmt.Sprintf("no memory for the body, expected in %d ms", e.After)
}

// queuedShare is a part of the budget in which bodies that do not fit wait in the order of their arrival.
type queuedShare struct {
	clock                  timekeeper.Clock
	limit                  int64 // bytes
	held, waiting, refused atomic.Int64

	mutex   sync.Mutex
	holders []*Reservation // the earliest first
	queue   []*waiter      // the next one first
	// heldTime divided by heldBytes is the average time for which a byte is held, in ms.
	heldTime, heldBytes float64
}

// waiter is a body that waits for memory.
type waiter struct {
	reservation *Reservation
	bytes       int64
	growing     bool          // the body already holds memory
	decided     chan struct{} // closed when the memory is granted or refused
	refused     bool          // set before decided is closed
}

// begin returns a new reservation.
func (s *queuedShare) begin(ctx context.Context, bytes int64, patience timekeeper.Millis) (*Reservation, error) {
	r := &Reservation{owner: s}
	if err := s.reserve(ctx, r, bytes, patience); err != nil {
		return nil, err
	}
	return r, nil
}

// reserve adds to a reservation, or waits until it can. A body that already holds memory goes first, since its end
// frees some.
func (s *queuedShare) reserve(ctx context.Context, r *Reservation, bytes int64, patience timekeeper.Millis) error {
	s.mutex.Lock()
	growing := r.bytes.Load() > 0
	switch {
	case r.bytes.Load()+bytes > s.limit:
		s.mutex.Unlock()
		s.refused.Add(1)
		return &RefusedError{Never: true}
	case s.held.Load()+bytes <= s.limit && (growing || len(s.queue) == 0):
		s.grant(r, bytes)
		s.mutex.Unlock()
		return nil
	}
	if wait := s.expectedWait(bytes); wait > patience || len(s.queue) >= maxWaiting || growing && !s.yieldTo(r) {
		s.mutex.Unlock()
		s.refused.Add(1)
		return &RefusedError{After: wait}
	}
	w := &waiter{reservation: r, bytes: bytes, growing: growing, decided: make(chan struct{})}
	if growing {
		s.queue = slices.Insert(s.queue, 0, w)
	} else {
		s.queue = append(s.queue, w)
	}
	s.waiting.Add(1)
	s.mutex.Unlock()
	return s.await(ctx, w, patience)
}

// yieldTo refuses the growing bodies that wait and are younger than r: bodies that wait for each other would all be
// refused in the end. It returns false if r itself is younger than one of them.
func (s *queuedShare) yieldTo(r *Reservation) bool {
	oldest := true
	s.queue = slices.DeleteFunc(s.queue, func(w *waiter) bool {
		if !w.growing {
			return false
		}
		if w.reservation.since <= r.since {
			oldest = false
			return false
		}
		w.refused = true
		s.waiting.Add(-1)
		close(w.decided)
		return true
	})
	return oldest
}

// await waits until a waiter has its memory, ctx ends or its patience does.
func (s *queuedShare) await(ctx context.Context, w *waiter, patience timekeeper.Millis) error {
	timer := time.NewTimer(patience.Duration())
	defer timer.Stop()
	select {
	case <-w.decided:
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if i := slices.Index(s.queue, w); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		s.waiting.Add(-1)
		s.serveQueue()
	} else if !w.refused {
		return nil
	}
	s.refused.Add(1)
	return &RefusedError{After: s.expectedWait(w.bytes)}
}

// force adds to a reservation without regard to the limit.
func (s *queuedShare) force(r *Reservation, bytes int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.grant(r, bytes)
}

func (s *queuedShare) grant(r *Reservation, bytes int64) {
	if r.bytes.Load() == 0 {
		r.since = s.clock.Now()
		s.holders = append(s.holders, r)
	}
	r.bytes.Add(bytes)
	s.held.Add(bytes)
}

// serveQueue grants memory to the next waiters that fit.
func (s *queuedShare) serveQueue() {
	for len(s.queue) > 0 && s.held.Load()+s.queue[0].bytes <= s.limit {
		w := s.queue[0]
		s.queue = slices.Delete(s.queue, 0, 1)
		s.waiting.Add(-1)
		s.grant(w.reservation, w.bytes)
		close(w.decided)
	}
}

func (s *queuedShare) release(r *Reservation) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	i := slices.Index(s.holders, r)
	if i < 0 {
		return // released before
	}
	s.holders = slices.Delete(s.holders, i, i+1)
	bytes := r.bytes.Swap(0)
	s.held.Add(-bytes)
	s.heldTime = s.heldTime*heldDecay + float64(bytes)*float64(s.clock.Now()-r.since)
	s.heldBytes = s.heldBytes*heldDecay + float64(bytes)
	s.serveQueue()
}

// expectedWait returns the time until there is memory for another body behind those that wait, if each byte is held for
// the average time; 0 if that is not known or has passed.
func (s *queuedShare) expectedWait(bytes int64) timekeeper.Millis {
	if s.heldBytes == 0 {
		return 0
	}
	average := timekeeper.Millis(s.heldTime / s.heldBytes)
	missing := s.held.Load() + bytes - s.limit
	for _, w := range s.queue {
		missing += w.bytes
	}
	now := s.clock.Now()
	for _, r := range s.holders {
		if missing -= r.bytes.Load(); missing <= 0 {
			return max(r.since+average-now, 0)
		}
	}
	return 2 * average // bodies that wait now have to end first
}
