// Package subscriber keeps the newest configuration that an operator stores on the platform in force on a node. Few
// nodes of a data centre watch the platform; the others wait at one of these for changes.
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

// Options are the parts of a Subscriber.
type Options struct {
	Name     string // member name of this node
	Platform connector.Platform
	Kind     string // kind and name of the object that the operator writes
	Object   string
	Decode   func(value []byte) (*compiler.View, error)
	Caller   Caller
	// Relays returns the members through which others of the data centre learn of changes, the preferred one first, and
	// Members the number of members. With nil the node always watches the platform itself.
	Relays  func() []tracker.Member
	Members func() int
	// Apply is the time in which a change has to be in force on every node, in ms; 0 for 2 s.
	Apply  timekeeper.Millis
	Clock  timekeeper.Clock
	Logger *zap.Logger
	Random *rand.Rand
}

// Subscriber follows one object of the platform. A version that is not above the one in force is ignored, so that a
// node never goes back, whatever order changes arrive in.
type Subscriber struct {
	options Options
	timing  timing
	hints   chan hint
	backoff *connector.Backoff
	current atomic.Pointer[held]
	contact atomic.Int64 // time of the last reply of the platform to this node, ms
	lost    atomic.Bool  // the last call to the platform failed
	asked   atomic.Int64 // time of the last question of another node, ms
	direct  timekeeper.Millis
	avoided map[string]timekeeper.Millis // relays that failed, until when

	mutex     sync.Mutex // orders applications, guards what follows
	history   []*held    // versions before the current one, the newest first
	changed   chan struct{}
	interrupt context.CancelFunc // ends the wait at a relay
}

// New returns a subscriber without a configuration.
func New(options Options) *Subscriber {
	return &Subscriber{
		options: options, timing: newTiming(options.Apply), hints: make(chan hint, 1), changed: make(chan struct{}),
		backoff: connector.NewBackoff(backoffBase, backoffCap, options.Random),
		avoided: make(map[string]timekeeper.Millis),
	}
}

// Active returns the view in force, or nil.
func (s *Subscriber) Active() *compiler.View {
	if found := s.current.Load(); found != nil {
		return found.view
	}
	return nil
}

// Ready reports whether a configuration is in force.
func (s *Subscriber) Ready() bool {
	return s.current.Load() != nil
}

// Version returns the version in force, or 0.
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
	defer group.Wait()
	for ctx.Err() == nil {
		if relay, ok := s.relay(); ok {
			s.followRelay(ctx, relay)
		} else {
			s.followPlatform(ctx)
		}
	}
	return nil
}

// apply puts a configuration in force unless it is invalid or not newer.
func (s *Subscriber) apply(value []byte, source string) {
	view, err := s.options.Decode(value)
	if err != nil {
		s.options.Logger.Error("configuration is not valid", zap.String("source", source), zap.Error(err))
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.current.Load()
	if before != nil && view.Version <= before.view.Version {
		return
	}
	if before != nil {
		s.history = append([]*held{before}, s.history[:min(len(s.history), historySize-1)]...)
	}
	old := s.Version()
	s.current.Store(newHeld(view, value))
	close(s.changed)
	s.changed = make(chan struct{})
	s.options.Logger.Info("configuration in force", zap.Uint64("version", view.Version), zap.Uint64("before", old),
		zap.String("source", source))
}

// base returns the version with the given digest that is still kept, or nil.
func (s *Subscriber) base(digest uint64) *held {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, one := range s.history {
		if one.digest == digest {
			return one
		}
	}
	return nil
}

// change returns a channel that is closed with the next change of the configuration.
func (s *Subscriber) change() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}
