package collector

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Guards against a busy process that spends its processor time on garbage collections, and against an idle one that
// keeps the memory it took. The simulated process collects once per percentage of growth of its live heap.
func TestPercentFollowsLoad(t *testing.T) {
	const live = 6.0 // MB
	now, cycles, garbage := timekeeper.Millis(0), uint64(0), 0.0
	c := New(now)
	percent := minPercent
	run := func(seconds int, allocated float64) {
		for range seconds {
			now += timekeeper.Second
			garbage += allocated // MB a second
			for growth := live * float64(percent) / 100; garbage >= growth; garbage -= growth {
				cycles++
			}
			percent = c.Step(now, cycles)
		}
	}
	got := make([]int, 4)
	for i, allocated := range []float64{0.5, 12, 120, 0.5} {
		run(60, allocated)
		got[i] = percent
	}
	if got[1] < 60 || got[1] > 150 {
		t.Errorf("%d%% at 12 MB a second", got[1])
	}
	if diff := cmp.Diff([]int{minPercent, got[1], maxPercent, minPercent}, got); diff != "" {
		t.Errorf("percentages when idle, busy, flooded and idle again (-want +got):\n%s", diff)
	}
}

// Guards against a division by zero or a change when the clock stands still or goes back.
func TestClockThatGoesBack(t *testing.T) {
	c := New(1000)
	for _, now := range []timekeeper.Millis{1000, 500, 1000} {
		if got := c.Step(now, 100); got != minPercent {
			t.Errorf("%d%% at %d ms", got, now)
		}
	}
}
