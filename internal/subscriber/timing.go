package subscriber

import "github.com/jasmineproxy/jasmineproxy/internal/timekeeper"

const (
	// defaultApplyTime is the time within which a change has to be active where the platform sets none.
	defaultApplyTime = 2 * timekeeper.Second
	// maxApplyTime bounds the time between calls, so that the connection to the platform does not become idle.
	maxApplyTime = 10 * timekeeper.Second
)

// timing holds the waits and timeouts of requests. Two relays that are silent or cut off, one after the other, or a
// failed watch, have to be detected early enough to read a change from the platform before it has to be active. All
// values derive from that time.
type timing struct {
	watchWait  timekeeper.Millis // how long a watch of the platform waits for a change
	watchSlack timekeeper.Millis // additional time for the reply of the platform before this node counts as cut off
	relayWait  timekeeper.Millis // how long a request waits at a relay for a change
	firstWait  timekeeper.Millis // the same for the first request to a relay, until its reply shows that it is current
	relaySlack timekeeper.Millis // additional time for the reply of a relay
	orderWait  timekeeper.Millis // how long a watch of the orders waits; each watch is billed
}

func newTiming(apply timekeeper.Millis) timing {
	if apply <= 0 {
		apply = defaultApplyTime
	}
	apply = min(apply, maxApplyTime)
	return timing{
		watchWait: apply / 2, watchSlack: apply * 15 / 100,
		relayWait: apply * 35 / 100, firstWait: apply / 10, relaySlack: apply / 5,
		orderWait: min(2*apply, maxApplyTime),
	}
}
