package relayer

import (
	"github.com/cespare/xxhash/v2"

	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// votingMembers returns the members that count towards a majority: those that are live or failed within the retention
// of the member table. Members that left in a planned way do not count.
func votingMembers(members []tracker.Member) []tracker.Member {
	counted := make([]tracker.Member, 0, len(members))
	for _, m := range members {
		if m.Health != tracker.HealthLeft {
			counted = append(counted, m)
		}
	}
	return counted
}

// hasMajority reports whether a version may be activated: more than half of the voting members know it or, where failed
// members make that impossible, every live member does.
func hasMajority(members []tracker.Member, knows func(name string) bool) bool {
	total, live, know, liveKnow := 0, 0, 0, 0
	for _, m := range votingMembers(members) {
		total++
		alive := m.Health < tracker.HealthFailed
		if alive {
			live++
		}
		if knows(m.Name) {
			know++
			if alive {
				liveKnow++
			}
		}
	}
	if 2*know > total {
		return true
	}
	return 2*live <= total && live > 0 && liveKnow == live
}

// floorReport is the reply of one member to a Floor request.
type floorReport struct {
	member tracker.Member
	status FloorStatus
}

// majorityFloor applies start-up rule (b): if more than half of the listed members are ready and have replied, the
// floor is the highest version that any of them knows. It returns the floor and that member, or false if too few
// members are ready. The asking node itself is listed but not ready.
func majorityFloor(self string, members []tracker.Member, reports []floorReport) (uint64, tracker.Member, bool) {
	names := map[uint64]struct{}{hash(self): {}}
	for _, m := range votingMembers(members) {
		names[hash(m.Name)] = struct{}{}
	}
	var floor uint64
	var source tracker.Member
	ready := 0
	for _, r := range reports {
		for _, name := range r.status.Listed {
			names[name] = struct{}{}
		}
		if !r.status.Ready || r.member.Name == self {
			continue
		}
		ready++
		if r.status.Known > floor {
			floor, source = r.status.Known, r.member
		}
	}
	return floor, source, 2*ready > len(names)
}

func hash(name string) uint64 {
	return xxhash.Sum64String(name)
}
