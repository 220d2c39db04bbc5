package admitter

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Options are the limits of a Queue.
type Options struct {
	Clock timekeeper.Clock
	Slots int
	Limit int // waiting work per rank; 0 for 64 times the slots
	Share int // percentage of the service time that each rank keeps at least, whatever its own share says
}

// Queue puts a Machine behind a lock and channels. The lock is held for about a microsecond per call: a slot of one
// upstream is a decision that its calls have to share.
type Queue struct {
	clock   timekeeper.Clock
	mutex   sync.Mutex
	machine *Machine
	load    atomic.Pointer[Load]
}

// New returns a queue with all slots free.
func New(options Options) *Queue {
	limit := options.Limit
	if limit == 0 {
		limit = 64 * max(options.Slots, 1)
	}
	q := &Queue{clock: options.Clock, machine: NewMachine(options.Slots, limit)}
	q.machine.share = options.Share
	q.load.Store(&Load{Slots: options.Slots})
	return q
}

// Admit waits for a slot. The caller must call release once the work ended. An error means that the work did not start:
// code 204, 220, 222 or 224.
func (q *Queue) Admit(ctx context.Context, work Work) (release func(), err error) {
	t := &Ticket{Work: work, ready: make(chan error, 1)}
	q.step(Arrive{t})
	select {
	case err = <-t.ready:
	default:
		err = q.await(ctx, t)
	}
	if err != nil {
		return nil, err
	}
	return func() { q.step(Finish{t}) }, nil
}

// await waits for the decision on a queued ticket and withdraws it when ctx ends first.
func (q *Queue) await(ctx context.Context, t *Ticket) error {
	ctx, cancel := context.WithTimeout(ctx, (t.Deadline - q.clock.Now()).Duration())
	defer cancel()
	select {
	case err := <-t.ready:
		return err
	case <-ctx.Done():
	}
	q.step(Cancel{t})
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal(Refuse{Ticket: t, Code: classifier.CodeDeadlinePassed})
	}
	return refusal(Refuse{Ticket: t, Code: classifier.CodeCanceled})
}

// Load returns the current figures without a lock.
func (q *Queue) Load() Load {
	return *q.load.Load()
}

// SetSlots changes the number of slots. Running work above a lower number goes on.
func (q *Queue) SetSlots(slots int) {
	q.step(Resize{slots})
}

// Drain refuses all later work with code 222. Admitted work goes on.
func (q *Queue) Drain() {
	q.step(Close{})
}

func (q *Queue) step(event Event) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, action := range q.machine.Step(q.clock.Now(), event) {
		switch a := action.(type) {
		case Start:
			a.Ticket.ready <- nil
		case Refuse:
			a.Ticket.ready <- refusal(a)
		}
	}
	load := q.machine.Load()
	q.load.Store(&load)
}

func refusal(r Refuse) error {
	failure := &classifier.Error{
		Code: r.Code, Outcome: classifier.OutcomeNotRun, Subject: r.Ticket.Account, Field: r.Ticket.Call,
	}
	switch r.Code {
	case classifier.CodeOverload:
		failure.Reason = "the work would miss its deadline or target in the queue"
		failure.Cause = &RetryError{After: r.Retry}
	case classifier.CodeDraining:
		failure.Reason = "the node is draining"
	case classifier.CodeDeadlinePassed:
		failure.Reason = "the deadline passed in the queue"
	default:
		failure.Reason = "the caller canceled while the work was queued"
	}
	return failure
}
