package subscriber

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// scripted is a platform whose calls are answered by functions.
type scripted struct {
	connector.Platform
	list  func() (connector.Snapshot, error)
	watch func(after uint64, wait timekeeper.Millis) (connector.Snapshot, error)
}

func (s *scripted) List(context.Context, string) (connector.Snapshot, error) {
	return s.list()
}

func (s *scripted) Watch(
	ctx context.Context, _ string, after uint64, wait timekeeper.Millis,
) (connector.Snapshot, error) {
	if err := connector.Sleep(ctx, wait); err != nil {
		return connector.Snapshot{}, err
	}
	return s.watch(after, wait)
}

// peers carries Subscriber.Watch to other subscribers by their peer addresses.
type peers struct {
	nodes map[string]*Subscriber
	gone  sync.Map // addresses that do not answer
}

func (p *peers) Call(ctx context.Context, peer, _ string, arguments, reply any, timeout timekeeper.Millis) error {
	asked, _ := arguments.(*WatchArguments)
	answer, _ := reply.(*WatchReply)
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	var got WatchReply
	done := make(chan error, 1)
	go func() { done <- (&Receiver{p.nodes[peer]}).Watch(asked, &got) }()
	select {
	case err := <-done:
		if _, gone := p.gone.Load(peer); gone {
			<-ctx.Done()
			return ctx.Err()
		}
		*answer = got
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func decode(value []byte) (*compiler.View, error) {
	version, err := strconv.ParseUint(strings.TrimSpace(strings.SplitN(string(value), "\n", 2)[0]), 10, 64)
	return &compiler.View{Version: version}, err
}

func newSubscriber(platform connector.Platform, caller Caller) *Subscriber {
	return New(Options{
		Platform: platform, Kind: "config", Object: "main", Decode: decode, Caller: caller, Clock: timekeeper.System(),
		Logger: zap.NewNop(), Random: rand.New(rand.NewPCG(1, 1)),
	})
}

func stored(version string) connector.Snapshot {
	return connector.Snapshot{Revision: 1, Objects: []connector.Object{
		{Kind: "config", Name: "other", Value: []byte("99")}, {Kind: "config", Name: "main", Value: []byte(version)},
	}}
}

// Guards against a node that goes back to an older version or loses its view to an invalid one.
func TestVersionsOnlyRise(t *testing.T) {
	s := newSubscriber(nil, nil)
	values := []string{"4", "3", "not a version", "4", "9", "8"}
	got := make([]uint64, 0, len(values))
	for _, value := range values {
		s.apply([]byte(value), "platform")
		got = append(got, s.Version())
	}
	if diff := cmp.Diff([]uint64{4, 4, 4, 4, 9, 9}, got); diff != "" {
		t.Errorf("versions differ (-want +got):\n%s", diff)
	}
}

// Guards against a node that keeps an old version when its watch lost the history, or after an outage.
func TestListsAgainAfterALostWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lists := 0
		platform := &scripted{
			list: func() (connector.Snapshot, error) {
				lists++
				if lists == 2 {
					return connector.Snapshot{}, classifier.New(classifier.CodeUnavailable, "config", "down")
				}
				return stored(strconv.Itoa(lists)), nil
			},
			watch: func(uint64, timekeeper.Millis) (connector.Snapshot, error) {
				return connector.Snapshot{}, classifier.New(classifier.CodeUnavailable, "config", "history is gone")
			},
		}
		s := newSubscriber(platform, nil)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		_ = connector.Sleep(t.Context(), newTiming(0).watch+3*backoffBase+1)
		if s.Version() != 3 {
			t.Errorf("version %d after %d lists", s.Version(), lists)
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// Guards against a node that stays behind while the platform turns it away and another node has the new version.
func TestFetchesFromAnotherNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := &scripted{list: func() (connector.Snapshot, error) { return connector.Snapshot{}, errors.New("turned away") }}
		ahead := newSubscriber(nil, nil)
		ahead.apply([]byte("7"), "platform")
		s := newSubscriber(down, &peers{nodes: map[string]*Subscriber{"peer:1": ahead}})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		s.ObserveVersion(tracker.Member{Peer: "peer:1"}, 7)
		_ = connector.Sleep(t.Context(), fetchTimeout)
		if s.Version() != 7 || !s.Ready() {
			t.Errorf("version %d", s.Version())
		}
		cancel()
		<-done
	})
}
