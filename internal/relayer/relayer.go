// Package relayer distributes configuration versions to this node and, on relays, to the other members. It watches the
// platform, offers and commits versions within the data centre, and fetches them from other nodes.
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

// Timeouts and intervals of the distribution, in ms.
const (
	callTimeout   = 1000
	fetchTimeout  = 1000
	obtainTimeout = 3000
	// obtainLockTimeout is how long a node waits for another fetch of a version before it starts its own. The first
	// fetch may be waiting for a paused node.
	obtainLockTimeout = 300
	// commitTimeout is how long a prepared version waits for the relay's commit, plus a jitter of up to the same
	// length.
	commitTimeout = 500
	// retryInterval is the wait between the first two rounds of offers to members that have not replied. It doubles up
	// to maxRetryInterval: the nodes of a minority partition all query each other and must stay within their traffic
	// limit.
	retryInterval     = 300
	maxRetryInterval  = 1500
	distributeTimeout = 5000 // afterwards, members that still lag catch up through pings
	pollInterval      = 100
	joinTimeout       = 3000 // afterwards, a node that found no other node considers itself the first
	watchWait         = 25 * timekeeper.Second
	watchMargin       = 2 * timekeeper.Second
	headTimeout       = 2 * timekeeper.Second
	// maxWatchBackoff bounds the wait of a relay after a failed watch; a data centre has few relays. With the 10 s of
	// other platform calls, a change after an outage would miss its limit of 3 s.
	maxWatchBackoff    = 1500
	maxConcurrentCalls = 64 // in flight; a call to an unresponsive member takes callTimeout
	// secondHalfDelay is how long a relay offers to its own half of the members before it turns to the other half.
	secondHalfDelay = 50
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

// Options are the dependencies and settings of a Relayer.
type Options struct {
	Name, Zone, Peer string // own name, data centre and peer address
	Caller           messenger.Caller
	Members          Members
	Follower         *follower.Follower
	Platform         connector.Platform
	Clock            timekeeper.Clock
	Logger           *zap.Logger // nil disables logging
	Seed             uint64      // seed of the random source; 0 takes one from the clock
}

// mechanisms names parts of the protocol. Those set in Relayer.disabled are off, which only tests do, to show that a
// property depends on its mechanism.
type mechanisms struct {
	majority   bool // if off, a relay commits as soon as it knows the version itself
	selfCommit bool // if off, members wait indefinitely for the commit of a relay
	floor      bool // if off, a starting node takes the first reply as the floor
	sections   bool // if off, a damaged delta is not replaced by sections
}

// Relayer distributes versions between the platform, this node and the other members.
type Relayer struct {
	options      Options
	disabled     mechanisms
	mutex        sync.Mutex // guards random, distributing, ctx and closed
	random       *rand.Rand
	distributing map[uint64]bool
	ctx          context.Context //nolint:containedctx // context of Run; tasks started by messages end with it
	closed       bool
	tasks        sync.WaitGroup
	obtainLock   chan struct{} // held while a version is obtained, so that each version is fetched once
	observations chan observation
	started      timekeeper.Millis
}

// observation is the active version of another node.
type observation struct {
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
		distributing: make(map[uint64]bool), obtainLock: make(chan struct{}, 1),
		observations: make(chan observation, 16), started: now,
	}
}

// Run watches the platform, finds the floor and distributes versions until ctx ends. It waits for all tasks to end and
// returns nil.
func (r *Relayer) Run(ctx context.Context) error {
	r.mutex.Lock()
	r.ctx, r.started = ctx, r.options.Clock.Now()
	r.mutex.Unlock()
	r.spawn(r.watch)
	r.spawn(r.startUp)
	r.spawn(r.followObservations)
	r.distributeUncommitted(ctx)
	r.mutex.Lock()
	r.closed = true
	r.mutex.Unlock()
	r.tasks.Wait()
	return nil
}

// ObserveVersion accepts the active version of another node, for tracker.Options. It does not block: an observation
// that finds the queue full is dropped.
func (r *Relayer) ObserveVersion(member tracker.Member, active uint64) {
	if active <= r.options.Follower.ActiveVersion() {
		return
	}
	select {
	case r.observations <- observation{member: member, active: active}:
	default: // the next ping repeats the observation
	}
}

// spawn runs a task in a goroutine that Run waits for. Before Run and after its end, spawn does nothing.
func (r *Relayer) spawn(task func(ctx context.Context)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.ctx == nil || r.closed {
		return
	}
	ctx := r.ctx
	r.tasks.Go(func() { task(ctx) })
}

// jitter returns a random duration below limit.
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
