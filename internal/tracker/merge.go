package tracker

import "github.com/jasmineproxy/jasmineproxy/internal/timekeeper"

// merge takes over an entry from another node if it is newer than the one here. The entry has been checked.
func (m *machine) merge(now timekeeper.Millis, u Update) {
	if u.Member.Name == m.self.Name {
		m.refute(now, stampOf(&u.Member))
		return
	}
	r := m.table.find(u.Member.Name)
	dead := u.Member.Health >= HealthFailed
	if r == nil {
		// An old dead entry is not taken back after it was dropped here.
		if dead && u.Age >= fading || len(m.table.zones) >= maxMembers {
			return
		}
		m.accept(now, u)
		return
	}
	if !u.Member.Newer(&r.member) && !m.off.order {
		m.learnKnown(r, &u.Member)
		return
	}
	if u.Member.Incarnation == r.member.Incarnation {
		u.Member.Known = max(u.Member.Known, r.member.Known)
	}
	m.accept(now, u)
}

func (m *machine) accept(now timekeeper.Millis, u Update) {
	since := now
	if u.Member.Health >= HealthFailed {
		since = now - min(u.Age, fading)
	}
	m.table.set(u.Member, since)
	m.announce(u.Member.Name)
}

// learnKnown raises Known of an entry that is otherwise unchanged. Known only grows within an incarnation.
func (m *machine) learnKnown(r *record, from *Member) {
	if from.Incarnation == r.member.Incarnation && from.Known > r.member.Known {
		r.member.Known = from.Known
		m.table.shards[r.member.Zone].dirty = true
	}
}

// observe raises Known of members that told this node their version in another way than by a ping.
func (m *machine) observe(known map[string]uint64) {
	for name, version := range known {
		if r := m.table.find(name); r != nil && name != m.self.Name && version > r.member.Known {
			r.member.Known = version
			m.table.shards[r.member.Zone].dirty = true
		}
	}
}

// refute raises the own entry above what another node holds of it, unless that is the own entry or an older one.
func (m *machine) refute(now timekeeper.Millis, s Stamp) {
	if s.Hash != hashName(m.self.Name) || !s.newer(stampOf(&m.self)) || m.off.refutation {
		return
	}
	if s.Incarnation > m.self.Incarnation {
		m.self.Incarnation, m.self.Sequence = s.Incarnation+1, 0
	}
	m.self.Sequence = max(m.self.Sequence, s.Sequence)
	m.refutations++
	m.raise(now)
}

// updateOf returns an entry as it is sent to other nodes.
func updateOf(now timekeeper.Millis, r *record) Update {
	u := Update{Member: r.member}
	if r.member.Health >= HealthFailed {
		u.Age = max(now-r.since, 0)
	}
	return u
}
