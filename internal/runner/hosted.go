package runner

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/acceptor"
	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/allotter"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/drainer"
	"github.com/jasmineproxy/jasmineproxy/internal/forwarder"
	"github.com/jasmineproxy/jasmineproxy/internal/hedger"
	"github.com/jasmineproxy/jasmineproxy/internal/isolator"
	"github.com/jasmineproxy/jasmineproxy/internal/loader"
	"github.com/jasmineproxy/jasmineproxy/internal/logger"
	"github.com/jasmineproxy/jasmineproxy/internal/messenger"
	"github.com/jasmineproxy/jasmineproxy/internal/meter"
	"github.com/jasmineproxy/jasmineproxy/internal/registrar"
	"github.com/jasmineproxy/jasmineproxy/internal/retrier"
	"github.com/jasmineproxy/jasmineproxy/internal/rollouter"
	"github.com/jasmineproxy/jasmineproxy/internal/router"
	"github.com/jasmineproxy/jasmineproxy/internal/subscriber"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// Hosted is a node on a platform where operators store the whole configuration as one object, upstreams announce
// themselves by heartbeats, and callers never send a request id twice. It keeps no records of ids, and has neither a
// publisher nor an administrator.
type Hosted struct {
	settings     loader.Settings
	dependencies Dependencies
	protocol     Protocol
	asyncLog     *logger.Async
	logger       *zap.Logger
	meter        *meter.Meter
	client       *messenger.Client
	rpc          *messenger.Server

	tracker    *tracker.Tracker
	subscriber *subscriber.Subscriber
	registrar  *registrar.Registrar
	gate       *rollouter.Gate      // nil without roll-outs
	conductor  *rollouter.Conductor // nil without roll-outs
	seeder     *seeder
	settler    *tracker.Settler
	bulk       *forwarder.BulkPacer // nil if the bandwidth of the link is not known
	allotter   *allotter.Allotter
	hedger     *hedger.Hedger // nil without second attempts
	isolator   *isolator.Isolator
	queue      *admitter.Queue
	drainer    *drainer.Drainer
	// callerBounds and readyBounds bound the connections of clients and of the readiness check.
	callerBounds *acceptor.Bounds
	readyBounds  *acceptor.Bounds
	entry        *forwarder.Entry
	host         *forwarder.Host
	stopping     atomic.Bool       // the readiness check fails, so that callers use another node
	leaving      atomic.Bool       // the membership entry is draining, so that other nodes send no new requests
	stopTime     atomic.Int64      // time by which work must have ended, in ms since the Unix epoch; 0 before the stop
	limitLogged  timekeeper.Millis // time of the last log line about a stated limit; used by watchUpstream only
	notReady     chan struct{}     // one entry for each readiness check that failed during the stop
}

// NewHosted assembles a node. It opens no address and makes no connection; Run does.
func NewHosted(settings loader.Settings, dependencies Dependencies, protocol Protocol) (*Hosted, error) {
	asyncLog := logger.NewAsync(dependencies.Log)
	log, err := logger.New(settings.Log, asyncLog)
	if err != nil {
		return nil, err
	}
	n := &Hosted{
		settings: settings, dependencies: dependencies, protocol: protocol, asyncLog: asyncLog, logger: log,
		meter: meter.New(), notReady: make(chan struct{}, noticeChecks),
	}
	options := messenger.Options{Zone: settings.Zone, Traffic: &messenger.Traffic{}, Logger: n.loggerFor("messenger")}
	n.client = messenger.NewClient(options)
	n.rpc = messenger.NewServer(options)
	platform := n.protocol.Platform(n.loggerFor("platform"))
	n.addMembership(platform)
	n.addRollouts(platform)
	n.addRequests()
	n.addBounds()
	n.addMetrics()
	n.tracker.Join(settings.Seeds)
	return n, n.register()
}

// loggerFor returns the logger of a part, whose messages start with the name of the part.
func (n *Hosted) loggerFor(name string) *zap.Logger {
	return logger.WithPrefix(n.logger, name)
}

