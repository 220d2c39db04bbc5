package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/launcher"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/platform/imitator"
)

// What the platform of the soak states, as on the users' deployments of today.
const (
	heartbeat = 1500 * time.Millisecond
	apply     = 2 * time.Second
	grace     = 6 * time.Second
	drain     = 2 * time.Second
	stable    = 3 * time.Second
	rollback  = 250 * time.Millisecond
)

// Times of one seed.
const (
	startSpan    = 4 * time.Second // until the first fault
	faultSpan    = 9 * time.Second // in which faults begin
	longestFault = 2500 * time.Millisecond
	drainSpan    = 2500 * time.Millisecond // of a server that leaves
	restartPause = time.Second
	calmSpan     = 8 * time.Second // after the last fault began
	faultCount   = 14
	plannedEvery = 4
)

// Load of one seed: each machine's clients begin a request every requestGap, and ask about the configuration every
// probeGap. It stays under the capacity of the servers.
const (
	requestGap = 25 * time.Millisecond
	probeGap   = 150 * time.Millisecond
	clientWait = 2 * time.Second
	slots      = 8
)

const host = "shop.example"

// version is a configuration that the operator wrote.
type version struct {
	number        uint64
	begun, stored time.Time // stored is when the platform acknowledged it
}

// mesh is the nodes of a seed with everything around them.
type mesh struct {
	seed   uint64
	nodes  []*node
	store  *faker.Platform
	ledger imitator.Ledger
	start  time.Time
	faults []fault

	mutex    sync.Mutex
	random   *rand.Rand
	versions []version
	notes    []string
}

// play plays one seed and checks its promises.
func play(parent context.Context, seed uint64, network int, o options, dir string) (report, error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	m := &mesh{seed: seed, store: faker.NewPlatform(), random: rand.New(rand.NewPCG(seed, 1))}
	m.faults = draw(m.random, seed, o.nodes)
	if err := m.open(ctx, network, o, dir); err != nil {
		return report{}, err
	}
	defer m.close()
	var work sync.WaitGroup
	clients, endClients := context.WithCancel(ctx)
	defer endClients()
	m.start = time.Now()
	for i, n := range m.nodes {
		work.Go(func() { m.request(clients, n, i) })
		work.Go(func() { m.probe(clients, n) })
	}
	var faults sync.WaitGroup
	for _, f := range m.faults {
		faults.Go(func() {
			pause(ctx, startSpan+f.from)
			if ctx.Err() == nil {
				m.inject(ctx, f)
			}
		})
	}
	faults.Wait()
	pause(ctx, time.Until(m.start.Add(startSpan+faultSpan+calmSpan)))
	endClients()
	work.Wait()
	return m.check(), parent.Err()
}

// open starts the store, the nodes and their servers.
func (m *mesh) open(ctx context.Context, network int, o options, dir string) error {
	address := fmt.Sprintf("127.0.%d.250:%d", network, portStore)
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: imitator.Store(m.store), ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	m.change()
	delay := faker.LinkOptions{Delay: timekeeper.Millis(m.random.IntN(5)), Jitter: 2, Seed: m.seed}
	if m.random.IntN(3) == 0 {
		delay.Loss, delay.Stall = 0.01, 200
	}
	for i := range o.nodes {
		n := &node{
			name: fmt.Sprintf("n%d", i), zone: fmt.Sprintf("z%d", i%2), service: [...]string{"a", "a", "b"}[i%3],
			ip: fmt.Sprintf("127.0.%d.%d", network, i+1),
		}
		settings, err := n.prepare(ctx, dir, address, delay)
		if err != nil {
			return err
		}
		n.client = imitator.NewClient(imitator.ClientOptions{
			Node: n.name, Origin: n.service, Outbound: n.at(portCaller), Host: host, Ledger: &m.ledger,
		})
		m.nodes = append(m.nodes, n)
		m.serve(ctx, n)
		binary, err := filepath.Abs(o.binary)
		if err != nil {
			return err
		}
		n.process, err = launcher.Launch(ctx, filepath.Join(dir, n.name+".log"), binary, "node", "--settings", settings)
		if err != nil {
			return err
		}
		n.started()
		go m.guard(n, n.process.Done)
	}
	return nil
}

