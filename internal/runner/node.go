package runner

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/administrator"
	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/auditor"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/deduplicator"
	"github.com/jasmineproxy/jasmineproxy/internal/drainer"
	"github.com/jasmineproxy/jasmineproxy/internal/follower"
	"github.com/jasmineproxy/jasmineproxy/internal/forwarder"
	"github.com/jasmineproxy/jasmineproxy/internal/isolator"
	"github.com/jasmineproxy/jasmineproxy/internal/loader"
	"github.com/jasmineproxy/jasmineproxy/internal/logger"
	"github.com/jasmineproxy/jasmineproxy/internal/messenger"
	"github.com/jasmineproxy/jasmineproxy/internal/meter"
	"github.com/jasmineproxy/jasmineproxy/internal/prober"
	"github.com/jasmineproxy/jasmineproxy/internal/publisher"
	"github.com/jasmineproxy/jasmineproxy/internal/relayer"
	"github.com/jasmineproxy/jasmineproxy/internal/retrier"
	"github.com/jasmineproxy/jasmineproxy/internal/router"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// Node is an assembled node with all of its parts.
type Node struct {
	settings     loader.Settings
	dependencies Dependencies
	logger       *zap.Logger
	meter        *meter.Meter
	platform     connector.Platform
	traffic      *messenger.Traffic
	client       *messenger.Client
	rpc          *messenger.Server

	Tracker   *tracker.Tracker
	Follower  *follower.Follower
	Publisher *publisher.Publisher

	relayer      *relayer.Relayer
	seeder       *seeder
	auditor      *auditor.Auditor
	deduplicator *deduplicator.Service
	keeper       *deduplicator.Keeper
	isolator     *isolator.Isolator
	queue        *admitter.Queue
	observer     *observer
	prober       *prober.Prober
	drainer      *drainer.Drainer
	entry        *forwarder.Entry
	host         *forwarder.Host
	admin        http.Handler
	joined       atomic.Int64 // time at which the node first knew other members, in ms; 0 before that
	stop         chan struct{}
	stopping     atomic.Bool
	kill         chan struct{}
	killed       atomic.Bool
}

// New assembles a node. It opens no address and makes no connection; Run does.
func New(settings loader.Settings, dependencies Dependencies) (*Node, error) {
	log, err := logger.New(settings.Log, dependencies.Log)
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings: settings, dependencies: dependencies, logger: log.With(zap.String("node", settings.Name)),
		meter: meter.New(), traffic: &messenger.Traffic{}, stop: make(chan struct{}), kill: make(chan struct{}),
	}
	n.addTransport()
	n.addMembership()
	n.addConfiguration()
	n.addRequests()
	n.addAdministration()
	n.addMetrics()
	n.Tracker.Join(settings.Seeds)
	return n, n.register()
}

// loggerFor returns the logger of a part, whose messages start with the name of the part.
func (n *Node) loggerFor(name string) *zap.Logger {
	return logger.WithPrefix(n.logger, name)
}

// addTransport creates the client of the platform, and the RPC client and server for other nodes.
func (n *Node) addTransport() {
	settings := n.settings.Platform
	n.platform = n.dependencies.Platform
	if n.platform == nil {
		n.platform = connector.NewClient(connector.Options{
			URL: settings.URL, Rate: settings.Rate, Burst: settings.Burst, Timeout: settings.Timeout, Dial: n.dependencies.Dial,
		})
	}
	options := messenger.Options{Zone: n.settings.Zone, Traffic: n.traffic, Logger: n.loggerFor("messenger")}
	if dial := n.dependencies.Dial; dial != nil {
		options.Dial = func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) }
	}
	n.client = messenger.NewClient(options)
	n.rpc = messenger.NewServer(options)
}

