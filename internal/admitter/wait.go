package admitter

import "github.com/jasmineproxy/jasmineproxy/internal/timekeeper"

// estimateWait estimates how long a new request of t's flow waits for a slot, in ms.
func (m *Machine) estimateWait(now timekeeper.Millis, t *Ticket) timekeeper.Millis {
	r := m.rankOf(t)
	slots := float64(max(m.slots, 1))
	count := float64(r.countAhead(t.flow) + 1)
	before, reserved := m.competingRanks(r)
	queueWait := (before + count*r.serviceTime) / slots
	if before == 0 {
		return timekeeper.Millis(queueWait / max(1-float64(reserved)/100, 0.05))
	}
	// More requests of the ranks that are served first may arrive, so the queue lengths alone underestimate the wait. The
	// starts of the last second give the rank's actual throughput, and its share bounds the wait.
	wait := queueWait
	if started := r.starts.sum(now); started > 0 {
		wait = max(wait, count*float64(timekeeper.Second)/float64(started))
	}
	if r.share > 0 && !m.noShares {
		guaranteed := count * r.serviceTime / slots * 100 / float64(r.share)
		if r.starts.total == 0 {
			return timekeeper.Millis(guaranteed)
		}
		wait = min(wait, guaranteed)
	}
	return timekeeper.Millis(wait)
}

// competingRanks returns the queued service time in ms of the ranks that are served before own, and the sum of the
// shares of the ranks after it that have waiting requests.
func (m *Machine) competingRanks(own *rank) (before float64, reserved int) {
	passed := false
	for i := range m.ranks {
		r := &m.ranks[i]
		switch {
		case r == own:
			passed = true
		case !passed:
			before += float64(r.queued) * r.serviceTime
		case r.queued > 0 && !m.noShares:
			reserved += r.share
		}
	}
	return before, reserved
}
