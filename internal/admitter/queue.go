package admitter

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Options configures a Queue.
type Options struct {
	Clock timekeeper.Clock
	Slots int
	Limit int // maximum number of waiting requests per rank; 0 for 64 times the slots
	Share int // percentage of the service time that is guaranteed to every rank, even if the rank's own share is lower
}

// Queue makes a Machine safe for concurrent use. All calls share one lock, since they compete for the same slots; each
// holds it for about a microsecond.
type Queue struct {
	clock   timekeeper.Clock
	mutex   sync.Mutex
	machine *Machine
	load    atomic.Pointer[Load]
	timer   *time.Timer // sends a Wake to the machine; nil before its first use
}

// New returns a queue with all slots free.
func New(options Options) *Queue {
	limit := options.Limit
	if limit == 0 {
		limit = 64 * max(options.Slots, 1)
	}
	q := &Queue{clock: options.Clock, machine: NewMachine(options.Slots, limit)}
	q.machine.minShare = options.Share
	q.load.Store(&Load{Slots: options.Slots})
	return q
}

// Admit waits for a slot. The caller must call release once the request ended. An error means that the request did not
// start: code 204, 220, 222 or 224.
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

// await waits for the decision on a queued ticket, and withdraws the ticket when ctx or its deadline ends first.
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
		return refusalError(Refuse{Ticket: t, Code: classifier.CodeDeadlinePassed})
	}
	return refusalError(Refuse{Ticket: t, Code: classifier.CodeCanceled})
}

// Load returns the current load without taking the lock.
func (q *Queue) Load() Load {
	return *q.load.Load()
}

// Started returns the rate of starts over the last second, in requests per second.
func (q *Queue) Started() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.machine.starts.perSecond(q.clock.Now())
}

// SetSlots changes the number of slots. Running requests continue even if there are more of them than slots.
func (q *Queue) SetSlots(slots int) {
	q.step(Resize{slots})
}

// SetLimit changes the limit of the upstream. Running requests continue.
func (q *Queue) SetLimit(limit Limit) {
	q.step(Restrict{limit})
}

// Drain refuses all later requests with code 222. Requests that wait or run are not affected.
func (q *Queue) Drain() {
	q.step(Close{})
}

// Expel refuses all waiting requests with code 222. Those that run are not affected.
func (q *Queue) Expel() {
	q.step(Expel{})
}

// step applies an event to the machine and delivers its decisions to the waiting callers.
func (q *Queue) step(event Event) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.clock.Now()
	for _, action := range q.machine.Step(now, event) {
		switch a := action.(type) {
		case Start:
			a.Ticket.ready <- nil
		case Refuse:
			a.Ticket.ready <- refusalError(a)
		}
	}
	load := q.machine.Load()
	q.load.Store(&load)
	if wait := q.machine.untilWake(now); wait > 0 {
		q.wakeAfter(wait)
	}
}

// wakeAfter sends a Wake to the machine after a time in ms. The caller holds the lock.
func (q *Queue) wakeAfter(wait timekeeper.Millis) {
	if q.timer == nil {
		q.timer = time.AfterFunc(wait.Duration(), func() { q.step(Wake{}) })
		return
	}
	q.timer.Reset(wait.Duration())
}

// refusalError returns the error that Admit reports for a refusal.
func refusalError(r Refuse) error {
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
