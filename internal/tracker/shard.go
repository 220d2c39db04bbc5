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

// record is an entry with what this node alone knows of it.
type record struct {
	member Member
	since  timekeeper.Millis // when the present health began, on this node's clock
	weight uint64            // rendezvous weight for the relay election
	faded  bool              // no longer compared with other nodes, because it will be dropped soon
}

// shard holds the entries of one data centre.
type shard struct {
	records map[string]*record
	digest  uint64
	dirty   bool
	touched map[string]struct{} // services whose snapshot is out of date
	view    *view
}

// view is an immutable snapshot of a shard.
type view struct {
	members  []Member // by name
	services map[string][]Member
	relays   []Member
}

func newShard() *shard {
	return &shard{records: make(map[string]*record), touched: make(map[string]struct{}), view: &view{}}
}

// hash covers what the order of entries depends on. Known is left out: it changes with every configuration version
// and would make all tables differ each time.
func (r *record) hash() uint64 {
	if r.faded {
		return 0
	}
	buffer := make([]byte, 0, 160)
	buffer = append(buffer, r.member.Name...)
	buffer = binary.BigEndian.AppendUint64(buffer, r.member.Incarnation)
	buffer = binary.BigEndian.AppendUint64(buffer, r.member.Sequence)
	return xxhash.Sum64(append(buffer, byte(r.member.Health)))
}

// change applies f to a record and keeps the digest and the list of outdated snapshots in step.
func (s *shard) change(r *record, f func()) {
	s.digest ^= r.hash()
	s.touched[r.member.Service] = struct{}{}
	f()
	s.touched[r.member.Service] = struct{}{}
	s.digest ^= r.hash()
	s.dirty = true
}

func (s *shard) insert(r *record) {
	s.records[r.member.Name] = r
	s.digest ^= r.hash()
	s.touched[r.member.Service] = struct{}{}
	s.dirty = true
}

func (s *shard) remove(r *record) {
	delete(s.records, r.member.Name)
	s.digest ^= r.hash()
	s.touched[r.member.Service] = struct{}{}
	s.dirty = true
}

// weigh returns the rendezvous weight of a member as a relay of its data centre.
func weigh(m *Member) uint64 {
	return xxhash.Sum64String(m.Zone + "\x00" + m.Name)
}

// rebuild makes a new snapshot.
func (s *shard) rebuild() {
	ordered := make([]*record, 0, len(s.records))
	for _, r := range s.records {
		ordered = append(ordered, r)
	}
	slices.SortFunc(ordered, func(a, b *record) int { return cmp.Compare(a.member.Name, b.member.Name) })
	v := &view{members: make([]Member, len(ordered)), services: make(map[string][]Member)}
	for i, r := range ordered {
		v.members[i] = r.member
		v.services[r.member.Service] = append(v.services[r.member.Service], r.member)
	}
	v.relays = elect(ordered)
	s.view, s.dirty = v, false
}

// elect returns the live members with the highest weights. Members that are suspected or draining come last, so that
// a relay is replaced as soon as it is suspected and a data centre of which all are suspected still has relays.
func elect(ordered []*record) []Member {
	candidates := make([]*record, 0, len(ordered))
	for _, r := range ordered {
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
