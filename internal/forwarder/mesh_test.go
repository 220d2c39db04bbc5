package forwarder

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/router"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

const service = "orderdesk"

// mesh is entry and host nodes with upstreams on a network in memory.
type mesh struct {
	network   *faker.Network
	members   []tracker.Member
	upstreams []*faker.Upstream
	hosts     []*Host
	entry     *Entry
	servers   []*http.Server
}

type fixedViews struct{ view *compiler.View }

func (f fixedViews) Active() *compiler.View { return f.view }
func (f fixedViews) Ready() bool            { return true }

type fixedDirectory []tracker.Member

func (f fixedDirectory) Service(string) []tracker.Member { return f }

func testView() *compiler.View {
	return &compiler.View{
		Version:  7,
		Services: []compiler.Service{{Name: service, Zones: []string{"a"}, Slots: 4, Connections: 130}},
		Accounts: []compiler.Account{{
			Name: "wick", Host: "wick.example",
			Ranks: []compiler.Rank{{Name: "urgent", Order: 1, Target: 200, Share: 50}},
			Calls: []compiler.Call{
				{Name: "book", Service: service, Method: "POST", Path: "/book", Rank: "urgent", Timeout: 1000},
				{Name: "check", Service: service, Method: "GET", Path: "/check", Rank: "urgent", Timeout: 1000, Idempotent: true},
				{Name: "audit", Service: service, Method: "GET", Path: "/audit", Rank: "urgent", Internal: true, Timeout: 1000},
			},
		}},
	}
}

func serve(m *mesh, address string, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	m.servers = append(m.servers, server)
	listener := m.network.Listen(address)
	go func() { _ = server.Serve(listener) }()
}

// newMesh starts one entry node and a host node with an upstream for each of the options. It must run in a bubble.
func newMesh(t *testing.T, adjust func(i int, o *Options), upstreams ...faker.UpstreamOptions) *mesh {
	t.Helper()
	m := &mesh{network: faker.NewNetwork()}
	clock := timekeeper.System()
	for i, options := range upstreams {
		name := string(rune('a' + i))
		upstream := faker.NewUpstream(options)
		listener := m.network.Listen("upstream-" + name + ":1")
		go upstream.Serve(listener)
		o := Options{
			Clock: clock, Name: name, Dial: m.network.Dial, Upstream: "upstream-" + name + ":1",
			Queue: admitter.New(admitter.Options{Clock: clock, Slots: 4}),
		}
		if adjust != nil {
			adjust(i, &o)
		}
		host := NewHost(o)
		serve(m, "peer-"+name+":1", host)
		m.hosts, m.upstreams = append(m.hosts, host), append(m.upstreams, upstream)
		m.members = append(m.members, tracker.Member{
			Name: name, Zone: "a", Service: service, Peer: "peer-" + name + ":1", Slots: 4, State: tracker.StateReady,
		})
	}
	o := Options{
		Clock: clock, Name: "entry", Zone: "a", Dial: m.network.Dial, Views: fixedViews{testView()},
		Picker:   router.NewPicker(router.Options{Directory: fixedDirectory(m.members), Clock: clock, Zone: "a"}),
		Internal: "secret",
	}
	if adjust != nil {
		adjust(-1, &o)
	}
	m.entry = NewEntry(o)
	t.Cleanup(m.close)
	return m
}

func (m *mesh) close() {
	m.entry.Close()
	for _, host := range m.hosts {
		host.Close()
	}
	for _, server := range m.servers {
		_ = server.Close()
	}
	for _, upstream := range m.upstreams {
		upstream.Crash()
	}
}

// send runs one request through the entry node's handler.
func (m *mesh) send(ctx context.Context, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(ctx, method, "http://wick.example"+path, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	recorder := httptest.NewRecorder()
	m.entry.ServeHTTP(recorder, request)
	return recorder
}

// Guards against a hop that loses the request's body, the answer or the headers of the request path.
func TestHop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, nil, faker.UpstreamOptions{})
		got := m.send(t.Context(), http.MethodPost, "/book/9?day=2", "sacks=3")
		if got.Code != http.StatusOK || got.Header().Get(headerOutcome) != "answered" {
			t.Fatalf("status %d, header %v, body %s", got.Code, got.Header(), got.Body)
		}
		id := got.Header().Get(headerID)
		if !validID(id) || got.Body.String() != "ran "+id+"\n" || m.upstreams[0].Runs(id) != 1 {
			t.Fatalf("id %q, body %q", id, got.Body)
		}
		m.close()
	})
}
