package deduplicator

import (
	"slices"
	"sync"
)

// Agreed is a Placement of schedules that the platform holds, each written as Schedule.Plan says. No partition, pause
// or stale member table makes two nodes disagree on the owners of an id. An id born after a schedule's Until has no
// owners, so that claims of it are refused as uncertain when the platform is out of reach for the lead of the plan.
type Agreed struct {
	service func(account, call string) string
	zones   sync.Map // service to Schedule
	owners  sync.Map // data centre to Schedule
	mutex   sync.Mutex
}

// NewAgreed returns a placement without schedules. Service names the service that runs a call.
func NewAgreed(service func(account, call string) string) *Agreed {
	return &Agreed{service: service}
}

// SetZones takes over the platform's schedule of the data centres of a service, unless it covers less than the
// present one.
func (g *Agreed) SetZones(service string, s Schedule) {
	g.set(&g.zones, service, s)
}

// SetOwners takes over the platform's schedule of the members of a data centre, unless it covers less than the
// present one.
func (g *Agreed) SetOwners(zone string, s Schedule) {
	g.set(&g.owners, zone, s)
}

// set replaces a schedule by a later revision.
func (g *Agreed) set(schedules *sync.Map, name string, s Schedule) {
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
func (g *Agreed) Zones(account, call string) Schedule {
	return get(&g.zones, g.service(account, call))
}

// Homes implements Placement.
func (g *Agreed) Homes() []Schedule {
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
func (g *Agreed) Owners(zone string) Schedule {
	return get(&g.owners, zone)
}

// sameEpochs reports whether two schedules list the same names at all times.
func sameEpochs(a, b Schedule) bool {
	return slices.EqualFunc(a.Epochs, b.Epochs, func(x, y Epoch) bool {
		return x.From == y.From && slices.Equal(x.Names, y.Names)
	})
}
