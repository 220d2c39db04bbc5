package rollouter

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

const (
	// roundInterval is the time between two rounds of a roll-out.
	roundInterval = 400 * timekeeper.Millis(1)
	// grantTimeout bounds the message of a grant.
	grantTimeout = 350 * timekeeper.Millis(1)
	// maxConcurrentGrants bounds the messages in flight.
	maxConcurrentGrants = 64
	// maxStartSkew bounds how much earlier than this node another one can have learned of an order.
	maxStartSkew = 10 * timekeeper.Second

	grantMethod = "Rollouter.Grant"
)

// Directory lists the members of the mesh; *tracker.Tracker satisfies it.
type Directory interface {
	Service(name string) []tracker.Member
	Zones() []string
	Relays(zone string) []tracker.Member
}

// Caller makes calls of the node protocol; messenger.Caller satisfies it.
type Caller interface {
	Call(ctx context.Context, peer, method string, arguments, reply any, timeout timekeeper.Millis) error
}

// Options are the settings and dependencies of a Conductor.
type Options struct {
	Name      string  // member name of this node
	Share     float64 // of the requests that a version may get while it is not known to be good
	Directory Directory
	Caller    Caller
	Clock     timekeeper.Clock
	Logger    *zap.Logger
	// Settled reports whether this node knows the mesh; nil for always. Before, it would take a version for the only one.
	Settled func() bool
	// Write stores the status of an order on the condition that neither has changed since it was read.
	Write func(ctx context.Context, order *Order, status *Status) error
}

// Conductor conducts the roll-outs for which this node is responsible. It is safe for concurrent use.
type Conductor struct {
	options  Options
	mutex    sync.Mutex
	orders   map[string]*Order // by service
	known    map[string]timekeeper.Millis
	machines map[string]*Machine // by service; of roll-outs that this node conducts
	targets  map[string]string   // version that each machine is about
}

// NewConductor returns a conductor without orders.
func NewConductor(options Options) *Conductor {
	return &Conductor{
		options: options, orders: make(map[string]*Order), known: make(map[string]timekeeper.Millis),
		machines: make(map[string]*Machine), targets: make(map[string]string),
	}
}

// SetOrders sets the orders that are known, by service.
func (c *Conductor) SetOrders(orders map[string]*Order) {
	now := c.options.Clock.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for service, order := range orders {
		if before := c.orders[service]; before == nil || before.Target != order.Target {
			c.known[service] = now
		}
	}
	c.orders = orders
}

// Order returns the order of a service, or nil.
func (c *Conductor) Order(service string) *Order {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.orders[service]
}

// Orders returns the known orders, sorted by service.
func (c *Conductor) Orders() []*Order {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	orders := make([]*Order, 0, len(c.orders))
	for _, service := range slices.Sorted(maps.Keys(c.orders)) {
		orders = append(orders, c.orders[service])
	}
	return orders
}

// Progress returns the state of the roll-outs that this node conducts, sorted by service.
func (c *Conductor) Progress() []Progress {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var all []Progress
	for _, service := range slices.Sorted(maps.Keys(c.machines)) {
		if order := c.orders[service]; order != nil {
			all = append(all, c.machines[service].Progress(order))
		}
	}
	return all
}

// Overview is what a node knows of roll-outs.
type Overview struct {
	Orders    []*Order   `json:"orders"`
	Conducted []Progress `json:"conducted"` // by this node
}

// Overview returns the known orders and the roll-outs that this node conducts.
func (c *Conductor) Overview() Overview {
	return Overview{Orders: c.Orders(), Conducted: c.Progress()}
}

// Run conducts roll-outs until ctx ends. It returns nil.
func (c *Conductor) Run(ctx context.Context) error {
	for connector.Sleep(ctx, roundInterval) == nil {
		var group sync.WaitGroup
		for _, order := range c.Orders() {
			group.Go(func() { c.conduct(ctx, order) })
		}
		group.Wait()
	}
	return nil
}

// conduct runs one round of a roll-out if this node is responsible for it, and another one at once if the version is
// found bad in it.
func (c *Conductor) conduct(ctx context.Context, order *Order) {
	machine := c.machine(order)
	if machine == nil {
		return
	}
	status, after := c.round(ctx, order, machine)
	if after == stageStop && status == nil {
		status, _ = c.round(ctx, order, machine)
	}
	if status != nil && ctx.Err() == nil {
		c.write(ctx, order, status)
	}
}

