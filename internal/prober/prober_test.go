package prober

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/bubbler"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/verifier"
)

// observe probes an upstream, calls change, probes again and returns the state that the prober reports then.
func observe(
	t *testing.T, ignore bool, options faker.UpstreamOptions, change func(u *faker.Upstream, restart func()),
) (alive bool, restarts uint64) {
	t.Helper()
	bubbler.Test(t, func(t *testing.T) {
		network := faker.NewNetwork()
		upstream := faker.NewUpstream(options)
		restart := func() { go upstream.Serve(network.Listen("upstream:1")) }
		restart()
		p := New(Options{URL: "http://upstream:1/health", Dial: network.Dial})
		p.ignoreRestarts = ignore
		synctest.Wait()
		<-time.After(time.Minute)
		if !p.Check(t.Context()) || p.Restarts() != 0 {
			t.Error("not alive at first, or a restart counted")
		}
		change(upstream, restart)
		synctest.Wait()
		alive = p.Check(t.Context())
		if alive != p.Alive() {
			t.Error("Alive differs from the last probe")
		}
		restarts = p.Restarts()
		p.transport.CloseIdleConnections()
		upstream.Crash()
	})
	return alive, restarts
}

// Guards against a crash or a quick restart that goes undetected, and against a lagging health endpoint that is
// mistaken for a crash.
func TestCrashAndRestart(t *testing.T) {
	crash := func(u *faker.Upstream, _ func()) { u.Crash() }
	quick := func(u *faker.Upstream, restart func()) { u.Crash(); restart() }
	drain := func(u *faker.Upstream, _ func()) { u.Drain() }
	nothing := func(*faker.Upstream, func()) {}
	lag := faker.UpstreamOptions{Lag: 30 * timekeeper.Second}
	for _, c := range []struct {
		name     string
		ignore   bool
		options  faker.UpstreamOptions
		change   func(u *faker.Upstream, restart func())
		alive    bool
		restarts uint64
	}{
		{"nothing", false, faker.UpstreamOptions{}, nothing, true, 0},
		{"crash", false, faker.UpstreamOptions{}, crash, false, 1},
		{"quick restart", false, faker.UpstreamOptions{}, quick, true, 1},
		{"quick restart, not counted", true, faker.UpstreamOptions{}, quick, true, 0},
		{"drain", false, faker.UpstreamOptions{}, drain, false, 0},
		{"drain with a lagging endpoint", false, lag, drain, true, 0},
		{"crash with a lagging endpoint", false, lag, crash, false, 1},
	} {
		alive, restarts := observe(t, c.ignore, c.options, c.change)
		if alive != c.alive || restarts != c.restarts {
			t.Errorf("%s: alive %v, restarts %d", c.name, alive, restarts)
		}
	}
}

// Guards against a malformed response that passes for the sign of an upstream in good state.
func TestMalformedResponse(t *testing.T) {
	for name, head := range faker.MalformedHeads() {
		server := httptest.NewServer(faker.Raw(head + "Content-Length: 0\r\n\r\n"))
		p := New(Options{URL: server.URL})
		if p.Check(t.Context()) {
			t.Errorf("%s: the upstream is alive", name)
		}
		server.Close()
		const rest = "Content-Length: 0\r\n\r\n"
		server = httptest.NewServer(faker.Second("HTTP/1.1 200 OK\r\n"+rest, head+rest))
		p = New(Options{URL: server.URL})
		if first, second := p.Check(t.Context()), p.Check(t.Context()); !first || second {
			t.Errorf("%s, second answer: the upstream is alive: %v, then %v", name, first, second)
		}
		server.Close()
	}
}

// Guards against a head without end that is kept in memory.
func TestHeadOfProbeIsBounded(t *testing.T) {
	const limit = 100 * verifier.MaxHead
	var sent atomic.Int64
	server := httptest.NewServer(faker.EndlessHead(limit, &sent))
	alive := New(Options{URL: server.URL, Timeout: 10 * timekeeper.Second}).Check(t.Context())
	server.Close()
	if alive || sent.Load() == 0 || sent.Load() >= limit {
		t.Errorf("alive %v after %d bytes", alive, sent.Load())
	}
}

// Guards against a slow health endpoint that is mistaken for a crash, and a Run that continues after its context ended.
func TestSlowEndpoint(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		network := faker.NewNetwork()
		var slow atomic.Bool
		server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(
			func(_ http.ResponseWriter, r *http.Request) {
				if slow.Load() {
					<-r.Context().Done()
				}
			})}
		go func() { _ = server.Serve(network.Listen("upstream:1")) }()
		synctest.Wait()
		changes := 0
		p := New(Options{URL: "http://upstream:1/", Dial: network.Dial, Changed: func(bool) { changes++ }})
		ended := make(chan error)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { ended <- p.Run(ctx) }()
		<-time.After(1500 * time.Millisecond)
		slow.Store(true)
		<-time.After(3 * time.Second)
		if p.Alive() || p.Restarts() != 0 || changes != 2 {
			t.Errorf("alive %v, restarts %d, changes %d", p.Alive(), p.Restarts(), changes)
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		_ = server.Close()
	})
}
