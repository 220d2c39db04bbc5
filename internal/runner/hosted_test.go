package runner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/jasmineproxy/jasmineproxy/internal/loader"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Guards against a planned stop that the platform kills because its steps together exceed the time limit, and against a
// stop that aborts requests although time is left.
func TestPlannedStopFitsTimeLimit(t *testing.T) {
	got := make(map[timekeeper.Millis]timekeeper.Millis)
	for _, limit := range []timekeeper.Millis{2000, 6000, 20000} {
		n := &Hosted{settings: loader.Settings{Hosted: loader.Hosted{Grace: float64(limit) / 1000}}}
		got[limit] = n.grace()
		if total := noticeTimeout + noticeMargin + n.grace() + 3*hostedStopTimeout; limit >= 6000 && total >= limit {
			t.Errorf("the stop takes up to %d ms of %d ms", total, limit)
		}
	}
	if diff := cmp.Diff(map[timekeeper.Millis]timekeeper.Millis{2000: 500, 6000: 2550, 20000: 16550}, got); diff != "" {
		t.Errorf("graces differ (-want +got):\n%s", diff)
	}
}
