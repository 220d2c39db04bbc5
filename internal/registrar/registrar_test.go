package registrar

import (
	"context"
	"errors"
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
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

func heartbeat(incarnation, sequence uint64) Heartbeat {
	return Heartbeat{
		ID: "i-1", Service: "ledger", Address: address, Slots: 6, Sequence: sequence, Incarnation: incarnation,
	}
}

func leaving(b Heartbeat) Heartbeat {
	b.Leaving = true
	return b
}

// Guards against an upstream that becomes ready again because its messages arrive out of order or come from an earlier
// process.
func TestOrderOfMessages(t *testing.T) {
	for name, c := range map[string]struct {
		send func(r *Registrar) error
		want bool // ready after all messages
	}{
		"first heartbeat":     {func(r *Registrar) error { return r.Heartbeat(heartbeat(1, 1)) }, true},
		"leaving":             {func(r *Registrar) error { return r.Heartbeat(leaving(heartbeat(1, 1))) }, false},
		"late after leaving":  {inOrder(leaving(heartbeat(1, 5)), heartbeat(1, 4)), false},
		"newer after leaving": {inOrder(leaving(heartbeat(1, 5)), heartbeat(1, 6)), false},
		"later start once":    {inOrder(leaving(heartbeat(1, 5)), heartbeat(2, 1)), false},
		"next process":        {inOrder(leaving(heartbeat(1, 5)), heartbeat(2, 1), heartbeat(2, 2)), true},
		"previous process":    {inOrder(heartbeat(2, 1), leaving(heartbeat(1, 9))), true},
		"late heartbeats of the previous process": {
			inOrder(leaving(heartbeat(2, 5)), heartbeat(1, 1), heartbeat(1, 2), heartbeat(1, 3), heartbeat(1, 4)), false,
		},
		"late heartbeats of the previous process after the deregistration": {func(r *Registrar) error {
			return errors.Join(r.Heartbeat(heartbeat(2, 1)), r.Deregister(Deregistration{ID: "i-1", Incarnation: 2}),
				inOrder(heartbeat(1, 1), heartbeat(1, 2), heartbeat(1, 3), heartbeat(1, 4))(r))
		}, false},
		"heartbeats of a replaced process after the deregistration of the next": {func(r *Registrar) error {
			return errors.Join(inOrder(heartbeat(1, 1), heartbeat(2, 1))(r),
				r.Deregister(Deregistration{ID: "i-1", Incarnation: 2}),
				inOrder(heartbeat(1, 2), heartbeat(1, 3), heartbeat(1, 4), heartbeat(1, 5))(r))
		}, false},
		"deregistration": {
			deregisterAfter(Deregistration{ID: "i-1", Incarnation: 1}, heartbeat(1, 1)), false,
		},
		"deregistration without an incarnation": {deregisterAfter(Deregistration{ID: "i-1"}, heartbeat(1, 1)), false},
		"deregistration of another id":          {deregisterAfter(Deregistration{ID: "i-0"}, heartbeat(1, 1)), true},
		"deregistration of the previous process": {
			deregisterAfter(Deregistration{ID: "i-1", Incarnation: 1}, heartbeat(2, 1)), true,
		},
		"heartbeat after a deregistration that came first": {func(r *Registrar) error {
			_ = r.Deregister(Deregistration{ID: "i-1", Incarnation: 1})
			return r.Heartbeat(heartbeat(1, 7))
		}, false},
		"next process after a deregistration that came first": {func(r *Registrar) error {
			_ = r.Deregister(Deregistration{ID: "i-1", Incarnation: 1})
			return r.Heartbeat(heartbeat(2, 1))
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := newRegistrar()
			if err := c.send(r); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.want, r.Alive()); diff != "" {
				t.Errorf("ready differs (-want +got):\n%s", diff)
			}
		})
	}
}

func inOrder(heartbeats ...Heartbeat) func(r *Registrar) error {
	return func(r *Registrar) error {
		for _, b := range heartbeats {
			if err := r.Heartbeat(b); err != nil {
				return err
			}
		}
		return nil
	}
}

func deregisterAfter(d Deregistration, b Heartbeat) func(r *Registrar) error {
	return func(r *Registrar) error {
		return errors.Join(r.Heartbeat(b), r.Deregister(d))
	}
}

