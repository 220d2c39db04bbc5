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
	// comparisonPeriod is how long failed and left entries are compared with other nodes. Nodes drop them at slightly
	// different times; without the margin to retention, a node that still has the entry would restore it.
	comparisonPeriod = 9 * timekeeper.Minute
	// maxMembers limits the size of the table in case a peer sends invented names.
	maxMembers = 16384
)

// table holds all entries, sharded by data centre. Only the state machine modifies it; readers use snapshots.
type table struct {
	shards     map[string]*shard
	zoneByName map[string]string
	suspects   map[string]struct{}
	dead       map[string]struct{} // failed or left
	snapshot   atomic.Pointer[snapshot]
}

// snapshot is an immutable copy of the table. It shares unchanged parts with the previous snapshot.
type snapshot struct {
	zones    map[string]*view    // by name of the data centre
	services map[string][]Member // entries of all data centres, by service
}

func newTable() *table {
	t := &table{
		shards: make(map[string]*shard), zoneByName: make(map[string]string),
		suspects: make(map[string]struct{}), dead: make(map[string]struct{}),
	}
	t.snapshot.Store(&snapshot{})
	return t
}

func (t *table) find(name string) *record {
	zone, ok := t.zoneByName[name]
	if !ok {
		return nil
	}
	return t.shards[zone].records[name]
}

// set stores an entry and replaces any entry of the same name.
func (t *table) set(m Member, healthSince timekeeper.Millis) {
	r := t.find(m.Name)
	if r != nil && r.member.Zone != m.Zone {
		t.drop(r)
		r = nil
	}
	if r == nil {
		r = &record{member: m, healthSince: healthSince, weight: relayWeight(&m)}
		s := t.shards[m.Zone]
		if s == nil {
			s = newShard()
			t.shards[m.Zone] = s
		}
		t.zoneByName[m.Name] = m.Zone
		s.insert(r)
	} else {
		t.shards[m.Zone].update(r, func() { r.member, r.healthSince, r.excluded = m, healthSince, false })
	}
	t.indexHealth(r)
}

// indexHealth updates the sets of suspect and dead names.
func (t *table) indexHealth(r *record) {
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
	delete(t.zoneByName, r.member.Name)
	delete(t.suspects, r.member.Name)
	delete(t.dead, r.member.Name)
}

// expire excludes dead entries from the comparison after comparisonPeriod and drops them after retention.
func (t *table) expire(now timekeeper.Millis) {
	for name := range t.dead {
		r := t.find(name)
		switch age := now - r.healthSince; {
		case age >= retention:
			t.drop(r)
		case age >= comparisonPeriod && !r.excluded:
			t.shards[r.member.Zone].update(r, func() { r.excluded = true })
		}
	}
}

// publish stores a new snapshot if any shard has changed.
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
		s.rebuildView()
		next.zones[zone] = s.view
	}
	if next == nil {
		return
	}
	t.rebuildServices(next)
	t.snapshot.Store(next)
}

// rebuildServices collects the entries of each changed service from all data centres.
func (t *table) rebuildServices(next *snapshot) {
	cloned := false
	for _, s := range t.shards {
		for service := range s.staleServices {
			if !cloned {
				next.services = maps.Clone(next.services)
				if next.services == nil {
					next.services = make(map[string][]Member)
				}
				cloned = true
			}
			next.services[service] = next.collectService(service)
		}
		clear(s.staleServices)
	}
}

func (s *snapshot) collectService(service string) []Member {
	var members []Member
	for _, zone := range slices.Sorted(maps.Keys(s.zones)) {
		members = append(members, s.zones[zone].services[service]...)
	}
	return members
}
