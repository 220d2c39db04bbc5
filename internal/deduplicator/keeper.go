package deduplicator

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	zonePrefix    = "zone."
	servicePrefix = "service."
	defaultLead   = 60 * timekeeper.Minute
	coveredPoll   = timekeeper.Second
	// Bounds of the wait between two reads while a schedule is missing. All nodes miss it at the same time when a
	// service is new: at 3,200 nodes the base spreads their reads to 800 a second. The cap holds for a data centre that
	// a template names and that has no nodes, so that its schedule never comes.
	missingBase = 4 * timekeeper.Second
	missingCap  = 8 * timekeeper.Minute
)

// KeeperOptions sets up a Keeper.
type KeeperOptions struct {
	Platform  connector.Platform
	Clock     timekeeper.Clock
	Placement *ScheduledPlacement
	Directory Directory
	Zone      string                     // this node's data centre
	Services  func() map[string][]string // data centres of each service in the view in force, sorted
	Relay     func() bool                // whether this node writes schedules
	Window    timekeeper.Millis          // memory window, default 10 min
	// Lead is how long ids get owners without a reachable platform, and how long a new name waits to become an owner.
	// Default 60 min.
	Lead timekeeper.Millis
}

// Keeper reads the agreed schedules from the platform, and extends them if this node is a relay.
type Keeper struct {
	options KeeperOptions
}

// NewKeeper returns a keeper that has read nothing yet.
func NewKeeper(options KeeperOptions) *Keeper {
	options.Window = orDefault(options.Window, defaultWindow)
	options.Lead = orDefault(options.Lead, defaultLead)
	return &Keeper{options: options}
}

// Run refreshes the schedules until the context ends: eight times per lead, after a claim that found none, and with
// growing waits while a service of the view has none. Until then, calls with an id from the caller are refused.
func (k *Keeper) Run(ctx context.Context) error {
	next, retry, bound := timekeeper.Millis(0), timekeeper.Millis(0), missingBase
	for {
		now := k.options.Clock.Now()
		asked := k.options.Placement.wanted.Swap(false)
		if (now >= next || asked || now >= retry) && k.Refresh(ctx) == nil {
			period := k.options.Lead / 8
			next = now + period/2 + rand.N(period)
		}
		switch {
		case k.covered():
			retry, bound = next, missingBase
		case k.options.Relay():
			retry = now
		case now >= retry:
			retry = now + bound/2 + rand.N(bound/2)
			bound = min(2*bound, missingCap)
		}
		if err := connector.Sleep(ctx, coveredPoll/2+rand.N(coveredPoll)); err != nil {
			return err
		}
	}
}

// covered reports whether each service of the view, and each of their data centres, has a schedule.
func (k *Keeper) covered() bool {
	now := k.options.Clock.Now()
	for service, zones := range k.options.Services() {
		if get(&k.options.Placement.zones, service).At(now) == nil {
			return false
		}
		for _, zone := range zones {
			if get(&k.options.Placement.owners, zone).At(now) == nil {
				return false
			}
		}
	}
	return true
}

// Refresh reads all schedules, and as a relay first extends those that need it. One List is the only call of a node
// that is not a relay.
func (k *Keeper) Refresh(ctx context.Context) error {
	snapshot, err := k.options.Platform.List(ctx, connector.KindSchedule)
	if err != nil {
		return err
	}
	if k.options.Relay() && k.extend(ctx, snapshot.Objects) {
		if snapshot, err = k.options.Platform.List(ctx, connector.KindSchedule); err != nil {
			return err
		}
	}
	var first error
	for i := range snapshot.Objects {
		if err := k.take(&snapshot.Objects[i]); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// take puts one schedule in force on this node.
func (k *Keeper) take(object *connector.Object) error {
	schedule, err := decodeSchedule(object)
	if err != nil {
		return err
	}
	if zone, ok := strings.CutPrefix(object.Name, zonePrefix); ok {
		k.options.Placement.SetOwners(zone, schedule)
	}
	if service, ok := strings.CutPrefix(object.Name, servicePrefix); ok {
		k.options.Placement.SetZones(service, schedule)
	}
	return nil
}

// extend writes the schedules of this data centre and of all services where names changed or less than three quarters
// of the lead are left, and reports whether it wrote any. With refreshes up to 3/16 of the lead apart, each node then
// holds schedules for at least 3/8 of the lead. A write that fails is left to the next refresh or another relay.
func (k *Keeper) extend(ctx context.Context, objects []connector.Object) bool {
	wanted := make(map[string][]string)
	if members := k.options.Directory.Zone(k.options.Zone); len(members) > 0 {
		wanted[zonePrefix+k.options.Zone] = namesOf(members)
	}
	for service, zones := range k.options.Services() {
		wanted[servicePrefix+service] = zones
	}
	wrote := false
	for name, names := range wanted {
		object := connector.Object{Kind: connector.KindSchedule, Name: name}
		if at := slices.IndexFunc(objects, func(o connector.Object) bool { return o.Name == name }); at >= 0 {
			object = objects[at]
		}
		wrote = k.write(ctx, object, names) || wrote
	}
	return wrote
}

// write extends one schedule if it needs it, and reports whether it tried. The revision of the object makes the write
// fail if the schedule has changed since it was read.
func (k *Keeper) write(ctx context.Context, object connector.Object, names []string) bool {
	schedule, err := decodeSchedule(&object)
	if err != nil {
		return false
	}
	now := k.options.Clock.Now()
	last := len(schedule.Epochs) - 1
	if last >= 0 && slices.Equal(schedule.Epochs[last].Names, names) && schedule.Until-now > k.options.Lead/4*3 {
		return false
	}
	value, err := json.Marshal(schedule.Plan(now, k.options.Lead, now-2*k.options.Window, names))
	if err != nil {
		return false
	}
	object.Value = value
	_, err = k.options.Platform.Put(ctx, object)
	return err == nil || classifier.CodeOf(err) == classifier.CodeConflict
}

// decodeSchedule reads a schedule; an object that does not exist yet is an empty one.
func decodeSchedule(object *connector.Object) (Schedule, error) {
	var schedule Schedule
	if len(object.Value) == 0 {
		return schedule, nil
	}
	if err := json.Unmarshal(object.Value, &schedule); err != nil {
		return schedule, classifier.Wrap(classifier.CodePlatformReply, object.Name, err)
	}
	return schedule, nil
}
