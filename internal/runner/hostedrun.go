package runner

import (
	"context"
	"errors"
	"net/http"
	"reflect"
	"runtime/debug"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/collector"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/loader"
	"github.com/jasmineproxy/jasmineproxy/internal/logger"
	"github.com/jasmineproxy/jasmineproxy/internal/pipeliner"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// stopReserve is the least part of the time for a planned stop that is reserved for the three steps after requests in
	// flight have ended, each bounded by hostedStopTimeout, and for late timers, in ms.
	stopReserve = 800 * timekeeper.Millis(1)
	// reserveDivisor divides the time for a planned stop into the part at its end in which the platform accepts that
	// requests in flight are cut off. Requests have reserveMargin longer, so that those that do not end are cut off within
	// that part, and the node waits another replyTime for their answers.
	reserveDivisor = 6
	reserveMargin  = 100 * timekeeper.Millis(1)
	replyTime      = 50 * timekeeper.Millis(1)
	// hostedStopTimeout bounds each step after requests in flight have ended, in ms, such as the last bytes of responses
	// and the node's departure from the mesh.
	hostedStopTimeout = 200 * timekeeper.Millis(1)
	// lingerTime is how long a node refuses requests of other nodes before it closes its addresses: a request on a closed
	// connection has an unknown outcome. Other nodes learn of the stop within half a second.
	lingerTime = 700 * timekeeper.Millis(1)
	// noticeChecks is the number of failed readiness checks after which callers send a stopping node no new requests.
	noticeChecks = 2
	// noticeTimeout bounds the wait for these checks, which come once a second.
	noticeTimeout = 2500 * timekeeper.Millis(1)
	// noticeMargin is the time that callers have to react to the last check, in ms.
	noticeMargin = 150 * timekeeper.Millis(1)
)

// RunHosted runs a hosted node until ctx ends, then drains it.
func RunHosted(ctx context.Context, settings loader.Settings, dependencies Dependencies, protocol Protocol) error {
	limit := settings.Memory.Process
	if hostedLimit := int64(settings.Hosted.Memory * 1e6 * memoryShare / 100); hostedLimit > 0 {
		limit = min(limit, hostedLimit)
	}
	debug.SetMemoryLimit(limit)
	node, err := NewHosted(settings, dependencies, protocol)
	if err != nil {
		return err
	}
	defer logger.RedirectStandard(logger.NewLimited(node.loggerFor("node"), dependencies.Clock))()
	return node.Run(ctx)
}

// ready reports whether the node serves callers. During a stop it also counts the check for awaitNotice.
func (n *Hosted) ready() bool {
	if n.stopping.Load() {
		select {
		case n.notReady <- struct{}{}:
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
	err := openEndpoints(base, &group, memoryLimit(&n.settings),
		endpoint{n.settings.Hosted.Control, n.protocol.Control(n.registrar), hostedStopTimeout, always, nil, nil},
		endpoint{n.settings.Peer, peerHandler(n.host, n.rpc), hostedStopTimeout, nil, nil, nil},
		endpoint{n.settings.Admin, n.adminHandler(), hostedStopTimeout, always, nil, nil},
		endpoint{
			n.settings.Hosted.Ready, n.protocol.Ready(n.ready), hostedStopTimeout, always, neverAhead, n.readyBounds,
		},
		endpoint{
			n.settings.Caller, n.protocol.Entry(n.endConnections(newCallMetrics(n.meter, n.entry))), hostedStopTimeout, nil,
			n.entry.MayRunAhead, n.callerBounds,
		},
	)
	if err != nil {
		return err
	}
	addParts(base, cancel, &group, n.tracker.Run, n.settler.Run, n.subscriber.Run, n.seeder.run, n.watchUpstream, n.reload,
		func(ctx context.Context) error {
			n.isolator.Run(ctx)
			return nil
		},
		n.conductRollouts,
		func(base context.Context) error {
			return collector.New(n.dependencies.Clock.Now()).Run(base, n.dependencies.Clock)
		},
		func(base context.Context) error { return n.awaitStop(ctx, base) },
	)
	logEnded := make(chan error, 1)
	logContext, endLog := context.WithCancel(context.WithoutCancel(ctx))
	go func() { logEnded <- n.asyncLog.Run(logContext) }()
	n.logger.Info("node: started", zap.String("service", n.settings.Service), zap.String("zone", n.settings.Zone))
	err = group.Run()
	n.client.Close()
	n.rpc.Close()
	n.entry.Close()
	n.host.Close()
	n.logger.Info("node: ended")
	endLog()
	return errors.Join(err, <-logEnded)
}

// awaitStop waits for the end of ctx and drains the node.
func (n *Hosted) awaitStop(ctx, base context.Context) error {
	select {
	case <-ctx.Done():
	case <-base.Done():
		return nil
	}
	n.logger.Info("node: draining")
	n.stopTime.Store(int64(n.dependencies.Clock.Now() + workTime(toMillis(n.settings.Hosted.Grace))))
	n.stopping.Store(true)
	n.awaitNotice(base) // meanwhile the upstream still serves requests of other nodes
	n.leaving.Store(true)
	n.announce(n.registrar.Current())
	return n.drainer.Drain(base)
}

// endConnections closes the connection of a caller after each response during a stop.
func (n *Hosted) endConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn := pipeliner.ConnOf(r); n.stopping.Load() && (conn == nil || !conn.StopAhead()) {
			w.Header()["Connection"] = []string{"close"}
		}
		next.ServeHTTP(w, r)
	})
}