// round runs one round of a roll-out. It returns the status to write, or nil, and the stage after the round.
func (c *Conductor) round(ctx context.Context, order *Order, machine *Machine) (*Status, stage) {
	members := c.options.Directory.Service(order.Service)
	c.mutex.Lock()
	sendings := machine.Plan(order, members)
	c.mutex.Unlock()
	reports := c.send(ctx, sendings)
	c.mutex.Lock()
	before := machine.stage
	status := machine.Evaluate(c.options.Clock.Now(), order, members, reports)
	progress := machine.Progress(order)
	after := machine.stage
	c.mutex.Unlock()
	if before != after {
		c.options.Logger.Info("roll-out moves on", zap.String("service", order.Service),
			zap.String("version", order.Target), zap.Stringer("stage", after), zap.Stringer("stage_before", before),
			zap.Int("exposed", progress.Exposed), zap.Int("served", progress.Served), zap.Int("judged", progress.Judged),
			zap.Float64("score", progress.Score), zap.String("reason", progress.Reason))
	}
	return status, after
}

// machine returns the machine of an order if this node is responsible for it, else nil.
func (c *Conductor) machine(order *Order) *Machine {
	settled := c.options.Settled == nil || c.options.Settled()
	responsible := settled && order.Running() && c.responsible(order.Service)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !responsible || c.targets[order.Service] != order.Target {
		delete(c.machines, order.Service)
		delete(c.targets, order.Service)
	}
	if !responsible {
		return nil
	}
	if c.machines[order.Service] == nil {
		started := c.known[order.Service]
		if stated := order.Current().Started; stated < started && stated > started-maxStartSkew-order.Period {
			started = max(stated, 1)
		}
		c.machines[order.Service] = NewMachine(started, c.options.Share, rand.IntN(1<<16))
		c.targets[order.Service] = order.Target
		c.options.Logger.Info("this node conducts a roll-out", zap.String("service", order.Service),
			zap.String("version", order.Target), zap.Int64("period_ms", int64(order.Period)),
			zap.Int64("started", int64(started)))
	}
	return c.machines[order.Service]
}

// responsible reports whether this node conducts the roll-outs of a service: of all relays that are alive, it has the
// highest rendezvous weight. While members differ in their views, two nodes may conduct the same roll-out: the grants
// of both bound the requests of the new version, and the platform accepts one final status.
func (c *Conductor) responsible(service string) bool {
	best, highest := "", uint64(0)
	for _, zone := range c.options.Directory.Zones() {
		for _, relay := range c.options.Directory.Relays(zone) {
			if weight := xxhash.Sum64String(service + "\x00" + relay.Name); best == "" || weight > highest {
				best, highest = relay.Name, weight
			}
		}
	}
	return best == c.options.Name
}

// send sends grants and returns the reports by member.
func (c *Conductor) send(ctx context.Context, sendings []Sending) map[string]Report {
	var mutex sync.Mutex
	reports := make(map[string]Report, len(sendings))
	var group errgroup.Group
	group.SetLimit(maxConcurrentGrants)
	for _, sending := range sendings {
		group.Go(func() error {
			var report Report
			err := c.options.Caller.Call(ctx, sending.Member.Peer, grantMethod, &sending.Grant, &report, grantTimeout)
			if err == nil {
				err = report.check()
			}
			if err != nil {
				c.options.Logger.Debug("no report", zap.String("member", sending.Member.Name), zap.Error(err))
				return nil
			}
			mutex.Lock()
			defer mutex.Unlock()
			reports[sending.Member.Name] = report
			return nil
		})
	}
	_ = group.Wait()
	return reports
}

// write stores a status. Nodes learn of it from the platform; the next round repeats a write that failed.
func (c *Conductor) write(ctx context.Context, order *Order, status *Status) {
	err := c.options.Write(ctx, order, status)
	fields := []zap.Field{
		zap.String("service", order.Service), zap.String("version", order.Target),
		zap.String("phase", string(status.Phase)), zap.Bool("switching", status.Switching),
	}
	if err != nil {
		c.options.Logger.Warn("status of a roll-out not written", append(fields, zap.Error(err))...)
		return
	}
	c.options.Logger.Info("status of a roll-out written", fields...)
}
