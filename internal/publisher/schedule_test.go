package publisher

import (
	"flag"
	"testing"
)

// The default count keeps the test below 20 s with the race detector.
var (
	schedules = flag.Int("schedules", 15, "number of schedules per test")
	firstSeed = flag.Uint64("seed", 1, "seed of the first schedule")
)

// Guards against any interleaving of publishers, pauses, crashes, outages, lost replies, competing operators and
// garbage collection that moves the head to an older version, applies a set in part, accepts two competing sets,
// publishes sources that do not compile, changes the view by folding, or deletes a referenced section.
func TestSchedulesKeepEveryProperty(t *testing.T) {
	for name, direct := range map[string]bool{"sets only": false, "sets and direct writes": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for i := range *schedules {
				seed := *firstSeed + uint64(i)
				for kind, detail := range newSimulation(seed, safeguards{}, direct).run() {
					t.Errorf("run with -schedules 1 -seed %d: %s: %s", seed, kind, detail)
				}
			}
		})
	}
}

// Guards against schedules that do not exercise a safeguard: with each one disabled, some seed must violate the
// property that it protects.
func TestSchedulesNeedEveryMechanism(t *testing.T) {
	cases := []struct {
		name     string
		disabled safeguards
		direct   bool
		from     uint64 // first seed, shortly before one that shows the violation, to save time
		want     string
	}{
		{"fence by source revision", safeguards{fence: true}, false, 2, headRegressed},
		{"conditional head", safeguards{conditionalHead: true}, false, 2, headRegressed},
		{"base revisions", safeguards{baseRevisions: true}, false, 0, competingSetsAccepted},
		{"compilation before acceptance", safeguards{compilation: true}, true, 0, headInvalid},
		{"atomic sets", safeguards{atomicSets: true}, false, 1, setPartlyApplied},
		{"overlay of accepted sets", safeguards{overlay: true}, false, 0, foldChangedView},
		{"identity of sets", safeguards{setIdentity: true}, false, 0, foldChangedView},
		{"rewrite of existing sections", safeguards{sectionRewrite: true}, false, 28, sectionMissing},
		{"rewrite of the head before garbage collection", safeguards{headRewrite: true}, false, 16, sectionMissing},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			const seeds = 400
			for seed := c.from; seed < c.from+seeds; seed++ {
				s := newSimulation(seed, c.disabled, c.direct)
				if c.want == sectionMissing {
					s.collectPercent = 20
				}
				if detail, ok := s.run()[c.want]; ok {
					t.Logf("seed %d: %s: %s", seed, c.want, detail)
					return
				}
			}
			t.Errorf("%d seeds without this violation: %s", seeds, c.want)
		})
	}
}
