package deduplicator

import (
	"slices"
	"sync"
	"sync/atomic"
)

// ScheduledPlacement is a Placement of schedules that the platform holds, each written as Schedule.Plan says. No
// partition, pause or stale member table makes two nodes disagree on the owners of an id. An id born after a schedule's
// Until has no owners, so that claims of it are refused as uncertain when the platform is out of reach for the lead of
// the plan.
type ScheduledPlacement struct {
	service func(account, call string) string
	zones   sync.Map // service to Schedule
	owners  sync.Map // data centre to Schedule
	mutex   sync.Mutex
	wanted  atomic.Bool // a claim asked for a schedule that is not here
}

// NewScheduledPlacement returns a placement without schedules. Service names the service that runs a call.
func NewScheduledPlacement(service func(account, call string) string) *ScheduledPlacement {
	return &ScheduledPlacement{service: service}
}

// SetZones takes over the platform's schedule of the data centres of a service, unless it covers less than the
// present one.
func (g *ScheduledPlacement) SetZones(service string, s Schedule) {
	g.set(&g.zones, service, s)
}

// SetOwners takes over the platform's schedule of the members of a data centre, unless it covers less than the
// present one.
func (g *ScheduledPlacement) SetOwners(zone string, s Schedule) {
	g.set(&g.owners, zone, s)
}

// set replaces a schedule by a later revision.
func (g *ScheduledPlacement) set(schedules *sync.Map, name string, s Schedule) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if s.Until > get(schedules, name).Until {
		schedules.Store(name, s)
	}
}

// get returns a schedule, or an empty one.
func get(schedules *sync.Map, name string) Schedule {
	found, _ := schedules.Load(name)
	s, _ := found.(Schedule)
	return s
}

// Zones implements Placement.
func (g *ScheduledPlacement) Zones(account, call string) Schedule {
	return g.zonesOf(g.service(account, call))
}

// zonesOf returns the schedule of the data centres of a service.
func (g *ScheduledPlacement) zonesOf(service string) Schedule {
	return g.find(&g.zones, service)
}

// Homes implements Placement.
func (g *ScheduledPlacement) Homes() []Schedule {
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

// find returns a schedule, and notes if it is missing.
func (g *ScheduledPlacement) find(schedules *sync.Map, name string) Schedule {
	s := get(schedules, name)
	if len(s.Epochs) == 0 {
		g.wanted.Store(true)
	}
	return s
}

// sameEpochs reports whether two schedules list the same names at all times.
func sameEpochs(a, b Schedule) bool {
	return slices.EqualFunc(a.Epochs, b.Epochs, func(x, y Epoch) bool {
		return x.From == y.From && slices.Equal(x.Names, y.Names)
	})
}
