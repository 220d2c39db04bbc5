package router

import (
	"cmp"
	"slices"

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
	slices.SortFunc(built.zones, func(a, b zone) int {
		return cmp.Or(cmp.Compare(a.delay, b.delay), cmp.Compare(a.name, b.name))
	})
	return built
}
