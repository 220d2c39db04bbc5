package tracker

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// maxInFlight limits the messages that one node has in flight. A message beyond the limit fails at once.
const maxInFlight = 128

// Tracker maintains the membership table of one node: it runs the state machine and sends its messages.
type Tracker struct {
	options    Options
	name, zone string
	table      *table
	mutex      sync.Mutex // guards machine, ctx and closed
	machine    *machine
	ctx        context.Context //nolint:containedctx // context of Run; cancels the messages
	closed     bool
	goroutines sync.WaitGroup
	inFlight   chan struct{}
}

// NewTracker returns a tracker whose table holds only its own node. It sends messages only while Run is active.
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
		inFlight: make(chan struct{}, maxInFlight),
	}
}

// Run drives the tracker until ctx is done and all messages in flight have ended. It returns nil.
func (t *Tracker) Run(ctx context.Context) error {
	t.mutex.Lock()
	t.ctx = ctx
	t.mutex.Unlock()
	ticker := time.NewTicker(tickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.step(tick{})
		case <-ctx.Done():
			t.mutex.Lock()
			t.closed = true
			t.mutex.Unlock()
			t.goroutines.Wait()
			return nil
		}
	}
}

// SetSelf changes the node's own entry. Name, Zone, Incarnation, Sequence and Health cannot be changed.
func (t *Tracker) SetSelf(change func(*Member)) {
	t.step(selfChanged{change: change})
}

// Observe raises Known of members that reported their version by other means than a ping. The map is keyed by name.
func (t *Tracker) Observe(known map[string]uint64) {
	t.step(versionsObserved{known: known})
}

// Self returns the node's own entry.
func (t *Tracker) Self() Member {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.machine.self
}

// Join adds addresses of nodes through which to join the mesh. They are tried until one replies, and afterwards as long
// as they belong to no live member.
func (t *Tracker) Join(addresses []string) {
	t.step(joinRequested{addresses: addresses})
}

// Joined reports whether another node has replied, or no address of another node is configured.
func (t *Tracker) Joined() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.machine.joined || len(t.machine.otherSeeds()) == 0
}

// Leave announces that the node has left and waits until the announcement is sent or ctx ends.
func (t *Tracker) Leave(ctx context.Context) {
	t.mutex.Lock()
	actions := t.machine.Step(t.options.Clock.Now(), leaveRequested{})
	sent := make(chan struct{}, len(actions))
	pending := 0
	for _, action := range actions {
		if t.startMessage(action, func() { sent <- struct{}{} }) {
			pending++
		}
	}
	t.mutex.Unlock()
	for range pending {
		select {
		case <-sent:
		case <-ctx.Done():
			return
		}
	}
}

// Receiver returns the receiver of the RPC methods that other nodes call.
func (t *Tracker) Receiver() any {
	return &Receiver{tracker: t}
}

// step passes one event to the machine, starts the resulting messages and returns the response, if any.
func (t *Tracker) step(e Event) response {
	t.mutex.Lock()
	if t.options.Versions != nil {
		known, active := t.options.Versions()
		t.machine.setVersions(t.options.Clock.Now(), known, active)
	}
	actions := t.machine.Step(t.options.Clock.Now(), e)
	var reply response
	var reports []reportVersion
	for _, action := range actions {
		switch a := action.(type) {
		case response:
			reply = a
		case reportVersion:
			reports = append(reports, a)
		default:
			t.startMessage(action, func() {})
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

// startMessage sends the message of an action in a new goroutine, which calls done at its end. It does nothing
// before and after Run, and reports whether it started the goroutine. The caller holds the mutex.
func (t *Tracker) startMessage(action Action, done func()) bool {
	if t.ctx == nil || t.closed {
		return false
	}
	ctx := t.ctx
	select {
	case t.inFlight <- struct{}{}:
	default:
		t.goroutines.Go(func() {
			defer done()
			t.reportFailure(action)
		})
		return true
	}
	t.goroutines.Go(func() {
		defer done()
		defer func() { <-t.inFlight }()
		t.sendMessage(ctx, action)
	})
	return true
}

// sendMessage sends one message and passes its result to the machine.
func (t *Tracker) sendMessage(ctx context.Context, action Action) {
	call := t.options.Caller.Call
	switch a := action.(type) {
	case sendPing:
		var pong Pong
		if err := call(ctx, a.address, "Tracker.Ping", &a.ping, &pong, a.timeout); err != nil {
			t.reportFailure(action)
			return
		}
		t.step(pongReceived{probe: a.probe, pong: pong})
	case sendIndirectPing:
		var pong Pong
		if err := call(ctx, a.address, "Tracker.Relay", &a.request, &pong, a.timeout); err != nil {
			t.reportFailure(action)
			return
		}
		t.step(pongReceived{probe: a.probe, pong: pong})
	case sendExchange:
		var reply ExchangeReply
		if err := call(ctx, a.address, "Tracker.Exchange", &a.exchange, &reply, a.timeout); err != nil {
			t.reportFailure(action)
			return
		}
		if a.exchange.Zone != "" {
			t.step(exchangeCompleted{zone: a.exchange.Zone, address: a.address, reply: reply})
		}
	}
}

// reportFailure notifies the machine that a message got no reply.
func (t *Tracker) reportFailure(action Action) {
	switch a := action.(type) {
	case sendPing:
		t.step(pingFailed{probe: a.probe})
	case sendIndirectPing:
		t.step(pingFailed{probe: a.probe})
	case sendExchange:
		if a.exchange.Zone != "" {
			t.step(exchangeFailed{zone: a.exchange.Zone})
		}
	}
}

// setVersions updates the node's own configuration versions.
func (m *machine) setVersions(now timekeeper.Millis, known, active uint64) {
	m.active = active
	if known > m.self.Known {
		m.self.Known = known
		m.table.set(m.self, now)
	}
}