// reload reads the settings again at each reload signal and logs whether they have changed since the start. A change
// takes effect only at the next start, since all settings describe addresses and the location of the node.
func (n *Hosted) reload(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.dependencies.ReloadSignals:
		}
		settings, err := n.dependencies.Reload()
		if err != nil {
			n.logger.Error("node: settings are not valid and remain unchanged", zap.Error(err))
			continue
		}
		n.logger.Info("node: settings read again", zap.Bool("changed", !reflect.DeepEqual(settings, n.settings)))
	}
}

// awaitNotice waits until callers have noticed that the node is no longer ready. They are served until then.
func (n *Hosted) awaitNotice(ctx context.Context) {
	timeout := noticeTime(toMillis(n.settings.Hosted.Grace))
	bounded, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	for range noticeChecks {
		select {
		case <-n.notReady:
		case <-bounded.Done():
			return
		}
	}
	_ = connector.Sleep(bounded, noticeMargin)
}

// watchUpstream detects an upstream that stopped sending heartbeats, and verifies the identity of a new one.
func (n *Hosted) watchUpstream(ctx context.Context) error {
	for connector.Sleep(ctx, refreshPeriod) == nil {
		n.registrar.ExpireStale()
		n.registrar.Verify(ctx)
		n.refreshAdmission()
		n.logLimit()
	}
	return nil
}

// limitLogInterval is the time between two log lines about a stated limit, in ms.
const limitLogInterval = timekeeper.Second

// logLimit logs how many requests the node sends to an upstream that states a limit.
func (n *Hosted) logLimit() {
	limit, now := n.registrar.Current().Limit, n.dependencies.Clock.Now()
	if !limit.Stated || now-n.limitLogged < limitLogInterval {
		return
	}
	n.limitLogged = now
	load := n.queue.Load()
	n.logger.Info("node: upstream is limited", zap.Float64("limit", limit.Rate),
		zap.Int("started_1s", n.queue.Started()), zap.Int("running", load.Running), zap.Int("queued", load.Queued))
}

// addMetrics registers the metrics of the node whose values are read when the metrics are written.
func (n *Hosted) addMetrics() {
	n.meter.AddRuntime()
	n.meter.Function("queue_running", func() int64 { return int64(n.queue.Load().Running) })
	n.meter.Function("queue_waiting", func() int64 { return int64(n.queue.Load().Queued) })
	n.meter.Function("queue_started_last_second", func() int64 { return int64(n.queue.Started()) })
	n.addRolloutMetrics()
	n.addKeyMetrics()
	n.addBoundMetrics()
	if n.bulk != nil {
		n.meter.Function("link_backlog_ms", func() int64 { return int64(n.bulk.Backlog(n.dependencies.Clock.Now())) })
		n.meter.Function("link_refusals", n.bulk.Refused)
	}
	if n.hedger != nil {
		n.meter.Function("second_attempts", n.hedger.Sent)
		n.meter.Function("second_attempts_first", n.hedger.Won)
	}
	n.meter.Function("upstream_limited", func() int64 {
		if n.registrar.Current().Limit.Stated {
			return 1
		}
		return 0
	})
	n.meter.Function("upstream_limit_per_1000s", func() int64 {
		return int64(n.registrar.Current().Limit.Rate * 1000)
	})
}

func toMillis(seconds float64) timekeeper.Millis {
	return timekeeper.Millis(seconds * float64(timekeeper.Second))
}

// workTime returns the time by which requests in flight must have ended in a planned stop, in ms after the stop signal,
// given the platform's time limit for the stop.
func workTime(limit timekeeper.Millis) timekeeper.Millis {
	return max(limit-max(limit/reserveDivisor-reserveMargin, stopReserve), 0)
}

// noticeTime returns how long a planned stop waits for callers to notice it, in ms. Half of the time for requests in
// flight remains for those that were taken last.
func noticeTime(limit timekeeper.Millis) timekeeper.Millis {
	return min(noticeTimeout, workTime(limit)/2)
}

// stopBy returns the time by which work must have ended, or 0 if the node does not stop.
func (n *Hosted) stopBy() timekeeper.Millis {
	return timekeeper.Millis(n.stopTime.Load())
}

// remainingGrace returns how long the planned stop may still wait for requests in flight. The time that callers took to
// notice the stop counts as it was: with its bound in its place, requests were cut off a second before they had to be.
func (n *Hosted) remainingGrace() timekeeper.Millis {
	return max(n.stopBy()+replyTime-n.dependencies.Clock.Now(), 0)
}

// leave informs other nodes that this node is leaving the mesh.
func (n *Hosted) leave(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, hostedStopTimeout.Duration())
	defer cancel()
	n.tracker.Leave(bounded)
}