// close ends the processes that this seed started.
func (m *mesh) close() {
	for _, n := range m.nodes {
		n.ordered.Store(true)
		n.process.Kill()
		<-n.process.Done
	}
}

// serve starts a server beside a node.
func (m *mesh) serve(ctx context.Context, n *node) {
	err := n.serve(ctx, imitator.ServerOptions{
		Service: n.service, Zone: n.zone, Address: n.at(portAppLink), Control: n.at(portControl),
		Outbound: n.at(portCaller), Host: host, Slots: slots, Heartbeat: heartbeat, Ledger: &m.ledger,
		Work: func() time.Duration {
			m.mutex.Lock()
			defer m.mutex.Unlock()
			return 5*time.Millisecond + time.Duration(m.random.ExpFloat64()*float64(15*time.Millisecond))
		},
	})
	if err != nil {
		m.note("no server beside %s: %v", n.name, err)
	}
}

// probePrefix is the route that only one version has.
func probePrefix(number uint64) string {
	return fmt.Sprintf("/v%d/", number)
}

// change writes the next version as the operator does. The platform's faults do not touch the operator.
func (m *mesh) change() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	one := version{number: uint64(len(m.versions) + 1), begun: time.Now()}
	value, err := imitator.EncodeConfig(one.number, host, []string{"a", "b"}, []imitator.Route{
		{Prefix: "/safe/", Service: "a", Safe: true, Rank: 1},
		{Prefix: "/unsafe/", Service: "a", Rank: 0},
		{Prefix: "/order/", Service: "b", Rank: 0},
		{Prefix: "/call/", Service: "a", Safe: true, Rank: 1},
		{Prefix: "/inner/", Service: "b", Safe: true, Rank: 1},
		{Prefix: probePrefix(one.number), Service: "a", Safe: true, Rank: 2},
	})
	if err == nil {
		err = m.store.Store(connector.Object{Kind: "config", Name: "main", Value: value})
	}
	if err != nil {
		m.notes = append(m.notes, fmt.Sprintf("version %d was not written: %v", one.number, err))
		return
	}
	one.stored = time.Now()
	m.versions = append(m.versions, one)
}

// newest returns the number of the newest version.
func (m *mesh) newest() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return uint64(len(m.versions))
}

// note records a finding that is not seen in the ledger.
func (m *mesh) note(format string, arguments ...any) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.notes = append(m.notes, fmt.Sprintf("%.1f s: ", time.Since(m.start).Seconds())+fmt.Sprintf(format, arguments...))
}

// request makes the requests of the clients on a machine until ctx ends, and waits for the last ones.
func (m *mesh) request(ctx context.Context, n *node, index int) {
	random := rand.New(rand.NewPCG(m.seed, uint64(index)+2))
	var open sync.WaitGroup
	defer open.Wait()
	prefixes := []string{"/safe/", "/unsafe/", "/order/", "/call/"}
	for i := 0; ctx.Err() == nil; i++ {
		pause(ctx, time.Duration(random.ExpFloat64()*float64(requestGap)))
		prefix := prefixes[random.IntN(len(prefixes))]
		r := imitator.Request{
			ID: fmt.Sprintf("%s-%d", n.name, i), Path: fmt.Sprintf("%s%d", prefix, random.IntN(50)),
			Safe: prefix == "/safe/" || prefix == "/call/", Wait: clientWait,
		}
		if !r.Safe {
			r.Body = fmt.Sprintf("%0*d", 1+random.IntN(3000), i)
		}
		open.Go(func() { n.client.Do(context.WithoutCancel(ctx), r) })
	}
}

// probe asks the node which version it has in force until ctx ends.
func (m *mesh) probe(ctx context.Context, n *node) {
	for i := 0; ctx.Err() == nil; i++ {
		pause(ctx, probeGap)
		number := m.newest()
		if i%2 == 1 && number > 1 {
			number--
		}
		n.client.Try(ctx, imitator.Request{
			ID: fmt.Sprintf("%s-probe-%d", n.name, i), Path: probePrefix(number) + "x", Safe: true, Wait: clientWait / 2,
		})
	}
}
