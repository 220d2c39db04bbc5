// Package subscriber activates the newest configuration that an operator stores on the platform. A few nodes of a data
// centre watch the platform; the others wait at one of these relays for changes.
package subscriber

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// Caller makes calls of the node protocol; messenger.Caller satisfies it.
type Caller interface {
	Call(ctx context.Context, peer, method string, arguments, reply any, timeout timekeeper.Millis) error
}

// Options are the settings and dependencies of a Subscriber.
type Options struct {
	Name     string // member name of this node
	Platform connector.Platform
	Kind     string // kind and name of the object that the operator writes
	Object   string
	Decode   func(value []byte) (*compiler.View, error)
	Caller   Caller
	// Relays returns the members at which the others of the data centre wait for changes, the preferred one first.
	// Members returns the number of members. If Relays is nil, the node always watches the platform itself.
	Relays  func() []tracker.Member
	Members func() int
	// Apply is the time within which a change has to be active on every node, in ms; 0 for 2 s.
	Apply  timekeeper.Millis
	Clock  timekeeper.Clock
	Boot   timekeeper.Clock // of Age; counts the time for which the machine was suspended
	Logger *zap.Logger
	Random *rand.Rand
	// Orders are distributed with the configuration; nil for none.
	Orders *OrderOptions
	// OnRestore is called when the platform came back from an older copy; may be nil. It must not block.
	OnRestore func()
}

// Subscriber follows one object of the platform. It ignores versions that are not above the active one, so that a node
// never returns to an older version, whatever the order of arrival.
type Subscriber struct {
	options           Options
	timing            timing
	orders            *orders     // nil without orders
	direct            atomic.Bool // this node follows the platform itself
	hints             chan hint
	backoff           *connector.Backoff
	current           atomic.Pointer[configuration]
	lastPlatformReply atomic.Int64                 // time of the last reply of the platform to this node, ms
	era               atomic.Uint64                // of the platform at its last reply
	confirmed         atomic.Int64                 // time of the last evidence, on the boot clock, ms
	platformFailed    atomic.Bool                  // the last call to the platform failed
	lastPeerRequest   atomic.Int64                 // time of the last request of another node, ms
	directUntil       timekeeper.Millis            // the node watches the platform itself until this time
	avoidedUntil      map[string]timekeeper.Millis // end of the avoidance of each failed relay, by name
	followedRelay     string                       // relay whose last reply was current; empty after a failure

	mutex           sync.Mutex       // serialises apply and guards the fields below
	history         []*configuration // versions before the active one, the newest first
	changed         chan struct{}
	cancelRelayWait context.CancelFunc // ends the wait at a relay
}

// New returns a subscriber without a configuration.
func New(options Options) *Subscriber {
	return &Subscriber{
		options: options, timing: newTiming(options.Apply), hints: make(chan hint, 1), changed: make(chan struct{}),
		orders:       newOrders(options.Orders),
		backoff:      connector.NewBackoff(backoffBase, backoffCap, options.Random),
		avoidedUntil: make(map[string]timekeeper.Millis),
	}
}

// Active returns the active view, or nil.
func (s *Subscriber) Active() *compiler.View {
	if current := s.current.Load(); current != nil {
		return current.view
	}
	return nil
}

// Ready reports whether a configuration is active and the orders are known.
func (s *Subscriber) Ready() bool {
	return s.current.Load() != nil && s.orders.ready()
}

// Version returns the active version, or 0.
func (s *Subscriber) Version() uint64 {
	if view := s.Active(); view != nil {
		return view.Version
	}
	return 0
}

// Run follows the object until ctx ends. It returns nil.
func (s *Subscriber) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { s.followHints(ctx) })
	if s.orders != nil {
		group.Go(func() { s.followOrders(ctx) })
	}
	defer group.Wait()
	for ctx.Err() == nil {
		relay, ok := s.selectRelay()
		s.direct.Store(!ok)
		if ok {
			s.followRelay(ctx, relay)
		} else {
			s.followPlatform(ctx)
		}
	}
	return nil
}

// apply activates a configuration unless it is not newer. It returns false for one that is not valid.
func (s *Subscriber) apply(value []byte, source string) bool {
	view, err := s.options.Decode(value)
	if err != nil {
		s.options.Logger.Error("configuration is not valid", zap.String("source", source), zap.Error(err))
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	previous := s.current.Load()
	if previous != nil && view.Version <= previous.view.Version {
		return true
	}
	if previous != nil {
		s.history = append([]*configuration{previous}, s.history[:min(len(s.history), historySize-1)]...)
	}
	previousVersion := s.Version()
	s.current.Store(newConfiguration(view, value))
	close(s.changed)
	s.changed = make(chan struct{})
	s.options.Logger.Info("configuration in force", zap.Uint64("version", view.Version),
		zap.Uint64("before", previousVersion), zap.String("source", source))
	return true
}

// findBase returns the configuration with the given digest from the history, or nil.
func (s *Subscriber) findBase(digest uint64) *configuration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, version := range s.history {
		if version.digest == digest {
			return version
		}
	}
	return nil
}

// nextChange returns a channel that is closed at the next change of the configuration.
func (s *Subscriber) nextChange() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}
