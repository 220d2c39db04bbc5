package router

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// candidate is a usable member with this node's statistics of it.
type candidate struct {
	member   *tracker.Member
	endpoint *endpoint
}

// zone lists the usable members of a service in one data centre.
type zone struct {
	name       string
	delay      timekeeper.Millis // one way
	candidates []candidate
	preferred  []candidate // those that get the requests of this node as long as one of them accepts
}

// group lists a service's usable members by data centre, nearest first. It is built once per membership snapshot.
type group struct {
	members []tracker.Member
	zones   []zone
}

// builtFrom reports whether the group was built from members. A membership snapshot is immutable, so the address of its
// first member identifies it.
func (g *group) builtFrom(members []tracker.Member) bool {
	if len(g.members) != len(members) {
		return false
	}
	return len(members) == 0 || &g.members[0] == &members[0]
}

// prefer returns the candidates with the highest weights for this node (rendezvous hashing), so that nodes prefer
// different ones, and a change of one member changes little.
func (p *Picker) prefer(candidates []candidate) []candidate {
	if len(candidates) <= p.subset {
		return candidates
	}
	type weighted struct {
		candidate
		weight uint64
	}
	sorted := make([]weighted, len(candidates))
	for i, c := range candidates {
		sorted[i] = weighted{c, xxhash.Sum64String(p.name + "\n" + c.member.Name)}
	}
	slices.SortFunc(sorted, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
	preferred := make([]candidate, p.subset)
	for i := range preferred {
		preferred[i] = sorted[i].candidate
	}
	return preferred
}

func (p *Picker) newGroup(members []tracker.Member) *group {
	built := &group{members: members}
	for i := range members {
		member := &members[i]
		if !member.Usable() && !p.includeUnusable {
			continue
		}
		name := member.Zone
		if p.noZones {
			name = p.zone
		}
		position := slices.IndexFunc(built.zones, func(z zone) bool { return z.name == name })
		if position < 0 {
			position = len(built.zones)
			built.zones = append(built.zones, zone{name: name, delay: p.delay(name)})
		}
		added := candidate{member, p.endpoint(member.Name)}
		built.zones[position].candidates = append(built.zones[position].candidates, added)
	}
	for i := range built.zones {
		built.zones[i].preferred = p.prefer(built.zones[i].candidates)
	}
	slices.SortFunc(built.zones, func(a, b zone) int {
		return cmp.Or(cmp.Compare(a.delay, b.delay), cmp.Compare(a.name, b.name))
	})
	return built
}
