package runner

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	logtest "go.uber.org/zap/zaptest/observer"

	"github.com/jasmineproxy/jasmineproxy/internal/bubbler"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// Guards against a node that lost the race to write the first seed object and then waits a minute before it finds
// other nodes.
func TestLoneNodePollsAgainSoon(t *testing.T) {
	got := []timekeeper.Millis{
		pauseAfter(nil, true), pauseAfter(errors.New("platform is down"), false), pauseAfter(nil, false),
	}
	want := []timekeeper.Millis{startPeriod, startPeriod, seedPeriod}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("pauses differ (-want +got):\n%s", diff)
	}
}

// Guards against new nodes that find no others for up to a minute, since the platform came back from a copy without the
// seed object of their data centre.
func TestSeedsAreStoredAgainAfterARestoredCopy(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		platform := faker.NewPlatform()
		s := &seeder{
			platform: platform, zone: "a", peer: "10.0.0.1:1", logger: zap.NewNop(), wake: make(chan struct{}, 1),
			tracker: tracker.NewTracker(tracker.Options{
				Self:  tracker.Member{Name: "n", Zone: "a", Peer: "10.0.0.1:1"},
				Clock: timekeeper.System(), Seed: 1,
			}),
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.run(ctx) }()
		synctest.Wait()
		stored, err := platform.Get(t.Context(), connector.KindSeed, "a")
		if err != nil {
			t.Fatal(err)
		}
		if err = platform.Delete(t.Context(), connector.KindSeed, "a", stored.Revision); err != nil {
			t.Fatal(err)
		}
		s.pollNow()
		s.pollNow()
		synctest.Wait()
		again, err := platform.Get(t.Context(), connector.KindSeed, "a")
		if diff := cmp.Diff(stored.Value, again.Value); diff != "" || err != nil {
			t.Errorf("%v, seed object differs (-want +got):\n%s", err, diff)
		}
		cancel()
		<-done
	})
}

