package tracker

import (
	"math/rand/v2"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Times of the failure detection. A dead member waits up to about 2 s for a ping, is suspected 1.6 s after that one
// (both timeouts) and fails 3 s later.
const (
	tickSpan        = 100 * timekeeper.Millis(1)
	probeSpan       = timekeeper.Second     // between two pings of members, and of other data centres
	pingTimeout     = 500                   // of one ping, in ms
	indirectTimeout = 2*pingTimeout + 100   // the intermediary waits for its own ping
	suspicionSpan   = 3 * timekeeper.Second // from suspect to failed
	retrySpan       = 2 * timekeeper.Second // between two pings of dead members or unknown addresses
	exchangeTimeout = 2 * timekeeper.Second
	indirectCount   = 2
	// pauseSpan is the gap between ticks after which the node takes itself to have been paused. Timeouts that ran
	// out during the gap say nothing about other members.
	pauseSpan = 2 * timekeeper.Second
)

// switches turn mechanisms off. Only tests set them, to show that a property depends on its mechanism.
type switches struct {
	order, refutation, exchange, pause, retry bool
}

// machine is the membership state machine. It has no I/O; the caller serializes Step.
type machine struct {
	self          Member
	active        uint64 // version in force at this node
	table         *table
	random        *rand.Rand
	off           switches
	probes        map[uint64]*probe
	nextProbe     uint64
	order         []string // members still to be pinged in this round
	exchanging    map[string]timekeeper.Millis
	unreachable   map[string]bool // data centres whose last ping failed
	seeds         []string
	joined        bool
	backoff       timekeeper.Millis
	news          []string // names whose entries are still to be pushed
	queued        map[string]bool
	lastTick      timekeeper.Millis
	probeAt       timekeeper.Millis
	retryAt       timekeeper.Millis
	joinAt        timekeeper.Millis
	pushAt        timekeeper.Millis
	refutations   uint64
	pendingAction []Action
}

func newMachine(now timekeeper.Millis, self Member, seed uint64) *machine {
	self.Incarnation, self.Sequence, self.Health = uint64(now), 1, HealthAlive
	m := &machine{
		self: self, table: newTable(), random: rand.New(rand.NewPCG(seed, hashName(self.Name))),
		probes: make(map[uint64]*probe), exchanging: make(map[string]timekeeper.Millis),
		unreachable: make(map[string]bool), queued: make(map[string]bool), lastTick: now,
	}
	// Nodes that start together spread their pings over the second.
	m.probeAt = now + timekeeper.Millis(m.random.Int64N(int64(probeSpan)))
	m.retryAt = now + retrySpan
	m.table.set(m.self, now)
	m.table.publish()
	return m
}

// Step applies one event at the given time and returns what is to be done.
func (m *machine) Step(now timekeeper.Millis, e Event) []Action {
	switch e := e.(type) {
	case tick:
		m.tick(now)
	case pingReceived:
		m.receivePing(now, &e.ping)
	case exchangeReceived:
		m.receiveExchange(now, &e.exchange)
	case indirectReceived:
		m.receiveIndirect(&e.indirect)
	case pingAnswered:
		m.endProbe(now, e.probe, &e.pong)
	case pingFailed:
		m.endProbe(now, e.probe, nil)
	case exchangeAnswered:
		m.endExchange(now, e)
	case exchangeFailed:
		delete(m.exchanging, e.zone)
	case selfChanged:
		m.changeSelf(now, e.change)
	case observed:
		m.observe(e.known)
	case joinAsked:
		m.seeds = append(m.seeds, e.addresses...)
	case leaveAsked:
		m.leave(now)
	}
	m.push(now)
	m.table.publish()
	actions := m.pendingAction
	m.pendingAction = nil
	return actions
}

func (m *machine) do(a Action) {
	m.pendingAction = append(m.pendingAction, a)
}

func (m *machine) tick(now timekeeper.Millis) {
	if gap := now - m.lastTick; gap > pauseSpan && !m.off.pause {
		clear(m.probes)
		clear(m.exchanging)
		for name := range m.table.suspects {
			m.table.find(name).since += gap
		}
	}
	m.lastTick = now
	if m.self.Health == HealthLeft {
		return
	}
	m.join(now)
	m.judge(now)
	if now >= m.probeAt {
		m.probeAt = max(m.probeAt+probeSpan, now+probeSpan/2)
		m.probeNext(now)
		m.probeZone(now)
		m.table.expire(now)
	}
	if now >= m.retryAt {
		m.retryAt = now + retrySpan
		m.retry(now)
	}
}

// judge turns suspects into failed members once their time to refute is over.
func (m *machine) judge(now timekeeper.Millis) {
	for name := range m.table.suspects {
		r := m.table.find(name)
		if r.member.Zone == m.self.Zone && now-r.since >= suspicionSpan {
			failed := r.member
			failed.Health = HealthFailed
			m.table.set(failed, now)
			m.announce(name)
		}
	}
}

// changeSelf applies a change to the node's own entry. A change of Known alone raises no sequence: it travels with
// the pings, because one push per node and version would be most of the traffic.
func (m *machine) changeSelf(now timekeeper.Millis, change func(*Member)) {
	next := m.self
	change(&next)
	next.Name, next.Zone, next.Health = m.self.Name, m.self.Zone, m.self.Health
	next.Incarnation, next.Sequence = m.self.Incarnation, m.self.Sequence
	if next == m.self {
		return
	}
	onlyKnown := m.self
	onlyKnown.Known = next.Known
	if next == onlyKnown {
		m.self = next
		m.table.set(m.self, now)
		return
	}
	m.self = next
	m.raise(now)
}

// raise gives the own entry a higher sequence and pushes it.
func (m *machine) raise(now timekeeper.Millis) {
	m.self.Sequence++
	m.table.set(m.self, now)
	m.announce(m.self.Name)
}

// leave marks the own entry as left and tells more members than a push does, because no later ping will.
func (m *machine) leave(now timekeeper.Millis) {
	if m.self.Health == HealthLeft {
		return
	}
	m.self.Health = HealthLeft
	m.raise(now)
	m.pushAt = now
}
