package drainer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// explore counts calls in and out in a random order around a drain, and returns the first violation, or "".
func explore(t *rapid.T, off bool) string {
	d := New(Options{})
	d.admitAll = off
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // the wait ends at once; what matters is the state
	held, drained := 0, false
	for _, step := range rapid.SliceOfN(rapid.IntRange(0, 3), 1, 40).Draw(t, "steps") {
		switch {
		case step == 0 && !drained:
			_ = d.Drain(ctx)
			drained = true
		case step == 3 && held > 0:
			d.End()
			held--
		case step == 2 && held > 0:
			d.Hold()
			held++
		case step == 1:
			begun := d.Begin()
			if begun && drained {
				return "a call was let in after the drain began"
			}
			if !begun && !drained {
				return "a call was refused before the drain"
			}
			if begun {
				held++
			}
		}
		idle := false
		select {
		case <-d.idle:
			idle = true
		default:
		}
		if want := drained && held == 0; idle != want {
			return "the wait does not end with the last call"
		}
		if d.Running() != int64(held) || d.Draining() != drained {
			return "the count of calls is wrong"
		}
	}
	return ""
}

// Guards against a drain that lets a call in or ends before the last call in flight.
func TestDrainLetsNothingInAndCutsNothingOff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if found := explore(t, false); found != "" {
			t.Fatal(found)
		}
	})
	found := ""
	rapid.Check(t, func(t *rapid.T) {
		if violation := explore(t, true); violation != "" {
			found = violation
		}
	})
	if found == "" {
		t.Error("a gate that stays open lets nothing in either")
	}
}

// Guards against calls that slip in beside a drain when many goroutines count at once.
func TestDrainUnderConcurrency(t *testing.T) {
	for range 50 {
		d := New(Options{})
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				for range 200 {
					if d.Begin() {
						d.End()
					}
				}
			})
		}
		if err := d.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		if d.Begin() {
			t.Fatal("a call was let in after the drain")
		}
		group.Wait()
	}
}

// Guards against steps out of order, a wait without a bound and a second drain that runs the steps again.
func TestDrainSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var steps []string
		note := func(step string) func() { return func() { steps = append(steps, step) } }
		failure := errors.New("owners are gone")
		d := New(Options{
			Announce: note("announce"), Close: note("close"), Grace: 1000,
			Handover: func(context.Context) error { note("handover")(); return failure },
			Leave:    func(context.Context) { note("leave")() },
		})
		d.Begin()
		begun := time.Now()
		err := d.Drain(t.Context())
		if !errors.Is(err, context.DeadlineExceeded) || !errors.Is(err, failure) || time.Since(begun) != time.Second {
			t.Errorf("error %v after %v", err, time.Since(begun))
		}
		_ = d.Drain(t.Context())
		if diff := cmp.Diff([]string{"announce", "close", "handover", "leave"}, slices.Clone(steps)); diff != "" {
			t.Errorf("steps differ (-want +got):\n%s", diff)
		}
	})
}

// Guards against a node that closes its addresses while other nodes, which have not heard of its stop, still send work:
// such work would end with an unknown outcome in place of a refusal.
func TestDrainRefusesForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Options{Grace: 1000, Linger: 700})
		begun := time.Now()
		refused := make(chan bool, 1)
		time.AfterFunc(500*time.Millisecond, func() { refused <- !d.Begin() })
		if err := d.Drain(t.Context()); err != nil || time.Since(begun) != 700*time.Millisecond {
			t.Errorf("ended after %v with %v", time.Since(begun), err)
		}
		if !<-refused {
			t.Error("work was let in")
		}
	})
}
