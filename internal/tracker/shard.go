package tracker

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// relayCount is the number of relays of a data centre.
const relayCount = 2

// record is a membership entry with the state that this node keeps locally for it.
type record struct {
	member      Member
	healthSince timekeeper.Millis // when the current health began, on this node's clock
	weight      uint64            // rendezvous weight for the relay election
	excluded    bool              // left out of the comparison with other nodes, because it expires soon
}

// shard holds the entries of one data centre.
type shard struct {
	records       map[string]*record
	digest        uint64
	dirty         bool
	staleServices map[string]struct{} // services whose snapshot is out of date
	view          *view
}

// view is an immutable snapshot of a shard.
type view struct {
	members  []Member // ordered by name
	services map[string][]Member
	relays   []Member
}

// preferAlive returns the members with the best health that any member has.
func (v *view) preferAlive() []Member {
	best := HealthLeft
	for i := range v.members {
		best = min(best, v.members[i].Health)
	}
	return slices.DeleteFunc(slices.Clone(v.members), func(m Member) bool { return m.Health > best })
}

func newShard() *shard {
	return &shard{records: make(map[string]*record), staleServices: make(map[string]struct{}), view: &view{}}
}

// hash covers the name of an entry and the fields that Member.Newer compares. It omits Known: with it, the digests of
// the nodes would differ for a while after each new configuration version. An excluded entry has hash 0, which leaves
// the digest unchanged.
func (r *record) hash() uint64 {
	if r.excluded {
		return 0
	}
	buffer := make([]byte, 0, 160)
	buffer = append(buffer, r.member.Name...)
	buffer = binary.BigEndian.AppendUint64(buffer, r.member.Incarnation)
	buffer = binary.BigEndian.AppendUint64(buffer, r.member.Sequence)
	return xxhash.Sum64(append(buffer, byte(r.member.Health)))
}

// update applies f to a record and updates the digest, the stale services and the dirty flag.
func (s *shard) update(r *record, f func()) {
	s.digest ^= r.hash()
	s.staleServices[r.member.Service] = struct{}{}
	f()
	s.staleServices[r.member.Service] = struct{}{}
	s.digest ^= r.hash()
	s.dirty = true
}

func (s *shard) insert(r *record) {
	s.records[r.member.Name] = r
	s.digest ^= r.hash()
	s.staleServices[r.member.Service] = struct{}{}
	s.dirty = true
}

func (s *shard) remove(r *record) {
	delete(s.records, r.member.Name)
	s.digest ^= r.hash()
	s.staleServices[r.member.Service] = struct{}{}
	s.dirty = true
}

// relayWeight returns the rendezvous weight of a member as a relay of its data centre.
func relayWeight(m *Member) uint64 {
	return xxhash.Sum64String(m.Zone + "\x00" + m.Name)
}

// rebuildView replaces the view by a snapshot of the current records.
func (s *shard) rebuildView() {
	sorted := make([]*record, 0, len(s.records))
	for _, r := range s.records {
		sorted = append(sorted, r)
	}
	slices.SortFunc(sorted, func(a, b *record) int { return cmp.Compare(a.member.Name, b.member.Name) })
	v := &view{members: make([]Member, len(sorted)), services: make(map[string][]Member)}
	for i, r := range sorted {
		v.members[i] = r.member
		v.services[r.member.Service] = append(v.services[r.member.Service], r.member)
	}
	v.relays = electRelays(sorted)
	s.view, s.dirty = v, false
}

// electRelays returns the live members with the highest weights. Suspect and draining members come last. A relay is
// thus replaced as soon as it becomes suspect, and a data centre whose members are all suspect still has relays.
func electRelays(sorted []*record) []Member {
	candidates := make([]*record, 0, len(sorted))
	for _, r := range sorted {
		if r.member.Health <= HealthSuspect {
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b *record) int {
		if c := cmp.Compare(a.rank(), b.rank()); c != 0 {
			return c
		}
		return cmp.Compare(b.weight, a.weight)
	})
	relays := make([]Member, 0, relayCount)
	for _, r := range candidates[:min(relayCount, len(candidates))] {
		relays = append(relays, r.member)
	}
	return relays
}

func (r *record) rank() int {
	rank := 0
	if r.member.Health == HealthSuspect {
		rank += 2
	}
	if r.member.State == StateDraining {
		rank++
	}
	return rank
}
