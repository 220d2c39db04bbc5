package registrar

import (
	"context"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const address = "127.0.0.1:9"

func newRegistrar() (*Registrar, *timekeeper.ManualClock) {
	clock := timekeeper.Manual(timekeeper.Minute)
	return New(Options{
		Service: "ledger", Address: address, Interval: 1500, Clock: clock.Clock(), Logger: zap.NewNop(),
	}), clock
}

func beat(born, sequence uint64) Heartbeat {
	return Heartbeat{ID: "i-1", Service: "ledger", Address: address, Slots: 6, Sequence: sequence, Incarnation: born}
}

func leaving(b Heartbeat) Heartbeat {
	b.Leaving = true
	return b
}

// Guards against an upstream that takes new work again because its messages arrive out of order or from an earlier
// process.
func TestOrderOfMessages(t *testing.T) {
	for name, c := range map[string]struct {
		play func(r *Registrar) error
		want bool // ready in the end
	}{
		"first heartbeat":        {func(r *Registrar) error { return r.Heartbeat(beat(1, 1)) }, true},
		"leaving":                {func(r *Registrar) error { return r.Heartbeat(leaving(beat(1, 1))) }, false},
		"late after leaving":     {both(leaving(beat(1, 5)), beat(1, 4)), false},
		"newer after leaving":    {both(leaving(beat(1, 5)), beat(1, 6)), false},
		"next process":           {both(leaving(beat(1, 5)), beat(2, 1)), true},
		"process before":         {both(beat(2, 1), leaving(beat(1, 9))), true},
		"goodbye":                {after(Deregistration{ID: "i-1", Incarnation: 1}, beat(1, 1)), false},
		"goodbye without a born": {after(Deregistration{ID: "i-1"}, beat(1, 1)), false},
		"goodbye of another id":  {after(Deregistration{ID: "i-0"}, beat(1, 1)), true},
		"goodbye of the process before": {
			after(Deregistration{ID: "i-1", Incarnation: 1}, beat(2, 1)), true,
		},
		"heartbeat after a goodbye that came first": {func(r *Registrar) error {
			r.Deregister(Deregistration{ID: "i-1", Incarnation: 1})
			return r.Heartbeat(beat(1, 7))
		}, false},
		"next process after a goodbye that came first": {func(r *Registrar) error {
			r.Deregister(Deregistration{ID: "i-1", Incarnation: 1})
			return r.Heartbeat(beat(2, 1))
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := newRegistrar()
			if err := c.play(r); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.want, r.Alive()); diff != "" {
				t.Errorf("ready differs (-want +got):\n%s", diff)
			}
		})
	}
}

func both(first, second Heartbeat) func(r *Registrar) error {
	return func(r *Registrar) error {
		if err := r.Heartbeat(first); err != nil {
			return err
		}
		return r.Heartbeat(second)
	}
}

func after(l Deregistration, b Heartbeat) func(r *Registrar) error {
	return func(r *Registrar) error {
		err := r.Heartbeat(b)
		r.Deregister(l)
		return err
	}
}

// Guards against a heartbeat of another writer that changes what is known of the upstream.
func TestForeignHeartbeats(t *testing.T) {
	r, _ := newRegistrar()
	if err := r.Heartbeat(beat(1, 1)); err != nil {
		t.Fatal(err)
	}
	before := r.Current()
	for name, change := range map[string]func(*Heartbeat){
		"service": func(b *Heartbeat) { b.Service = "other" },
		"address": func(b *Heartbeat) { b.Address = "127.0.0.1:10" },
		"slots":   func(b *Heartbeat) { b.Slots = 0 },
		"id":      func(b *Heartbeat) { b.ID = "" },
	} {
		forged := beat(9, 9)
		change(&forged)
		if code := classifier.CodeOf(r.Heartbeat(forged)); code != classifier.CodeBadRequest {
			t.Errorf("%s: code %d", name, code)
		}
	}
	if diff := cmp.Diff(before, r.Current()); diff != "" {
		t.Errorf("state differs (-want +got):\n%s", diff)
	}
}

// Guards against work for an upstream that fell silent, and against one that stays out of use after it is back.
func TestSilence(t *testing.T) {
	r, clock := newRegistrar()
	if err := r.Heartbeat(beat(1, 1)); err != nil {
		t.Fatal(err)
	}
	clock.Advance(silentBeats * 1500)
	r.ExpireStale()
	if !r.Alive() {
		t.Fatal("gone while heartbeats may still come")
	}
	clock.Advance(1)
	r.ExpireStale()
	if r.Alive() {
		t.Fatal("still in use after its silence")
	}
	if err := r.Heartbeat(beat(1, 2)); err != nil || !r.Alive() {
		t.Errorf("not back after a heartbeat, error %v", err)
	}
}

