// Package admitter decides at a host node which work starts on the upstream, in which order, and which is refused.
package admitter

import (
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Ranks is the number of rank orders; compiler.Rank bounds Order to 0..15.
const Ranks = 16

// Work is one request that asks for a slot of the upstream.
type Work struct {
	Account  string
	Call     string
	Order    int               // order of the rank; lower goes first
	Share    int               // percentage of the service time that the rank keeps
	Target   timekeeper.Millis // time within which an answer has its worth; 0 for none
	Late     bool              // the target has passed: the work goes behind all work that can still meet its own
	Deadline timekeeper.Millis // point in time after which the work must not start
}

// Load is the figures that a host node reports with each response.
type Load struct {
	Running int
	Queued  int
	Slots   int
}

// RetryError is the cause of a refusal for overload: the span after which the same work is likely to be admitted.
type RetryError struct {
	After timekeeper.Millis
}

// Error implements error.
func (r *RetryError) Error() string {
	return "the queue is too long"
}

type phase uint8

const (
	phaseNew phase = iota
	phaseWaiting
	phaseRunning
	phaseDone
)

// Ticket is the state of one piece of work inside a Machine. Its owner must not reuse it.
type Ticket struct {
	Work
	phase   phase
	place   int // index in the flow's heap
	flow    *flow
	started timekeeper.Millis
	ready   chan error // used by Queue
}

// Event is an input of a Machine.
type Event interface{ event() }

// Arrive asks for a slot.
type Arrive struct{ Ticket *Ticket }

// Finish reports that running work ended.
type Finish struct{ Ticket *Ticket }

// Cancel withdraws work that waits, or gives back the slot of work that was started and not taken up.
type Cancel struct{ Ticket *Ticket }

// Expire refuses waiting work whose deadline passed.
type Expire struct{}

// Resize sets the number of slots.
type Resize struct{ Slots int }

// Close refuses all later arrivals; admitted work goes on.
type Close struct{}

func (Arrive) event() {}
func (Finish) event() {}
func (Cancel) event() {}
func (Expire) event() {}
func (Resize) event() {}
func (Close) event()  {}

// Action is an output of a Machine.
type Action interface{ action() }

// Start gives a slot to work.
type Start struct{ Ticket *Ticket }

// Refuse ends work that did not start and never will.
type Refuse struct {
	Ticket *Ticket
	Code   classifier.Code
	Retry  timekeeper.Millis // hint for overload
}

func (Start) action()  {}
func (Refuse) action() {}