// Guards against an upstream that gets new requests although its responses state that it is leaving: its heartbeats may
// state this seconds later, and those on the way still report it as ready. Also guards against a restarted upstream
// that gets no requests since a response of its earlier process, which had the same id, is read late.
func TestLeavingStatedInAResponse(t *testing.T) {
	r, clock := newRegistrar()
	sent := clock.Clock().Now() + 25 // between the second step and the third
	steps := []struct {
		name string
		do   func()
		want bool // ready afterwards
	}{
		{"first heartbeat", func() { _ = r.Heartbeat(heartbeat(1, 1)) }, true},
		{"response of another process", func() { r.ObserveLeaving("i-0", sent) }, true},
		{"response", func() { r.ObserveLeaving("i-1", sent) }, false},
		{"late heartbeat", func() { _ = r.Heartbeat(heartbeat(1, 2)) }, false},
		{"next process", func() { _ = r.Heartbeat(heartbeat(2, 1)) }, false},
		{"next process again", func() { _ = r.Heartbeat(heartbeat(2, 2)) }, true},
		{"late response of the process before", func() { r.ObserveLeaving("i-1", sent) }, true},
		{"response of the next process", func() { r.ObserveLeaving("i-1", clock.Clock().Now()) }, false},
	}
	for _, step := range steps {
		clock.Advance(10)
		step.do()
		if diff := cmp.Diff(step.want, r.Alive()); diff != "" {
			t.Errorf("%s: ready differs (-want +got):\n%s", step.name, diff)
		}
	}
}

// Guards against an upstream whose heartbeats are all taken for late ones, because another sender's with a higher
// sequence was accepted, and against a leaving upstream that becomes ready again by late heartbeats.
func TestHeartbeatsBelowAForgedSequence(t *testing.T) {
	for name, c := range map[string]struct {
		forged Heartbeat
		want   []uint64 // sequence of the state after each of the following heartbeats
	}{
		"forged":  {heartbeat(1, 4_000_000_000), []uint64{4_000_000_000, 4_000_000_000, 4, 5}},
		"leaving": {leaving(heartbeat(1, 9)), []uint64{9, 9, 9, 9}},
	} {
		r, _ := newRegistrar()
		if err := errors.Join(r.Heartbeat(heartbeat(1, 1)), r.Heartbeat(c.forged)); err != nil {
			t.Fatal(err)
		}
		got := make([]uint64, 0, len(c.want))
		for sequence := range uint64(len(c.want)) {
			if err := r.Heartbeat(heartbeat(1, sequence+2)); err != nil {
				t.Fatal(err)
			}
			got = append(got, r.Current().Sequence)
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: sequences differ (-want +got):\n%s", name, diff)
		}
	}
}

// Guards against a deregistration with a start in the future, after which all heartbeats are taken for late ones.
func TestDeregistrationOutOfRange(t *testing.T) {
	r, _ := newRegistrar()
	err := r.Deregister(Deregistration{ID: "i-1", Incarnation: math.MaxUint64})
	if classifier.CodeOf(err) != classifier.CodeBadRequest {
		t.Errorf("error %v", err)
	}
	if err = r.Heartbeat(heartbeat(1, 1)); err != nil || !r.Alive() {
		t.Errorf("error %v, ready %v", err, r.Alive())
	}
}

// Guards against a heartbeat from another sender that changes the state of the upstream.
func TestHeartbeatsOfOtherSenders(t *testing.T) {
	r, _ := newRegistrar()
	if err := r.Heartbeat(heartbeat(1, 1)); err != nil {
		t.Fatal(err)
	}
	before := r.Current()
	for name, change := range map[string]func(*Heartbeat){
		"service": func(b *Heartbeat) { b.Service = "other" },
		"address": func(b *Heartbeat) { b.Address = "127.0.0.1:10" },
		"slots":   func(b *Heartbeat) { b.Slots = 0 },
		"id":      func(b *Heartbeat) { b.ID = "" },
		// An id that no header can carry, so that each request to the upstream would fail.
		"id with a line feed": func(b *Heartbeat) { b.ID = "i\n1" },
		"id too long":         func(b *Heartbeat) { b.ID = strings.Repeat("i", 129) },
		// Values that no upstream has. A node that believed one would take all later heartbeats for late ones, or publish
		// a membership entry that other nodes refuse.
		"too many slots":         func(b *Heartbeat) { b.Slots = 4_000_000_000 },
		"start in the future":    func(b *Heartbeat) { b.Incarnation = math.MaxUint64 },
		"start in two days":      func(b *Heartbeat) { b.Incarnation = uint64(2 * 24 * 60 * timekeeper.Minute) },
		"sequence out of range":  func(b *Heartbeat) { b.Sequence = math.MaxUint64 },
		"sequence not exact":     func(b *Heartbeat) { b.Sequence = 1<<53 + 1 },
		"sequence of this start": func(b *Heartbeat) { b.Incarnation, b.Sequence = 1, math.MaxUint64 },
	} {
		forged := heartbeat(9, 9)
		change(&forged)
		if code := classifier.CodeOf(r.Heartbeat(forged)); code != classifier.CodeBadRequest {
			t.Errorf("%s: code %d", name, code)
		}
	}
	if diff := cmp.Diff(before, r.Current()); diff != "" {
		t.Errorf("state differs (-want +got):\n%s", diff)
	}
}

