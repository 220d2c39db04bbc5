package admitter

import "github.com/jasmineproxy/jasmineproxy/internal/timekeeper"

// estimateWait estimates how long a new request of t's flow waits for a slot, in ms.
func (m *Machine) estimateWait(now timekeeper.Millis, t *Ticket) timekeeper.Millis {
	r := m.rankOf(t)
	count := float64(r.countAhead(t.flow) + 1)
	before, reserved := m.competingRanks(r)
	cost := m.startInterval(r)
	queueWait := max(before+count*cost-m.pacer.credit*m.pacer.interval(), 0)
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
		guaranteed := count * cost * 100 / float64(r.share)
		if r.starts.total == 0 {
			return timekeeper.Millis(guaranteed)
		}
		wait = min(wait, guaranteed)
	}
	return timekeeper.Millis(wait)
}

// startInterval returns the mean time in ms between two starts of a rank that has the upstream for itself: its slots or
// its limit bound it.
func (m *Machine) startInterval(r *rank) float64 {
	return max(r.serviceTime/float64(max(m.slots, 1)), m.pacer.interval())
}

// competingRanks returns the time in ms in which the queued requests of the ranks that are served before own start, and
// the sum of the shares of the ranks after it that have waiting requests.
func (m *Machine) competingRanks(own *rank) (before float64, reserved int) {
	passed := false
	for i := range m.ranks {
		r := &m.ranks[i]
		switch {
		case r == own:
			passed = true
		case !passed:
			before += float64(r.queued) * m.startInterval(r)
		case r.queued > 0 && !m.noShares:
			reserved += r.share
		}
	}
	return before, reserved
}
