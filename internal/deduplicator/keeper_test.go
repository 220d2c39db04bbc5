package deduplicator

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"github.com/jasmineproxy/jasmineproxy/internal/connector"
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
				Placement: NewScheduledPlacement(func(string, string) string { return "s" }),
				Services:  func() map[string][]string { return map[string][]string{"s": {"z"}} },
				Relay:     func() bool { return i < 2 },
			}))
		}
		agreed := make(map[timekeeper.Millis]string)
		check := func() {
			for _, k := range keepers {
				for birth := testNow; birth < testNow+20*lead; birth += lead / 12 {
					names := k.options.Placement.Owners("z").At(birth)
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
		schedule := keepers[2].options.Placement.Owners("z")
		if names := schedule.Epochs[len(schedule.Epochs)-1].Names; !slices.Contains(names, "last") {
			rt.Fatalf("a new name is missing from %s", names)
		}
	})
}

// Guards against a node that reads the schedules before a relay has written them and then not again for minutes, in
// which it refuses every id from a caller.
func TestKeeperReadsAgainWhileScheduleIsMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform, clock := faker.NewPlatform(), timekeeper.System()
		keeper := func(relay func() bool) *Keeper {
			return NewKeeper(KeeperOptions{
				Platform: platform, Clock: clock, Zone: "z", Relay: relay,
				Directory: &mesh{members: []tracker.Member{{Name: "a"}, {Name: "b"}}},
				Placement: NewScheduledPlacement(func(string, string) string { return "s" }),
				Services:  func() map[string][]string { return map[string][]string{"s": {"z"}} },
			})
		}
		begun := clock.Now()
		reader := keeper(func() bool { return false })
		writer := keeper(func() bool { return clock.Now() > begun+8*timekeeper.Second })
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = reader.Run(ctx) }()
		go func() { _ = writer.Run(ctx) }()
		_ = connector.Sleep(ctx, timekeeper.Minute)
		hasAllSchedules, calls := reader.hasAllSchedules(), platform.Calls()["list"]
		cancel()
		synctest.Wait()
		if !hasAllSchedules || calls > 40 {
			t.Fatalf("the reader has all schedules: %v, after %d reads", hasAllSchedules, calls)
		}
	})
}
