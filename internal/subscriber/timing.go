package subscriber

import "github.com/jasmineproxy/jasmineproxy/internal/timekeeper"

const (
	// defaultApply is the time in which a change has to be in force where the platform states none.
	defaultApply = 2 * timekeeper.Second
	// longestApply keeps an idle connection to the platform in use.
	longestApply = 10 * timekeeper.Second
)

// timing is the spans of questions. A silent or cut off relay, or a lost watch, has to be found in time to read a
// change from the platform before it has to be in force, so all follow from that time.
type timing struct {
	watch   timekeeper.Millis // how long one watch of the platform waits for a change
	contact timekeeper.Millis // how much later a reply of the platform may come before this node counts as cut off
	relay   timekeeper.Millis // how long one question waits at a relay for a change
	slack   timekeeper.Millis // how much later the reply of a relay may come
}

func newTiming(apply timekeeper.Millis) timing {
	if apply <= 0 {
		apply = defaultApply
	}
	apply = min(apply, longestApply)
	return timing{watch: apply / 2, contact: apply * 15 / 100, relay: apply * 35 / 100, slack: apply / 5}
}
