package deduplicator

import (
	"slices"
	"sync"
	"sync/atomic"
)

// ScheduledPlacement is a Placement that follows schedules stored on the platform and extended with Schedule.Plan. No
// partition, pause or stale member table makes two nodes disagree on the owners of an id. An id created after a
// schedule's Until has no owners, so that its claims are refused as uncertain once the platform has been unreachable
// for the lead of the plan.
type ScheduledPlacement struct {
	serviceOf func(account, call string) string
	zones     sync.Map // service to Schedule
	owners    sync.Map // data centre to Schedule
	mutex     sync.Mutex
	missing   atomic.Bool // a claim needed a schedule that this node has not read
}

// NewScheduledPlacement returns a placement without schedules. The function serviceOf returns the service that runs a
// call.
func NewScheduledPlacement(serviceOf func(account, call string) string) *ScheduledPlacement {
	return &ScheduledPlacement{serviceOf: serviceOf}
}

// SetZones stores the schedule of the data centres of a service, unless the current schedule covers as much or more.
func (g *ScheduledPlacement) SetZones(service string, s Schedule) {
	g.replace(&g.zones, service, s)
}

// SetOwners stores the schedule of the members of a data centre, unless the current schedule covers as much or more.
func (g *ScheduledPlacement) SetOwners(zone string, s Schedule) {
	g.replace(&g.owners, zone, s)
}

// replace stores a schedule if it is a later revision than the current one.
func (g *ScheduledPlacement) replace(schedules *sync.Map, name string, s Schedule) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if s.Until > loadSchedule(schedules, name).Until {
		schedules.Store(name, s)
	}
}

// loadSchedule returns the schedule with the given name, or an empty schedule.
func loadSchedule(schedules *sync.Map, name string) Schedule {
	found, _ := schedules.Load(name)
	s, _ := found.(Schedule)
	return s
}

// Zones implements Placement.
func (g *ScheduledPlacement) Zones(account, call string) Schedule {
	return g.zonesOf(g.serviceOf(account, call))
}

// zonesOf returns the schedule of the data centres of a service.
func (g *ScheduledPlacement) zonesOf(service string) Schedule {
	return g.find(&g.zones, service)
}

// AllZones implements Placement.
func (g *ScheduledPlacement) AllZones() []Schedule {
	var schedules []Schedule
	g.zones.Range(func(_, found any) bool {
		s, _ := found.(Schedule)
		if !slices.ContainsFunc(schedules, func(o Schedule) bool { return sameEpochs(s, o) }) {
			schedules = append(schedules, s)
		}
		return true
	})
	return schedules
}

// Owners implements Placement.
func (g *ScheduledPlacement) Owners(zone string) Schedule {
	return g.find(&g.owners, zone)
}

// find returns the schedule with the given name. If it is missing, find tells the keeper to read the schedules again.
func (g *ScheduledPlacement) find(schedules *sync.Map, name string) Schedule {
	s := loadSchedule(schedules, name)
	if len(s.Epochs) == 0 {
		g.missing.Store(true)
	}
	return s
}

// sameEpochs reports whether two schedules have the same epochs.
func sameEpochs(a, b Schedule) bool {
	return slices.EqualFunc(a.Epochs, b.Epochs, func(x, y Epoch) bool {
		return x.From == y.From && slices.Equal(x.Names, y.Names)
	})
}
