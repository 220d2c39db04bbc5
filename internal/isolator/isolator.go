package isolator

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// Caller sends one call to the node at a peer address. It is the messenger's interface.
type Caller interface {
	Call(ctx context.Context, peer, method string, arguments, reply any, timeout timekeeper.Millis) error
}

// Directory is the part of the tracker's directory that is needed here.
type Directory interface {
	Zone(name string) []tracker.Member
}

// Options sets up an Isolator.
type Options struct {
	Name        string // this node's member name
	Incarnation uint64
	Zone        string          // this node's data centre
	Zones       func() []string // all data centres
	Clock       timekeeper.Clock
	Caller      Caller
	Directory   Directory
	Timeout     timekeeper.Millis // per message, default 500 ms
	// SingleRequestsOnly refuses single requests only, and never a kind of call as a whole.
	SingleRequestsOnly bool
}

// Parameters of the spreading of deaths.
const (
	defaultTimeout = 500 * timekeeper.Millis(1)
	queueLimit     = 256                    // deaths waiting to be sent; more are left to the repeats
	batchLimit     = 64                     // deaths in one message
	parallel       = 16                     // messages on the way at once
	remoteTargets  = 2                      // members of each other data centre that a death is sent to
	repeatSpan     = 20 * timekeeper.Second // deaths up to this age are repeated every second
	repeatTargets  = 3                      // members that each repeat goes to
)

// Isolator refuses requests that crashed upstreams on this or another node.
type Isolator struct {
	options Options
	mutex   sync.Mutex
	table   *table
	number  uint64
	marks   atomic.Pointer[map[subject]Mark] // copy of the table's marks for Check; nil if there are none
	queue   chan parcel
}

// parcel is a batch of deaths on its way to members.
type parcel struct {
	deaths []Crash
	remote bool // also send it to other data centres
}

// New returns an isolator without marks.
func New(options Options) *Isolator {
	if options.Timeout == 0 {
		options.Timeout = defaultTimeout
	}
	i := &Isolator{options: options, table: newTable(), queue: make(chan parcel, queueLimit)}
	i.table.requests = options.SingleRequestsOnly
	return i
}

// Check returns an error with code 221 and outcome "notrun" if the request is refused. It takes no lock.
func (i *Isolator) Check(key Key) error {
	marks := i.marks.Load()
	if marks == nil {
		return nil
	}
	now := i.options.Clock.Now()
	for _, s := range [...]subject{
		{ScopeID, Key{ID: key.ID}},
		{ScopeFingerprint, Key{Fingerprint: key.Fingerprint}},
		{ScopeCall, Key{Account: key.Account, Call: key.Call}},
	} {
		if m, found := (*marks)[s]; found && now < m.Until {
			return classifier.Refuse(classifier.CodeIsolated, key.ID, "%d upstreams died while the %s ran", m.Crashes, m.Scope)
		}
	}
	return nil
}

// RecordCrash counts the death of the upstream of a host for all requests that ran there, and queues it for other
// nodes.
func (i *Isolator) RecordCrash(keys []Key, host string) {
	i.mutex.Lock()
	i.number++
	deaths := make([]Crash, 0, len(keys))
	for _, key := range keys {
		deaths = append(deaths, Crash{Key: key, Host: host, Incarnation: i.options.Incarnation, Number: i.number})
	}
	i.mutex.Unlock()
	i.take(deaths, true, true)
}

// take counts deaths, and queues those that are new if they are to be sent on.
func (i *Isolator) take(deaths []Crash, remote, forward bool) {
	now := i.options.Clock.Now()
	fresh := make([]Crash, 0, len(deaths))
	i.mutex.Lock()
	for _, d := range deaths {
		if i.table.add(now, d) {
			fresh = append(fresh, d)
		}
	}
	i.publish()
	i.mutex.Unlock()
	for forward && !i.table.rules.silent && len(fresh) > 0 {
		count := min(batchLimit, len(fresh))
		select {
		case i.queue <- parcel{deaths: fresh[:count], remote: remote}:
		default: // the repeats of Run bring it to other nodes later
		}
		fresh = fresh[count:]
	}
}

// publish copies the marks for Check. The caller holds the lock.
func (i *Isolator) publish() {
	if len(i.table.marks) == 0 {
		i.marks.Store(nil)
		return
	}
	marks := make(map[subject]Mark, len(i.table.marks))
	for s, m := range i.table.marks {
		marks[s] = m
	}
	i.marks.Store(&marks)
}

// Marks returns the marks in force.
func (i *Isolator) Marks() []Mark {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.table.list(i.options.Clock.Now())
}

// Run sends queued deaths to other nodes, and repeats recent ones, until the context ends.
func (i *Isolator) Run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-i.queue:
			i.send(ctx, i.targets(p.remote), p.deaths)
		case <-ticker.C:
			i.repeat(ctx)
		}
	}
}

// repeat drops old marks and sends recent deaths to random members, which repairs lost messages.
func (i *Isolator) repeat(ctx context.Context) {
	i.mutex.Lock()
	now := i.options.Clock.Now()
	i.table.expire(now)
	i.publish()
	deaths := i.table.recent(now, repeatSpan, batchLimit)
	i.mutex.Unlock()
	targets := i.targets(true)
	if len(deaths) == 0 || len(targets) == 0 || i.table.rules.silent || i.table.rules.once {
		return
	}
	rand.Shuffle(len(targets), func(a, b int) { targets[a], targets[b] = targets[b], targets[a] })
	i.send(ctx, targets[:min(repeatTargets, len(targets))], deaths)
}

// targets returns the addresses of all live members of this data centre, and of some of every other one.
func (i *Isolator) targets(remote bool) []string {
	peers := i.live(i.options.Zone)
	if !remote || i.options.Zones == nil {
		return peers
	}
	for _, zone := range i.options.Zones() {
		if zone == i.options.Zone {
			continue
		}
		others := i.live(zone)
		rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
		peers = append(peers, others[:min(remoteTargets, len(others))]...)
	}
	return peers
}

// live returns the addresses of the members of a data centre that have not failed, without this node.
func (i *Isolator) live(zone string) []string {
	members := i.options.Directory.Zone(zone)
	peers := make([]string, 0, len(members))
	for at := range members {
		if m := &members[at]; m.Health <= tracker.HealthSuspect && m.Name != i.options.Name {
			peers = append(peers, m.Peer)
		}
	}
	return peers
}

// send carries deaths to peers, a few at once.
func (i *Isolator) send(ctx context.Context, peers []string, deaths []Crash) {
	arguments := MarkArguments{Format: Format, Zone: i.options.Zone, Crashes: deaths}
	var group sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for _, peer := range peers {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			_ = i.options.Caller.Call(ctx, peer, "Isolator.Mark", &arguments, &MarkReply{}, i.options.Timeout)
		})
	}
	group.Wait()
}
