package tracker

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// maxInFlight bounds the messages that one node has under way. A message over the bound counts as failed.
const maxInFlight = 128

// Tracker keeps the membership table of one node: it runs the state machine and carries its messages.
type Tracker struct {
	options    Options
	name, zone string
	table      *table
	mutex      sync.Mutex // guards machine, ctx and closed
	machine    *machine
	ctx        context.Context //nolint:containedctx // of Run; messages end with it
	closed     bool
	work       sync.WaitGroup
	slots      chan struct{}
}

// NewTracker returns a tracker that knows only its own node. Messages are carried from the call of Run on.
func NewTracker(options Options) *Tracker {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	now := options.Clock.Now()
	if options.Seed == 0 {
		options.Seed = uint64(now)
	}
	m := newMachine(now, options.Self, options.Seed)
	return &Tracker{
		options: options, name: options.Self.Name, zone: options.Self.Zone, table: m.table, machine: m,
		slots: make(chan struct{}, maxInFlight),
	}
}

// Run carries the tracker's messages until ctx ends and all of them have ended. It returns nil.
func (t *Tracker) Run(ctx context.Context) error {
	t.mutex.Lock()
	t.ctx = ctx
	t.mutex.Unlock()
	ticker := time.NewTicker(tickSpan.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.step(tick{})
		case <-ctx.Done():
			t.mutex.Lock()
			t.closed = true
			t.mutex.Unlock()
			t.work.Wait()
			return nil
		}
	}
}

// SetSelf changes the node's own entry. Name, Zone, Incarnation, Sequence and Health cannot be changed.
func (t *Tracker) SetSelf(change func(*Member)) {
	t.step(selfChanged{change: change})
}

// Observe raises Known of members that told this node their version in another way than by a ping.
func (t *Tracker) Observe(known map[string]uint64) {
	t.step(observed{known: known})
}

// Self returns the node's own entry.
func (t *Tracker) Self() Member {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.machine.self
}

// Join adds addresses through which to find the other nodes. They are tried until one answers, and later as long as
// they belong to no live member.
func (t *Tracker) Join(addresses []string) {
	t.step(joinAsked{addresses: addresses})
}

// Joined reports whether another node has answered, or there is no address of another node to ask.
func (t *Tracker) Joined() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.machine.joined || len(t.machine.others()) == 0
}

// Leave announces that the node has left and waits until the announcement is sent or ctx ends.
func (t *Tracker) Leave(ctx context.Context) {
	t.mutex.Lock()
	actions := t.machine.Step(t.options.Clock.Now(), leaveAsked{})
	sent := make(chan struct{}, len(actions))
	started := 0
	for _, action := range actions {
		if t.start(action, func() { sent <- struct{}{} }) {
			started++
		}
	}
	t.mutex.Unlock()
	for range started {
		select {
		case <-sent:
		case <-ctx.Done():
			return
		}
	}
}

// Receiver returns the methods that other nodes call.
func (t *Tracker) Receiver() any {
	return &Receiver{tracker: t}
}

// step feeds one event to the machine, starts its messages and returns its answer, if any.
func (t *Tracker) step(e Event) answer {
	t.mutex.Lock()
	if t.options.Versions != nil {
		known, active := t.options.Versions()
		t.machine.setVersions(t.options.Clock.Now(), known, active)
	}
	actions := t.machine.Step(t.options.Clock.Now(), e)
	var reply answer
	var reports []heard
	for _, action := range actions {
		switch a := action.(type) {
		case answer:
			reply = a
		case heard:
			reports = append(reports, a)
		default:
			t.start(action, func() {})
		}
	}
	t.mutex.Unlock()
	for _, report := range reports {
		if t.options.OnVersion != nil {
			t.options.OnVersion(report.member, report.active)
		}
	}
	return reply
}

// start carries out an action in its own goroutine, which calls done at its end, and reports whether it does so. It
// does not before and after Run. The caller holds the mutex.
func (t *Tracker) start(action Action, done func()) bool {
	if t.ctx == nil || t.closed {
		return false
	}
	ctx := t.ctx
	select {
	case t.slots <- struct{}{}:
	default:
		t.work.Go(func() {
			defer done()
			t.fail(action)
		})
		return true
	}
	t.work.Go(func() {
		defer done()
		defer func() { <-t.slots }()
		t.carry(ctx, action)
	})
	return true
}

// carry sends one message and feeds its end back.
func (t *Tracker) carry(ctx context.Context, action Action) {
	call := t.options.Caller.Call
	switch a := action.(type) {
	case sendPing:
		var pong Pong
		if err := call(ctx, a.address, "Tracker.Ping", &a.ping, &pong, a.timeout); err != nil {
			t.fail(action)
			return
		}
		t.step(pingAnswered{probe: a.probe, pong: pong})
	case sendIndirect:
		var pong Pong
		if err := call(ctx, a.address, "Tracker.Relay", &a.indirect, &pong, a.timeout); err != nil {
			t.fail(action)
			return
		}
		t.step(pingAnswered{probe: a.probe, pong: pong})
	case sendExchange:
		var reply Exchanged
		if err := call(ctx, a.address, "Tracker.Exchange", &a.exchange, &reply, a.timeout); err != nil {
			t.fail(action)
			return
		}
		if a.exchange.Zone != "" {
			t.step(exchangeAnswered{zone: a.exchange.Zone, address: a.address, reply: reply})
		}
	}
}

// fail tells the machine that a message got no answer.
func (t *Tracker) fail(action Action) {
	switch a := action.(type) {
	case sendPing:
		t.step(pingFailed{probe: a.probe})
	case sendIndirect:
		t.step(pingFailed{probe: a.probe})
	case sendExchange:
		if a.exchange.Zone != "" {
			t.step(exchangeFailed{zone: a.exchange.Zone})
		}
	}
}

// setVersions takes over the node's own configuration versions.
func (m *machine) setVersions(now timekeeper.Millis, known, active uint64) {
	m.active = active
	if known > m.self.Known {
		m.self.Known = known
		m.table.set(m.self, now)
	}
}
