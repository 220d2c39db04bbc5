package deduplicator

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// Guards against two nodes that name different owners for one id while relays with different member tables and clocks
// write schedules, with refused writes and lost answers, and against names that never become owners.
func TestKeepersAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		platform, lead := faker.NewPlatform(), 60*timekeeper.Minute
		platform.SetFault(func(faker.Operation) faker.Fault {
			fate := rapid.IntRange(0, 9).Draw(rt, "fate")
			return faker.Fault{Refuse: fate == 8, Lose: fate == 9}
		})
		tables := make([]*mesh, 3)
		clocks, keepers := make([]*timekeeper.ManualClock, 0, 3), make([]*Keeper, 0, 3)
		for i := range tables {
			tables[i] = &mesh{members: []tracker.Member{{Name: "a"}, {Name: "b"}}}
			clocks = append(clocks, timekeeper.Manual(testNow+timekeeper.Millis(i)*Skew/2))
			keepers = append(keepers, NewKeeper(KeeperOptions{
				Platform: platform, Clock: clocks[i].Clock(), Directory: tables[i], Zone: "z",
				Agreed:   NewAgreed(func(string, string) string { return "s" }),
				Services: func() map[string][]string { return map[string][]string{"s": {"z"}} },
				Relay:    func() bool { return i < 2 },
			}))
		}
		agreed := make(map[timekeeper.Millis]string)
		check := func() {
			for _, k := range keepers {
				for birth := testNow; birth < testNow+20*lead; birth += lead / 12 {
					names := k.options.Agreed.Owners("z").At(birth)
					if names == nil || birth < k.options.Clock.Now()-defaultWindow {
						continue
					}
					if known := agreed[birth]; known != "" && known != fmt.Sprint(names) {
						rt.Fatalf("owners of ids born at %d are %s and %s", birth-testNow, known, names)
					}
					agreed[birth] = fmt.Sprint(names)
				}
			}
		}
		refresh := func(i int) {
			_ = keepers[i].Refresh(t.Context())
			check()
		}
		for step := range rapid.IntRange(1, 25).Draw(rt, "steps") {
			pass := timekeeper.Millis(rapid.IntRange(0, 20*60_000).Draw(rt, "pass"))
			for _, c := range clocks {
				c.Advance(pass)
			}
			i := rapid.IntRange(0, 2).Draw(rt, "node")
			if rapid.IntRange(0, 3).Draw(rt, "join") == 0 {
				tables[i].members = append(slices.Clone(tables[i].members), tracker.Member{Name: fmt.Sprint("n", step)})
			}
			refresh(i)
		}
		platform.SetFault(nil)
		tables[1].members = append(slices.Clone(tables[1].members), tracker.Member{Name: "last"})
		refresh(1)
		refresh(2)
		schedule := keepers[2].options.Agreed.Owners("z")
		if names := schedule.Epochs[len(schedule.Epochs)-1].Names; !slices.Contains(names, "last") {
			rt.Fatalf("a new name is missing from %s", names)
		}
	})
}
