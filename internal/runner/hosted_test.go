package runner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/jasmineproxy/jasmineproxy/internal/loader"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Guards against a planned stop that is killed before its end because all of its steps together take too long, and
// against one that cuts work off that would have had time.
func TestPlannedStopFitsItsTime(t *testing.T) {
	got := make(map[timekeeper.Millis]timekeeper.Millis)
	for _, given := range []timekeeper.Millis{2000, 6000, 20000} {
		n := &Hosted{settings: loader.Settings{Hosted: loader.Hosted{Grace: float64(given) / 1000}}}
		got[given] = n.grace()
		if total := noticeSpan + noticeMargin + n.grace() + 3*hostedStop; given >= 6000 && total >= given {
			t.Errorf("%d ms of %d", total, given)
		}
	}
	if diff := cmp.Diff(map[timekeeper.Millis]timekeeper.Millis{2000: 500, 6000: 2550, 20000: 16550}, got); diff != "" {
		t.Errorf("graces differ (-want +got):\n%s", diff)
	}
}
