package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/google/uuid"

	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/launcher"
	"github.com/jasmineproxy/jasmineproxy/internal/loader"
	"github.com/jasmineproxy/jasmineproxy/internal/publisher"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	meshPort     = 22000 // the listeners use the ports after it
	meshToken    = "bench-operator-token-0123456789"
	meshInternal = "bench-internal-secret-0123456789"
	// meanWork is the mean time of one run on an upstream, in ms.
	meanWork = 80
	// coldStartTime is the time after the start of an upstream during which its runs take twice as long.
	coldStartTime = 2 * timekeeper.Second
	// restartDelay is the delay before a supervisor restarts an upstream.
	restartDelay = time.Second
)

// Mesh runs the nodes and upstreams of both example deployments as processes.
type Mesh struct {
	directory   string
	layout      layout
	view        compiler.View
	recorder    *recorder
	platform    *launcher.Process
	nodes       []*launcher.Process
	upstreams   []*launcher.Process
	stopped     []*launcher.Process // processes that the scenario killed or asked to stop
	supervisors sync.WaitGroup
}

// Data centres of the example deployments.
var (
	boyacaZones  = []string{"vereda-alta", "vereda-media", "vereda-baja"}
	bcSouthZones = []string{"bc-south-a", "bc-south-b", "bc-south-c", "bc-south-d"}
)

// serviceGroups lists the number of servers and the data centres of each service in the example deployments.
var serviceGroups = []struct {
	service string
	servers int
	zones   []string
}{
	{"libro-socios", 9, boyacaZones},
	{"caja-compras", 3, boyacaZones},
	{floodedService, 9, bcSouthZones},
	{"orderdesk", 4, bcSouthZones},
}

// newMesh starts all processes of a system ("design" or "naive") and waits until they are ready.
func newMesh(ctx context.Context, system, sources string, links faker.TopologyOptions) (*Mesh, error) {
	directory, err := os.MkdirTemp("", "bench")
	if err != nil {
		return nil, err
	}
	m := &Mesh{directory: directory}
	if m.view, err = readView(sources); err != nil {
		return nil, err
	}
	if m.recorder, err = newRecorder(ctx); err != nil {
		return nil, err
	}
	m.assignAddresses(sources, links)
	if err := m.launch(ctx, system); err != nil {
		m.close()
		return nil, err
	}
	return m, nil
}

// assignAddresses assigns a port to each listener and builds the layout.
func (m *Mesh) assignAddresses(sources string, links faker.TopologyOptions) {
	port := meshPort
	next := func() string {
		port++
		return "127.0.0.1:" + strconv.Itoa(port)
	}
	m.layout = layout{Platform: next(), Links: links, Places: make(map[string]layoutMember), Sources: sources}
	for _, group := range serviceGroups {
		for i := range group.servers {
			zone := group.zones[i%len(group.zones)]
			instance := Instance{
				Name: fmt.Sprintf("%s-%d", group.service, len(m.layout.Instances)), Service: group.service, Zone: zone,
				Caller: next(), Peer: next(), Admin: next(), Upstream: next(),
			}
			m.layout.Instances = append(m.layout.Instances, instance)
			m.layout.Places[instance.Peer] = layoutMember{Name: instance.Name, Zone: zone}
		}
	}
	m.layout.Places[m.layout.Platform] = layoutMember{Name: "platform", Zone: serviceGroups[0].zones[0]}
}

func (m *Mesh) path(name string) string {
	return filepath.Join(m.directory, name)
}

func (m *Mesh) launch(ctx context.Context, system string) error {
	content, err := json.Marshal(m.layout)
	if err != nil {
		return err
	}
	if err := os.WriteFile(m.path("layout.json"), content, 0o644); err != nil {
		return err
	}
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	m.platform, err = launcher.Launch(ctx, m.path("platform.log"), executable, "platform", "--listen", m.layout.Platform)
	if err != nil {
		return err
	}
	for _, instance := range m.layout.Instances {
		if err := m.launchInstance(ctx, executable, system, instance); err != nil {
			return err
		}
	}
	if system == systemNaive {
		return sleep(ctx, 2*coldStartTime.Duration())
	}
	return m.publish(ctx)
}

