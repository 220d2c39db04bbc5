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
	// idRetention is the time for which request ids are remembered.
	idRetention = 10 * timekeeper.Minute
	// ownerDelay is the time between a relay's first contact with other members and its first write of the owners of
	// request ids. Members that start together find each other within a few seconds; a member that is missing from the
	// first write becomes an owner much later.
	ownerDelay = 8 * timekeeper.Second
	// drainGrace bounds the wait for requests in flight at a planned stop.
	drainGrace = timekeeper.Minute
	// refreshPeriod is the time between two updates of the node's membership entry, or two checks of a hosted node's
	// upstream.
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

// Stop starts a planned stop and returns at once.
func (n *Node) Stop() {
	if n.stopping.CompareAndSwap(false, true) {
		close(n.stop)
	}
}

// Kill stops the node at once without draining it, like a crash of its process. Measurements use it.
func (n *Node) Kill() {
	if n.killed.CompareAndSwap(false, true) {
		close(n.kill)
	}
}

// Run opens the node's addresses and runs its parts until ctx ends or Stop is called. Then it drains:
// the parts keep running until requests in flight have ended.
func (n *Node) Run(ctx context.Context) error {
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group run.Group
	err := openEndpoints(base, &group, memoryLimit(&n.settings),
		endpoint{n.settings.Peer, peerHandler(n.host, n.rpc), stopTimeout, n.killed.Load, nil, nil},
		endpoint{n.settings.Admin, n.admin, stopTimeout, n.killed.Load, nil, nil},
		endpoint{
			n.settings.Caller, newCallMetrics(n.meter, n.entry), stopTimeout, n.killed.Load, n.entry.MayRunAhead, nil,
		},
	)
	if err != nil {
		return err
	}
	addParts(base, cancel, &group, n.Tracker.Run, n.relayer.Run, n.seeder.run, n.auditor.Run, n.prober.Run, n.refresh,
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

// runKeeper runs the keeper until ctx ends and returns no error.
func (n *Node) runKeeper(ctx context.Context) error {
	_ = n.keeper.Run(ctx)
	return nil
}

// mayAssignOwners reports whether this node writes the schedules that assign request ids to owners.
func (n *Node) mayAssignOwners() bool {
	joined := timekeeper.Millis(n.joined.Load())
	return joined > 0 && n.dependencies.Clock.Now()-joined >= ownerDelay && n.Tracker.IsRelay()
}

// awaitStop waits for a stop request and drains the node.
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
			n.joined.Store(int64(n.dependencies.Clock.Now()))
		}
		slots := n.slots()
		if slots > 0 && slots != n.queue.Load().Slots {
			n.queue.SetSlots(slots)
		}
		n.announce(slots)
	}
	return nil
}

// slots returns the upstream's slots from the settings, or else from the active view; 0 if neither states them.
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

// announce updates the node's membership entry when its state or slots have changed.
func (n *Node) announce(slots int) {
	if n.drainer.Draining() {
		return
	}
	state := tracker.StateStarting
	_, accepts := n.observer.instance()
	if n.Follower.Ready() && n.prober.Alive() && accepts && slots > 0 {
		state = tracker.StateReady
	}
	self := n.Tracker.Self()
	if self.State == state && self.Slots == slots {
		return
	}
	n.Tracker.SetSelf(func(m *tracker.Member) {
		if m.State != tracker.StateReady && state == tracker.StateReady {
			m.Started = n.dependencies.Clock.Now()
		}
		m.State, m.Slots = state, slots
	})
}
