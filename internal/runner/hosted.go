package runner

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/drainer"
	"github.com/jasmineproxy/jasmineproxy/internal/forwarder"
	"github.com/jasmineproxy/jasmineproxy/internal/isolator"
	"github.com/jasmineproxy/jasmineproxy/internal/loader"
	"github.com/jasmineproxy/jasmineproxy/internal/logger"
	"github.com/jasmineproxy/jasmineproxy/internal/messenger"
	"github.com/jasmineproxy/jasmineproxy/internal/meter"
	"github.com/jasmineproxy/jasmineproxy/internal/registrar"
	"github.com/jasmineproxy/jasmineproxy/internal/retrier"
	"github.com/jasmineproxy/jasmineproxy/internal/router"
	"github.com/jasmineproxy/jasmineproxy/internal/subscriber"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// garbagePercent is the growth of the heap between two collections. Memory costs more than processor time here, and
// most of the heap is short-lived.
const garbagePercent = 25

// Hosted is a node on a platform where operators store the whole configuration as one object, upstreams announce
// themselves by heartbeats, and callers never present a request id twice. It has no records of ids, no publication of
// versions and no administration of sources.
type Hosted struct {
	settings loader.Settings
	edges    Dependencies
	protocol Protocol
	lines    *logger.Async
	logger   *zap.Logger
	meter    *meter.Meter
	client   *messenger.Client
	rpc      *messenger.Server

	tracker    *tracker.Tracker
	subscriber *subscriber.Subscriber
	registrar  *registrar.Registrar
	seeder     *seeder
	isolator   *isolator.Isolator
	queue      *admitter.Queue
	drainer    *drainer.Drainer
	entry      *forwarder.Entry
	host       *forwarder.Host
	stopping   atomic.Bool   // callers are asked to go elsewhere
	leaving    atomic.Bool   // other nodes are asked to send no more work
	turned     chan struct{} // one entry for each readiness check that was answered no during the stop
}

// NewHosted assembles a node. It opens no address and makes no connection; Run does.
func NewHosted(settings loader.Settings, edges Dependencies, protocol Protocol) (*Hosted, error) {
	lines := logger.NewAsync(edges.Log)
	log, err := logger.New(settings.Log, lines)
	if err != nil {
		return nil, err
	}
	n := &Hosted{
		settings: settings, edges: edges, protocol: protocol, lines: lines, logger: log, meter: meter.New(),
		turned: make(chan struct{}, noticeChecks),
	}
	options := messenger.Options{Zone: settings.Zone, Traffic: &messenger.Traffic{}, Logger: n.part("messenger")}
	n.client = messenger.NewClient(options)
	n.rpc = messenger.NewServer(options)
	n.addMembership()
	n.addRequests()
	n.meter.AddRuntime()
	n.tracker.Join(settings.Seeds)
	return n, n.register()
}

func (n *Hosted) part(name string) *zap.Logger {
	return logger.WithPrefix(n.logger, name)
}

func (n *Hosted) addMembership() {
	n.subscriber = subscriber.New(subscriber.Options{
		Name: n.settings.Name, Platform: n.protocol.Platform, Kind: n.protocol.Kind, Object: n.protocol.Name,
		Decode: n.protocol.Decode, Caller: n.client,
		Relays:  func() []tracker.Member { return n.tracker.Relays(n.settings.Zone) },
		Apply:   seconds(n.settings.Hosted.Apply),
		Members: func() int { return len(n.tracker.Zone(n.settings.Zone)) },
		Clock:   n.edges.Clock, Logger: n.part("subscriber"), Random: newRandom(),
	})
	n.tracker = tracker.NewTracker(tracker.Options{
		Self: tracker.Member{
			Name: n.settings.Name, Zone: n.settings.Zone, Service: n.settings.Service,
			Peer: n.settings.Announced(), Caller: n.settings.Caller,
		},
		Caller: n.client, Clock: n.edges.Clock, Logger: n.part("tracker"), Seed: rand.Uint64(),
		Versions: func() (known, active uint64) {
			version := n.subscriber.Version()
			return version, version
		},
		OnVersion: n.subscriber.ObserveVersion,
	})
	n.seeder = &seeder{
		platform: n.protocol.Platform, tracker: n.tracker, zone: n.settings.Zone, peer: n.settings.Announced(),
		logger: n.part("seeder"),
	}
	n.registrar = registrar.New(registrar.Options{
		Service: n.settings.Service, Address: n.settings.Upstream.Address,
		Interval: seconds(n.settings.Hosted.Heartbeat),
		Clock:    n.edges.Clock, Logger: n.part("registrar"), OnChange: n.announce, Health: n.health,
	})
}