func (m *Mesh) launchInstance(ctx context.Context, executable, system string, instance Instance) error {
	digest := sha256.Sum256([]byte(meshToken))
	settings := loader.Default()
	settings.Name, settings.Zone, settings.Service = instance.Name, instance.Zone, instance.Service
	settings.Caller, settings.Peer, settings.Admin = instance.Caller, instance.Peer, instance.Admin
	settings.Upstream.Address, settings.Platform.URL = instance.Upstream, "http://"+m.layout.Platform
	settings.Delay = m.layout.Links.Delay
	settings.Internal, settings.Operator = meshInternal, hex.EncodeToString(digest[:])
	content, err := yaml.Marshal(settings)
	if err != nil {
		return err
	}
	path := m.path(instance.Name + ".yaml")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return err
	}
	slots := m.view.Service(instance.Service).Slots
	upstream, err := launcher.Launch(ctx, m.path(instance.Name+"-upstream.log"), executable, "upstream",
		"--listen", instance.Upstream, "--slots", strconv.Itoa(slots), "--work", strconv.Itoa(meanWork),
		"--cold", strconv.Itoa(int(coldStartTime)), "--recorder", m.recorder.address())
	if err != nil {
		return err
	}
	arguments := []string{executable, "node", "--settings", path, "--layout", m.path("layout.json")}
	if system == systemNaive {
		arguments = append(arguments, "--naive")
	}
	node, err := launcher.Launch(ctx, m.path(instance.Name+".log"), arguments...)
	if err != nil {
		return err
	}
	m.upstreams, m.nodes = append(m.upstreams, upstream), append(m.nodes, node)
	return nil
}

// publish applies the sources through the first node and waits until all nodes and upstreams are ready.
func (m *Mesh) publish(ctx context.Context) error {
	sources, err := readSources(m.layout.Sources)
	if err != nil {
		return err
	}
	set := publisher.Set{Operation: uuid.NewString(), Author: "bench"}
	for _, source := range sources {
		set.Edits = append(set.Edits, publisher.Edit{Name: source.Name, Value: string(source.Value)})
	}
	body, err := json.Marshal(map[string]any{"operation": set.Operation, "edits": set.Edits})
	if err != nil {
		return err
	}
	deadline := time.Now().Add(convergenceLimit.Duration())
	for {
		err = m.post(ctx, "http://"+m.layout.Instances[0].Admin+"/v1/apply", body)
		if err == nil {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("apply the example sources: %w", err)
		}
		if err := sleep(ctx, 100*time.Millisecond); err != nil {
			return err
		}
	}
	return m.awaitReady(ctx)
}

// awaitReady waits until every node reports that it is ready, and then until the cold start of the upstreams is over.
func (m *Mesh) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(convergenceLimit.Duration())
	for _, instance := range m.layout.Instances {
		for m.get(ctx, "http://"+instance.Admin+"/healthz") != nil {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", instance.Name)
			}
			if err := sleep(ctx, 50*time.Millisecond); err != nil {
				return err
			}
		}
	}
	return sleep(ctx, 2*coldStartTime.Duration())
}

func (m *Mesh) post(ctx context.Context, url string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+meshToken)
	request.Header.Set("Content-Type", "application/json")
	return expectOK(request)
}

func (m *Mesh) get(ctx context.Context, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	return expectOK(request)
}

func expectOK(request *http.Request) error {
	client := http.Client{Timeout: (40 * timekeeper.Second).Duration()}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %s", request.URL, response.Status)
	}
	return nil
}

// supervise restarts upstreams that exit before ctx is done, as a supervisor on their servers would.
func (m *Mesh) supervise(ctx context.Context) {
	for _, upstream := range m.upstreams {
		m.supervisors.Go(func() {
			for {
				select {
				case <-upstream.Done:
				case <-ctx.Done():
					return
				}
				if sleep(ctx, restartDelay) != nil || upstream.Start(context.WithoutCancel(ctx)) != nil {
					return
				}
			}
		})
	}
}

// restore restarts the processes that a scenario stopped and waits until they are ready.
func (m *Mesh) restore(ctx context.Context, system string) error {
	m.supervisors.Wait()
	for _, p := range m.stopped {
		<-p.Done
	}
	m.stopped = nil
	for _, processes := range [][]*launcher.Process{m.upstreams, m.nodes} {
		for _, p := range processes {
			if !p.Running() {
				if err := p.Start(ctx); err != nil {
					return err
				}
			}
		}
	}
	if system == systemNaive {
		return sleep(ctx, 2*coldStartTime.Duration())
	}
	return m.awaitReady(ctx)
}

// close kills all processes and removes their files.
func (m *Mesh) close() {
	all := append(append([]*launcher.Process{}, m.nodes...), m.upstreams...)
	if m.platform != nil {
		all = append(all, m.platform)
	}
	for _, p := range all {
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range all {
		<-p.Done
	}
	_ = m.recorder.listener.Close()
	_ = os.RemoveAll(m.directory)
}
