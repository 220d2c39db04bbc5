package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/launcher"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/platform/imitator"
)

// Times that the platform of the soak specifies, the same as in the users' current deployments.
const (
	heartbeatInterval = 1500 * time.Millisecond // of a server
	applyTimeout      = 2 * time.Second         // until a new version is active
	gracePeriod       = 6 * time.Second         // until a process has ended after SIGTERM
	drainTimeout      = 2 * time.Second         // until a leaving server gets no more requests
	stablePeriod      = 3 * time.Second         // without faults, before the promises about versions hold
	rollbackTolerance = 250 * time.Millisecond  // in which a process may still serve the older of two versions
)

// Phases and faults of one seed.
const (
	startPhase          = 4 * time.Second         // before the first fault
	faultPhase          = 9 * time.Second         // all faults begin in it
	faultDurationRange  = 2500 * time.Millisecond // upper bound of the random part of a fault's duration
	drainDuration       = 2500 * time.Millisecond // of a leaving server
	restartPause        = time.Second
	recoveryPhase       = 9 * time.Second // after faultPhase
	faultCount          = 14
	plannedSeedInterval = 4
)

// Load of one seed: the clients of each node send a request every meanRequestInterval on average, and a probe of the
// active version every probeInterval. The load stays below the capacity of the servers.
const (
	meanRequestInterval = 25 * time.Millisecond
	probeInterval       = 150 * time.Millisecond
	clientTimeout       = 2 * time.Second
	serverSlots         = 8
)

const host = "shop.example"

// version is a configuration version that the operator wrote.
type version struct {
	number                     uint64
	writeStarted, acknowledged time.Time // start and acknowledgement of the write
}

// mesh holds the nodes of a seed, the platform and the records of the run.
type mesh struct {
	seed      uint64
	nodes     []*node
	store     *faker.Platform // the object store of the platform
	ledger    imitator.Ledger
	startTime time.Time
	faults    []fault
	stall     timekeeper.Millis // of the links when they lose something; 0 if they lose nothing

	mutex    sync.Mutex
	random   *rand.Rand
	versions []version
	ordered  time.Time // when the order of the roll-out was written
	findings []string
}

// runSeed runs one seed and checks the promises.
func runSeed(parent context.Context, seed uint64, network int, o options, dir string) (report, error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	m := &mesh{seed: seed, store: faker.NewPlatform(), random: rand.New(rand.NewPCG(seed, 1))}
	m.store.RecordWrites()
	m.faults = slices.Concat(drawFaults(m.random, seed, o.nodes), drawStatedFaults(seed, o.nodes), drawSilence(seed),
		drawOutage(seed))
	if err := m.start(ctx, network, o, dir); err != nil {
		return report{}, err
	}
	defer m.stop()
	var traffic sync.WaitGroup
	clients, endClients := context.WithCancel(ctx)
	defer endClients()
	m.startTime = time.Now()
	for i, n := range m.nodes {
		traffic.Go(func() { m.sendRequests(clients, n, i) })
		traffic.Go(func() { m.probeVersions(clients, n) })
		traffic.Go(func() { m.sendKeys(clients, n, i) })
	}
	var faults sync.WaitGroup
	for _, f := range m.faults {
		faults.Go(func() {
			pause(ctx, startPhase+f.offset)
			if ctx.Err() == nil {
				m.inject(ctx, f)
			}
		})
	}
	faults.Wait()
	pause(ctx, time.Until(m.startTime.Add(startPhase+faultPhase+recoveryPhase)))
	endClients()
	traffic.Wait()
	return m.check(), parent.Err()
}

