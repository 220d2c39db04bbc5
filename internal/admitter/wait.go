package admitter

import "github.com/jasmineproxy/jasmineproxy/internal/timekeeper"

// wait estimates how long new work of t's flow waits for a slot.
func (m *Machine) wait(now timekeeper.Millis, t *Ticket) timekeeper.Millis {
	own := m.rank(t)
	slots := float64(max(m.slots, 1))
	count := float64(own.ahead(t.flow) + 1)
	before, reserved := m.others(own)
	direct := (before + count*own.service) / slots
	if before == 0 {
		return timekeeper.Millis(direct / max(1-float64(reserved)/100, 0.05))
	}
	// Ranks that go first may go on to have waiting work, so their queues alone say too little. The starts of the last
	// second tell the rank's real speed, and its share bounds the wait.
	wait := direct
	if started := own.starts.count(now); started > 0 {
		wait = max(wait, count*float64(timekeeper.Second)/float64(started))
	}
	if own.share > 0 && !m.noShares {
		guaranteed := count * own.service / slots * 100 / float64(own.share)
		if own.starts.total == 0 {
			return timekeeper.Millis(guaranteed)
		}
		wait = min(wait, guaranteed)
	}
	return timekeeper.Millis(wait)
}

// others returns the service time queued in the ranks that go first, and the shares of those below with waiting work.
func (m *Machine) others(own *rank) (before float64, reserved int) {
	passed := false
	for i := range m.ranks {
		r := &m.ranks[i]
		switch {
		case r == own:
			passed = true
		case !passed:
			before += float64(r.queued) * r.service
		case r.queued > 0 && !m.noShares:
			reserved += r.share
		}
	}
	return before, reserved
}