// addMembership creates the tracker of the mesh's members, the seeder that finds the first of them, and the follower of
// configuration versions, because the tracker's messages carry these versions. OnVersion is called only after
// addConfiguration has created the relayer.
func (n *Node) addMembership() {
	n.Follower = follower.New(follower.Options{Clock: n.dependencies.Clock, Logger: n.loggerFor("follower")})
	n.Tracker = tracker.NewTracker(tracker.Options{
		Self: tracker.Member{
			Name: n.settings.Name, Zone: n.settings.Zone, Service: n.settings.Service,
			Peer: n.settings.Peer, Caller: n.settings.Caller, Slots: n.settings.Slots,
		},
		Caller: n.client, Clock: n.dependencies.Clock, Logger: n.loggerFor("tracker"), Seed: rand.Uint64(),
		Versions:  func() (known, active uint64) { return n.Follower.Known(), n.Follower.ActiveVersion() },
		OnVersion: func(from tracker.Member, active uint64) { n.relayer.ObserveVersion(from, active) },
	})
	n.seeder = &seeder{
		platform: n.platform, tracker: n.Tracker, zone: n.settings.Zone, peer: n.settings.Peer, logger: n.loggerFor("seeder"),
	}
}

// addConfiguration creates the parts that distribute, audit and publish configuration versions.
func (n *Node) addConfiguration() {
	n.relayer = relayer.New(relayer.Options{
		Name: n.settings.Name, Zone: n.settings.Zone, Peer: n.settings.Peer,
		Caller: n.client, Members: n.Tracker, Follower: n.Follower, Platform: n.platform,
		Clock: n.dependencies.Clock, Logger: n.loggerFor("relayer"), Seed: rand.Uint64(),
	})
	n.auditor = auditor.New(auditor.Options{
		Platform: n.platform, Clock: n.dependencies.Clock, Random: newRandom(), Log: n.loggerFor("auditor"),
		Node: n.settings.Name,
	})
	n.Publisher = publisher.New(publisher.Options{
		Platform: n.platform, Clock: n.dependencies.Clock, Random: newRandom(), Log: n.loggerFor("publisher"),
		Audit: n.auditor, Node: n.settings.Name, Newest: n.newestVersion, Prune: n.auditor.Prune,
	})
}

// newestVersion returns the highest configuration version that this node knows of on any node.
func (n *Node) newestVersion() uint64 {
	newest := n.Follower.Known()
	for _, zone := range n.Tracker.Zones() {
		for _, member := range n.Tracker.Zone(zone) {
			newest = max(newest, member.Known)
		}
	}
	return newest
}

