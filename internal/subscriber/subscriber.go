// Package subscriber keeps the newest configuration that an operator stores on the platform in force on a node.
package subscriber

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

const (
	// watchWait is how long one watch waits for a change. A watch may miss changes, when its connection goes silent or
	// when the platform drops its history, and each change has to be in force within 3 s.
	watchWait = 2 * timekeeper.Second
	// backoffBase and backoffCap bound the wait after a failed call: each one is paid for, and after an outage a
	// node has to catch up within a second or two.
	backoffBase = 200 * timekeeper.Millis(1)
	backoffCap  = timekeeper.Second
	// fetchTimeout bounds one question to another node, in ms.
	fetchTimeout timekeeper.Millis = 500
	fetchMethod                    = "Subscriber.Fetch"
)

// Caller makes calls of the node protocol; messenger.Caller satisfies it.
type Caller interface {
	Call(ctx context.Context, peer, method string, arguments, reply any, timeout timekeeper.Millis) error
}

// Options are the parts of a Subscriber.
type Options struct {
	Platform connector.Platform
	Kind     string // kind and name of the object that the operator writes
	Name     string
	Decode   func(value []byte) (*compiler.View, error)
	Caller   Caller
	Clock    timekeeper.Clock
	Logger   *zap.Logger
	Random   *rand.Rand
}

// held is a configuration with the bytes that it came in, for other nodes.
type held struct {
	view  *compiler.View
	value []byte
}

// Subscriber follows one object of the platform. A version that is not above the one in force is ignored, so that a
// node never goes back, whatever order changes arrive in.
type Subscriber struct {
	options Options
	mutex   sync.Mutex // orders applications
	current atomic.Pointer[held]
	hints   chan hint
}

// hint is another node that has a newer version.
type hint struct {
	peer    string
	version uint64
}

// New returns a subscriber without a configuration.
func New(options Options) *Subscriber {
	return &Subscriber{options: options, hints: make(chan hint, 1)}
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

// Heard is told the version in force at another node. It does not block.
func (s *Subscriber) Heard(from tracker.Member, version uint64) {
	if version > s.Version() {
		select {
		case s.hints <- hint{from.Peer, version}:
		default: // an earlier hint is being followed; the next ping repeats this one
		}
	}
}

// Run follows the object until ctx ends. It returns nil.
func (s *Subscriber) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { s.followHints(ctx) })
	defer group.Wait()
	backoff := connector.NewBackoff(backoffBase, backoffCap, s.options.Random)
	lost := false
	for ctx.Err() == nil {
		revision, err := s.list(ctx)
		if err == nil && lost {
			s.options.Logger.Info("platform is back", zap.Uint64("version", s.Version()))
		}
		for err == nil && ctx.Err() == nil {
			lost = false
			backoff.Reset()
			revision, err = s.watch(ctx, revision)
		}
		if ctx.Err() != nil {
			return nil
		}
		if !lost {
			s.options.Logger.Warn("platform is lost", zap.Error(err), zap.Uint64("version", s.Version()))
		}
		lost = true
		_ = backoff.Wait(ctx)
	}
	return nil
}

// list reads the object as it is now.
func (s *Subscriber) list(ctx context.Context) (revision uint64, err error) {
	snapshot, err := s.options.Platform.List(ctx, s.options.Kind)
	if err != nil {
		return 0, err
	}
	s.take(snapshot)
	return snapshot.Revision, nil
}

// watch waits for changes after a revision.
func (s *Subscriber) watch(ctx context.Context, after uint64) (revision uint64, err error) {
	snapshot, err := s.options.Platform.Watch(ctx, s.options.Kind, after, watchWait)
	if err != nil {
		return 0, err
	}
	s.take(snapshot)
	return max(snapshot.Revision, after), nil
}

func (s *Subscriber) take(snapshot connector.Snapshot) {
	for _, object := range snapshot.Objects {
		if object.Name == s.options.Name && !object.Deleted {
			s.apply(object.Value, "platform")
		}
	}
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
	before := s.Version()
	if view.Version <= before {
		return
	}
	s.current.Store(&held{view: view, value: value})
	s.options.Logger.Info("configuration in force", zap.Uint64("version", view.Version), zap.Uint64("before", before),
		zap.String("source", source))
}

// followHints fetches newer versions from other nodes. It carries changes past a platform that is out of reach.
func (s *Subscriber) followHints(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-s.hints:
			if h.version > s.Version() {
				s.fetch(ctx, h.peer)
			}
		}
	}
}

func (s *Subscriber) fetch(ctx context.Context, peer string) {
	arguments := FetchArguments{Format: Format, Known: s.Version()}
	var reply FetchReply
	if err := s.options.Caller.Call(ctx, peer, fetchMethod, &arguments, &reply, fetchTimeout); err != nil {
		s.options.Logger.Info("configuration not fetched", zap.String("peer", peer), zap.Error(err))
		return
	}
	if len(reply.Value) > 0 {
		s.apply(reply.Value, peer)
	}
}

// Receiver returns the net/rpc receiver. Register it with the messenger as "Subscriber".
func (s *Subscriber) Receiver() any {
	return &Receiver{subscriber: s}
}

// Format is the number of the message format of Subscriber.Fetch.
const Format = 1

// FetchArguments asks for the configuration in force if its version is above Known.
type FetchArguments struct {
	Format int    `msgpack:"f"`
	Known  uint64 `msgpack:"k"`
}

// FetchReply has the configuration as the operator wrote it, or nothing.
type FetchReply struct {
	Format int    `msgpack:"f"`
	Value  []byte `msgpack:"v"`
}

// Receiver serves other nodes.
type Receiver struct {
	subscriber *Subscriber
}

// Fetch returns the configuration in force.
func (c *Receiver) Fetch(arguments *FetchArguments, reply *FetchReply) error {
	if arguments.Format != Format {
		return classifier.New(classifier.CodePeerFormat, "subscriber", "format %d instead of %d", arguments.Format, Format)
	}
	reply.Format = Format
	if found := c.subscriber.current.Load(); found != nil && found.view.Version > arguments.Known {
		reply.Value = found.value
	}
	return nil
}
