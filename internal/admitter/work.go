// Package admitter decides at a host node which requests start on the upstream, in which order, and which are refused.
package admitter

import (
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Ranks is the number of ranks; compiler.Rank bounds Order to 0..15.
const Ranks = 16

// Work describes a request for admission control.
type Work struct {
	Account  string
	Call     string
	Order    int               // order of the rank; ranks with a lower order are served first
	Share    int               // percentage of the service time that is guaranteed to the rank
	Target   timekeeper.Millis // time after arrival within which the answer is useful to the caller; 0 for no target
	Late     bool              // the target passed before the arrival; served after all requests that are not late
	Nested   bool              // an upstream makes the call within a run; served before all others
	Deadline timekeeper.Millis // point in time after which the request must not start
}

// Load holds the numbers of running and queued requests and of slots, which a host node reports with each response.
type Load struct {
	Running int
	Queued  int
	Slots   int
	// Capacity is the number of requests that run at once when starts are at the limit of the upstream, in thousandths;
	// 0 if the slots are the only bound.
	Capacity int
}

// RetryError is the cause of a refusal for overload. After is the delay in ms after which the same request is likely to
// be admitted.
type RetryError struct {
	After timekeeper.Millis
}

// Error implements error.
func (r *RetryError) Error() string {
	return "the queue is too long"
}

// phase is the stage of a ticket: new, waiting, running or done.
type phase uint8

const (
	phaseNew phase = iota
	phaseWaiting
	phaseRunning
	phaseDone
)

// Ticket holds the state of a request inside a Machine. Its creator must not reuse it.
type Ticket struct {
	Work
	phase     phase
	heapIndex int // index in the flow's heap
	flow      *flow
	started   timekeeper.Millis
	ready     chan error // receives the decision; used by Queue only
}

// Event is an input of a Machine.
type Event interface{ event() }

// Arrive requests a slot.
type Arrive struct{ Ticket *Ticket }

// Finish reports that a running request ended and frees its slot.
type Finish struct{ Ticket *Ticket }

// Cancel withdraws a waiting request, or frees the slot of a started request whose caller has stopped waiting.
type Cancel struct{ Ticket *Ticket }

// Expire refuses waiting requests whose deadline has passed.
type Expire struct{}

// Resize sets the number of slots.
type Resize struct{ Slots int }

// Restrict sets the limit of the upstream.
type Restrict struct{ Limit Limit }

// Wake starts the waiting requests that the limit of the upstream now allows.
type Wake struct{}

// Close refuses all later arrivals; requests that wait or run are not affected.
type Close struct{}

// Expel refuses all waiting requests; those that run are not affected.
type Expel struct{}

func (Arrive) event()   {}
func (Finish) event()   {}
func (Cancel) event()   {}
func (Expire) event()   {}
func (Resize) event()   {}
func (Restrict) event() {}
func (Wake) event()     {}
func (Close) event()    {}
func (Expel) event()    {}

// Action is an output of a Machine.
type Action interface{ action() }

// Start assigns a slot to a request.
type Start struct{ Ticket *Ticket }

// Refuse rejects a request, which has not started and will not start.
type Refuse struct {
	Ticket *Ticket
	Code   classifier.Code
	Retry  timekeeper.Millis // delay after which to retry, in ms; set for overload only
}

func (Start) action()  {}
func (Refuse) action() {}
