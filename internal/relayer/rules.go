package relayer

import (
	"github.com/cespare/xxhash/v2"

	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// listed returns the members that count for a majority: live, or failed within the retention of the table. Those
// that left in a planned way do not count.
func listed(members []tracker.Member) []tracker.Member {
	counted := make([]tracker.Member, 0, len(members))
	for _, m := range members {
		if m.Health != tracker.HealthLeft {
			counted = append(counted, m)
		}
	}
	return counted
}

// majority reports whether a version may be put in force: more than half of the listed members know it or, where
// failed members make that impossible, every live member does.
func majority(members []tracker.Member, knows func(name string) bool) bool {
	total, live, know, liveKnow := 0, 0, 0, 0
	for _, m := range listed(members) {
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

// report is what one member said when this node asked for the floor.
type report struct {
	member tracker.Member
	status FloorStatus
}

// floorOf applies start-up rule (b): with more than half of the listed members ready and heard, the floor is the
// highest version that one of them knows. It returns false if too few are ready. The asking node itself is listed
// but not ready.
func floorOf(self string, own []tracker.Member, reports []report) (uint64, tracker.Member, bool) {
	names := map[uint64]struct{}{hash(self): {}}
	for _, m := range listed(own) {
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
