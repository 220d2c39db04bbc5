package relayer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/follower"
	"github.com/jasmineproxy/jasmineproxy/internal/messenger"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

var _ Members = (*tracker.Tracker)(nil)

// pipes is a network in memory: a channel of connections for each address.
type pipes struct {
	mutex     sync.Mutex
	listeners map[string]*pipeListener
}

type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.done); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(ctx context.Context, address string) (net.Conn, error) {
	p.mutex.Lock()
	l := p.listeners[address]
	p.mutex.Unlock()
	if l == nil {
		return nil, net.ErrClosed
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// process is one node assembled from the real tracker, messenger, follower and relayer.
type process struct {
	tracker  *tracker.Tracker
	follower *follower.Follower
	kill     func()
	killed   bool
}

func (p *pipes) run(t *testing.T, name, zone string, platform *faker.Platform) *process {
	t.Helper()
	clock := timekeeper.System()
	client := messenger.NewClient(messenger.Options{Zone: zone, Dial: p.dial})
	server := messenger.NewServer(messenger.Options{Zone: zone})
	f := follower.New(follower.Options{Clock: clock})
	var r *Relayer
	members := tracker.NewTracker(tracker.Options{
		Self: tracker.Member{Name: name, Zone: zone, Peer: name}, Caller: client, Clock: clock,
		Versions: func() (uint64, uint64) { return f.Known(), f.ActiveVersion() },
		Heard:    func(m tracker.Member, active uint64) { r.Heard(m, active) },
	})
	r = New(Options{
		Name: name, Zone: zone, Peer: name, Caller: client, Members: members, Follower: f, Platform: platform, Clock: clock,
	})
	for receiver, methods := range map[string]any{"Tracker": members.Receiver(), "Relayer": r.Receiver()} {
		if err := server.Register(receiver, methods); err != nil {
			t.Fatal(err)
		}
	}
	l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	p.mutex.Lock()
	p.listeners[name] = l
	p.mutex.Unlock()
	web := &http.Server{Handler: server}
	go func() { _ = web.Serve(l) }()
	ctx, cancel := context.WithCancel(t.Context())
	var work sync.WaitGroup
	work.Go(func() { _ = members.Run(ctx) })
	work.Go(func() { _ = r.Run(ctx) })
	members.Join([]string{"node-0", "node-1"})
	n := &process{tracker: members, follower: f}
	n.kill = sync.OnceFunc(func() {
		n.killed = true
		_ = web.Close()
		server.Close()
		cancel()
		work.Wait()
		client.Close()
	})
	return n
}

// Guards against parts that work alone and not together: nodes over the real node protocol take versions while relays
// and other members are killed and one returns, and each change is in force within 3 s.
func TestNodesOverMessenger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, 0, 0) // only its platform
		network := &pipes{listeners: make(map[string]*pipeListener)}
		nodes := make([]*process, 12)
		zone := func(i int) string { return fmt.Sprintf("zone-%d", i%2) }
		for i := range nodes {
			nodes[i] = network.run(t, fmt.Sprintf("node-%d", i), zone(i), m.platform)
		}
		defer func() {
			for _, n := range nodes {
				n.kill()
			}
		}()
		await := func(name string, limit time.Duration) {
			version := m.publish(3)
			for passed := time.Duration(0); ; passed += 20 * time.Millisecond {
				lagging := 0
				for _, n := range nodes {
					if !n.killed && (n.follower.ActiveVersion() < version || !n.follower.Ready()) {
						lagging++
					}
				}
				if lagging == 0 {
					t.Logf("%s: version %d is in force after %v", name, version, passed)
					return
				}
				if passed >= limit {
					t.Fatalf("%s: version %d is not in force on %d nodes after %v", name, version, lagging, limit)
				}
				<-time.After(20 * time.Millisecond)
			}
		}
		await("start", 5*time.Second)
		await("rest", 3*time.Second)
		for i, n := range nodes {
			if !n.killed && n.tracker.IsRelay() && i > 1 {
				n.kill()
				break
			}
		}
		await("relay killed", 3*time.Second)
		nodes[11].kill()
		nodes[10].kill()
		await("members killed", 3*time.Second)
		nodes[11] = network.run(t, "node-11", zone(11), m.platform)
		await("member returns", 3*time.Second)
		calls := m.platformCalls()
		<-time.After(time.Minute)
		if calls = m.platformCalls() - calls; calls > 16 { // four relays, one watch in 25 s each
			t.Errorf("%d platform calls in a minute at rest", calls)
		}
	})
}