// addMembership creates the subscriber, which receives the configuration, the tracker of the mesh's members, the seeder
// that finds the first of them, and the registrar, which receives the heartbeats of the upstream. The subscriber is
// created before the tracker and calls it only while the node runs.
func (n *Hosted) addMembership(platform connector.Platform) {
	n.subscriber = subscriber.New(subscriber.Options{
		Name: n.settings.Name, Platform: platform, Kind: n.protocol.Kind, Object: n.protocol.Name,
		Decode: n.protocol.Decode, Caller: n.client,
		Relays:  func() []tracker.Member { return n.tracker.Relays(n.settings.Zone) },
		Apply:   toMillis(n.settings.Hosted.Apply),
		Members: func() int { return len(n.tracker.Zone(n.settings.Zone)) },
		Clock:   n.dependencies.Clock, Boot: timekeeper.Boot(), Logger: n.loggerFor("subscriber"), Random: newRandom(),
		OnRestore: func() { n.seeder.pollNow() }, Orders: n.orderOptions(),
	})
	n.tracker = tracker.NewTracker(tracker.Options{
		Self: tracker.Member{
			Name: n.settings.Name, Zone: n.settings.Zone, Service: n.settings.Service,
			Peer: n.settings.Announced(), Caller: n.settings.Caller,
		},
		Caller: n.client, Clock: n.dependencies.Clock, Logger: n.loggerFor("tracker"), Seed: rand.Uint64(),
		Versions: func() (known, active uint64) {
			version := n.subscriber.Version()
			return version, version
		},
		OnVersion: n.subscriber.ObserveVersion,
	})
	n.seeder = &seeder{
		platform: platform, tracker: n.tracker, zone: n.settings.Zone, peer: n.settings.Announced(),
		clock: n.dependencies.Clock, started: n.dependencies.Clock.Now(), logger: n.loggerFor("seeder"),
		wake: make(chan struct{}, 1),
	}
	n.settler = tracker.NewSettler(n.tracker, n.dependencies.Clock, n.seeder.isOnly)
	n.seeder.settled = n.settler.Settled
	n.registrar = registrar.New(registrar.Options{
		Service: n.settings.Service, Address: n.settings.Upstream.Address,
		Interval: toMillis(n.settings.Hosted.Heartbeat),
		Clock:    n.dependencies.Clock, Logger: n.loggerFor("registrar"), OnChange: n.announce, Health: n.health,
	})
}

// addRequests creates the parts that handle requests.
func (n *Hosted) addRequests() {
	incarnation := n.tracker.Self().Incarnation
	n.isolator = isolator.New(isolator.Options{
		Name: n.settings.Name, Incarnation: incarnation, Zone: n.settings.Zone, Zones: n.tracker.Zones,
		Clock: n.dependencies.Clock, Caller: n.client, Directory: n.tracker, SingleRequestsOnly: true,
	})
	n.allotter = allotter.New(allotter.Options{
		Name: n.settings.Name, Zone: n.settings.Zone, Directory: n.tracker, Caller: n.client,
		Clock: n.dependencies.Clock, Views: n.subscriber, Slack: n.settings.Hosted.Slack,
		Settled: n.settler.Settled, Listed: n.seeder.listed,
	})
	n.queue = admitter.New(admitter.Options{Clock: n.dependencies.Clock, Slots: 1, Limit: queueLimit, Share: rankShare})
	if n.settings.Hosted.Hedge > 0 {
		n.hedger = hedger.New(n.settings.Hosted.Hedge)
	}
	n.drainer = drainer.New(drainer.Options{
		Logger: n.loggerFor("drainer"), Grace: n.remainingGrace, Linger: lingerTime, Close: n.queue.Drain,
		Expel: n.queue.Expel, Leave: n.leave,
	})
	n.bulk = forwarder.NewBulkPacer(n.settings.Hosted.Link)
	options := forwarder.Options{
		Clock: n.dependencies.Clock, Logger: n.loggerFor("forwarder"),
		Decisions: logger.NewDecisions(n.loggerFor("forwarder")), Name: n.settings.Name, Service: n.settings.Service,
		Incarnation: incarnation, CurrentIncarnation: func() uint64 { return n.tracker.Self().Incarnation },
		Zone: n.settings.Zone, Gate: n.drainer, StopBy: n.stopBy, Views: n.subscriber,
		Picker: router.NewPicker(router.Options{
			Directory: n.tracker, Clock: n.dependencies.Clock, Name: n.settings.Name, Zone: n.settings.Zone,
			Delay: n.settings.Delay,
		}),
		Caller: n.client, Retrier: retrier.New(retrier.Options{
			Clock: n.dependencies.Clock, Ratio: n.settings.Hosted.Retries * retryShare,
		}), MaxBody: n.settings.Body,
		CheckFraming: checkFraming, Memory: newBudget(&n.settings, n.dependencies.Clock, n.meter, n.logger),
		MaxAttempts: n.maxFiles() * attemptFilesPercent / 100 / filesOfAttempt,
		OpaqueIDs:   true, Isolator: n.isolator, Queue: n.queue, Prober: n.registrar,
		Bulk: n.bulk, Hedger: n.hedger, KeysFresh: n.keysFresh,
		Allotments: n.allotter,
		Observer:   n.registrar, Rollout: n.rollout(),
		Upstream: n.settings.Upstream.Address, Instance: n.registrar.Instance, WrapTransport: n.protocol.Upstream,
	}
	n.entry = forwarder.NewEntry(options)
	n.host = forwarder.NewHost(options)
}

