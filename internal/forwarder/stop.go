package forwarder

import (
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// stopTimeFactor multiplies the average time of a call to give the time that a stopping node must have left to pass a
// request on.
const stopTimeFactor = 2

// stopTime returns the time by which work must have ended because the node stops, or 0.
func (o *Options) stopTime() timekeeper.Millis {
	if o.StopBy == nil {
		return 0
	}
	return o.StopBy()
}

// boundByStop bounds the deadline of a call by the planned stop of the node. It refuses a call that would probably not
// end before: it would be cut off, with an unknown outcome, while a refused caller can use another node.
func (e *Entry) boundByStop(c *call) *classifier.Error {
	stop := e.stopTime()
	if stop == 0 || c.deadline < stop {
		return nil
	}
	c.deadline = stop
	remaining := stop - e.Clock.Now()
	if remaining > stopTimeFactor*e.exchangeTimes.average(c.job.Call) {
		return nil
	}
	return classifier.Refuse(classifier.CodeDraining, e.Name, "the node stops in %d ms", max(remaining, 0))
}

// boundByStop bounds the deadline of an attempt by the planned stop of the host node.
func (h *Host) boundByStop(x *hostAttempt) {
	if stop := h.stopTime(); stop > 0 {
		x.deadline = min(x.deadline, stop)
	}
}
