package allotter

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// minOwners is the number of owners of an account, if the mesh has as many members. Each owner has an equal share of
// the allotment, and nodes that cannot reach one get the shares of the others.
const minOwners = 3

// Directory lists the members of the mesh; *tracker.Tracker satisfies it.
type Directory interface {
	Zones() []string
	Zone(name string) []tracker.Member
}

// ownerCache keeps the owners of accounts until the members change.
type ownerCache struct {
	directory Directory
	mutex     sync.Mutex
	first     []*tracker.Member // first entry of each data centre; snapshots of the members are immutable
	accounts  map[string][]tracker.Member
	choose    func(directory Directory, account string) []tracker.Member
}

// owners returns the owners of an account.
func (c *ownerCache) owners(account string) []tracker.Member {
	zones := c.directory.Zones()
	slices.Sort(zones)
	first := make([]*tracker.Member, 0, len(zones))
	for _, zone := range zones {
		if members := c.directory.Zone(zone); len(members) > 0 {
			first = append(first, &members[0])
		}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.accounts == nil || !slices.Equal(first, c.first) || len(c.accounts) >= maxBuckets {
		c.first, c.accounts = first, make(map[string][]tracker.Member)
	}
	found, ok := c.accounts[account]
	if !ok {
		found = c.choose(c.directory, account)
		c.accounts[account] = found
	}
	return found
}

// owners returns the owners of an account: in each data centre the members with the highest rendezvous weights. Members
// that failed stay owners, as they may only be cut off and hand out their share to the nodes beside them; those that
// left do not.
func owners(directory Directory, account string) []tracker.Member {
	zones := directory.Zones()
	if len(zones) == 0 {
		return nil
	}
	slices.Sort(zones)
	perZone := (minOwners + len(zones) - 1) / len(zones)
	var chosen []tracker.Member
	for _, zone := range zones {
		chosen = append(chosen, highest(directory.Zone(zone), account, perZone)...)
	}
	return chosen
}

// highest returns the count members with the highest weights.
func highest(members []tracker.Member, account string, count int) []tracker.Member {
	type weighted struct {
		weight uint64
		member tracker.Member
	}
	var all []weighted
	seed := xxhash.Sum64String(account)
	for _, member := range members {
		if member.Health != tracker.HealthLeft {
			all = append(all, weighted{mix(seed, xxhash.Sum64String(member.Name)), member})
		}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.member.Name, b.member.Name))
	})
	chosen := make([]tracker.Member, 0, count)
	for _, w := range all[:min(count, len(all))] {
		chosen = append(chosen, w.member)
	}
	return chosen
}

// mix combines two hashes into one whose bits depend on all of theirs.
func mix(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

func contains(members []tracker.Member, name string) bool {
	return slices.ContainsFunc(members, func(m tracker.Member) bool { return m.Name == name })
}
