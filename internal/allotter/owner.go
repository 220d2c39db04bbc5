package allotter

import (
	"sync"

	"github.com/jasmineproxy/jasmineproxy/internal/messenger"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// Format is the number of the message format.
	Format = 1
	// maxWanted bounds the tokens of one lease.
	maxWanted = 1 << 16
	// maxName bounds the name of an account in a message.
	maxName = 128
	// leaseDivisor divides the tokens in a bucket into the most that one lease gets, so that one node does not keep what
	// others need.
	leaseDivisor = 8
	// slackPart is the part of the slack that the buckets hold. The rest is for tokens that nodes use after the next ones
	// were earned.
	slackPart = 0.7
	// maxBuckets bounds the accounts of an owner.
	maxBuckets = 1 << 14
)

// Request asks an owner of an account for tokens.
type Request struct {
	Format  int    `msgpack:"f"`
	Account string `msgpack:"a"`
	Wanted  int    `msgpack:"w"`
	// Starting reports that the node does not know the mesh yet, and hands out its part of the allotment by itself.
	Starting bool `msgpack:"s,omitempty"`
}

func (r *Request) check() error {
	if err := messenger.CheckFormat("allotment", r.Format, Format); err != nil {
		return err
	}
	switch {
	case r.Account == "" || len(r.Account) > maxName:
		return messenger.InvalidField("allotment", "account", len(r.Account))
	case r.Wanted < 0 || r.Wanted > maxWanted:
		return messenger.InvalidField("allotment", "wanted", r.Wanted)
	}
	return nil
}

// Reply is the reply to a Request. A node that is not an owner of the account by its own view grants nothing.
type Reply struct {
	Format  int               `msgpack:"f"`
	Owner   bool              `msgpack:"o"`
	Granted int               `msgpack:"g"`
	Wait    timekeeper.Millis `msgpack:"w"` // time until the bucket has a token, if none was granted
	// Starting reports that the owner hands out nothing yet, since it does not know the mesh.
	Starting bool `msgpack:"s,omitempty"`
}

// Owner hands out the tokens of the accounts that this node owns a share of.
type Owner struct {
	options Options
	cache   *ownerCache
	mutex   sync.Mutex
	started timekeeper.Millis
	buckets map[string]*bucket
}

func newOwner(options Options, cache *ownerCache) *Owner {
	return &Owner{
		options: options, cache: cache, started: options.Clock.Now(), buckets: make(map[string]*bucket),
	}
}

// lease hands out tokens of an account. The bucket of a process starts empty, at the start of the process or of the
// mesh: a restart does not give an account its burst once more.
func (o *Owner) lease(request *Request) Reply {
	reply := Reply{Format: Format}
	client := o.options.client(request.Account)
	owners := o.cache.owners(request.Account)
	if client == nil || !contains(owners, o.options.Name) {
		return reply
	}
	reply.Owner = true
	now := o.options.Clock.Now()
	if !o.options.Settled() {
		if request.Starting {
			o.start(now)
		}
		reply.Starting = true
		return reply
	}
	rate := client.Rate / float64(len(owners))
	burst := max((client.Burst+slackPart*o.options.Slack)/float64(len(owners)), 1)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	b := o.bucket(request.Account)
	b.refill(now, rate, burst)
	wanted := min(request.Wanted, max(int(b.tokens)/leaseDivisor, 1))
	reply.Granted = b.take(wanted)
	if reply.Granted == 0 {
		reply.Wait = b.wait(rate)
	}
	return reply
}

// start makes buckets earn from now on: until then, the nodes of a mesh that starts hand out its allotments.
func (o *Owner) start(now timekeeper.Millis) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.started = now
}

// bucket returns the bucket of an account. The caller holds the lock.
func (o *Owner) bucket(account string) *bucket {
	found := o.buckets[account]
	if found == nil {
		if len(o.buckets) >= maxBuckets {
			clear(o.buckets) // accounts come and go with configurations
			o.started = o.options.Clock.Now()
		}
		found = newBucket(o.started)
		o.buckets[account] = found
	}
	return found
}

// Receiver handles requests of other nodes. Register it with the messenger as "Allotter".
type Receiver struct {
	owner *Owner
}

// Lease hands out tokens.
func (r *Receiver) Lease(request *Request, reply *Reply) error {
	if err := request.check(); err != nil {
		return err
	}
	*reply = r.owner.lease(request)
	return nil
}
