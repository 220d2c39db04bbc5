package subscriber

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// callTimeout is what a client of the platform adds to the wait of a call.
const callTimeout = 1500 * timekeeper.Millis(1)

// store is a platform with one object. Calls of nodes that are cut off hang until their context ends.
type store struct {
	connector.Platform
	mutex   sync.Mutex
	version int
	changed chan struct{}
	calls   map[string]int
	silent  map[string]bool
	failing bool
}

func newStore() *store {
	return &store{version: 1, changed: make(chan struct{}), calls: make(map[string]int), silent: make(map[string]bool)}
}

func (s *store) set(version int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version = version
	close(s.changed)
	s.changed = make(chan struct{})
}

// with runs f while no call reads or changes the store.
func (s *store) with(f func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f()
}

// storeClient is one node's way to the store.
type storeClient struct {
	*store
	node string
}

func (c *storeClient) enter(ctx context.Context) (version int, changed chan struct{}, err error) {
	c.mutex.Lock()
	c.calls[c.node]++
	version, changed = c.version, c.changed
	silent, failing := c.silent[c.node], c.failing
	c.mutex.Unlock()
	if silent {
		_ = connector.Sleep(ctx, callTimeout)
		return 0, nil, errors.New("no answer")
	}
	if failing {
		return 0, nil, errors.New("the platform is down")
	}
	return version, changed, nil
}

func (c *storeClient) List(ctx context.Context, _ string) (connector.Snapshot, error) {
	version, _, err := c.enter(ctx)
	return snapshotOf(version), err
}

func (c *storeClient) Watch(
	ctx context.Context, _ string, after uint64, wait timekeeper.Millis,
) (connector.Snapshot, error) {
	version, changed, err := c.enter(ctx)
	if err != nil {
		return connector.Snapshot{}, err
	}
	if uint64(version) <= after {
		bounded, cancel := context.WithTimeout(ctx, wait.Duration())
		defer cancel()
		select {
		case <-changed:
		case <-bounded.Done():
		}
	}
	c.mutex.Lock()
	silent, version := c.silent[c.node], c.version
	c.mutex.Unlock()
	if silent {
		_ = connector.Sleep(ctx, wait+callTimeout)
		return connector.Snapshot{}, errors.New("no answer")
	}
	return snapshotOf(version), nil
}

func snapshotOf(version int) connector.Snapshot {
	return connector.Snapshot{Revision: uint64(version), Objects: []connector.Object{
		{Kind: "config", Name: "main", Value: []byte(strconv.Itoa(version))},
	}}
}

// fleet is one data centre of five nodes, of which "a" and "b" are the relays.
type fleet struct {
	store *store
	nodes map[string]*Subscriber
	peers *peers
	end   context.CancelFunc
	work  sync.WaitGroup
}

func newFleet(t *testing.T, apply timekeeper.Millis) *fleet {
	f := &fleet{store: newStore(), nodes: make(map[string]*Subscriber)}
	f.peers = &peers{nodes: f.nodes}
	ctx, cancel := context.WithCancel(t.Context())
	f.end = cancel
	names := []string{"a", "b", "c", "d", "e"}
	for _, name := range names {
		one := newSubscriber(&storeClient{f.store, name}, f.peers)
		one.options.Name, one.timing = name, newTiming(apply)
		one.options.Relays = func() []tracker.Member {
			return []tracker.Member{{Name: "a", Peer: "a"}, {Name: "b", Peer: "b"}}
		}
		one.options.Members = func() int { return len(names) }
		f.nodes[name] = one
	}
	for _, one := range f.nodes {
		f.work.Go(func() { _ = one.Run(ctx) })
	}
	return f
}

func (f *fleet) versions() map[string]uint64 {
	versions := make(map[string]uint64, len(f.nodes))
	for name, one := range f.nodes {
		versions[name] = one.Version()
	}
	return versions
}

func (f *fleet) expect(t *testing.T, version uint64, except ...string) {
	t.Helper()
	want := make(map[string]uint64, len(f.nodes))
	got := f.versions()
	for name := range f.nodes {
		want[name] = version
	}
	for _, name := range except {
		delete(want, name)
		delete(got, name)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("versions differ (-want +got):\n%s", diff)
	}
}

func (f *fleet) stop() {
	f.end()
	f.work.Wait()
	_ = connector.Sleep(context.Background(), longestApply) // questions that nobody waits for any more
}

