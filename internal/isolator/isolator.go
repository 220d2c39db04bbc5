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

// Caller sends a request to the node at a peer address; the messenger implements it.
type Caller interface {
	Call(ctx context.Context, peer, method string, arguments, reply any, timeout timekeeper.Millis) error
}

// Directory lists the members of a data centre; tracker.Directory satisfies it.
type Directory interface {
	Zone(name string) []tracker.Member
}

// Options configure an Isolator.
type Options struct {
	Name        string // this node's member name
	Incarnation uint64
	Zone        string          // this node's data centre
	Zones       func() []string // all data centres
	Clock       timekeeper.Clock
	Caller      Caller
	Directory   Directory
	Timeout     timekeeper.Millis // per message, default 500 ms
	// SingleRequestsOnly limits marks to ids and fingerprints, so that no call is refused as a whole.
	SingleRequestsOnly bool
}

// Parameters for sending crashes to other nodes.
const (
	defaultTimeout   = 500 * timekeeper.Millis(1)
	queueLimit       = 256                    // batches waiting to be sent; the repeats cover those that do not fit
	batchLimit       = 64                     // crashes in one message
	maxParallelSends = 16                     // messages in flight at once
	remoteTargets    = 2                      // members of each other data centre that a crash is sent to
	maxRepeatAge     = 20 * timekeeper.Second // crashes up to this age are sent again every second
	repeatTargets    = 3                      // members that receive each repeat
)

// Isolator refuses requests that crashed upstreams on this or another node.
type Isolator struct {
	options     Options
	mutex       sync.Mutex
	table       *table
	crashNumber uint64                           // number of the last crash that this node recorded
	marks       atomic.Pointer[map[markKey]Mark] // copy of the table's marks for Check; nil if there are none
	queue       chan batch
}

// batch is a list of crashes to be sent in one message.
type batch struct {
	crashes       []Crash
	toRemoteZones bool // whether other data centres receive it too
}

// New returns an isolator without marks.
func New(options Options) *Isolator {
	if options.Timeout == 0 {
		options.Timeout = defaultTimeout
	}
	i := &Isolator{options: options, table: newTable(), queue: make(chan batch, queueLimit)}
	i.table.singleRequestsOnly = options.SingleRequestsOnly
	return i
}

// Check returns an error with code 221 and outcome "notrun" if the id, the fingerprint or the call of the request has
// an active mark. It takes no lock.
func (i *Isolator) Check(key Key) error {
	marks := i.marks.Load()
	if marks == nil {
		return nil
	}
	now := i.options.Clock.Now()
	for _, s := range [...]markKey{
		{ScopeID, Key{ID: key.ID}},
		{ScopeFingerprint, Key{Fingerprint: key.Fingerprint}},
		{ScopeCall, Key{Account: key.Account, Call: key.Call}},
	} {
		if m, found := (*marks)[s]; found && now < m.Until {
			return classifier.Refuse(classifier.CodeIsolated, key.ID,
				"%d upstreams crashed while requests with this %s were running", m.Crashes, m.Scope)
		}
	}
	return nil
}

// RecordCrash counts a crash of a host's upstream for all requests that were running there, and queues it for other
// nodes.
func (i *Isolator) RecordCrash(keys []Key, host string) {
	i.mutex.Lock()
	i.crashNumber++
	crashes := make([]Crash, 0, len(keys))
	for _, key := range keys {
		crashes = append(crashes, Crash{Key: key, Host: host, Incarnation: i.options.Incarnation, Number: i.crashNumber})
	}
	i.mutex.Unlock()
	i.addCrashes(crashes, true, true)
}

// addCrashes counts crashes, and queues the new ones for other nodes if send is set.
func (i *Isolator) addCrashes(crashes []Crash, toRemoteZones, send bool) {
	now := i.options.Clock.Now()
	added := make([]Crash, 0, len(crashes))
	i.mutex.Lock()
	for _, crash := range crashes {
		if i.table.add(now, crash) {
			added = append(added, crash)
		}
	}
	i.publishMarks()
	i.mutex.Unlock()
	for send && !i.table.disabled.sending && len(added) > 0 {
		count := min(batchLimit, len(added))
		select {
		case i.queue <- batch{crashes: added[:count], toRemoteZones: toRemoteZones}:
		default: // the queue is full; the repeats of Run send these crashes later
		}
		added = added[count:]
	}
}

// publishMarks copies the marks for Check. The caller holds the lock.
func (i *Isolator) publishMarks() {
	if len(i.table.marks) == 0 {
		i.marks.Store(nil)
		return
	}
	marks := make(map[markKey]Mark, len(i.table.marks))
	for s, m := range i.table.marks {
		marks[s] = m
	}
	i.marks.Store(&marks)
}

// Marks returns the active marks in a fixed order.
func (i *Isolator) Marks() []Mark {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.table.activeMarks(i.options.Clock.Now())
}

// Run sends queued crashes to other nodes and repeats recent ones until the context ends.
func (i *Isolator) Run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-i.queue:
			i.send(ctx, i.targets(b.toRemoteZones), b.crashes)
		case <-ticker.C:
			i.repeat(ctx)
		}
	}
}

// repeat drops expired marks and sends recent crashes to random members again, since messages may have been lost.
func (i *Isolator) repeat(ctx context.Context) {
	i.mutex.Lock()
	now := i.options.Clock.Now()
	i.table.expire(now)
	i.publishMarks()
	crashes := i.table.recentCrashes(now, maxRepeatAge, batchLimit)
	i.mutex.Unlock()
	targets := i.targets(true)
	if len(crashes) == 0 || len(targets) == 0 || i.table.disabled.sending || i.table.disabled.repeats {
		return
	}
	rand.Shuffle(len(targets), func(a, b int) { targets[a], targets[b] = targets[b], targets[a] })
	i.send(ctx, targets[:min(repeatTargets, len(targets))], crashes)
}

// targets returns the peer addresses of all live members of this data centre, and of remoteTargets random ones of each
// other data centre if toRemoteZones is set.
func (i *Isolator) targets(toRemoteZones bool) []string {
	peers := i.livePeers(i.options.Zone)
	if !toRemoteZones || i.options.Zones == nil {
		return peers
	}
	for _, zone := range i.options.Zones() {
		if zone == i.options.Zone {
			continue
		}
		others := i.livePeers(zone)
		rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
		peers = append(peers, others[:min(remoteTargets, len(others))]...)
	}
	return peers
}

// livePeers returns the peer addresses of the members of a data centre that have not failed, without this node.
func (i *Isolator) livePeers(zone string) []string {
	members := i.options.Directory.Zone(zone)
	peers := make([]string, 0, len(members))
	for at := range members {
		if m := &members[at]; m.Health <= tracker.HealthSuspect && m.Name != i.options.Name {
			peers = append(peers, m.Peer)
		}
	}
	return peers
}

// send sends crashes to peers, at most maxParallelSends at a time.
func (i *Isolator) send(ctx context.Context, peers []string, crashes []Crash) {
	arguments := MarkArguments{Format: Format, Zone: i.options.Zone, Crashes: crashes}
	var group sync.WaitGroup
	slots := make(chan struct{}, maxParallelSends)
	for _, peer := range peers {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			_ = i.options.Caller.Call(ctx, peer, "Isolator.Mark", &arguments, &MarkReply{}, i.options.Timeout)
		})
	}
	group.Wait()
}
