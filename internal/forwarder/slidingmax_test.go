package forwarder

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Guards against requests that count as late, or calls that count as nested, because the longest remaining time is
// dropped too early or kept permanently.
func TestSlidingMaxKeepsTheLongestTime(t *testing.T) {
	var h remainingTimes
	steps := []struct{ now, remaining, want timekeeper.Millis }{
		{0, 3000, 3000},
		{10, 2900, 3000},
		{slidingWindow, 1200, 3000},
		{2*slidingWindow - 1, 2600, 3000},
		{2 * slidingWindow, 1000, 2600},
		{5 * slidingWindow, 900, 900},
	}
	for _, step := range steps {
		if diff := cmp.Diff(step.want, h.add(step.now, "call", step.remaining)); diff != "" {
			t.Errorf("at %d ms (-want +got):\n%s", step.now, diff)
		}
	}
	if got := h.add(0, "another", 5); got != 5 {
		t.Errorf("another call has %d ms", got)
	}
}
