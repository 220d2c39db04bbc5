package runner

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

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
	synctest.Test(t, func(t *testing.T) {
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
