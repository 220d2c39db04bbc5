package tracker

import (
	"cmp"
	"slices"
)

// Directory provides read access to immutable snapshots of the membership table. Its methods take no lock. Callers must
// not change the returned slices.
type Directory interface {
	// Service returns all entries of a service, in every data centre and of every health.
	Service(name string) []Member
	// Zone returns all entries of a data centre, ordered by name, including failed and left members.
	Zone(name string) []Member
	// Find returns the entry of the member with the given name and whether there is one.
	Find(name string) (Member, bool)
}

// Service implements Directory.
func (t *Tracker) Service(name string) []Member {
	return t.table.snapshot.Load().services[name]
}

// Zone implements Directory.
func (t *Tracker) Zone(name string) []Member {
	if v := t.table.snapshot.Load().zones[name]; v != nil {
		return v.members
	}
	return nil
}

// Find implements Directory.
func (t *Tracker) Find(name string) (Member, bool) {
	for _, v := range t.table.snapshot.Load().zones {
		i, ok := slices.BinarySearchFunc(v.members, name, func(m Member, n string) int { return cmp.Compare(m.Name, n) })
		if ok {
			return v.members[i], true
		}
	}
	return Member{}, false
}

// Zones returns the names of all data centres that have entries, in no particular order.
func (t *Tracker) Zones() []string {
	zones := t.table.snapshot.Load().zones
	names := make([]string, 0, len(zones))
	for name, v := range zones {
		if len(v.members) > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Relays returns the relays of a data centre, at most two, in order of preference.
func (t *Tracker) Relays(zone string) []Member {
	if v := t.table.snapshot.Load().zones[zone]; v != nil {
		return v.relays
	}
	return nil
}

// IsRelay reports whether this node is a relay of its data centre.
func (t *Tracker) IsRelay() bool {
	return slices.ContainsFunc(t.Relays(t.zone), func(m Member) bool { return m.Name == t.name })
}