// Guards against calls to the platform that grow with the nodes, in quiet times and with each change.
func TestOneNodeWatchesThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0)
		_ = connector.Sleep(t.Context(), 10*timekeeper.Second)
		f.expect(t, 1)
		f.store.with(func() { clear(f.store.calls) })
		for version := 2; version <= 9; version++ {
			f.store.set(version)
			_ = connector.Sleep(t.Context(), 250)
			f.expect(t, uint64(version))
		}
		_ = connector.Sleep(t.Context(), 8*timekeeper.Second)
		f.store.with(func() {
			if calls := f.store.calls; len(calls) != 1 || calls["a"] > 20 {
				t.Errorf("calls to the platform: %v", calls)
			}
		})
		f.stop()
	})
}

// Guards against nodes that miss a change because the one they wait at is cut off from the platform, or gone, without a
// word. The change comes at every point of the relay's turns.
func TestChangeWhileTheRelayIsSilent(t *testing.T) {
	for _, apply := range []timekeeper.Millis{1000, 2000, 5000} {
		for offset := timekeeper.Millis(0); offset < newTiming(apply).watch; offset += 130 {
			for _, gone := range []bool{false, true} {
				synctest.Test(t, func(t *testing.T) { changeWhileSilent(t, apply, offset, gone) })
			}
		}
	}
}

// changeWhileSilent silences the preferred relay at an offset, towards the platform only or for all, and expects a
// change on all others in time.
func changeWhileSilent(t *testing.T, apply, offset timekeeper.Millis, gone bool) {
	t.Helper()
	f := newFleet(t, apply)
	_ = connector.Sleep(t.Context(), 10*timekeeper.Second+offset)
	f.store.with(func() { f.store.silent["a"] = true })
	if gone {
		f.peers.gone.Store("a", true)
	}
	f.store.set(2)
	_ = connector.Sleep(t.Context(), apply)
	f.expect(t, 2, "a")
	f.stop()
}

// Guards against nodes that stay behind after an outage of the platform, and against a flood of calls during it.
func TestOutageOfThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0)
		_ = connector.Sleep(t.Context(), 10*timekeeper.Second)
		f.store.with(func() {
			f.store.failing = true
			clear(f.store.calls)
		})
		f.store.set(2)
		_ = connector.Sleep(t.Context(), 10*timekeeper.Second)
		f.store.with(func() {
			for name, calls := range f.store.calls {
				if calls > 25 {
					t.Errorf("%s made %d calls in 10 s of outage", name, calls)
				}
			}
			f.store.failing = false
		})
		_ = connector.Sleep(t.Context(), backoffCap+100)
		f.expect(t, 2)
		f.stop()
	})
}

// longVersion is a configuration long enough to be sent as a difference.
func longVersion(version int) []byte {
	return fmt.Appendf(nil, "%d%s", version, strings.Repeat(" ", 2*packedBytes))
}

// Guards against a damaged or crossed difference that is put in force, and against a whole text where a difference
// would do.
func TestDifferences(t *testing.T) {
	ahead := newSubscriber(nil, nil)
	ahead.apply(longVersion(4), "platform")
	ahead.apply(longVersion(5), "platform")
	for _, spoil := range []bool{false, true} {
		way := &recorder{peers: &peers{nodes: map[string]*Subscriber{"p": ahead}}, spoil: spoil}
		behind := newSubscriber(nil, way)
		behind.apply(longVersion(4), "platform")
		_, err := behind.ask(t.Context(), "p", 0, fetchTimeout)
		if want := map[bool]uint64{false: 5, true: 4}[spoil]; behind.Version() != want || (err != nil) != spoil {
			t.Errorf("spoiled %v: version %d, error %v", spoil, behind.Version(), err)
		}
		if !way.last.Delta || len(way.last.Body) > 100 {
			t.Errorf("%d bytes, difference %v", len(way.last.Body), way.last.Delta)
		}
	}
}

// recorder keeps the last reply, and spoils its digest if it is to.
type recorder struct {
	*peers
	spoil bool
	last  WatchReply
}

func (r *recorder) Call(
	ctx context.Context, peer, method string, arguments, reply any, timeout timekeeper.Millis,
) error {
	err := r.peers.Call(ctx, peer, method, arguments, reply, timeout)
	if answer, ok := reply.(*WatchReply); ok {
		if r.spoil {
			answer.Digest++
		}
		r.last = *answer
	}
	return err
}
