package runner

import (
	"context"
	"errors"
	"net/http"
	"reflect"
	"runtime/debug"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/loader"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// leastGrace bounds the wait for work in flight at a planned stop from below, in ms.
	leastGrace = 500 * timekeeper.Millis(1)
	// stopReserve is the part of the time for a planned stop that is kept for the steps after the work in flight has
	// ended, three times hostedStop, and for late timers, in ms.
	stopReserve = 800 * timekeeper.Millis(1)
	// hostedStop bounds each step after the work in flight has ended, in ms: the last bytes of answers, the goodbye to
	// other nodes.
	hostedStop = 200 * timekeeper.Millis(1)
	// lingerSpan is how long a node refuses work of other nodes before it closes its addresses: a request that meets a
	// closed connection has an unknown outcome. Other nodes hear of the stop within half a second.
	lingerSpan = 700 * timekeeper.Millis(1)
	// noticeChecks is the number of readiness checks after which callers send a stopping node no new work.
	noticeChecks = 2
	// noticeSpan bounds the wait for these checks, which come once a second.
	noticeSpan = 2500 * timekeeper.Millis(1)
	// noticeMargin is how long a caller may take to act on the last check, in ms.
	noticeMargin = 150 * timekeeper.Millis(1)
)

// RunHosted runs a hosted node until ctx ends, then drains it.
func RunHosted(ctx context.Context, settings loader.Settings, edges Dependencies, protocol Protocol) error {
	limit := settings.Memory.Process
	if given := int64(settings.Hosted.Memory * 1e6 * memoryShare / 100); given > 0 {
		limit = min(limit, given)
	}
	debug.SetMemoryLimit(limit)
	debug.SetGCPercent(garbagePercent)
	node, err := NewHosted(settings, edges, protocol)
	if err != nil {
		return err
	}
	return node.Run(ctx)
}

// ready reports whether the node takes callers.
func (n *Hosted) ready() bool {
	if n.stopping.Load() {
		select {
		case n.turned <- struct{}{}:
		default:
		}
		return false
	}
	return n.subscriber.Ready()
}

// Run opens the node's addresses and runs its parts until ctx ends. Then it drains.
func (n *Hosted) Run(ctx context.Context) error {
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group run.Group
	err := open(base, &group,
		endpoint{n.settings.Hosted.Control, n.protocol.Control(n.registrar), hostedStop, always},
		endpoint{n.settings.Peer, peerHandler(n.host, n.rpc), hostedStop, nil},
		endpoint{n.settings.Admin, n.meter, hostedStop, always},
		endpoint{n.settings.Hosted.Ready, n.protocol.Ready(n.ready), hostedStop, always},
		endpoint{
			n.settings.Caller, n.protocol.Entry(n.endConnections(newCallMetrics(n.meter, n.entry))), hostedStop, nil,
		},
	)
	if err != nil {
		return err
	}
	add(base, cancel, &group, n.tracker.Run, n.subscriber.Run, n.seeder.run, n.refresh, n.reload,
		func(ctx context.Context) error {
			n.isolator.Run(ctx)
			return nil
		},
		func(base context.Context) error { return n.awaitStop(ctx, base) },
	)
	written := make(chan error, 1)
	logging, endLogging := context.WithCancel(context.WithoutCancel(ctx))
	go func() { written <- n.lines.Run(logging) }()
	n.logger.Info("node: started", zap.String("service", n.settings.Service), zap.String("zone", n.settings.Zone))
	err = group.Run()
	n.client.Close()
	n.rpc.Close()
	n.entry.Close()
	n.host.Close()
	n.logger.Info("node: ended")
	endLogging()
	return errors.Join(err, <-written)
}

// awaitStop waits for the order to stop and drains the node.
func (n *Hosted) awaitStop(ctx, base context.Context) error {
	select {
	case <-ctx.Done():
	case <-base.Done():
		return nil
	}
	n.logger.Info("node: draining")
	n.stopping.Store(true)
	n.awaitNotice(base) // the upstream goes on working for other nodes meanwhile
	n.leaving.Store(true)
	n.announce(n.registrar.Current())
	return n.drainer.Drain(base)
}

// endConnections asks callers for a new connection after each response during a stop.
func (n *Hosted) endConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.stopping.Load() {
			w.Header()["Connection"] = []string{"close"}
		}
		next.ServeHTTP(w, r)
	})
}

// reload compares the settings with those at the start whenever the process is told that they changed. All of them
// describe addresses and the place of the node, so a change takes effect at the next start.
func (n *Hosted) reload(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.edges.ReloadSignals:
		}
		settings, err := n.edges.Reload()
		if err != nil {
			n.logger.Error("node: settings are not valid and stay as they are", zap.Error(err))
			continue
		}
		n.logger.Info("node: settings read again", zap.Bool("changed", !reflect.DeepEqual(settings, n.settings)))
	}
}

// awaitNotice serves callers on until they have noticed that the node is no longer ready.
func (n *Hosted) awaitNotice(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, noticeSpan.Duration())
	defer cancel()
	for range noticeChecks {
		select {
		case <-n.turned:
		case <-bounded.Done():
			return
		}
	}
	_ = connector.Sleep(bounded, noticeMargin)
}

// refresh looks for an upstream that went silent.
func (n *Hosted) refresh(ctx context.Context) error {
	for connector.Sleep(ctx, refreshPeriod) == nil {
		n.registrar.ExpireStale()
		n.registrar.Verify(ctx)
	}
	return nil
}

func seconds(span float64) timekeeper.Millis {
	return timekeeper.Millis(span * float64(timekeeper.Second))
}

// grace returns how long a planned stop waits for work in flight: what is left of the platform's time after the notice
// to callers and without the last steps.
func (n *Hosted) grace() timekeeper.Millis {
	return max(seconds(n.settings.Hosted.Grace)-noticeSpan-noticeMargin-stopReserve, leastGrace)
}

// leave tells other nodes that this one ends.
func (n *Hosted) leave(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, hostedStop.Duration())
	defer cancel()
	n.tracker.Leave(bounded)
}
