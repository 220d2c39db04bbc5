package admitter

import (
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Machine is the admission state machine of one upstream. It does no I/O and serves one goroutine at a time.
type Machine struct {
	slots   int
	running int
	queued  int
	limit   int // waiting work per rank
	share   int // percentage of the service time that each rank keeps at least
	closed  bool
	ranks   [2 * Ranks]rank // those of late work come behind the others
	starts  window
	spent   window
	service float64 // average service time over all work, ms
	actions []Action

	// Switches of mechanisms, set by tests only.
	noRanks, noShares, noTurns, noEstimate, noPhases, alwaysStrict bool
}

// NewMachine returns a machine with free slots and, per rank, room for limit waiting pieces of work.
func NewMachine(slots, limit int) *Machine {
	return &Machine{slots: slots, limit: limit}
}

// Step handles an event at a point in time. The actions are valid until the next step.
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
	case Close:
		m.closed = true
	}
	m.dispatch(now)
	return m.actions
}

// Load returns the current figures.
func (m *Machine) Load() Load {
	return Load{Running: m.running, Queued: m.queued, Slots: m.slots}
}

func (m *Machine) rank(t *Ticket) *rank {
	if m.noRanks {
		return &m.ranks[0]
	}
	order := min(max(t.Order, 0), Ranks-1)
	if t.Late {
		order += Ranks
	}
	return &m.ranks[order]
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
	r := m.rank(t)
	if !t.Late {
		r.share = max(t.Share, m.share)
	}
	if m.noTurns {
		t.flow = r.find("", "all")
	} else {
		t.flow = r.find(t.Account, "call "+t.Call)
	}
	if m.running < m.slots && m.queued == 0 {
		m.start(now, t)
		return
	}
	if late := m.lateness(now, t); late > 0 && !m.noEstimate {
		m.refuse(t, classifier.CodeOverload, late)
		return
	}
	if r.queued >= m.limit && !m.makeRoom(now, r, t) {
		m.refuse(t, classifier.CodeOverload, m.wait(now, t))
		return
	}
	t.phase = phaseWaiting
	m.queued++
	if r.queued == 0 {
		r.since = now
	}
	r.push(t)
}

// lateness returns by how many ms the work is expected to miss its deadline or its target, or 0. An answer after the
// target has lost its worth, and queueing beyond it would make all later answers of the rank late as well.
func (m *Machine) lateness(now timekeeper.Millis, t *Ticket) timekeeper.Millis {
	wait := m.wait(now, t)
	late := now + wait + timekeeper.Millis(t.flow.service) - t.Deadline
	if t.Target > 0 {
		late = max(late, wait-m.patience(now, t))
	}
	return max(late, 0)
}

// latePatience is the part of its target, as a divisor, that late work waits. It has missed its target already, so it
// only takes slots that are about to be free.
const latePatience = 8

// patience is the estimated wait up to which work with a target is queued. In a flood the queue stays at this limit,
// and both the estimate and the service time vary: a limit at the target itself made four of five started answers late
// at 10 times capacity. A short queue at ordinary load is given the whole target.
func (m *Machine) patience(now timekeeper.Millis, t *Ticket) timekeeper.Millis {
	if t.Late {
		return t.Target / latePatience
	}
	service := timekeeper.Millis(t.flow.service)
	r := m.rank(t)
	if m.alwaysStrict || r.queued > 0 && now-r.since > t.Target {
		return max(t.Target/2-service, t.Target/4)
	}
	return max(t.Target-service, t.Target/2)
}

// makeRoom refuses the last work of the longest flow of a full rank if that flow is longer than the one of t.
func (m *Machine) makeRoom(now timekeeper.Millis, r *rank, t *Ticket) bool {
	last := r.longest()
	if last == nil || last.flow == t.flow || last.flow.queued <= t.flow.queued+1 {
		return false
	}
	r.remove(last)
	m.queued--
	m.refuse(last, classifier.CodeOverload, m.wait(now, last))
	return true
}

func (m *Machine) finish(now timekeeper.Millis, t *Ticket) {
	if t.flow == nil || t.phase != phaseRunning && !m.noPhases {
		return
	}
	t.phase = phaseDone
	m.running--
	span := max(now-t.started, 0)
	t.flow.sample(span)
	m.rank(t).sample(span)
	cost := max(int(span), 1)
	m.spent.add(now, cost)
	m.rank(t).spent.add(now, cost)
	if m.service == 0 {
		m.service = float64(span)
	}
	m.service += (float64(span) - m.service) * serviceWeight
}

func (m *Machine) cancel(t *Ticket) {
	switch t.phase {
	case phaseWaiting:
		m.rank(t).remove(t)
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
				m.drop(r, f.tickets[0])
			}
		}
	}
}

func (m *Machine) drop(r *rank, t *Ticket) {
	r.remove(t)
	m.queued--
	m.refuse(t, classifier.CodeDeadlinePassed, 0)
}

// dispatch gives free slots to waiting work. Work that has too little time left to end is refused instead: it would
// take a slot for nothing, and whether it ran would not be known.
func (m *Machine) dispatch(now timekeeper.Millis) {
	for m.running < m.slots && m.queued > 0 {
		t := m.choose(now).pop()
		m.queued--
		if now+t.flow.least() >= t.Deadline {
			m.refuse(t, classifier.CodeDeadlinePassed, 0)
			continue
		}
		m.start(now, t)
	}
}

// choose returns the rank that is served next. Some work must be waiting.
func (m *Machine) choose(now timekeeper.Millis) *rank {
	var first *rank
	total := m.spent.count(now)
	for i := range m.ranks {
		r := &m.ranks[i]
		if r.queued == 0 {
			continue
		}
		if !m.noShares && r.spent.count(now)*100 < r.share*total {
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
	m.starts.add(now, 1)
	m.rank(t).starts.add(now, 1)
	m.actions = append(m.actions, Start{t})
}

func (m *Machine) refuse(t *Ticket, code classifier.Code, retry timekeeper.Millis) {
	t.phase = phaseDone
	m.actions = append(m.actions, Refuse{t, code, retry})
}
