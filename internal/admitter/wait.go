package admitter

import "github.com/jasmineproxy/jasmineproxy/internal/timekeeper"

// wait estimates how long new work of t's flow waits for a slot. It is the better of two bounds: the work that goes
// first by rank order, at full speed; and the rank's own queue, at the speed of its share while the others are busy.
func (m *Machine) wait(now timekeeper.Millis, t *Ticket) timekeeper.Millis {
	own := m.rank(t)
	slots := float64(max(m.slots, 1))
	ahead := float64(own.ahead(t.flow)+1) * own.service
	before, reserved, lower := 0.0, 0, false
	passed := false
	for i := range m.ranks {
		r := &m.ranks[i]
		if r == own {
			passed = true
			continue
		}
		if !passed {
			before += float64(r.queued) * r.service
			continue
		}
		// Ranks below keep their shares while they have waiting work.
		if r.queued > 0 && !m.noShares {
			reserved += r.share
			lower = true
		}
	}
	wait := (before + ahead) / slots
	if lower {
		wait /= max(1-float64(reserved)/100, 0.05)
	}
	if own.share > 0 && before > 0 && !m.noShares {
		wait = min(wait, ahead/slots*100/float64(own.share))
	} else if before > 0 {
		wait = max(wait, m.observed(now, own, t))
	}
	return timekeeper.Millis(wait)
}

// observed estimates the wait from the starts of the last second, for a rank without a share behind busy ranks.
func (m *Machine) observed(now timekeeper.Millis, own *rank, t *Ticket) float64 {
	started := own.starts.count(now)
	if own.queued == 0 || started == 0 {
		return 0
	}
	return float64(own.ahead(t.flow)+1) * float64(timekeeper.Second) / float64(started)
}