// Guards against requests to an upstream that stopped its heartbeats, and against one that stays down when they resume.
func TestMissedHeartbeats(t *testing.T) {
	r, clock := newRegistrar()
	if err := r.Heartbeat(heartbeat(1, 1)); err != nil {
		t.Fatal(err)
	}
	clock.Advance(missedHeartbeats * 1500)
	r.ExpireStale()
	if !r.Alive() {
		t.Fatal("down while heartbeats may still arrive")
	}
	clock.Advance(1)
	r.ExpireStale()
	if r.Alive() {
		t.Fatal("still ready after missing its heartbeats")
	}
	if err := r.Heartbeat(heartbeat(1, 2)); err != nil || !r.Alive() {
		t.Errorf("not ready after a heartbeat, error %v", err)
	}
}

// Guards against an end of the upstream that is not counted: the count identifies requests that crash the upstream.
func TestCheckCountsAnEnd(t *testing.T) {
	r, _ := newRegistrar() // nothing listens on the address
	if err := r.Heartbeat(heartbeat(1, 1)); err != nil {
		t.Fatal(err)
	}
	if r.Check(t.Context()) || r.Alive() || r.Restarts() != 1 {
		t.Errorf("alive %v after %d ends", r.Alive(), r.Restarts())
	}
	if r.Check(t.Context()); r.Restarts() != 1 {
		t.Errorf("one end counted as %d", r.Restarts())
	}
}

// Guards against an upstream that deregistered with the previous process of the node and becomes ready because of a
// late heartbeat, and against one that gets no requests because its health check is wrong or does not respond.
func TestFirstHeartbeatIsVerified(t *testing.T) {
	for name, c := range map[string]struct {
		health     Health
		failure    error
		heartbeats int
		want       bool
		wantChecks int
	}{
		"healthy":          {Health{ID: "i-1", Ready: true}, nil, 1, true, 1},
		"leaving":          {Health{ID: "i-1"}, nil, 1, false, 1},
		"another upstream": {Health{ID: "i-2", Ready: true}, nil, 2, false, 2},
		"no response":      {Health{}, errors.New("busy"), 1, false, healthAttempts},
		"wrong at first":   {Health{ID: "i-1"}, nil, verifyingHeartbeats, true, verifyingHeartbeats - 1},
	} {
		r, clock := newRegistrar()
		checks := 0
		r.options.Health = func(context.Context) (Health, error) {
			checks++
			return c.health, c.failure
		}
		for sequence := range c.heartbeats {
			if err := r.Heartbeat(heartbeat(1, uint64(sequence)+7)); err != nil {
				t.Fatal(err)
			}
			if c.heartbeats == 1 && r.Alive() {
				t.Errorf("%s: ready without verification", name)
			}
			for range 2 * healthAttempts {
				r.Verify(t.Context())
				clock.Advance(healthInterval)
			}
		}
		if r.Alive() != c.want || checks != c.wantChecks {
			t.Errorf("%s: ready %v after %d health checks", name, r.Alive(), checks)
		}
	}
}

// Guards against a delay after a restart of the upstream during the life of the node's process.
func TestRestartedUpstreamIsNotVerified(t *testing.T) {
	r, _ := newRegistrar()
	r.options.Health = func(context.Context) (Health, error) { return Health{}, errors.New("busy") }
	for _, b := range []Heartbeat{heartbeat(1, 1), heartbeat(2, 1)} {
		if err := r.Heartbeat(b); err != nil {
			t.Fatal(err)
		}
	}
	if !r.Alive() {
		t.Error("not ready")
	}
}

// Guards against a state that each heartbeat changes and that is therefore sent to all nodes each time.
func TestHeartbeatsKeepTheState(t *testing.T) {
	r, clock := newRegistrar()
	starts := make(map[timekeeper.Millis]bool)
	for i, cold := range []timekeeper.Millis{3000, 1500, 0, 0, 0} {
		b := heartbeat(1, uint64(i)+1)
		b.ColdStart = cold
		if err := r.Heartbeat(b); err != nil {
			t.Fatal(err)
		}
		starts[r.Current().ColdStartEnd] = true
		clock.Advance(1500 + timekeeper.Millis(i))
	}
	if len(starts) != 1 {
		t.Errorf("starts %v", starts)
	}
	b := heartbeat(2, 1)
	b.ColdStart = 3000
	if err := r.Heartbeat(b); err != nil || starts[r.Current().ColdStartEnd] {
		t.Errorf("the next process has the start time of the previous one; error %v", err)
	}
}

