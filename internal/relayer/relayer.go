// Package relayer brings configuration versions to the node and, on relays, to the other members: it watches the
// platform, offers and commits inside the data centre, and fetches from other nodes.
package relayer

import (
	"context"
	"math/rand/v2"
	"sync"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/follower"
	"github.com/jasmineproxy/jasmineproxy/internal/messenger"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// Times of the distribution, in ms.
const (
	callTimeout   = 1000
	fetchTimeout  = 1000
	obtainTimeout = 3000
	// obtainPatience is how long a node waits for another fetch of a version before it begins its own. The first one
	// may be waiting for a node that is paused.
	obtainPatience = 300
	// commitPatience is how long a prepared version waits for the relay's commit, with up to as much jitter again.
	commitPatience = 500
	// retrySpan is the wait between the first two rounds of offers to members that have not answered. It doubles up to
	// retryMax, so that the nodes of a minority, which all ask each other, stay within their traffic.
	retrySpan    = 300
	retryMax     = 1500
	spreadSpan   = 5000 // after this, members that still lag catch up through pings
	pollSpan     = 100
	joinPatience = 3000 // after this, a node that found no other one takes itself to be the first
	watchWait    = 25 * timekeeper.Second
	watchMargin  = 2 * timekeeper.Second
	headTimeout  = 2 * timekeeper.Second
	// watchBackoff bounds the wait of the few relays after a failed watch. With the 10 s of other platform calls, a
	// change would miss its 3 s after an outage.
	watchBackoff = 1500
	spreadWidth  = 64 // members offered to at once; those that do not answer hold their places for callTimeout
	// halfPatience is how long a relay offers to its own half of the members before it turns to the other half.
	halfPatience = 50
)

// Members is the part of the tracker that the relayer uses.
type Members interface {
	Zone(name string) []tracker.Member
	Find(name string) (tracker.Member, bool)
	Relays(zone string) []tracker.Member
	IsRelay() bool
	Joined() bool
	Observe(known map[string]uint64)
}

// Options are the parts and settings of a Relayer.
type Options struct {
	Name, Zone, Peer string // own name, data centre and peer address
	Caller           messenger.Caller
	Members          Members
	Follower         *follower.Follower
	Platform         connector.Platform
	Clock            timekeeper.Clock
	Logger           *zap.Logger // nil logs nothing
	Seed             uint64      // seed of the random source; 0 takes one from the clock
}

// switches turn mechanisms off. Only tests set them, to show that a property depends on its mechanism.
type switches struct {
	majority   bool // commits as soon as the relay itself knows the version
	selfCommit bool // members wait for the relay for ever
	floor      bool // a starting node takes the first answer as the floor
	sections   bool // a damaged delta is not replaced by sections
}

// Relayer carries versions between the platform, this node and the other members.
type Relayer struct {
	options   Options
	off       switches
	mutex     sync.Mutex // guards random, spreading, ctx and closed
	random    *rand.Rand
	spreading map[uint64]bool
	ctx       context.Context //nolint:containedctx // of Run; work begun by messages ends with it
	closed    bool
	work      sync.WaitGroup
	turn      chan struct{} // held while a version is obtained, so that it is fetched once
	news      chan sighting
	started   timekeeper.Millis
}

// sighting is a version in force at another node.
type sighting struct {
	member tracker.Member
	active uint64
}

// New returns a relayer. Nothing happens before Run.
func New(options Options) *Relayer {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	now := options.Clock.Now()
	if options.Seed == 0 {
		options.Seed = uint64(now)
	}
	return &Relayer{
		options: options, random: rand.New(rand.NewPCG(options.Seed, hash(options.Name))),
		spreading: make(map[uint64]bool), turn: make(chan struct{}, 1), news: make(chan sighting, 16), started: now,
	}
}

// Run watches, starts up and commits until ctx ends and all work has ended. It returns nil.
func (r *Relayer) Run(ctx context.Context) error {
	r.mutex.Lock()
	r.ctx, r.started = ctx, r.options.Clock.Now()
	r.mutex.Unlock()
	r.spawn(r.watch)
	r.spawn(r.startUp)
	r.spawn(r.follow)
	r.commitLate(ctx)
	r.mutex.Lock()
	r.closed = true
	r.mutex.Unlock()
	r.work.Wait()
	return nil
}

// ObserveVersion takes the version in force at another node, for tracker.Options. It does not block.
func (r *Relayer) ObserveVersion(member tracker.Member, active uint64) {
	if active <= r.options.Follower.ActiveVersion() {
		return
	}
	select {
	case r.news <- sighting{member: member, active: active}:
	default: // the next ping brings it again
	}
}

// spawn runs work in a goroutine that ends with Run. After Run has ended, it does nothing.
func (r *Relayer) spawn(work func(ctx context.Context)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.ctx == nil || r.closed {
		return
	}
	ctx := r.ctx
	r.work.Go(func() { work(ctx) })
}

// jitter returns a random span below limit.
func (r *Relayer) jitter(limit timekeeper.Millis) timekeeper.Millis {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return timekeeper.Millis(r.random.Int64N(int64(limit)))
}

func (r *Relayer) backoff(limit timekeeper.Millis) *connector.Backoff {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return connector.NewBackoff(connector.BackoffBase, limit, rand.New(rand.NewPCG(r.random.Uint64(), 0)))
}