// start starts the platform, the nodes and their servers.
func (m *mesh) start(ctx context.Context, network int, o options, dir string) error {
	address := fmt.Sprintf("127.0.%d.250:%d", network, portStore)
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: imitator.Store(m.store), ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	m.writeVersion()
	m.writeOrder()
	delay := faker.LinkOptions{Delay: timekeeper.Millis(m.random.IntN(5)), Jitter: 2, Seed: m.seed}
	if m.random.IntN(3) == 0 {
		delay.Loss, delay.Stall = 0.01, 200
	}
	m.stall = delay.Stall
	for i := range o.nodes {
		n := &node{
			name: fmt.Sprintf("n%d", i), zone: fmt.Sprintf("z%d", i%2), service: [...]string{"a", "a", "b"}[i%3],
			version: versionOf(i), ip: fmt.Sprintf("127.0.%d.%d", network, i+1),
		}
		settings, err := n.prepare(ctx, dir, address, delay)
		if err != nil {
			return err
		}
		n.client = imitator.NewClient(imitator.ClientOptions{
			Node: n.name, Origin: n.service, Outbound: n.addressOf(portCaller), Host: host, Ledger: &m.ledger,
		})
		m.nodes = append(m.nodes, n)
		m.startFirstServer(ctx, n)
		binary, err := filepath.Abs(o.binary)
		if err != nil {
			return err
		}
		n.process, err = launcher.Launch(ctx, filepath.Join(dir, n.name+".log"), binary, "node", "--settings", settings)
		if err != nil {
			return err
		}
		n.recordStart()
		go m.watchProcess(n, n.process.Done)
	}
	return nil
}

// stop kills the node processes of the seed and waits until they have ended.
func (m *mesh) stop() {
	for _, n := range m.nodes {
		n.exitExpected.Store(true)
		n.process.Kill()
		<-n.process.Done
	}
}

// startServer starts a new server beside a node and reports a failure as a finding.
func (m *mesh) startServer(ctx context.Context, n *node) {
	err := n.startServer(ctx, imitator.ServerOptions{
		Service: n.service, Version: n.version, Bad: n.version == trialVersion && m.trialIsBad(),
		Zone: n.zone, Address: n.addressOf(portAppLink), Control: n.addressOf(portControl),
		Outbound: n.addressOf(portCaller), Host: host, Slots: serverSlots, Heartbeat: heartbeatInterval, Ledger: &m.ledger,
		Work: func() time.Duration {
			m.mutex.Lock()
			defer m.mutex.Unlock()
			return 5*time.Millisecond + time.Duration(m.random.ExpFloat64()*float64(15*time.Millisecond))
		},
	})
	if err != nil {
		m.addFinding("no server beside %s: %v", n.name, err)
	}
}

// probePrefix returns the path prefix of the route that only this version has.
func probePrefix(number uint64) string {
	return fmt.Sprintf("/v%d/", number)
}

// writeVersion writes the next version as an operator. Faults of the platform do not affect this write.
func (m *mesh) writeVersion() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	v := version{number: uint64(len(m.versions) + 1), writeStarted: time.Now()}
	if err := m.storeVersion(v.number); err != nil {
		m.findings = append(m.findings, fmt.Sprintf("version %d was not written: %v", v.number, err))
		return
	}
	v.acknowledged = time.Now()
	m.versions = append(m.versions, v)
}

// restorePlatform returns the platform to its state some time ago, as after a drill of its operators. The operator then
// writes the newest version again.
func (m *mesh) restorePlatform(age time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.store.Restore(time.Now().Add(-age))
	if err := m.storeVersion(uint64(len(m.versions))); err != nil {
		m.findings = append(m.findings, fmt.Sprintf("version %d was not written again: %v", len(m.versions), err))
	}
	if _, err := m.store.Get(context.Background(), orderKind, trialService); err != nil {
		m.findings = append(m.findings, m.storeOrder()...)
	}
}

// storeVersion stores a version.
func (m *mesh) storeVersion(number uint64) error {
	value, err := imitator.EncodeConfig(number, host, []string{"a", "b"}, []imitator.Route{
		{Prefix: "/safe/", Service: "a", Safe: true, Rank: 1},
		{Prefix: "/unsafe/", Service: "a", Rank: 0},
		{Prefix: "/order/", Service: "b", Rank: 0},
		{Prefix: "/call/", Service: "a", Safe: true, Rank: 1},
		{Prefix: "/inner/", Service: "b", Safe: true, Rank: 1, Public: true},
		{Prefix: probePrefix(number), Service: "a", Safe: true, Rank: 2},
	}, tenantsOf(number))
	if err != nil {
		return err
	}
	return m.store.Store(connector.Object{Kind: "config", Name: "main", Value: value})
}

