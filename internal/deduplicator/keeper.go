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
	checkInterval = timekeeper.Second
	// Bounds of the backoff between two reads while a schedule is missing. All nodes miss it at the same time when a
	// service is new: with 3,200 nodes the minimum spreads their reads to 800/s. The maximum matters for a data centre
	// that a template names but that has no nodes, because its schedule is never written.
	minMissingWait = 4 * timekeeper.Second
	maxMissingWait = 8 * timekeeper.Minute
)

// KeeperOptions configures a Keeper.
type KeeperOptions struct {
	Platform  connector.Platform
	Clock     timekeeper.Clock
	Placement *ScheduledPlacement
	Directory Directory
	Zone      string                     // this node's data centre
	Services  func() map[string][]string // data centres of each service in the active view, sorted
	IsRelay   func() bool                // whether this node extends schedules, which only relays do
	Window    timekeeper.Millis          // memory window: how long ids are remembered, default 10 min
	// Lead is how far ahead of the current time schedules are written, default 60 min. With a longer lead, new ids have
	// owners for longer while the platform is unreachable, but a new member waits longer until it becomes an owner.
	Lead timekeeper.Millis
}

// Keeper reads schedules from the platform into a ScheduledPlacement, and extends them if this node is a relay.
type Keeper struct {
	options KeeperOptions
}

// NewKeeper returns a keeper that has not read any schedule yet.
func NewKeeper(options KeeperOptions) *Keeper {
	options.Window = orDefault(options.Window, defaultWindow)
	options.Lead = orDefault(options.Lead, defaultLead)
	return &Keeper{options: options}
}

// Run refreshes the schedules until the context ends: eight times per lead, after a claim that found no schedule, and
// with backoff while a service of the active view has none. Calls to such a service with an id from the caller are
// refused.
func (k *Keeper) Run(ctx context.Context) error {
	nextRefresh, nextRetry, backoff := timekeeper.Millis(0), timekeeper.Millis(0), minMissingWait
	for {
		now := k.options.Clock.Now()
		requested := k.options.Placement.missing.Swap(false)
		if (now >= nextRefresh || requested || now >= nextRetry) && k.Refresh(ctx) == nil {
			period := k.options.Lead / 8
			nextRefresh = now + period/2 + rand.N(period)
		}
		switch {
		case k.hasAllSchedules():
			nextRetry, backoff = nextRefresh, minMissingWait
		case k.options.IsRelay():
			nextRetry = now
		case now >= nextRetry:
			nextRetry = now + backoff/2 + rand.N(backoff/2)
			backoff = min(2*backoff, maxMissingWait)
		}
		if err := connector.Sleep(ctx, checkInterval/2+rand.N(checkInterval)); err != nil {
			return err
		}
	}
}

// hasAllSchedules reports whether each service of the active view and each data centre of a service has a schedule that
// covers the current time.
func (k *Keeper) hasAllSchedules() bool {
	now := k.options.Clock.Now()
	for service, zones := range k.options.Services() {
		if loadSchedule(&k.options.Placement.zones, service).At(now) == nil {
			return false
		}
		for _, zone := range zones {
			if loadSchedule(&k.options.Placement.owners, zone).At(now) == nil {
				return false
			}
		}
	}
	return true
}

// Refresh reads all schedules. A relay first extends the schedules that need it. Other nodes make only a single List
// call.
func (k *Keeper) Refresh(ctx context.Context) error {
	snapshot, err := k.options.Platform.List(ctx, connector.KindSchedule)
	if err != nil {
		return err
	}
	if k.options.IsRelay() && k.extend(ctx, snapshot.Objects) {
		if snapshot, err = k.options.Platform.List(ctx, connector.KindSchedule); err != nil {
			return err
		}
	}
	var firstError error
	for i := range snapshot.Objects {
		if err := k.apply(&snapshot.Objects[i]); err != nil && firstError == nil {
			firstError = err
		}
	}
	return firstError
}

// apply stores a schedule from the platform in the placement.
func (k *Keeper) apply(object *connector.Object) error {
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

// extend extends the schedules of this data centre and of all services if their names changed or they cover less than
// three quarters of the lead, and reports whether it wrote any. Refreshes are up to 3/16 of the lead apart, so that the
// schedules of each node cover at least 3/8 of the lead. The next refresh or another relay retries a failed write.
func (k *Keeper) extend(ctx context.Context, objects []connector.Object) bool {
	current := make(map[string][]string)
	if members := k.options.Directory.Zone(k.options.Zone); len(members) > 0 {
		current[zonePrefix+k.options.Zone] = namesOf(members)
	}
	for service, zones := range k.options.Services() {
		current[servicePrefix+service] = zones
	}
	written := false
	for name, names := range current {
		object := connector.Object{Kind: connector.KindSchedule, Name: name}
		if at := slices.IndexFunc(objects, func(o connector.Object) bool { return o.Name == name }); at >= 0 {
			object = objects[at]
		}
		written = k.write(ctx, object, names) || written
	}
	return written
}

// write extends a schedule if necessary, and reports whether it wrote it or met a conflicting write. The revision of
// the object makes the write fail if the schedule has changed since it was read.
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

// decodeSchedule decodes a schedule. An object that does not exist yet yields an empty schedule.
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