// Guards against an end of the upstream that is not counted, since crashing requests are recognised by it.
func TestCheckCountsAnEnd(t *testing.T) {
	r, _ := newRegistrar() // nobody listens at the address
	if err := r.Heartbeat(beat(1, 1)); err != nil {
		t.Fatal(err)
	}
	if r.Check(t.Context()) || r.Alive() || r.Restarts() != 1 {
		t.Errorf("alive %v after %d ends", r.Alive(), r.Restarts())
	}
	if r.Check(t.Context()); r.Restarts() != 1 {
		t.Errorf("one end counted as %d", r.Restarts())
	}
}

// Guards against an upstream that said goodbye to the process before and is taken back because an old heartbeat comes
// late, and against one that gets no work because its health check is wrong or does not answer.
func TestFirstHeartbeatNeedsProof(t *testing.T) {
	for name, c := range map[string]struct {
		health   Health
		failure  error
		beats    int
		want     bool
		question int
	}{
		"well":              {Health{ID: "i-1", Ready: true}, nil, 1, true, 1},
		"leaving":           {Health{ID: "i-1"}, nil, 1, false, 1},
		"another upstream":  {Health{ID: "i-2", Ready: true}, nil, 2, false, 2},
		"no answer":         {Health{}, errors.New("busy"), 1, false, healthTries},
		"wrong for a while": {Health{ID: "i-1"}, nil, provingBeats, true, provingBeats - 1},
	} {
		r, clock := newRegistrar()
		asked := 0
		r.options.Health = func(context.Context) (Health, error) {
			asked++
			return c.health, c.failure
		}
		for sequence := range c.beats {
			if err := r.Heartbeat(beat(1, uint64(sequence)+7)); err != nil {
				t.Fatal(err)
			}
			if c.beats == 1 && r.Alive() {
				t.Errorf("%s: ready without a proof", name)
			}
			for range 2 * healthTries {
				r.Verify(t.Context())
				clock.Advance(healthPause)
			}
		}
		if r.Alive() != c.want || asked != c.question {
			t.Errorf("%s: ready %v after %d questions", name, r.Alive(), asked)
		}
	}
}

// Guards against a wait after a restart of the upstream beside a process that saw it.
func TestRestartedUpstreamNeedsNoProof(t *testing.T) {
	r, _ := newRegistrar()
	r.options.Health = func(context.Context) (Health, error) { return Health{}, errors.New("busy") }
	for _, b := range []Heartbeat{beat(1, 1), beat(2, 1)} {
		if err := r.Heartbeat(b); err != nil {
			t.Fatal(err)
		}
	}
	if !r.Alive() {
		t.Error("not ready")
	}
}

// Guards against an entry that each heartbeat changes, and that is sent to all nodes each time.
func TestHeartbeatsChangeNothing(t *testing.T) {
	r, clock := newRegistrar()
	starts := make(map[timekeeper.Millis]bool)
	for i, cold := range []timekeeper.Millis{3000, 1500, 0, 0, 0} {
		b := beat(1, uint64(i)+1)
		b.ColdStart = cold
		if err := r.Heartbeat(b); err != nil {
			t.Fatal(err)
		}
		starts[r.Current().Started] = true
		clock.Advance(1500 + timekeeper.Millis(i))
	}
	if len(starts) != 1 {
		t.Errorf("starts %v", starts)
	}
	b := beat(2, 1)
	b.ColdStart = 3000
	if err := r.Heartbeat(b); err != nil || starts[r.Current().Started] {
		t.Errorf("the next process has the start of the one before; error %v", err)
	}
}

// Guards against an upstream whose goodbye was the first that a new process heard, without the start of the upstream,
// and that is taken back because of an old heartbeat. One that started again under its name is taken.
func TestGoodbyeBeforeAnyHeartbeat(t *testing.T) {
	for _, left := range []bool{true, false} {
		r, clock := newRegistrar()
		r.options.Health = func(context.Context) (Health, error) { return Health{ID: "i-1", Ready: !left}, nil }
		r.Deregister(Deregistration{ID: "i-1"})
		if err := r.Heartbeat(beat(1, 7)); err != nil {
			t.Fatal(err)
		}
		if r.Alive() {
			t.Errorf("left %v: ready without a proof", left)
		}
		clock.Advance(healthPause)
		r.Verify(t.Context())
		if r.Alive() == left {
			t.Errorf("left %v: ready %v", left, r.Alive())
		}
	}
}
