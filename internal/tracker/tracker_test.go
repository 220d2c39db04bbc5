package tracker

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/messenger"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// pipes is a network in memory: a listener for each address.
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

func (p *pipes) listen(address string) net.Listener {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	p.listeners[address] = l
	return l
}

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

// run starts a tracker with its own client and server and returns it with a function that ends its process.
func (p *pipes) run(t *testing.T, name string, heard func(Member, uint64)) (*Tracker, func()) {
	t.Helper()
	client := messenger.NewClient(messenger.Options{Zone: "zone", Dial: p.dial})
	server := messenger.NewServer(messenger.Options{Zone: "zone"})
	tracker := NewTracker(Options{
		Self: Member{Name: name, Zone: "zone", Service: "service", Peer: name}, Caller: client, Clock: timekeeper.System(),
		Versions: func() (uint64, uint64) { return 5, 4 }, Heard: heard,
	})
	if err := server.Register("Tracker", tracker.Receiver()); err != nil {
		t.Fatal(err)
	}
	web := &http.Server{Handler: server}
	listener := p.listen(name)
	go func() { _ = web.Serve(listener) }()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		_ = tracker.Run(ctx)
		close(ended)
	}()
	tracker.Join([]string{"node-0"})
	return tracker, sync.OnceFunc(func() {
		_ = web.Close()
		server.Close()
		cancel()
		<-ended
		client.Close()
	})
}

// Guards against trackers that do not find each other, miss a failure or a departure, or do not carry versions, over
// the real node protocol.
func TestTrackersOverMessenger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &pipes{listeners: make(map[string]*pipeListener)}
		var mutex sync.Mutex
		versions := make(map[string]uint64)
		trackers := make([]*Tracker, 5)
		stops := make([]func(), len(trackers))
		for i := range trackers {
			trackers[i], stops[i] = network.run(t, fmt.Sprintf("node-%d", i), func(m Member, active uint64) {
				mutex.Lock()
				defer mutex.Unlock()
				versions[m.Name] = active
			})
			defer stops[i]()
		}
		<-time.After(10 * time.Second)
		for _, tracker := range trackers {
			members, relays := tracker.Service("service"), tracker.Relays("zone")
			if len(members) != 5 || len(relays) != 2 || !tracker.Joined() {
				t.Fatalf("%s lists %d members and %d relays", tracker.name, len(members), len(relays))
			}
		}
		mutex.Lock()
		if len(versions) != 5 || versions["node-1"] != 4 {
			t.Errorf("versions heard: %v", versions)
		}
		mutex.Unlock()
		stops[4]()
		trackers[3].Leave(t.Context())
		stops[3]()
		<-time.After(15 * time.Second)
		for _, tracker := range trackers[:3] {
			failed, _ := tracker.Find("node-4")
			left, _ := tracker.Find("node-3")
			if failed.Health != HealthFailed || left.Health != HealthLeft || left.Known != 5 {
				t.Errorf("%s: killed member is %+v, leaving one is %+v", tracker.name, failed, left)
			}
		}
		trackers[0].SetSelf(func(m *Member) { m.State = StateDraining })
		<-time.After(time.Second)
		if m, _ := trackers[1].Find("node-0"); m.State != StateDraining {
			t.Errorf("drained member is %+v", m)
		}
	})
}
