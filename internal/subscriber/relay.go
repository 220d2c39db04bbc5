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
	// avoidTime is the time for which a failed relay is not used. The membership table lists it as failed after 5 s.
	avoidTime = 5 * timekeeper.Second
	// servingTimeout is the time for which a node watches the platform after the last request of another node.
	servingTimeout = 3 * timekeeper.Second
	// singleRelayMembers is the number of members of a data centre up to which one relay serves all of them.
	singleRelayMembers = 32
	// hintDelay is how long this node, after a hint that another node has a newer version, waits for that version from
	// its relay or the platform before it fetches the version from the other node, in ms.
	hintDelay timekeeper.Millis = 150
	// fetchTimeout is the timeout of a fetch after a hint, in ms.
	fetchTimeout timekeeper.Millis = 500

	watchMethod = "Subscriber.Watch"
)

// selectRelay returns the member at which this node waits for changes. It returns false if the node has to watch the
// platform itself: others wait at it, it is the preferred relay, it has no configuration, or no relay is available.
func (s *Subscriber) selectRelay() (tracker.Member, bool) {
	now := s.options.Clock.Now()
	if s.options.Relays == nil || !s.Ready() || now < s.directUntil || s.serving(now) {
		return tracker.Member{}, false
	}
	relays := s.options.Relays()
	start := 0
	if len(relays) > 1 && s.options.Members() > singleRelayMembers {
		start = int(xxhash.Sum64String(s.options.Name) % uint64(len(relays)))
	}
	for i := range relays {
		member := relays[(start+i)%len(relays)]
		if member.Name == s.options.Name {
			return tracker.Member{}, false
		}
		if s.avoidedUntil[member.Name] <= now {
			return member, true
		}
	}
	return tracker.Member{}, false
}

// serving reports whether other nodes wait at this node.
func (s *Subscriber) serving(now timekeeper.Millis) bool {
	lastRequest := timekeeper.Millis(s.lastPeerRequest.Load())
	return lastRequest > 0 && now-lastRequest < servingTimeout
}

// followRelay waits once for a change at a relay. A relay that does not reply, or is itself cut off from the platform,
// is avoided for avoidTime. If no other relay is available, the node watches the platform itself during that time.
func (s *Subscriber) followRelay(ctx context.Context, relay tracker.Member) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mutex.Lock()
	s.cancelRelayWait = cancel
	s.mutex.Unlock()
	if s.serving(s.options.Clock.Now()) {
		return // another node began to wait here before cancelRelayWait was set
	}
	wait := s.timing.relayWait
	if relay.Name != s.followedRelay {
		wait = s.timing.firstWait
	}
	reply, err := s.fetch(watchCtx, relay.Peer, wait, wait+s.timing.relaySlack)
	if watchCtx.Err() != nil {
		return // this node has to watch the platform itself
	}
	if err == nil && reply.Following {
		s.followedRelay = relay.Name
		return
	}
	s.followedRelay = ""
	s.options.Logger.Info("relay unavailable", zap.String("relay", relay.Name),
		zap.Uint64("member_sequence", relay.Sequence), zap.Uint64("version", s.Version()), zap.Error(err))
	now := s.options.Clock.Now()
	for name, until := range s.avoidedUntil {
		if until <= now {
			delete(s.avoidedUntil, name)
		}
	}
	s.avoidedUntil[relay.Name] = now + avoidTime
	if _, ok := s.selectRelay(); !ok {
		s.directUntil = now + avoidTime
	}
}

// fetch waits at another node for a version above the active one and applies it.
func (s *Subscriber) fetch(
	ctx context.Context, peer string, wait, timeout timekeeper.Millis,
) (*WatchReply, error) {
	arguments := WatchArguments{Format: Format, Wait: wait, Orders: s.orders != nil}
	arguments.OrderEra, arguments.OrderRevision = s.orders.position()
	current := s.current.Load()
	if current != nil {
		arguments.Known, arguments.Digest = current.view.Version, current.digest
	}
	var reply WatchReply
	requested := s.options.Boot.Now()
	if err := s.options.Caller.Call(ctx, peer, watchMethod, &arguments, &reply, timeout); err != nil {
		return nil, err
	}
	if s.orders != nil && reply.HasOrders {
		s.mergeOrders(reply.OrderEra, reply.OrderRevision, reply.orders(s.orders.options.Kind), false)
	}
	if len(reply.Body) == 0 {
		s.confirm(reply.evidence(requested))
		return &reply, nil
	}
	value, err := reply.decompress(current)
	if err != nil {
		return nil, classifier.Wrap(classifier.CodePeerInvalid, peer, err)
	}
	if xxhash.Sum64(value) != reply.Digest {
		return nil, classifier.New(classifier.CodePeerInvalid, peer, "the configuration does not match its digest")
	}
	if s.apply(value, peer) {
		s.confirm(reply.evidence(requested))
	}
	return &reply, nil
}

// hint names another node with a newer version.
type hint struct {
	peer    string
	version uint64
}

// ObserveVersion records the active version of another node, which is fetched from it if newer. It does not block.
func (s *Subscriber) ObserveVersion(from tracker.Member, version uint64) {
	if version > s.Version() {
		select {
		case s.hints <- hint{from.Peer, version}:
		default: // an earlier hint is pending; the next ping repeats this hint
		}
	}
}

// followHints fetches newer versions from other nodes, so that changes spread while the platform is unavailable.
func (s *Subscriber) followHints(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-s.hints:
			if s.Ready() && connector.Sleep(ctx, hintDelay) != nil || h.version <= s.Version() {
				continue
			}
			if _, err := s.fetch(ctx, h.peer, 0, fetchTimeout); err != nil {
				s.options.Logger.Info("configuration not fetched", zap.String("peer", h.peer), zap.Error(err))
			}
		}
	}
}
