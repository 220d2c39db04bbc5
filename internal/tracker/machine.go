package tracker

import (
	"math/rand/v2"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Timing of the failure detection. A crashed member is pinged within about 2 s, becomes suspect 1.6 s after that ping
// (pingTimeout plus indirectTimeout) and failed 3 s later.
const (
	tickInterval     = 100 * timekeeper.Millis(1)
	probeInterval    = timekeeper.Second     // between pings of members, and of other data centres
	pingTimeout      = 500                   // of one ping, in ms
	indirectTimeout  = 2*pingTimeout + 100   // the intermediary waits for its own ping
	suspicionTimeout = 3 * timekeeper.Second // from suspect to failed
	// zoneSuspicionTimeout is how long no ping of another data centre must succeed before its members become suspect, and
	// how long they then remain suspect. A member can refute the suspicion through a data centre that still reaches it.
	zoneSuspicionTimeout = 10 * timekeeper.Second
	retryInterval        = 2 * timekeeper.Second // between pings of dead members or unknown addresses
	exchangeTimeout      = 2 * timekeeper.Second
	indirectCount        = 2 // intermediaries that ping a member whose direct ping failed
	// pauseThreshold is the gap between ticks above which the node considers its own process to have been paused.
	// Timeouts that expired during the gap are no evidence that other members failed.
	pauseThreshold = 2 * timekeeper.Second
)

// mechanisms are the mechanisms to disable. Only tests set them, to show that a property depends on its mechanism.
type mechanisms struct {
	order, refutation, exchange, pause, retry, zones bool
}

// machine is the membership state machine. It performs no I/O; the caller serializes calls of Step.
type machine struct {
	self             Member
	active           uint64 // configuration version active at this node
	table            *table
	random           *rand.Rand
	disabled         mechanisms
	probes           map[uint64]*probe
	nextProbe        uint64
	probeOrder       []string                     // names of members still to be pinged in this round
	exchanging       map[string]timekeeper.Millis // start of the exchange in flight for each data centre
	unreachableZones map[string]timekeeper.Millis // first failed ping of each data centre since the last successful one
	seeds            []string
	joined           bool
	backoff          timekeeper.Millis
	pushQueue        []string        // names whose entries are still to be pushed
	queued           map[string]bool // names in pushQueue
	lastTick         timekeeper.Millis
	probeAt          timekeeper.Millis
	retryAt          timekeeper.Millis
	joinAt           timekeeper.Millis
	pushAt           timekeeper.Millis
	refutations      uint64
	pendingActions   []Action
}

func newMachine(now timekeeper.Millis, self Member, seed uint64) *machine {
	self.Incarnation, self.Sequence, self.Health = uint64(now), 1, HealthAlive
	m := &machine{
		self: self, table: newTable(), random: rand.New(rand.NewPCG(seed, hashName(self.Name))),
		probes: make(map[uint64]*probe), exchanging: make(map[string]timekeeper.Millis),
		unreachableZones: make(map[string]timekeeper.Millis), queued: make(map[string]bool), lastTick: now,
	}
	// A random offset spreads the pings of nodes that start together.
	m.probeAt = now + timekeeper.Millis(m.random.Int64N(int64(probeInterval)))
	m.retryAt = now + retryInterval
	m.table.set(m.self, now)
	m.table.publish()
	return m
}

// Step applies one event at the given time and returns the actions to carry out.
func (m *machine) Step(now timekeeper.Millis, e Event) []Action {
	switch e := e.(type) {
	case tick:
		m.tick(now)
	case pingReceived:
		m.receivePing(now, &e.ping)
	case exchangeReceived:
		m.receiveExchange(now, &e.exchange)
	case indirectPingReceived:
		m.receiveIndirectPing(&e.request)
	case pongReceived:
		m.endProbe(now, e.probe, &e.pong)
	case pingFailed:
		m.endProbe(now, e.probe, nil)
	case exchangeCompleted:
		m.completeExchange(now, e)
	case exchangeFailed:
		delete(m.exchanging, e.zone)
	case selfChanged:
		m.changeSelf(now, e.change)
	case versionsObserved:
		m.observe(e.known)
	case joinRequested:
		m.addSeeds(e.addresses)
	case leaveRequested:
		m.leave(now)
	}
	m.push(now)
	m.table.publish()
	actions := m.pendingActions
	m.pendingActions = nil
	return actions
}

func (m *machine) emit(a Action) {
	m.pendingActions = append(m.pendingActions, a)
}

func (m *machine) tick(now timekeeper.Millis) {
	if gap := now - m.lastTick; gap > pauseThreshold && !m.disabled.pause {
		clear(m.probes)
		clear(m.exchanging)
		clear(m.unreachableZones)
		for name := range m.table.suspects {
			m.table.find(name).healthSince += gap
		}
	}
	m.lastTick = now
	if m.self.Health == HealthLeft {
		return
	}
	m.join(now)
	m.failExpiredSuspects(now)
	if now >= m.probeAt {
		m.probeAt = max(m.probeAt+probeInterval, now+probeInterval/2)
		m.probeNext(now)
		m.probeZone(now)
		m.table.expire(now)
	}
	if now >= m.retryAt {
		m.retryAt = now + retryInterval
		m.retryUnreachable(now)
	}
}

// failExpiredSuspects marks suspects as failed once their timeout has passed: those of the node's data centre, and
// those of a data centre that this node does not reach. Without the latter, the members of a data centre that fails as
// a whole would stay alive on all other nodes, because only its own members ping each other.
func (m *machine) failExpiredSuspects(now timekeeper.Millis) {
	for name := range m.table.suspects {
		r := m.table.find(name)
		timeout := suspicionTimeout
		if zone := r.member.Zone; zone != m.self.Zone {
			if _, unreachable := m.unreachableZones[zone]; !unreachable {
				continue
			}
			timeout = zoneSuspicionTimeout
		}
		if now-r.healthSince >= timeout {
			failed := r.member
			failed.Health = HealthFailed
			m.table.set(failed, now)
			m.queuePush(name)
		}
	}
}

// changeSelf applies a change to the node's own entry. A change of Known alone does not increment Sequence
// and is sent only with the pings, because one push per node and version would be most of the traffic.
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
	m.advanceSequence(now)
}

// advanceSequence increments the sequence of the node's own entry and queues the entry for a push.
func (m *machine) advanceSequence(now timekeeper.Millis) {
	m.self.Sequence++
	m.table.set(m.self, now)
	m.queuePush(m.self.Name)
}

// leave marks the node's own entry as left and pushes it at once. The push reaches more members than usual, because the
// node sends no later pings.
func (m *machine) leave(now timekeeper.Millis) {
	if m.self.Health == HealthLeft {
		return
	}
	m.self.Health = HealthLeft
	m.advanceSequence(now)
	m.pushAt = now
}
