package deduplicator

import (
	"slices"
	"sync"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// Placement returns the data centres and members that can own ids. Its schedules depend on the creation time of an id,
// so that an id never changes its owners.
type Placement interface {
	// Zones returns the data centres of the service that runs the call.
	Zones(account, call string) Schedule
	// AllZones returns the schedules of the data centres of all services.
	AllZones() []Schedule
	// Owners returns the members of a data centre by name.
	Owners(zone string) Schedule
}

// Directory is the part of the tracker's directory that this package uses.
type Directory interface {
	Zone(name string) []tracker.Member
	Find(name string) (tracker.Member, bool)
}

// ObservedPlacement is a Placement recorded from this node's own directory and active view. Nodes that see different
// members disagree on the owners of an id; an owner then refuses the claim as uncertain. Two groups of nodes whose
// directories do not list each other, or whose active views differ in the data centres of a service for longer than
// Lead, can each grant the same id. ScheduledPlacement rules this out.
type ObservedPlacement struct {
	Directory Directory
	View      func(account, call string) []string // data centres of the call's service in the active view
	Lists     func() [][]string                   // distinct lists of data centres of all services in the active view
	Clock     timekeeper.Clock
	Lead      timekeeper.Millis // time from the observation of a change until it takes effect
	Window    timekeeper.Millis // memory window: how long ids are remembered

	mutex     sync.Mutex // held while a change is recorded
	owners    sync.Map   // data centre to *observation
	callZones sync.Map   // callKey to *observation
}

// observation is the recorded schedule of a list of names. For members, first and count identify the directory snapshot
// that the schedule was last compared with. A stored observation is immutable.
type observation struct {
	first    *tracker.Member
	count    int
	schedule Schedule
}

// lastNames returns the names in the latest epoch.
func (n *observation) lastNames() []string {
	return n.schedule.Epochs[len(n.schedule.Epochs)-1].Names
}

// loadObservation returns the stored observation, or nil.
func loadObservation(observations *sync.Map, key any) *observation {
	found, _ := observations.Load(key)
	n, _ := found.(*observation)
	return n
}

// Zones implements Placement.
func (o *ObservedPlacement) Zones(account, call string) Schedule {
	key := callKey{account, call}
	names := o.View(account, call)
	stored := loadObservation(&o.callZones, key)
	switch {
	case stored != nil && slices.Equal(names, stored.lastNames()):
		return stored.schedule
	case stored == nil && len(names) == 0:
		return Schedule{}
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	next := observation{schedule: Schedule{Until: Forever}}
	if stored := loadObservation(&o.callZones, key); stored != nil {
		next.schedule = stored.schedule
	}
	now := o.Clock.Now()
	next.schedule = next.schedule.Extend(now+o.Lead, now-2*o.Window, names)
	o.callZones.Store(key, &next)
	return next.schedule
}

// AllZones implements Placement. It returns the lists in the active view and the schedules recorded for calls.
func (o *ObservedPlacement) AllZones() []Schedule {
	var schedules []Schedule
	o.callZones.Range(func(_, found any) bool {
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
	stored := loadObservation(&o.owners, zone)
	if stored != nil && stored.first == &members[0] && stored.count == len(members) {
		return stored.schedule
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	next := observation{first: &members[0], count: len(members), schedule: Schedule{Until: Forever}}
	if stored := loadObservation(&o.owners, zone); stored != nil {
		next.schedule = stored.schedule
	}
	now := o.Clock.Now()
	next.schedule = next.schedule.Extend(o.effectiveFrom(now, members, next.schedule), now-2*o.Window, namesOf(members))
	o.owners.Store(zone, &next)
	return next.schedule
}

// effectiveFrom returns the time at which a change of members takes effect. New names become owners Lead after the
// start of their process, which is the same time on every node that learns of them early enough. Ids created before
// now+1 keep their owners.
func (o *ObservedPlacement) effectiveFrom(
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
