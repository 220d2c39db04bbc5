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
	meshPort     = 22000
	meshToken    = "bench-operator-token-0123456789"
	meshInternal = "bench-internal-secret-0123456789"
	// meanWork is the mean time of one run on an upstream, in ms.
	meanWork = 80
	// coldSpan is the time after its start in which an upstream takes twice as long.
	coldSpan = 2 * timekeeper.Second
	// restartSpan is how long the supervisor of an upstream takes to start it again.
	restartSpan = time.Second
)

// Mesh is the nodes and upstreams of both tenants as processes.
type Mesh struct {
	directory string
	layout    layout
	view      compiler.View
	recorder  *recorder
	platform  *launcher.Process
	nodes     []*launcher.Process
	upstreams []*launcher.Process
	stopping  []*launcher.Process // were told to end
	watched   sync.WaitGroup
}

// Data centres of the tenants.
var (
	boyaca  = []string{"vereda-alta", "vereda-media", "vereda-baja"}
	bcSouth = []string{"bc-south-a", "bc-south-b", "bc-south-c", "bc-south-d"}
)

// tenantServers are the servers of each service, spread over the data centres, as the tenants run them today.
var tenantServers = []struct {
	service string
	servers int
	zones   []string
}{
	{"libro-socios", 9, boyaca},
	{"caja-compras", 3, boyaca},
	{floodedService, 9, bcSouth},
	{"orderdesk", 4, bcSouth},
}

// newMesh starts all processes of a system ("design" or "naive") and waits until they serve.
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
	m.place(sources, links)
	if err := m.launch(ctx, system); err != nil {
		m.close()
		return nil, err
	}
	return m, nil
}

// place gives each server its addresses.
func (m *Mesh) place(sources string, links faker.TopologyOptions) {
	port := meshPort
	next := func() string {
		port++
		return "127.0.0.1:" + strconv.Itoa(port)
	}
	m.layout = layout{Platform: next(), Links: links, Places: make(map[string]layoutMember), Sources: sources}
	for _, group := range tenantServers {
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
	m.layout.Places[m.layout.Platform] = layoutMember{Name: "platform", Zone: tenantServers[0].zones[0]}
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
	self, err := os.Executable()
	if err != nil {
		return err
	}
	m.platform, err = launcher.Launch(ctx, m.path("platform.log"), self, "platform", "--listen", m.layout.Platform)
	if err != nil {
		return err
	}
	for _, instance := range m.layout.Instances {
		if err := m.launchInstance(ctx, self, system, instance); err != nil {
			return err
		}
	}
	if system == systemNaive {
		return wait(ctx, 2*coldSpan.Duration())
	}
	return m.publish(ctx)
}

func (m *Mesh) launchInstance(ctx context.Context, self, system string, instance Instance) error {
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
	upstream, err := launcher.Launch(ctx, m.path(instance.Name+"-upstream.log"), self, "upstream",
		"--listen", instance.Upstream, "--slots", strconv.Itoa(slots), "--work", strconv.Itoa(meanWork),
		"--cold", strconv.Itoa(int(coldSpan)), "--recorder", m.recorder.address())
	if err != nil {
		return err
	}
	arguments := []string{self, "node", "--settings", path, "--layout", m.path("layout.json")}
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

// publish applies the sources through the first node and waits until all nodes are ready.
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
	limit := time.Now().Add(convergenceLimit.Duration())
	for {
		err = m.post(ctx, "http://"+m.layout.Instances[0].Admin+"/v1/apply", body)
		if err == nil {
			break
		}
		if time.Now().After(limit) {
			return fmt.Errorf("the examples were not accepted: %w", err)
		}
		if err := wait(ctx, 100*time.Millisecond); err != nil {
			return err
		}
	}
	return m.settle(ctx)
}

// settle waits until every node answers that it is ready, and then for the slow start of the upstreams.
func (m *Mesh) settle(ctx context.Context) error {
	limit := time.Now().Add(convergenceLimit.Duration())
	for _, instance := range m.layout.Instances {
		for m.get(ctx, "http://"+instance.Admin+"/healthz") != nil {
			if time.Now().After(limit) {
				return fmt.Errorf("%s is not ready", instance.Name)
			}
			if err := wait(ctx, 50*time.Millisecond); err != nil {
				return err
			}
		}
	}
	return wait(ctx, 2*coldSpan.Duration())
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

// supervise starts upstreams again that end while ctx lasts, as a supervisor on their servers would.
func (m *Mesh) supervise(ctx context.Context) {
	for _, upstream := range m.upstreams {
		m.watched.Go(func() {
			for {
				select {
				case <-upstream.Done:
				case <-ctx.Done():
					return
				}
				if wait(ctx, restartSpan) != nil || upstream.Start(context.WithoutCancel(ctx)) != nil {
					return
				}
			}
		})
	}
}

// restore starts what a scenario ended and waits until it serves.
func (m *Mesh) restore(ctx context.Context, system string) error {
	m.watched.Wait()
	for _, p := range m.stopping {
		<-p.Done
	}
	m.stopping = nil
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
		return wait(ctx, 2*coldSpan.Duration())
	}
	return m.settle(ctx)
}

// close ends all processes.
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
