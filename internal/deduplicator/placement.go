package deduplicator

import (
	"slices"
	"sync"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// Placement tells where ids are remembered. The answers depend on the birth of an id, so that an id keeps its owners
// for life.
type Placement interface {
	// Zones returns the data centres of the service that runs the call.
	Zones(account, call string) Schedule
	// Homes returns the lists of data centres of all services.
	Homes() []Schedule
	// Owners returns the names of the members of a data centre.
	Owners(zone string) Schedule
}

// Directory is the part of the tracker's directory that is needed here.
type Directory interface {
	Zone(name string) []tracker.Member
	Find(name string) (tracker.Member, bool)
}

// ObservedPlacement is a Placement recorded from this node's own directory and view. Nodes that see different members
// disagree on the owners of an id; an owner then refuses the claim as uncertain. Two groups of nodes that do not know
// each other, or that differ in the data centres of a service for longer than Lead, can each grant the same id;
// ScheduledPlacement excludes this.
type ObservedPlacement struct {
	Directory Directory
	View      func(account, call string) []string // data centres of the call's service in the view in force
	Lists     func() [][]string                   // distinct lists of data centres of all services in the view
	Clock     timekeeper.Clock
	Lead      timekeeper.Millis // how far ahead of its observation a change takes effect
	Window    timekeeper.Millis

	mutex sync.Mutex // held while a change is recorded
	zones sync.Map   // data centre to *observation
	homes sync.Map   // kind to *observation
}

// observation is the recorded schedule of one list, and the snapshot that it was last compared with. It is not changed
// once it is stored.
type observation struct {
	first    *tracker.Member
	count    int
	schedule Schedule
}

// last returns the names in the latest epoch.
func (n *observation) last() []string {
	return n.schedule.Epochs[len(n.schedule.Epochs)-1].Names
}

// load returns the stored observation, or nil.
func load(observations *sync.Map, key any) *observation {
	found, _ := observations.Load(key)
	n, _ := found.(*observation)
	return n
}

// Zones implements Placement.
func (o *ObservedPlacement) Zones(account, call string) Schedule {
	key := kind{account, call}
	names := o.View(account, call)
	seen := load(&o.homes, key)
	switch {
	case seen != nil && slices.Equal(names, seen.last()):
		return seen.schedule
	case seen == nil && len(names) == 0:
		return Schedule{}
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	next := observation{schedule: Schedule{Until: Forever}}
	if seen := load(&o.homes, key); seen != nil {
		next.schedule = seen.schedule
	}
	now := o.Clock.Now()
	next.schedule = next.schedule.Extend(now+o.Lead, now-2*o.Window, names)
	o.homes.Store(key, &next)
	return next.schedule
}

// Homes implements Placement. It returns the lists in the view in force and those recorded for calls.
func (o *ObservedPlacement) Homes() []Schedule {
	var schedules []Schedule
	o.homes.Range(func(_, found any) bool {
		if n, ok := found.(*observation); ok {
			schedules = append(schedules, n.schedule)
		}
		return true
	})
	if o.Lists != nil {
		for _, names := range o.Lists() {
			schedules = append(schedules, Schedule{Epochs: []Epoch{{Names: names}}, Until: Forever})
		}
	}
	return schedules
}

// Owners implements Placement.
func (o *ObservedPlacement) Owners(zone string) Schedule {
	members := o.Directory.Zone(zone)
	if len(members) == 0 {
		return Schedule{}
	}
	seen := load(&o.zones, zone)
	if seen != nil && seen.first == &members[0] && seen.count == len(members) {
		return seen.schedule
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	next := observation{first: &members[0], count: len(members), schedule: Schedule{Until: Forever}}
	if seen := load(&o.zones, zone); seen != nil {
		next.schedule = seen.schedule
	}
	now := o.Clock.Now()
	next.schedule = next.schedule.Extend(o.effect(now, members, next.schedule), now-2*o.Window, namesOf(members))
	o.zones.Store(zone, &next)
	return next.schedule
}

// effect is when a change of members takes effect: for new names a fixed time after their start, which is the same on
// every node that learns of them in time. Ids born before now+1 keep their owners.
func (o *ObservedPlacement) effect(
	now timekeeper.Millis, members []tracker.Member, schedule Schedule,
) timekeeper.Millis {
	if len(schedule.Epochs) == 0 {
		return 0
	}
	known := schedule.Epochs[len(schedule.Epochs)-1].Names
	from := timekeeper.Millis(0)
	for i := range members {
		if _, found := slices.BinarySearch(known, members[i].Name); !found {
			from = max(from, timekeeper.Millis(members[i].Incarnation)+o.Lead)
		}
	}
	if from == 0 {
		return now + o.Lead
	}
	return min(max(from, now+Skew+1), now+2*o.Lead)
}

// namesOf returns the sorted names of members.
func namesOf(members []tracker.Member) []string {
	names := make([]string, 0, len(members))
	for i := range members {
		names = append(names, members[i].Name)
	}
	slices.Sort(names)
	return names
}