// newestVersion returns the number of the newest version that the platform acknowledged.
func (m *mesh) newestVersion() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return uint64(len(m.versions))
}

// addFinding records a finding that does not show in the ledger.
func (m *mesh) addFinding(format string, arguments ...any) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.findings = append(m.findings,
		fmt.Sprintf("%.1f s: ", time.Since(m.startTime).Seconds())+fmt.Sprintf(format, arguments...))
}

// methods are those of the requests. The platform gives the method no meaning: whether a request may run again follows
// from its route.
var methods = []string{
	"", http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodOptions, http.MethodTrace, "BREW",
}

// oddSuffixes end some of the paths. A node that reads a path in another way than the server does chooses another route
// for some of them, or forwards other bytes.
var oddSuffixes = []string{
	"/", "%2F", "%2f..%2forder%2f1", "/%2e%2e/x", "|{}", "é", "\xff", ";a=b", "?", "?q=/order/1&q=%zz", "//",
}

// One of uploadInterval requests on average has a long body, below the default limit of 1 MiB.
const (
	uploadInterval   = 64
	minUploadBytes   = 65 << 10
	uploadBytesRange = 900 << 10
)

// sendRequests sends random requests through a node until ctx ends, then waits for the requests in flight.
func (m *mesh) sendRequests(ctx context.Context, n *node, index int) {
	random := rand.New(rand.NewPCG(m.seed, uint64(index)+2))
	kinds := rand.New(rand.NewPCG(m.seed, uint64(index)+1_000_000)) // apart, so that earlier seeds play the same requests
	paths := rand.New(rand.NewPCG(m.seed, uint64(index)+2_000_000))
	uploads := rand.New(rand.NewPCG(m.seed, uint64(index)+3_000_000))
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	prefixes := []string{"/safe/", "/unsafe/", "/order/", "/call/"}
	for i := 0; ctx.Err() == nil; i++ {
		pause(ctx, time.Duration(random.ExpFloat64()*float64(meanRequestInterval)))
		prefix := prefixes[random.IntN(len(prefixes))]
		r := imitator.Request{
			ID: fmt.Sprintf("%s-%d", n.name, i), Path: fmt.Sprintf("%s%d", prefix, random.IntN(50)),
			Safe: prefix == "/safe/" || prefix == "/call/", Key: steadyTenant, Wait: clientTimeout,
		}
		if !r.Safe {
			r.Body = fmt.Sprintf("%0*d", 1+random.IntN(3000), i)
		}
		if paths.IntN(4) == 0 {
			r.Path += oddSuffixes[paths.IntN(len(oddSuffixes))]
		}
		r.Method = methods[kinds.IntN(len(methods))]
		switch kind := kinds.IntN(8); {
		case kind < 4:
			r.Body = ""
		case kind == 4:
			r.Pause = time.Duration(kinds.Int64N(int64(clientTimeout / 2)))
		}
		if uploads.IntN(uploadInterval) == 0 {
			r.Body = strings.Repeat("u", minUploadBytes+uploads.IntN(uploadBytesRange))
		}
		inFlight.Go(func() { n.client.Do(context.WithoutCancel(ctx), r) })
	}
}

// probeVersions probes which version is active on the node until ctx ends, then waits for the probe in flight.
func (m *mesh) probeVersions(ctx context.Context, n *node) {
	for i := 0; ctx.Err() == nil; i++ {
		pause(ctx, probeInterval)
		number := m.newestVersion()
		if i%2 == 1 && number > 1 {
			number--
		}
		n.client.Try(context.WithoutCancel(ctx), imitator.Request{
			ID: fmt.Sprintf("%s-probe-%d", n.name, i), Path: probePrefix(number) + "x", Key: steadyTenant, Safe: true,
			Wait: clientTimeout / 2,
		})
	}
}
