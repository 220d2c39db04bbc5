package allotter

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

const (
	// leaseTime is how long a node may use the tokens of a lease.
	leaseTime = timekeeper.Second
	// leaseTimeout bounds the message to one owner; requests wait for it.
	leaseTimeout = 300 * timekeeper.Millis(1)
	// avoidTime is how long an owner that did not reply is not asked.
	avoidTime = timekeeper.Second
	// minWait is the least time for which an owner without tokens is not asked again, or a hot account would cost a
	// message for each of its requests. The owner keeps what it earns meanwhile.
	minWait = 100 * timekeeper.Millis(1)
	// fallbackShare is the part of its equal share that a node hands out by itself while it reaches no owner. The owners
	// do not know of it, so it must be within the tolerance of the allotments.
	fallbackShare = 0.25
	// startWait is when to ask again an owner that hands out nothing yet.
	startWait = 200 * timekeeper.Millis(1)
	// startNodes is the number of nodes among which a node that does not know the mesh divides an allotment, when no owner
	// hands out tokens yet and the platform does not tell how many there are.
	startNodes = 256
	// startSlack is the part of the slack that the nodes of a mesh that starts hand out, all together.
	startSlack = 0.35
	// maxHoldings bounds the accounts that a node keeps tokens of.
	maxHoldings = 1 << 14

	leaseMethod = "Allotter.Lease"
)

// Caller makes calls of the node protocol; messenger.Caller satisfies it.
type Caller interface {
	Call(ctx context.Context, peer, method string, arguments, reply any, timeout timekeeper.Millis) error
}

// Options are the settings and dependencies of an Allotter.
type Options struct {
	Name      string // member name of this node
	Zone      string // its data centre, whose owners are asked first
	Directory Directory
	Caller    Caller
	Clock     timekeeper.Clock
	Views     interface{ Active() *compiler.View }
	// Slack is how many requests beyond its allotment an account may send in a short time. Accounts with a small burst
	// need it: their owners hold parts of a request.
	Slack float64
	// Settled reports whether this node knows the mesh; nil for always. Before, each node of a mesh that starts would take
	// itself for the only owner of each account, and all together would exceed the allotments.
	Settled func() bool
	// Listed returns at least the number of nodes that the platform lists; 0 if it is not known, nil for never.
	Listed func() int

	// Set only by tests.
	chooseOwners func(directory Directory, account string) []tracker.Member
	shuffle      func(n int, swap func(i, j int))
	phase        func() float64 // part of a request that a starting node has of each account, at random
}

// client returns the account of a name in the active configuration, or nil.
func (o *Options) client(name string) *compiler.Client {
	view := o.Views.Active()
	if view == nil {
		return nil
	}
	return view.Client(name)
}

// Allotter bounds the requests of client accounts. Each account has a few owners, which hold equal shares of its rate
// and burst; a node leases tokens from them for about a second. It is safe for concurrent use.
type Allotter struct {
	options  Options
	cache    *ownerCache
	owner    *Owner
	started  timekeeper.Millis
	mutex    sync.Mutex
	holdings map[string]*holding
	leases   atomic.Int64 // requests for leases that were sent
	refused  atomic.Int64 // requests of callers over an allotment
}

// holding is what a node has of one account. Only one request at a time asks owners for more.
type holding struct {
	asking  chan struct{} // holds a value while a request asks owners
	mutex   sync.Mutex
	tokens  int
	expires timekeeper.Millis
	waits   map[string]timekeeper.Millis // time until which an owner has no tokens or is avoided
	empty   map[string]bool              // the owner replied that it has no tokens
	blocked timekeeper.Millis            // time until which no owner has tokens
	// fallback is what the node hands out by itself while it reaches no owner; nil before.
	fallback *bucket
	demand   float64 // requests in the last leaseTime, the older ones with less weight
	counted  timekeeper.Millis
}

// New returns an allotter without leases.
func New(options Options) *Allotter {
	if options.chooseOwners == nil {
		options.chooseOwners = owners
	}
	if options.Settled == nil {
		options.Settled = func() bool { return true }
	}
	if options.Listed == nil {
		options.Listed = func() int { return 0 }
	}
	if options.shuffle == nil {
		options.shuffle = rand.Shuffle
	}
	if options.phase == nil {
		options.phase = rand.Float64
	}
	cache := &ownerCache{directory: options.Directory, choose: options.chooseOwners}
	return &Allotter{
		options: options, cache: cache, owner: newOwner(options, cache), holdings: make(map[string]*holding),
		started: options.Clock.Now(),
	}
}