// Guards against nodes that find no others, or call addresses that cannot exist, because another writer left an odd
// seed object: the one of the own data centre must be written again. Also guards against a log line at each poll.
func TestOddSeedObjects(t *testing.T) {
	const own = `{"format":1,"addresses":["10.0.0.1:1"]}`
	deep := strings.Repeat("[", 10_001) + strings.Repeat("]", 10_001)
	for name, odd := range map[string]string{
		"too deep":       deep,
		"not JSON":       "\x00",
		"format":         `{"format":2,"addresses":["10.0.0.7:1"]}`,
		"number":         `{"format":1e400,"addresses":[]}`,
		"types":          `{"format":1,"addresses":[7]}`,
		"port":           `{"format":1,"addresses":["10.0.0.7:99999"]}`,
		"no port":        `{"format":1,"addresses":["10.0.0.7"]}`,
		"port 0":         `{"format":1,"addresses":["10.0.0.7:0"]}`,
		"name":           `{"format":1,"addresses":["seed.example:1"]}`,
		"any address":    `{"format":1,"addresses":["0.0.0.0:1"]}`,
		"members":        `{"format":1,"addresses":["10.0.0.7:1"],"members":-1}`,
		"many members":   `{"format":1,"addresses":["10.0.0.7:1"],"members":1048577}`,
		"many addresses": `{"format":1,"addresses":["1","2","3","4","5","6","7","8","9"]}`,
	} {
		platform := faker.NewPlatform()
		core, logs := logtest.New(zap.InfoLevel)
		s := &seeder{
			platform: platform, zone: "a", peer: "10.0.0.1:1", logger: zap.New(core),
			tracker: tracker.NewTracker(tracker.Options{
				Self:  tracker.Member{Name: "n", Zone: "a", Peer: "10.0.0.1:1"},
				Clock: timekeeper.System(), Seed: 1,
			}),
		}
		for zone, value := range map[string]string{"a": odd, "b": odd, "c": `{"format":1,"addresses":["10.0.0.9:1"]}`} {
			if err := platform.Store(connector.Object{Kind: connector.KindSeed, Name: zone, Value: []byte(value)}); err != nil {
				t.Fatal(err)
			}
		}
		for range 3 {
			if err := s.step(t.Context()); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
		stored, err := platform.Get(t.Context(), connector.KindSeed, "a")
		if diff := cmp.Diff(own, string(stored.Value)); diff != "" || err != nil {
			t.Errorf("%s: %v, seed object differs (-want +got):\n%.200s", name, err, diff)
		}
		snapshot, err := platform.List(t.Context(), connector.KindSeed)
		if err != nil {
			t.Fatal(err)
		}
		addresses, _, _ := s.collect(snapshot.Objects)
		if diff := cmp.Diff([]string{"10.0.0.9:1"}, addresses); diff != "" {
			t.Errorf("%s: addresses differ (-want +got):\n%s", name, diff)
		}
		if logs.Len() != 2 {
			t.Errorf("%s: %d log lines, not one for each of two objects", name, logs.Len())
		}
	}
}

// Guards against a number of nodes that is too small: from a node that does not know the mesh yet, or from the data
// centres that happen to state one.
func TestSeedsStateMembers(t *testing.T) {
	platform := faker.NewPlatform()
	settled := false
	s := &seeder{
		platform: platform, zone: "a", peer: "10.0.0.1:1", logger: zap.NewNop(), settled: func() bool { return settled },
		tracker: tracker.NewTracker(tracker.Options{
			Self:  tracker.Member{Name: "n", Zone: "a", Peer: "10.0.0.1:1"},
			Clock: timekeeper.System(), Seed: 1,
		}),
	}
	other := connector.Object{Kind: connector.KindSeed, Name: "b", Value: []byte(`{"format":1,"addresses":[]}`)}
	var got []int
	step := func() {
		if err := platform.Store(other); err != nil {
			t.Fatal(err)
		}
		for range 2 {
			if err := s.step(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		got = append(got, s.listed())
	}
	step()
	settled = true
	step()
	other.Value = []byte(`{"format":1,"addresses":[],"members":32}`)
	step()
	if diff := cmp.Diff([]int{0, 0, 33}, got); diff != "" {
		t.Errorf("numbers of nodes differ (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]int{0, 1, 7, 8, 10, 32, 40, 320}, []int{
		roundUp(0), roundUp(1), roundUp(7), roundUp(8), roundUp(9), roundUp(31), roundUp(34), roundUp(295),
	}); diff != "" {
		t.Errorf("rounded numbers differ (-want +got):\n%s", diff)
	}
}

// Guards against upstreams of a new version that take all requests, since their nodes took a part of a mesh that starts
// for all of it and knew no other version. A node that joins a mesh need not wait.
func TestPartOfMeshThatStarts(t *testing.T) {
	for _, c := range []struct {
		name, object     string
		polls            int
		atStart, atMerge bool
	}{
		{"others start, too", `{"format":1,"addresses":["10.0.0.2:1"]}`, 1, false, true},
		{"platform out of reach", "", 0, false, true},
		{"mesh runs", `{"format":1,"addresses":["10.0.0.2:1"],"members":7}`, 1, true, true},
		{"only node", "", 2, true, true},
	} {
		clock, platform := timekeeper.Manual(0), faker.NewPlatform()
		s := &seeder{
			platform: platform, zone: "a", peer: "10.0.0.1:1", logger: zap.NewNop(), clock: clock.Clock(),
			tracker: tracker.NewTracker(tracker.Options{
				Self: tracker.Member{Name: "n", Zone: "a", Peer: "10.0.0.1:1"}, Clock: clock.Clock(), Seed: 1,
			}),
		}
		if c.object != "" {
			other := connector.Object{Kind: connector.KindSeed, Name: "a", Value: []byte(c.object)}
			if err := platform.Store(other); err != nil {
				t.Fatal(err)
			}
		}
		for range c.polls {
			if err := s.step(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		atStart := s.merged()
		clock.Advance(mergeTime)
		if atMerge := s.merged(); atStart != c.atStart || atMerge != c.atMerge {
			t.Errorf("%s: merged %v, later %v", c.name, atStart, atMerge)
		}
	}
}