func (n *Hosted) addRequests() {
	incarnation := n.tracker.Self().Incarnation
	n.isolator = isolator.New(isolator.Options{
		Name: n.settings.Name, Incarnation: incarnation, Zone: n.settings.Zone, Zones: n.tracker.Zones,
		Clock: n.edges.Clock, Caller: n.client, Directory: n.tracker, SingleRequestsOnly: true,
	})
	n.queue = admitter.New(admitter.Options{Clock: n.edges.Clock, Slots: 1, Limit: queueLimit, Share: rankShare})
	n.drainer = drainer.New(drainer.Options{
		Logger: n.part("drainer"), Grace: n.grace(), Linger: lingerSpan, Close: n.queue.Drain, Leave: n.leave,
	})
	options := forwarder.Options{
		Clock: n.edges.Clock, Logger: n.part("forwarder"),
		Decisions: logger.NewDecisions(n.part("forwarder")), Name: n.settings.Name, Service: n.settings.Service,
		Incarnation: incarnation, CurrentIncarnation: func() uint64 { return n.tracker.Self().Incarnation },
		Zone: n.settings.Zone, Gate: n.drainer, Views: n.subscriber,
		Picker: router.NewPicker(router.Options{
			Directory: n.tracker, Clock: n.edges.Clock, Zone: n.settings.Zone, Delay: n.settings.Delay,
		}),
		Caller: n.client, Retrier: retrier.New(retrier.Options{
			Clock: n.edges.Clock, Ratio: n.settings.Hosted.Retries * retryShare,
		}), MaxBody: n.settings.Body,
		OpaqueIDs: true, Isolator: n.isolator, Queue: n.queue, Prober: n.registrar,
		Upstream: n.settings.Upstream.Address, Instance: n.registrar.Instance, WrapTransport: n.protocol.Upstream,
	}
	n.entry = forwarder.NewEntry(options)
	n.host = forwarder.NewHost(options)
}

const (
	// queueLimit bounds the waiting work per rank. Its wait is bounded by targets and deadlines long before.
	queueLimit = 1024
	// rankShare is the percentage of the service time that each waiting rank keeps while more urgent ones flood. The
	// platform's configuration orders ranks and states no shares, and no kind of request may starve.
	rankShare = 20
	// retryShare is the part of the platform's bound on retries that nodes use. Each node keeps its own budget, and the
	// calls of a span may leave credit for the next one, so that two spans of retries fall into one.
	retryShare = 0.5
	// memoryShare is the part of the process's memory, as a percentage, from which on garbage is collected more often.
	memoryShare = 80
)

func (n *Hosted) register() error {
	receivers := map[string]any{
		"Tracker": n.tracker.Receiver(), "Subscriber": n.subscriber.Receiver(), "Isolator": n.isolator.Receiver(),
		"Forwarder": n.host.Receiver(),
	}
	for name, receiver := range receivers {
		if err := n.rpc.Register(name, receiver); err != nil {
			return err
		}
	}
	return nil
}

// announce brings the node's membership entry and queue in line with its upstream.
func (n *Hosted) announce(state registrar.State) {
	if state.Slots > 0 && state.Slots != n.queue.Load().Slots {
		n.queue.SetSlots(state.Slots)
	}
	n.tracker.SetSelf(func(m *tracker.Member) {
		m.Slots, m.Started = state.Slots, state.Started
		switch {
		case n.leaving.Load():
			m.State = tracker.StateDraining
		case state.Ready:
			m.State = tracker.StateReady
		default:
			m.State = tracker.StateStarting
		}
	})
}

// health asks the upstream beside this node. It fails while the configuration does not say how.
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

// errNoProbe says that no configuration names the path of the upstream's health check.
var errNoProbe = errors.New("the health check of the upstream is not known")
