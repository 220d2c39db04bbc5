package tracker

import "github.com/jasmineproxy/jasmineproxy/internal/timekeeper"

// merge stores an entry from another node if it is newer than the local one. The caller has checked the entry.
func (m *machine) merge(now timekeeper.Millis, u Update) {
	if u.Member.Name == m.self.Name {
		m.refute(now, stampOf(&u.Member))
		return
	}
	r := m.table.find(u.Member.Name)
	dead := u.Member.Health >= HealthFailed
	if r == nil {
		// An old dead entry is not stored again after this node dropped it.
		if dead && u.Age >= comparisonPeriod || len(m.table.zoneByName) >= maxMembers {
			return
		}
		m.store(now, u)
		return
	}
	if !u.Member.Newer(&r.member) && !m.disabled.order {
		m.raiseKnown(r, &u.Member)
		return
	}
	if u.Member.Incarnation == r.member.Incarnation {
		u.Member.Known = max(u.Member.Known, r.member.Known)
	}
	m.store(now, u)
}

func (m *machine) store(now timekeeper.Millis, u Update) {
	healthSince := now
	if u.Member.Health >= HealthFailed {
		healthSince = now - min(u.Age, comparisonPeriod)
	}
	m.table.set(u.Member, healthSince)
	m.queuePush(u.Member.Name)
}

// raiseKnown raises Known of an entry that is otherwise unchanged. Known only grows within an incarnation.
func (m *machine) raiseKnown(r *record, from *Member) {
	if from.Incarnation == r.member.Incarnation && from.Known > r.member.Known {
		r.member.Known = from.Known
		m.table.shards[r.member.Zone].dirty = true
	}
}

// observe raises Known of members that reported their version by other means than a ping.
func (m *machine) observe(known map[string]uint64) {
	for name, version := range known {
		if r := m.table.find(name); r != nil && name != m.self.Name && version > r.member.Known {
			r.member.Known = version
			m.table.shards[r.member.Zone].dirty = true
		}
	}
}

// refute makes the node's own entry newer than s, the stamp that another node has for it, if s is newer: for example
// because of a suspicion or an earlier process of this node. Stamps of other members are ignored.
func (m *machine) refute(now timekeeper.Millis, s Stamp) {
	if s.Hash != hashName(m.self.Name) || !s.newer(stampOf(&m.self)) || m.disabled.refutation {
		return
	}
	if s.Incarnation > m.self.Incarnation {
		m.self.Incarnation, m.self.Sequence = s.Incarnation+1, 0
	}
	m.self.Sequence = max(m.self.Sequence, s.Sequence)
	m.refutations++
	m.advanceSequence(now)
}

// newUpdate returns an entry in the form that is sent to other nodes.
func newUpdate(now timekeeper.Millis, r *record) Update {
	u := Update{Member: r.member}
	if r.member.Health >= HealthFailed {
		u.Age = max(now-r.healthSince, 0)
	}
	return u
}
