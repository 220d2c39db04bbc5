package admitter

import (
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Machine is the admission state machine of one upstream. It does no I/O and is not safe for concurrent use.
type Machine struct {
	slots       int
	running     int
	queued      int
	rankLimit   int // maximum number of waiting requests per rank
	minShare    int // percentage of the service time that is guaranteed to every rank
	closed      bool
	pacer       pacer
	ranks       [1 + 2*Ranks]rank // nested calls, then the others by order, then late ones by order
	starts      window            // started requests
	served      window            // service time of finished requests, ms
	serviceTime float64           // moving average over all requests, ms
	actions     []Action

	// Tests set these to switch off single mechanisms.
	noRanks, noShares, noFairQueueing, noWaitEstimate, noPhaseChecks, alwaysFloodLimit bool
}

// NewMachine returns a machine with free slots and queues of at most rankLimit waiting requests per rank.
func NewMachine(slots, rankLimit int) *Machine {
	return &Machine{slots: slots, rankLimit: rankLimit}
}

// Step handles an event at the time now. The returned actions are valid until the next call.
func (m *Machine) Step(now timekeeper.Millis, event Event) []Action {
	clear(m.actions)
	m.actions = m.actions[:0]
	switch e := event.(type) {
	case Arrive:
		m.arrive(now, e.Ticket)
	case Finish:
		m.finish(now, e.Ticket)
	case Cancel:
		m.cancel(e.Ticket)
	case Expire:
		m.expire(now)
	case Resize:
		m.slots = max(e.Slots, 0)
	case Restrict:
		m.pacer.set(now, e.Limit)
	case Close:
		m.closed = true
	case Expel:
		m.expel()
	}
	m.dispatch(now)
	return m.actions
}

// Load returns the current load.
func (m *Machine) Load() Load {
	return Load{Running: m.running, Queued: m.queued, Slots: m.slots, Capacity: m.pacer.concurrency(m.serviceTime)}
}

func (m *Machine) rankOf(t *Ticket) *rank {
	if m.noRanks || t.Nested {
		return &m.ranks[0]
	}
	order := min(max(t.Order, 0), Ranks-1)
	if t.Late {
		order += Ranks
	}
	return &m.ranks[1+order]
}

func (m *Machine) arrive(now timekeeper.Millis, t *Ticket) {
	if t.phase != phaseNew {
		return
	}
	if m.closed {
		m.refuse(t, classifier.CodeDraining, 0)
		return
	}
	if t.Deadline <= now {
		m.refuse(t, classifier.CodeDeadlinePassed, 0)
		return
	}
	r := m.rankOf(t)
	if !t.Late {
		r.share = max(t.Share, m.minShare)
	}
	if m.noFairQueueing {
		t.flow = r.findOrCreate("", "all")
	} else {
		t.flow = r.findOrCreate(t.Account, "call "+t.Call)
	}
	if m.queued == 0 && m.mayStart(now) {
		m.start(now, t)
		return
	}
	if lateness := m.expectedLateness(now, t); lateness > 0 && !m.noWaitEstimate {
		m.refuse(t, classifier.CodeOverload, lateness)
		return
	}
	if r.queued >= m.rankLimit && !m.evictFor(now, r, t) {
		m.refuse(t, classifier.CodeOverload, m.estimateWait(now, t))
		return
	}
	t.phase = phaseWaiting
	m.queued++
	if r.queued == 0 {
		r.nonEmptySince = now
	}
	r.push(t)
}

// expectedLateness returns by how many ms the request is expected to miss its deadline or its target, or 0. An answer
// after the target is useless to the caller, and a queue longer than the target would make all later answers of the
// rank late as well.
func (m *Machine) expectedLateness(now timekeeper.Millis, t *Ticket) timekeeper.Millis {
	wait := m.estimateWait(now, t)
	lateness := now + wait + timekeeper.Millis(t.flow.serviceTime) - t.Deadline
	if t.Target > 0 {
		lateness = max(lateness, wait-m.waitLimit(now, t))
	}
	return max(lateness, 0)
}

// lateWaitDivisor divides the target of a late request to give its wait limit. The limit is short because a late
// request has already missed its target and should only use slots that are about to become free.
const lateWaitDivisor = 8

// waitLimit returns the estimated wait up to which a request with a target is queued, in ms. Under a flood of requests
// the queue stays at this limit, and both the estimate and the service time vary: with the target itself as limit, four
// of five started answers were late at 10 times capacity. A short queue at ordinary load may use the whole target.
func (m *Machine) waitLimit(now timekeeper.Millis, t *Ticket) timekeeper.Millis {
	if t.Late {
		return t.Target / lateWaitDivisor
	}
	service := timekeeper.Millis(t.flow.serviceTime)
	r := m.rankOf(t)
	if m.alwaysFloodLimit || r.queued > 0 && now-r.nonEmptySince > t.Target {
		return max(t.Target/2-service, t.Target/4)
	}
	return max(t.Target-service, t.Target/2)
}

// evictFor makes room for t in a full rank: it refuses the last request of the longest flow and returns true, if that
// flow is longer than the flow of t would be with t.
func (m *Machine) evictFor(now timekeeper.Millis, r *rank, t *Ticket) bool {
	evicted := r.evictionCandidate()
	if evicted == nil || evicted.flow == t.flow || evicted.flow.queued <= t.flow.queued+1 {
		return false
	}
	r.remove(evicted)
	m.queued--
	m.refuse(evicted, classifier.CodeOverload, m.estimateWait(now, evicted))
	return true
}

func (m *Machine) finish(now timekeeper.Millis, t *Ticket) {
	if t.flow == nil || t.phase != phaseRunning && !m.noPhaseChecks {
		return
	}
	t.phase = phaseDone
	m.running--
	elapsed := max(now-t.started, 0)
	t.flow.observe(elapsed)
	m.rankOf(t).observe(elapsed)
	cost := max(int(elapsed), 1)
	m.served.add(now, cost)
	m.rankOf(t).served.add(now, cost)
	if m.serviceTime == 0 {
		m.serviceTime = float64(elapsed)
	}
	m.serviceTime += (float64(elapsed) - m.serviceTime) * serviceWeight
}

func (m *Machine) cancel(t *Ticket) {
	switch t.phase {
	case phaseWaiting:
		m.rankOf(t).remove(t)
		m.queued--
	case phaseRunning:
		m.running--
	case phaseDone:
		return
	}
	t.phase = phaseDone
}

func (m *Machine) expire(now timekeeper.Millis) {
	for i := range m.ranks {
		r := &m.ranks[i]
		for _, f := range r.flows {
			for len(f.tickets) > 0 && f.tickets[0].Deadline <= now {
				m.refuseExpired(r, f.tickets[0])
			}
		}
	}
}

// expel refuses all waiting requests.
func (m *Machine) expel() {
	for i := range m.ranks {
		for r := &m.ranks[i]; r.queued > 0; m.queued-- {
			m.refuse(r.pop(), classifier.CodeDraining, 0)
		}
	}
}

func (m *Machine) refuseExpired(r *rank, t *Ticket) {
	r.remove(t)
	m.queued--
	m.refuse(t, classifier.CodeDeadlinePassed, 0)
}

// mayStart reports whether a slot is free and the limit of the upstream allows another start.
func (m *Machine) mayStart(now timekeeper.Millis) bool {
	return m.running < m.slots && m.pacer.ready(now)
}

// untilWake returns the time in ms after which the limit of the upstream allows a waiting request to start; 0 if none
// waits for that. The machine then needs a Wake.
func (m *Machine) untilWake(now timekeeper.Millis) timekeeper.Millis {
	if m.queued == 0 || m.running >= m.slots || m.pacer.ready(now) {
		return 0
	}
	return m.pacer.untilReady(now)
}

// dispatch assigns free slots to waiting requests. A request that would probably not end before its deadline is
// refused: it would waste a slot, and its outcome would be unknown to the caller.
func (m *Machine) dispatch(now timekeeper.Millis) {
	for m.queued > 0 && m.mayStart(now) {
		t := m.nextRank(now).pop()
		m.queued--
		if now+t.flow.minRemaining() >= t.Deadline {
			m.refuse(t, classifier.CodeDeadlinePassed, 0)
			continue
		}
		m.start(now, t)
	}
}

// nextRank returns the rank to serve, out of those with waiting requests: the first that got less than its share of the
// service time of the last second, or else the first. At least one request must be waiting.
func (m *Machine) nextRank(now timekeeper.Millis) *rank {
	var first *rank
	total := m.served.sum(now)
	for i := range m.ranks {
		r := &m.ranks[i]
		if r.queued == 0 {
			continue
		}
		if !m.noShares && r.served.sum(now)*100 < r.share*total {
			return r
		}
		if first == nil {
			first = r
		}
	}
	return first
}

func (m *Machine) start(now timekeeper.Millis, t *Ticket) {
	t.phase = phaseRunning
	t.started = now
	m.running++
	m.pacer.take(now)
	m.starts.add(now, 1)
	m.rankOf(t).starts.add(now, 1)
	m.actions = append(m.actions, Start{t})
}

func (m *Machine) refuse(t *Ticket, code classifier.Code, retry timekeeper.Millis) {
	t.phase = phaseDone
	m.actions = append(m.actions, Refuse{t, code, retry})
}