// Guards against an upstream that becomes ready because of a late heartbeat after its deregistration, which was the
// first message to a new process of the node and lacked the incarnation. A restart under the same id becomes ready.
func TestDeregistrationBeforeAnyHeartbeat(t *testing.T) {
	for _, left := range []bool{true, false} {
		r, clock := newRegistrar()
		r.options.Health = func(context.Context) (Health, error) { return Health{ID: "i-1", Ready: !left}, nil }
		_ = r.Deregister(Deregistration{ID: "i-1"})
		if err := r.Heartbeat(heartbeat(1, 7)); err != nil {
			t.Fatal(err)
		}
		if r.Alive() {
			t.Errorf("left %v: ready without verification", left)
		}
		clock.Advance(healthInterval)
		r.Verify(t.Context())
		if r.Alive() == left {
			t.Errorf("left %v: ready %v", left, r.Alive())
		}
	}
}

// Guards against a limit that stays in force although the upstream has withdrawn it: at a low limit no request is
// allowed for so long that no response shows the end of the limit.
func TestLimitIsAskedAgain(t *testing.T) {
	for name, c := range map[string]struct {
		health  Health
		failure error
		want    admitter.Limit
	}{
		"ended":            {Health{ID: "i-1", Ready: true}, nil, admitter.Limit{}},
		"higher":           {Health{ID: "i-1", Ready: true, Limit: limit(9)}, nil, limit(9)},
		"shed":             {Health{Limit: limit(3)}, errors.New("shed"), limit(3)},
		"no response":      {Health{}, errors.New("timeout"), limit(0)},
		"another upstream": {Health{ID: "i-2", Ready: true}, nil, limit(0)},
	} {
		r, clock := newRegistrar()
		checks := 0
		r.options.Health = func(context.Context) (Health, error) {
			checks++
			return c.health, c.failure
		}
		for sequence := range verifyingHeartbeats {
			if err := r.Heartbeat(heartbeat(1, uint64(sequence)+1)); err != nil {
				t.Fatal(err)
			}
		}
		r.ObserveLimit("i-1", limit(0), clock.Clock().Now())
		clock.Advance(limitTimeout - 1)
		if r.Verify(t.Context()); checks != 0 {
			t.Errorf("%s: health check although a response is recent", name)
		}
		clock.Advance(1)
		r.Verify(t.Context())
		r.Verify(t.Context())
		if diff := cmp.Diff(c.want, r.Current().Limit); diff != "" || checks != 1 || !r.Alive() {
			t.Errorf("%s: ready %v after %d checks, limit differs (-want +got):\n%s", name, r.Alive(), checks, diff)
		}
	}
}

func limit(rate float64) admitter.Limit {
	return admitter.Limit{Stated: true, Rate: rate}
}

// Guards against a limit that ends, and starts all that waits, with a response which the upstream made before the limit
// began: responses may arrive in another order than they were made.
func TestLimitOutlivesEarlierResponses(t *testing.T) {
	r, clock := newRegistrar()
	if err := r.Heartbeat(heartbeat(1, 1)); err != nil {
		t.Fatal(err)
	}
	begin := clock.Clock().Now()
	steps := []struct {
		name  string
		after timekeeper.Millis // from the begin to the request
		limit admitter.Limit    // in the response, which comes at once
		want  admitter.Limit
	}{
		{"the limit begins", 10, limit(9), limit(9)},
		{"a response made before", 5, admitter.Limit{}, limit(9)},
		{"a lower limit", 8, limit(4), limit(4)},
		{"a response made before both", 0, admitter.Limit{}, limit(4)},
		{"a higher limit", 12, limit(7), limit(7)},
		{"the limit ends", 20, admitter.Limit{}, admitter.Limit{}},
		{"a response made before the end", 15, limit(7), limit(7)},
		{"the next response", 75, admitter.Limit{}, admitter.Limit{}},
	}
	for _, step := range steps {
		clock.Advance(10)
		r.ObserveLimit("i-1", step.limit, begin+step.after)
		if diff := cmp.Diff(step.want, r.Current().Limit); diff != "" {
			t.Errorf("%s: limit differs (-want +got):\n%s", step.name, diff)
		}
	}
}

// Guards against a limit of one process of the upstream that is applied to the next one.
func TestLimitEndsWithTheProcess(t *testing.T) {
	r, clock := newRegistrar()
	if err := r.Heartbeat(heartbeat(1, 1)); err != nil {
		t.Fatal(err)
	}
	r.ObserveLimit("i-0", limit(9), clock.Clock().Now())
	if r.Current().Responded || r.Current().Limit.Stated {
		t.Error("a response of another process counts")
	}
	r.ObserveLimit("i-1", limit(9), clock.Clock().Now())
	if err := r.Heartbeat(heartbeat(2, 1)); err != nil {
		t.Fatal(err)
	}
	if got := r.Current(); got.Responded || got.Limit.Stated {
		t.Errorf("the next process has the limit %+v", got.Limit)
	}
}