const (
	// queueLimit bounds the waiting requests per rank. Targets and deadlines bound their wait long before.
	queueLimit = 1024
	// rankShare is the percentage of the service time that each waiting rank keeps while more urgent ranks are overloaded.
	// The platform's configuration orders ranks and states no shares, and no kind of request may starve.
	rankShare = 20
	// retryShare is the fraction of the platform's bound on retries that nodes use. Each node keeps its own budget, and
	// unused credit may carry over to the next interval, which then has the retries of two intervals.
	retryShare = 0.5
	// unknownLimitSlots bounds the requests that run at once until a first response shows whether the upstream has a
	// limit. A node that restarts beside a limited upstream would otherwise send as many as it has slots.
	unknownLimitSlots = 4
	// memoryShare is the percentage of the process's memory limit above which garbage is collected more often.
	memoryShare = 80
)

// register adds the RPC receivers of the parts to the RPC server.
func (n *Hosted) register() error {
	receivers := map[string]any{
		"Tracker": n.tracker.Receiver(), "Subscriber": n.subscriber.Receiver(), "Isolator": n.isolator.Receiver(),
		"Forwarder": n.host.Receiver(), "Allotter": n.allotter.Receiver(),
	}
	if n.gate != nil {
		receivers["Rollouter"] = n.gate.Receiver()
	}
	for name, receiver := range receivers {
		if err := n.rpc.Register(name, receiver); err != nil {
			return err
		}
	}
	return nil
}

// announce updates the node's membership entry and queue to the state of its upstream.
func (n *Hosted) announce(state registrar.State) {
	n.queue.SetLimit(state.Limit) // first, so that added slots start no waiting request above the limit
	slots := state.Slots
	if !state.Responded {
		slots = min(slots, unknownLimitSlots)
	}
	if slots > 0 && slots != n.queue.Load().Slots {
		n.queue.SetSlots(slots)
	}
	admission := rollouter.Admission{Open: true}
	if n.gate != nil {
		admission = n.gate.Admission()
	}
	n.tracker.SetSelf(func(m *tracker.Member) {
		m.Slots, m.Started, m.Version, m.Weight = state.Slots, state.ColdStartEnd, state.Version, admission.Weight
		switch {
		case n.leaving.Load():
			m.State = tracker.StateDraining
		case state.Ready && admission.Open:
			m.State = tracker.StateReady
		default:
			m.State = tracker.StateStarting
		}
	})
}

// health runs the health check of the upstream. It fails while no active configuration has the path of the check.
func (n *Hosted) health(ctx context.Context) (registrar.Health, error) {
	view := n.subscriber.Active()
	if view == nil {
		return registrar.Health{}, errNoProbe
	}
	service := view.Service(n.settings.Service)
	if service == nil || service.Probe == "" {
		return registrar.Health{}, errNoProbe
	}
	return n.protocol.Health(ctx, n.settings.Upstream.Address, service.Probe)
}

// errNoProbe means that no active configuration has the path of the upstream's health check.
var errNoProbe = errors.New("the health check of the upstream is not known")
