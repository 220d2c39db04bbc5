package auditor

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

func newAuditor(platform *faker.Platform, queue int) *Auditor {
	return New(Options{
		Platform: platform, Clock: timekeeper.System(), Random: rand.New(rand.NewPCG(1, 1)), Node: "node-1", Queue: queue,
	})
}

// start runs the auditor until the bubble's test ends.
func start(t *testing.T, a *Auditor) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// pause lets the bubble's time pass.
func pause(t *testing.T, span timekeeper.Millis) {
	t.Helper()
	if err := connector.Sleep(t.Context(), span); err != nil {
		t.Fatal(err)
	}
}

func actions(t *testing.T, a *Auditor, limit int) []string {
	t.Helper()
	entries, err := a.List(t.Context(), limit)
	if err != nil {
		t.Fatal(err)
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Action)
	}
	return names
}

// Guards against entries that are lost in an outage, written twice after a lost answer, or listed out of order.
func TestAuditorSurvivesOutageAndLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := faker.NewPlatform()
		calls := 0
		platform.SetFault(func(faker.Operation) faker.Fault {
			calls++
			return faker.Fault{Refuse: calls < 4, Lose: calls == 4}
		})
		a := newAuditor(platform, 100)
		start(t, a)
		for i := range 3 {
			a.Record(t.Context(), Entry{Action: fmt.Sprintf("step-%d", i), Reason: strings.Repeat("é", maxText)})
			pause(t, 5)
		}
		pause(t, timekeeper.Minute)
		if diff := cmp.Diff([]string{"step-2", "step-1", "step-0"}, actions(t, a, 10)); diff != "" {
			t.Errorf("trail differs (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff([]string{"step-2"}, actions(t, a, 1)); diff != "" {
			t.Errorf("limited trail differs (-want +got):\n%s", diff)
		}
	})
}

// Guards against a queue that grows without bound while the platform is down, and against silent loss.
func TestAuditorBoundsItsQueueAndReportsDrops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAuditor(faker.NewPlatform(), 2)
		for range 5 {
			a.Record(t.Context(), Entry{Action: "step"})
		}
		if a.Dropped() != 3 {
			t.Errorf("%d entries dropped, not 3", a.Dropped())
		}
		start(t, a)
		pause(t, timekeeper.Second)
		entries, err := a.List(t.Context(), 10)
		if err != nil || len(entries) != 3 || !strings.HasPrefix(entries[2].Reason, "3 entries were dropped") {
			t.Errorf("unexpected trail %+v, error %v", entries, err)
		}
	})
}

// Guards against a trail that grows on the platform without bound.
func TestAuditorPrunesOldBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAuditor(faker.NewPlatform(), 100)
		start(t, a)
		for i := range maxObjects + 5 {
			a.Record(t.Context(), Entry{Action: fmt.Sprintf("step-%d", i)})
			pause(t, 1)
		}
		if err := a.Prune(t.Context()); err != nil {
			t.Fatal(err)
		}
		got := actions(t, a, 2*maxObjects)
		if len(got) != maxObjects || got[len(got)-1] != "step-5" {
			t.Errorf("%d entries are kept, the oldest is %s", len(got), got[len(got)-1])
		}
	})
}
