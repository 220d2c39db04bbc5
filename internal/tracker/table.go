package tracker

import (
	"maps"
	"slices"
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// retention is how long failed and left entries are kept.
	retention = 10 * timekeeper.Minute
	// fading is when such entries leave the comparison with other nodes. Nodes drop them at slightly different
	// times; without the margin each drop would be undone by a node that still has the entry.
	fading = 9 * timekeeper.Minute
	// maxMembers bounds the table against a peer that invents names.
	maxMembers = 16384
)

// table holds all entries, sharded by data centre. Only the state machine changes it; readers use snapshots.
type table struct {
	shards   map[string]*shard
	zones    map[string]string // data centre of each name
	suspects map[string]struct{}
	dead     map[string]struct{} // failed or left
	snapshot atomic.Pointer[snapshot]
}

// snapshot is an immutable copy of the table. Parts that did not change are shared with the one before.
type snapshot struct {
	zones    map[string]*view
	services map[string][]Member
}

func newTable() *table {
	t := &table{
		shards: make(map[string]*shard), zones: make(map[string]string),
		suspects: make(map[string]struct{}), dead: make(map[string]struct{}),
	}
	t.snapshot.Store(&snapshot{})
	return t
}

func (t *table) find(name string) *record {
	zone, ok := t.zones[name]
	if !ok {
		return nil
	}
	return t.shards[zone].records[name]
}

// set stores an entry in place of the one of the same name.
func (t *table) set(m Member, since timekeeper.Millis) {
	r := t.find(m.Name)
	if r != nil && r.member.Zone != m.Zone {
		t.drop(r)
		r = nil
	}
	if r == nil {
		r = &record{member: m, since: since, weight: weigh(&m)}
		s := t.shards[m.Zone]
		if s == nil {
			s = newShard()
			t.shards[m.Zone] = s
		}
		t.zones[m.Name] = m.Zone
		s.insert(r)
	} else {
		t.shards[m.Zone].change(r, func() { r.member, r.since, r.faded = m, since, false })
	}
	t.file(r)
}

// file keeps the sets of suspected and dead names.
func (t *table) file(r *record) {
	delete(t.suspects, r.member.Name)
	delete(t.dead, r.member.Name)
	switch r.member.Health {
	case HealthSuspect:
		t.suspects[r.member.Name] = struct{}{}
	case HealthFailed, HealthLeft:
		t.dead[r.member.Name] = struct{}{}
	case HealthAlive:
	}
}

func (t *table) drop(r *record) {
	t.shards[r.member.Zone].remove(r)
	delete(t.zones, r.member.Name)
	delete(t.suspects, r.member.Name)
	delete(t.dead, r.member.Name)
}

// expire fades and drops dead entries by age.
func (t *table) expire(now timekeeper.Millis) {
	for name := range t.dead {
		r := t.find(name)
		switch age := now - r.since; {
		case age >= retention:
			t.drop(r)
		case age >= fading && !r.faded:
			t.shards[r.member.Zone].change(r, func() { r.faded = true })
		}
	}
}

// publish renews the snapshots of the shards that changed.
func (t *table) publish() {
	var next *snapshot
	for zone, s := range t.shards {
		if !s.dirty {
			continue
		}
		if next == nil {
			old := t.snapshot.Load()
			next = &snapshot{zones: maps.Clone(old.zones), services: old.services}
			if next.zones == nil {
				next.zones = make(map[string]*view)
			}
		}
		s.rebuild()
		next.zones[zone] = s.view
	}
	if next == nil {
		return
	}
	t.renew(next)
	t.snapshot.Store(next)
}

// renew joins the entries of each changed service over all data centres.
func (t *table) renew(next *snapshot) {
	cloned := false
	for _, s := range t.shards {
		for service := range s.touched {
			if !cloned {
				next.services = maps.Clone(next.services)
				if next.services == nil {
					next.services = make(map[string][]Member)
				}
				cloned = true
			}
			next.services[service] = next.join(service)
		}
		clear(s.touched)
	}
}

func (s *snapshot) join(service string) []Member {
	var members []Member
	for _, zone := range slices.Sorted(maps.Keys(s.zones)) {
		members = append(members, s.zones[zone].services[service]...)
	}
	return members
}
