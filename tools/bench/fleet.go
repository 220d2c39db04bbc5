package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/loader"
	"github.com/jasmineproxy/jasmineproxy/internal/publisher"
	"github.com/jasmineproxy/jasmineproxy/internal/runner"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// firstPort is the default first port of a fleet. Its ports stay below 32768, where the kernel's ephemeral ports start.
const firstPort = 20000

// fleetZones lists the data centres of a measured fleet. The platform is in the first one.
var fleetZones = boyacaZones

// Fleet runs a platform stand-in and nodes in one process, connected by links with delay.
type Fleet struct {
	Topology   *faker.Topology
	Store      *faker.Platform
	Heads      *headRecorder
	url        string
	server     *http.Server
	ctx        context.Context //nolint:containedctx // ends all nodes of the fleet
	cancel     context.CancelFunc
	mutex      sync.Mutex
	port       int
	members    []*fleetMember
	goroutines sync.WaitGroup
}

// fleetMember is a node of a fleet. The node that replaces a killed one has the same name and data centre.
type fleetMember struct {
	name, zone string
	addresses  [3]string     // caller, peer and admin
	node       *runner.Node  // nil while the node is down
	stopped    chan struct{} // closed when the node has stopped
}

// newFleet starts the platform stand-in, which also answers the health checks of all nodes as their upstream.
func newFleet(parent context.Context, seed uint64, port int) (*Fleet, error) {
	ctx, cancel := context.WithCancel(parent)
	f := &Fleet{
		Topology: faker.NewTopology(faker.TopologyOptions{Delay: 4, Jitter: 2, Loss: 0.002, Seed: seed}),
		Store:    faker.NewPlatform(), ctx: ctx, cancel: cancel, port: port,
	}
	f.Heads = &headRecorder{Platform: faker.NewLimited(f.Store)}
	mux := http.NewServeMux()
	mux.Handle("/v1/", faker.Handler(f.Heads))
	mux.HandleFunc("/health", func(http.ResponseWriter, *http.Request) {})
	address, err := f.freeAddress()
	if err != nil {
		return nil, err
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	f.url = "http://" + address
	f.Topology.Register(address, fleetZones[0], "platform")
	f.server = &http.Server{Handler: mux, ReadHeaderTimeout: (5 * timekeeper.Second).Duration()}
	f.goroutines.Go(func() { _ = f.server.Serve(listener) })
	return f, nil
}

// close stops all nodes and the platform.
func (f *Fleet) close() {
	for i := range f.members {
		f.kill(i)
	}
	f.cancel()
	_ = f.server.Close()
	f.goroutines.Wait()
}

// freeAddress returns a loopback address with an unused port.
func (f *Fleet) freeAddress() (string, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var config net.ListenConfig
	for ; f.port < 32000; f.port++ {
		address := fmt.Sprintf("127.0.0.1:%d", f.port)
		listener, err := config.Listen(f.ctx, "tcp", address)
		if err == nil {
			f.port++
			return address, listener.Close()
		}
	}
	return "", fmt.Errorf("no free port below %d", f.port)
}

// grow adds nodes until the fleet has count nodes, spread evenly over the data centres.
func (f *Fleet) grow(count int) error {
	for i := len(f.members); i < count; i++ {
		f.members = append(f.members, &fleetMember{name: fmt.Sprintf("node-%03d", i), zone: fleetZones[i%len(fleetZones)]})
		if err := f.replace(i); err != nil {
			return err
		}
	}
	return nil
}

// replace starts member i with new addresses, as a new instance would have.
func (f *Fleet) replace(i int) error {
	m := f.members[i]
	for j := range m.addresses {
		address, err := f.freeAddress()
		if err != nil {
			return err
		}
		m.addresses[j] = address
		f.Topology.Register(address, m.zone, m.name)
	}
	return f.start(i)
}

// start starts member i with its current addresses.
func (f *Fleet) start(i int) error {
	m := f.members[i]
	f.Topology.Pause(m.name, false)
	settings := loader.Default()
	settings.Name, settings.Zone, settings.Service = m.name, m.zone, "service-0"
	settings.Caller, settings.Peer, settings.Admin = m.addresses[0], m.addresses[1], m.addresses[2]
	settings.Upstream.Address = f.url[len("http://"):]
	settings.Platform.URL, settings.Log = f.url, "error"
	node, err := runner.New(settings, runner.Dependencies{
		Clock: timekeeper.System(), Dial: f.Topology.Dialer(m.zone, m.name), Log: io.Discard,
	})
	if err != nil {
		return err
	}
	stopped := make(chan struct{})
	m.node, m.stopped = node, stopped
	f.goroutines.Go(func() {
		defer close(stopped)
		if err := node.Run(f.ctx); err != nil && f.ctx.Err() == nil {
			fmt.Fprintln(os.Stderr, "bench:", m.name, err)
		}
	})
	return nil
}

// kill stops member i immediately, without a planned stop.
func (f *Fleet) kill(i int) {
	if node := f.members[i].node; node != nil {
		node.Kill()
		<-f.members[i].stopped
		f.members[i].node = nil
	}
}

// submit publishes a set of edits through the first node and returns the accepted version.
func (f *Fleet) submit(ctx context.Context, edits []publisher.Edit) (uint64, error) {
	set := publisher.Set{Operation: uuid.NewString(), Author: "bench", Edits: edits}
	result, err := f.members[0].node.Publisher.Submit(ctx, set)
	return result.Version, err
}

// awaitVersion waits until a version is active on every running node and returns the time that each node took after
// start, in ms. After the timeout, the remaining nodes are recorded with the time at which the wait ended.
func (f *Fleet) awaitVersion(version uint64, start time.Time, timeout timekeeper.Millis) []float64 {
	return f.watchVersion(version, timeout, nil).durationsSince(start)
}

// watchVersion starts to record when a version becomes active on each running node that matches.
func (f *Fleet) watchVersion(version uint64, timeout timekeeper.Millis, match func(*fleetMember) bool) *versionWatch {
	w := &versionWatch{done: make(chan struct{})}
	pending := make(map[*runner.Node]struct{})
	for _, m := range f.members {
		if m.node != nil && (match == nil || match(m)) {
			pending[m.node] = struct{}{}
		}
	}
	go w.run(pending, version, timeout)
	return w
}

// versionWatch records the times at which a version became active on nodes.
type versionWatch struct {
	done  chan struct{}
	times []time.Time
}

func (w *versionWatch) run(pending map[*runner.Node]struct{}, version uint64, timeout timekeeper.Millis) {
	defer close(w.done)
	deadline := time.Now().Add(timeout.Duration())
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for len(pending) > 0 {
		now := <-ticker.C
		for node := range pending {
			if node.Follower.Ready() && node.Follower.ActiveVersion() >= version || now.After(deadline) {
				w.times = append(w.times, now)
				delete(pending, node)
			}
		}
	}
}

// durationsSince waits for all nodes and returns the time that each took after start, in ms.
func (w *versionWatch) durationsSince(start time.Time) []float64 {
	<-w.done
	durations := make([]float64, 0, len(w.times))
	for _, activated := range w.times {
		durations = append(durations, max(float64(activated.Sub(start).Microseconds())/1000, 0))
	}
	return durations
}

// headRecorder is a platform that records when the head of the configuration last changed.
type headRecorder struct {
	connector.Platform
	mutex     sync.Mutex
	changedAt time.Time
}

// Put implements connector.Platform.
func (h *headRecorder) Put(ctx context.Context, object connector.Object) (uint64, error) {
	revision, err := h.Platform.Put(ctx, object)
	if err == nil && object.Kind == connector.KindHead {
		h.mutex.Lock()
		h.changedAt = time.Now()
		h.mutex.Unlock()
	}
	return revision, err
}

// lastChange returns the time of the last change of the head.
func (h *headRecorder) lastChange() time.Time {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.changedAt
}

// fleetSources returns a template and a number of client accounts that use it.
func fleetSources(accounts int) []publisher.Edit {
	var template bytes.Buffer
	template.WriteString("template: fleet\nparameters:\n  - {name: slots, type: int, default: 6, min: 1, max: 1000}\n" +
		"  - {name: index, type: int, min: 0, max: 100000}\n  - {name: goal, type: int, default: 200, min: 1, max: 5000}\n" +
		"ranks:\n  - {name: urgent, order: 1, target: ${goal}, worth: 100, share: 50}\n" +
		"  - {name: later, order: 2, target: 2000, worth: 1, share: 20}\nservices:\n" +
		"  - {name: \"service-${index}\", zones: [vereda-alta, vereda-media, vereda-baja], slots: ${slots}, " +
		"connections: 130}\n" +
		"calls:\n")
	for i := range 10 {
		fmt.Fprintf(&template, "  - {name: call-%d, service: \"service-${index}\", method: GET, path: /call-%d, "+
			"rank: urgent, idempotent: true, internal: false, timeout: 1000}\n", i, i)
	}
	edits := make([]publisher.Edit, 0, 1+accounts)
	edits = append(edits, publisher.Edit{Name: "template.fleet", Value: template.String()})
	for i := range accounts {
		edits = append(edits, accountEdit(i, 200))
	}
	return edits
}

// accountEdit returns an edit that sets the target time of the urgent rank of client account i, in ms.
func accountEdit(i, goal int) publisher.Edit {
	return publisher.Edit{
		Name: fmt.Sprintf("account.customer-%d", i),
		Value: fmt.Sprintf("account: customer-%d\ntemplate: fleet\nhost: customer-%d.example\n"+
			"values: {index: %d, goal: %d}\n", i, i, i, goal),
	}
}