// Receiver returns the net/rpc receiver.
func (a *Allotter) Receiver() any {
	return &Receiver{owner: a.owner}
}

// Leases returns the number of messages to owners.
func (a *Allotter) Leases() int64 { return a.leases.Load() }

// Refused returns the number of requests that were over an allotment.
func (a *Allotter) Refused() int64 { return a.refused.Load() }

// Take takes one request off the allotment of an account. It fails with code 229 and the time until the owners have
// tokens again.
func (a *Allotter) Take(ctx context.Context, client *compiler.Client) error {
	h := a.holding(client.Name)
	now := a.options.Clock.Now()
	if h.use(now) {
		return nil
	}
	if wait := h.blockedFor(now); wait > 0 {
		return a.refuse(client, wait)
	}
	select {
	case h.asking <- struct{}{}:
	case <-ctx.Done():
		return classifier.Refuse(classifier.CodeCanceled, client.Name, "the caller went away")
	}
	defer func() { <-h.asking }()
	if h.use(a.options.Clock.Now()) { // another request has asked
		return nil
	}
	wait, ok := a.ask(ctx, client, h)
	if ok {
		return nil
	}
	h.block(a.options.Clock.Now() + wait)
	return a.refuse(client, wait)
}

// refuse returns the refusal of a request over the allotment.
func (a *Allotter) refuse(client *compiler.Client, wait timekeeper.Millis) error {
	a.refused.Add(1)
	failure := classifier.Refuse(classifier.CodeAllotmentUsed, client.Name, "the account has used its allotment of %g/s",
		client.Rate)
	failure.Cause = &admitter.RetryError{After: max(wait, 1)}
	return failure
}

// Return gives back the token of a request that did not run.
func (a *Allotter) Return(client *compiler.Client) {
	h := a.holding(client.Name)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if a.options.Clock.Now() < h.expires {
		h.tokens++
	}
}

func (a *Allotter) holding(account string) *holding {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	found := a.holdings[account]
	if found == nil {
		if len(a.holdings) >= maxHoldings {
			clear(a.holdings)
		}
		found = &holding{
			asking: make(chan struct{}, 1), waits: make(map[string]timekeeper.Millis), empty: make(map[string]bool),
		}
		a.holdings[account] = found
	}
	return found
}

// use takes a token of the current lease, and counts the demand.
func (h *holding) use(now timekeeper.Millis) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.tokens <= 0 || now >= h.expires {
		return false
	}
	h.tokens--
	h.count(now)
	return true
}

// blockedFor returns the time in ms until an owner has tokens, if none had any when they were asked last.
func (h *holding) blockedFor(now timekeeper.Millis) timekeeper.Millis {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return max(h.blocked-now, 0)
}

func (h *holding) block(until timekeeper.Millis) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.blocked = until
}

// count counts a request for the estimate of the demand.
func (h *holding) count(now timekeeper.Millis) {
	h.demand = h.demand*math.Exp(-float64(now-h.counted)/float64(leaseTime)) + 1
	h.counted = now
}

// ask asks the owners for tokens, one after the other, and uses one of them. It returns false and the time until an
// owner has tokens.
func (a *Allotter) ask(ctx context.Context, client *compiler.Client, h *holding) (timekeeper.Millis, bool) {
	owners := a.order(a.cache.owners(client.Name))
	now := a.options.Clock.Now()
	earliest, reached := timekeeper.Millis(0), false
	wanted := h.wanted(now)
	for i := range owners {
		until, empty := h.state(now, owners[i].Name)
		if until > now {
			if empty {
				reached = true
				earliest = sooner(earliest, until-now)
			}
			continue
		}
		reply, err := a.lease(ctx, &owners[i], &Request{
			Format: Format, Account: client.Name, Wanted: wanted, Starting: !a.options.Settled(),
		})
		now = a.options.Clock.Now()
		switch {
		case err != nil || !reply.Owner:
			h.avoid(owners[i].Name, now+avoidTime, false)
		case reply.Starting:
			h.avoid(owners[i].Name, now+startWait, false)
		case reply.Granted == 0:
			reached = true
			h.avoid(owners[i].Name, now+max(reply.Wait, minWait), true)
			earliest = sooner(earliest, reply.Wait)
		default:
			h.hold(now, reply.Granted)
			return 0, true
		}
	}
	if reached || ctx.Err() != nil {
		return earliest, false
	}
	return a.takeFallback(now, client, h)
}