// addRequests creates the parts that handle requests.
func (n *Node) addRequests() {
	incarnation := n.Tracker.Self().Incarnation
	services := &serviceIndex{active: n.Follower.Active}
	placement := deduplicator.NewScheduledPlacement(services.serviceOf)
	n.keeper = deduplicator.NewKeeper(deduplicator.KeeperOptions{
		Platform: n.platform, Clock: n.dependencies.Clock, Placement: placement, Directory: n.Tracker, Zone: n.settings.Zone,
		Services: services.zones, IsRelay: n.mayAssignOwners, Window: idRetention,
	})
	n.deduplicator = deduplicator.New(deduplicator.Options{
		Name: n.settings.Name, Incarnation: incarnation, Zone: n.settings.Zone, Clock: n.dependencies.Clock,
		Caller: n.client, Directory: n.Tracker, Placement: placement, Window: idRetention,
		OwnerSince: func() timekeeper.Millis { return timekeeper.Millis(n.joined.Load()) },
		Bytes:      int(n.settings.Memory.Records),
	})
	n.isolator = isolator.New(isolator.Options{
		Name: n.settings.Name, Incarnation: incarnation, Zone: n.settings.Zone, Zones: n.Tracker.Zones,
		Clock: n.dependencies.Clock, Caller: n.client, Directory: n.Tracker,
	})
	n.queue = admitter.New(admitter.Options{Clock: n.dependencies.Clock, Slots: max(n.settings.Slots, 1)})
	n.observer = &observer{
		setLimit: n.queue.SetLimit, restarts: func() uint64 { return n.prober.Restarts() }, clock: n.dependencies.Clock,
		logger: n.loggerFor("observer"),
	}
	n.prober = prober.New(prober.Options{
		URL: "http://" + n.settings.Upstream.Address + n.settings.Upstream.Probe, Logger: n.loggerFor("prober"),
		Responded: n.observer.observeProbe,
	})
	n.drainer = drainer.New(drainer.Options{
		Logger: n.loggerFor("drainer"), Grace: func() timekeeper.Millis { return drainGrace },
		Announce: func() { n.Tracker.SetSelf(func(m *tracker.Member) { m.State = tracker.StateDraining }) },
		Close:    n.queue.Drain, Handover: n.deduplicator.HandOver, Leave: n.Tracker.Leave,
	})
	options := forwarder.Options{
		Clock: n.dependencies.Clock, Logger: n.loggerFor("forwarder"), Name: n.settings.Name, Incarnation: incarnation,
		CurrentIncarnation: func() uint64 { return n.Tracker.Self().Incarnation },
		Zone:               n.settings.Zone, Gate: n.drainer, Dial: n.dependencies.Dial, Views: n.Follower,
		Picker: router.NewPicker(router.Options{
			Directory: n.Tracker, Clock: n.dependencies.Clock, Zone: n.settings.Zone, Delay: n.settings.Delay,
		}),
		Caller: n.client, Retrier: retrier.New(retrier.Options{Clock: n.dependencies.Clock}), NewID: n.deduplicator.NewID,
		HomeZone: homeZoneOf(placement), Internal: n.settings.Internal, MaxBody: n.settings.Body,
		CheckFraming: checkFraming, Memory: newBudget(&n.settings, n.dependencies.Clock, n.meter, n.logger),
		Coordinator: n.deduplicator, Isolator: n.isolator,
		Queue: n.queue, Prober: n.prober, Observer: n.observer, Instance: n.observer.instance,
		Upstream: n.settings.Upstream.Address,
	}
	n.entry = forwarder.NewEntry(options)
	options.Dial = nil // the upstream is local; Dial is for connections to other nodes
	n.host = forwarder.NewHost(options)
}

// homeZoneOf returns a function that finds the data centre whose members remember the request id of a call, or "" for
// an invalid id.
func homeZoneOf(placement deduplicator.Placement) func(id, account, call string) string {
	return func(id, account, call string) string {
		parsed, err := deduplicator.ParseID(id)
		if err != nil {
			return ""
		}
		return deduplicator.HomeZone(parsed, placement.Zones(account, call).At(parsed.Created()))
	}
}

// addAdministration creates the handler of the admin address.
func (n *Node) addAdministration() {
	n.admin = administrator.New(administrator.Options{
		Platform: n.platform, Publisher: n.Publisher, Auditor: n.auditor, Views: n.Follower, Members: n.Tracker,
		Marks: n.marks, Metrics: n.meter, Draining: n.drainer.Draining, Drain: n.Stop,
		Node:     administrator.Node{Name: n.settings.Name, Zone: n.settings.Zone, Service: n.settings.Service},
		Operator: n.settings.Operator, Clock: n.dependencies.Clock, Logger: n.logger,
	})
}

// marks returns the current crash marks in the administrator's format.
func (n *Node) marks() []administrator.Mark {
	found := n.isolator.Marks()
	marks := make([]administrator.Mark, 0, len(found))
	for _, mark := range found {
		marks = append(marks, administrator.Mark{
			Account: mark.Key.Account, Call: mark.Key.Call, Kind: string(mark.Scope), Until: mark.Until,
		})
	}
	return marks
}

// register adds the RPC receivers of the parts to the RPC server.
func (n *Node) register() error {
	receivers := map[string]any{
		"Tracker": n.Tracker.Receiver(), "Relayer": n.relayer.Receiver(), "Deduplicator": n.deduplicator.Receiver(),
		"Isolator": n.isolator.Receiver(), "Forwarder": n.host.Receiver(),
	}
	for name, receiver := range receivers {
		if err := n.rpc.Register(name, receiver); err != nil {
			return err
		}
	}
	return nil
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
