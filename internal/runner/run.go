package runner

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/oklog/run"

	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/loader"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

const (
	// memoryWindow is the time for which request ids are remembered.
	memoryWindow = 10 * timekeeper.Minute
	// placePatience is how long a relay has known other members before it writes who owns request ids. Members that
	// start together find each other within a few seconds, and a name that is missed becomes an owner much later.
	placePatience = 8 * timekeeper.Second
	// drainGrace bounds the wait for work in flight at a planned stop.
	drainGrace = timekeeper.Minute
	// refreshPeriod is the time between two looks at what the node announces of itself.
	refreshPeriod = 100 * timekeeper.Millis(1)
)

// Run runs a node with the given settings until ctx ends, then drains it.
func Run(ctx context.Context, settings loader.Settings) error {
	debug.SetMemoryLimit(settings.Memory.Process)
	node, err := New(settings, Dependencies{Clock: timekeeper.System(), Log: os.Stderr})
	if err != nil {
		return err
	}
	return node.Run(ctx)
}

// Stop starts the planned stop and returns at once.
func (n *Node) Stop() {
	if n.stopping.CompareAndSwap(false, true) {
		close(n.stop)
	}
}

// Kill ends the node at once and without a planned stop, as the end of its process would. Measurements use it.
func (n *Node) Kill() {
	if n.killed.CompareAndSwap(false, true) {
		close(n.kill)
	}
}

// Run opens the node's addresses and runs its parts until ctx ends or Stop is called. Then it drains: the parts stay
// until work in flight has ended.
func (n *Node) Run(ctx context.Context) error {
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group run.Group
	err := open(base, &group,
		endpoint{n.settings.Peer, peerHandler(n.host, n.rpc), stopTimeout, n.killed.Load},
		endpoint{n.settings.Admin, n.admin, stopTimeout, n.killed.Load},
		endpoint{n.settings.Caller, newCallMetrics(n.meter, n.entry), stopTimeout, n.killed.Load},
	)
	if err != nil {
		return err
	}
	add(base, cancel, &group, n.Tracker.Run, n.relayer.Run, n.seeder.run, n.auditor.Run, n.prober.Run, n.refresh,
		n.runIsolator, n.runKeeper,
		func(ctx context.Context) error { return n.Publisher.Run(ctx, n.Tracker.IsRelay) },
		func(base context.Context) error { return n.awaitStop(ctx, base) },
	)
	n.logger.Info("node: started")
	err = group.Run()
	n.client.Close()
	n.rpc.Close()
	n.entry.Close()
	n.host.Close()
	n.logger.Info("node: ended")
	return err
}

func (n *Node) runIsolator(ctx context.Context) error {
	n.isolator.Run(ctx)
	return nil
}

// runKeeper ends without an error at the end of ctx.
func (n *Node) runKeeper(ctx context.Context) error {
	_ = n.keeper.Run(ctx)
	return nil
}

// mayPlace reports whether this node writes the schedules of the owners of request ids.
func (n *Node) mayPlace() bool {
	joined := timekeeper.Millis(n.joined.Load())
	return joined > 0 && n.edges.Clock.Now()-joined >= placePatience && n.Tracker.IsRelay()
}

// awaitStop waits for the order to stop and drains the node.
func (n *Node) awaitStop(ctx, base context.Context) error {
	select {
	case <-ctx.Done():
	case <-n.stop:
	case <-n.kill:
		return nil
	case <-base.Done():
		return nil
	}
	n.logger.Info("node: draining")
	drained := make(chan error, 1)
	go func() { drained <- n.drainer.Drain(base) }()
	select {
	case err := <-drained:
		return err
	case <-n.kill:
		return nil
	}
}

// refresh keeps the node's own membership entry and the slots of its queue current.
func (n *Node) refresh(ctx context.Context) error {
	for connector.Sleep(ctx, refreshPeriod) == nil {
		if n.joined.Load() == 0 && n.Tracker.Joined() {
			n.joined.Store(int64(n.edges.Clock.Now()))
		}
		slots := n.slots()
		if slots > 0 && slots != n.queue.Load().Slots {
			n.queue.SetSlots(slots)
		}
		n.announce(slots)
	}
	return nil
}

// slots returns the upstream's slots from the settings or else from the view in force; 0 if neither tells.
func (n *Node) slots() int {
	if n.settings.Slots > 0 {
		return n.settings.Slots
	}
	if view := n.Follower.Active(); view != nil {
		if service := view.Service(n.settings.Service); service != nil {
			return service.Slots
		}
	}
	return 0
}

// announce tells the mesh about a change of the node's state or slots.
func (n *Node) announce(slots int) {
	if n.drainer.Draining() {
		return
	}
	state := tracker.StateStarting
	if n.Follower.Ready() && n.prober.Alive() && slots > 0 {
		state = tracker.StateReady
	}
	self := n.Tracker.Self()
	if self.State == state && self.Slots == slots {
		return
	}
	n.Tracker.SetSelf(func(m *tracker.Member) {
		if m.State != tracker.StateReady && state == tracker.StateReady {
			m.Started = n.edges.Clock.Now()
		}
		m.State, m.Slots = state, slots
	})
}