func sooner(a, b timekeeper.Millis) timekeeper.Millis {
	if a == 0 || b < a {
		return b
	}
	return a
}

// order returns the owners that may be alive, those of the own data centre first, the others at random.
func (a *Allotter) order(owners []tracker.Member) []tracker.Member {
	var near, far []tracker.Member
	for _, member := range owners {
		switch {
		case member.Health >= tracker.HealthFailed:
		case member.Zone == a.options.Zone:
			near = append(near, member)
		default:
			far = append(far, member)
		}
	}
	a.options.shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return append(near, far...)
}

// lease asks one owner, which may be this node.
func (a *Allotter) lease(ctx context.Context, owner *tracker.Member, request *Request) (Reply, error) {
	if owner.Name == a.options.Name {
		return a.owner.lease(request), nil
	}
	a.leases.Add(1)
	var reply Reply
	err := a.options.Caller.Call(ctx, owner.Peer, leaseMethod, request, &reply, leaseTimeout)
	if err == nil && (reply.Format != Format || reply.Granted < 0 || reply.Granted > maxWanted || reply.Wait < 0) {
		err = classifier.New(classifier.CodePeerInvalid, owner.Name, "reply to a lease is out of range")
	}
	return reply, err
}

// takeFallback takes a token of the bucket that the node has for itself while no owner hands out any.
func (a *Allotter) takeFallback(
	now timekeeper.Millis, client *compiler.Client, h *holding,
) (timekeeper.Millis, bool) {
	nodes := 0
	for _, zone := range a.options.Directory.Zones() {
		nodes += len(a.options.Directory.Zone(zone))
	}
	rate := client.Rate * fallbackShare / float64(max(nodes, 1))
	longest := avoidTime // until owners are asked again
	starting := !a.options.Settled()
	if starting {
		nodes = max(nodes, a.listed())
		rate = client.Rate / float64(nodes)
		longest = startWait
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.fallback == nil {
		h.fallback = newBucket(now - leaseTime)
		if starting {
			// Of an account whose share is less than a request, the nodes hand out a request each at different times.
			h.fallback = newBucket(a.started)
			h.fallback.tokens = a.options.phase() + a.options.Slack*startSlack/float64(nodes)
		}
	}
	h.fallback.refill(now, rate, max(rate, 1))
	if h.fallback.take(1) == 1 {
		h.count(now)
		return 0, true
	}
	return min(h.fallback.wait(rate), longest), false
}

// listed returns the number of nodes that the platform lists, or a large one if it is not known.
func (a *Allotter) listed() int {
	if listed := a.options.Listed(); listed > 0 {
		return listed
	}
	return startNodes
}

// wanted returns the number of tokens to ask for: the one that is needed, and as many as were used in the last
// leaseTime.
func (h *holding) wanted(now timekeeper.Millis) int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	recent := h.demand * math.Exp(-float64(now-h.counted)/float64(leaseTime))
	return min(1+int(recent), maxWanted)
}

func (h *holding) state(now timekeeper.Millis, owner string) (until timekeeper.Millis, empty bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	until = h.waits[owner]
	if until <= now {
		delete(h.waits, owner)
		delete(h.empty, owner)
		return 0, false
	}
	return until, h.empty[owner]
}

func (h *holding) avoid(owner string, until timekeeper.Millis, empty bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.waits[owner], h.empty[owner] = until, empty
}

// hold adds the tokens of a lease and uses one of them.
func (h *holding) hold(now timekeeper.Millis, granted int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if now >= h.expires {
		h.tokens = 0
	}
	h.tokens += granted - 1
	h.expires = now + leaseTime
	h.count(now)
}
