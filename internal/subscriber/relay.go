package subscriber

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

const (
	// avoidSpan is how long a relay that failed is not asked. The membership table lists it as failed after 5 s.
	avoidSpan = 5 * timekeeper.Second
	// servedSpan is how long a node watches the platform after the last question of another node.
	servedSpan = 3 * timekeeper.Second
	// relayMembers is the number of members of a data centre up to which one relay serves all of them.
	relayMembers = 32
	// hintPause is how long a change may take on its usual way before it is fetched from whoever has it, in ms.
	hintPause timekeeper.Millis = 150
	// fetchTimeout bounds the question to such a node, in ms.
	fetchTimeout timekeeper.Millis = 500

	watchMethod = "Subscriber.Watch"
)

// relay returns the member at which this node waits for changes. It returns false if the node is to watch the platform
// itself: others wait at it, it is the preferred relay, it has no configuration, or no relay is of use.
func (s *Subscriber) relay() (tracker.Member, bool) {
	now := s.options.Clock.Now()
	if s.options.Relays == nil || !s.Ready() || now < s.direct || s.serving(now) {
		return tracker.Member{}, false
	}
	relays := s.options.Relays()
	first := 0
	if len(relays) > 1 && s.options.Members() > relayMembers {
		first = int(xxhash.Sum64String(s.options.Name) % uint64(len(relays)))
	}
	for i := range relays {
		one := relays[(first+i)%len(relays)]
		if one.Name == s.options.Name {
			return tracker.Member{}, false
		}
		if s.avoided[one.Name] <= now {
			return one, true
		}
	}
	return tracker.Member{}, false
}

// serving reports whether other nodes wait at this one.
func (s *Subscriber) serving(now timekeeper.Millis) bool {
	asked := timekeeper.Millis(s.asked.Load())
	return asked > 0 && now-asked < servedSpan
}

// followRelay waits once for a change at a relay. One that does not reply, or lost the platform itself, is avoided for
// some time.
func (s *Subscriber) followRelay(ctx context.Context, relay tracker.Member) {
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mutex.Lock()
	s.interrupt = cancel
	s.mutex.Unlock()
	if s.serving(s.options.Clock.Now()) {
		return
	}
	reply, err := s.ask(bounded, relay.Peer, s.timing.relay, s.timing.relay+s.timing.slack)
	if bounded.Err() != nil {
		return // this node is to watch the platform itself
	}
	if err == nil && reply.Following {
		return
	}
	s.options.Logger.Info("relay is of no use", zap.String("relay", relay.Name),
		zap.Uint64("member_sequence", relay.Sequence), zap.Uint64("version", s.Version()), zap.Error(err))
	now := s.options.Clock.Now()
	for name, until := range s.avoided {
		if until <= now {
			delete(s.avoided, name)
		}
	}
	s.avoided[relay.Name] = now + avoidSpan
	if _, ok := s.relay(); !ok {
		s.direct = now + avoidSpan
	}
}

// ask waits at another node for a version above the own one and puts it in force.
func (s *Subscriber) ask(
	ctx context.Context, peer string, wait, timeout timekeeper.Millis,
) (*WatchReply, error) {
	arguments := WatchArguments{Format: Format, Wait: wait}
	own := s.current.Load()
	if own != nil {
		arguments.Known, arguments.Digest = own.view.Version, own.digest
	}
	var reply WatchReply
	if err := s.options.Caller.Call(ctx, peer, watchMethod, &arguments, &reply, timeout); err != nil {
		return nil, err
	}
	if len(reply.Body) == 0 {
		return &reply, nil
	}
	value, err := reply.unpack(own)
	if err != nil {
		return nil, classifier.Wrap(classifier.CodePeerInvalid, peer, err)
	}
	if xxhash.Sum64(value) != reply.Digest {
		return nil, classifier.New(classifier.CodePeerInvalid, peer, "the configuration does not match its digest")
	}
	s.apply(value, peer)
	return &reply, nil
}

// hint is another node that has a newer version.
type hint struct {
	peer    string
	version uint64
}

// ObserveVersion is told the version in force at another node. It does not block.
func (s *Subscriber) ObserveVersion(from tracker.Member, version uint64) {
	if version > s.Version() {
		select {
		case s.hints <- hint{from.Peer, version}:
		default: // an earlier hint is being followed; the next ping repeats this one
		}
	}
}

// followHints fetches newer versions from other nodes. It carries changes past a platform that is out of reach.
func (s *Subscriber) followHints(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-s.hints:
			if s.Ready() && connector.Sleep(ctx, hintPause) != nil || h.version <= s.Version() {
				continue
			}
			if _, err := s.ask(ctx, h.peer, 0, fetchTimeout); err != nil {
				s.options.Logger.Info("configuration not fetched", zap.String("peer", h.peer), zap.Error(err))
			}
		}
	}
}
