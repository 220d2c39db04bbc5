package faker

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Topology dials between data centres on loopback with delay, loss, cuts and paused members.
type Topology struct {
	options TopologyOptions
	mutex   sync.Mutex
	zones   map[string]string   // data centre of an address
	owners  map[string]string   // member behind an address
	cuts    map[string]struct{} // data centres that reach no other one
	paused  map[string]struct{} // members that neither send nor receive
	changed chan struct{}       // closed when cuts or paused change
	silent  uint64              // connections numbered up to this carry nothing any more
	conns   uint64              // connections so far
	random  *rand.Rand
	within  atomic.Int64
	between atomic.Int64
}

// TopologyOptions are the properties of links between data centres.
type TopologyOptions struct {
	Delay  timekeeper.Millis // one way
	Jitter timekeeper.Millis // added at random, up to this much
	Loss   float64           // share of writes that arrive a retransmission timeout late
	Seed   uint64
}

// retransmission is the time by which TCP delivers a lost segment late.
const retransmission timekeeper.Millis = 200

// NewTopology returns a topology without members.
func NewTopology(options TopologyOptions) *Topology {
	return &Topology{
		options: options,
		zones:   make(map[string]string),
		owners:  make(map[string]string),
		cuts:    make(map[string]struct{}),
		paused:  make(map[string]struct{}),
		changed: make(chan struct{}),
		random:  rand.New(rand.NewPCG(options.Seed, 1)),
	}
}

// Register tells the data centre and the member behind an address.
func (n *Topology) Register(address, zone, member string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.zones[address], n.owners[address] = zone, member
}

// Cut separates a data centre from the others, or joins it again.
func (n *Topology) Cut(zone string, cut bool) {
	n.change(n.cuts, zone, cut)
}

// Pause stops a member's traffic, or resumes it.
func (n *Topology) Pause(member string, pause bool) {
	n.change(n.paused, member, pause)
}

// Silence makes all open connections go silent for good; new ones work.
func (n *Topology) Silence() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.silent = n.conns
	close(n.changed)
	n.changed = make(chan struct{})
}

// Within returns the bytes sent so far inside data centres.
func (n *Topology) Within() int64 { return n.within.Load() }

// Between returns the bytes sent so far between data centres.
func (n *Topology) Between() int64 { return n.between.Load() }

// Dialer returns the dial function of a member.
func (n *Topology) Dialer(zone, member string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mutex.Lock()
		route := route{fromZone: zone, fromMember: member, toZone: n.zones[address], toMember: n.owners[address]}
		n.mutex.Unlock()
		if err := n.wait(ctx.Done(), route); err != nil {
			return nil, err
		}
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		n.mutex.Lock()
		n.conns++
		route.number = n.conns
		n.mutex.Unlock()
		return newConn(conn, n, route), nil
	}
}

func (n *Topology) change(set map[string]struct{}, key string, add bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if add {
		set[key] = struct{}{}
	} else {
		delete(set, key)
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// wait blocks while the route carries nothing. It returns net.ErrClosed when done is closed first.
func (n *Topology) wait(done <-chan struct{}, r route) error {
	for {
		blocked, changed := n.blocked(r)
		if !blocked {
			return nil
		}
		select {
		case <-changed:
		case <-done:
			return net.ErrClosed
		}
	}
}

func (n *Topology) blocked(r route) (bool, <-chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if r.number > 0 && r.number <= n.silent {
		return true, n.changed
	}
	if _, ok := n.paused[r.fromMember]; ok {
		return true, n.changed
	}
	if _, ok := n.paused[r.toMember]; ok {
		return true, n.changed
	}
	if r.local() {
		return false, n.changed
	}
	_, from := n.cuts[r.fromZone]
	_, to := n.cuts[r.toZone]
	return from || to, n.changed
}

// latency draws the one-way delay of the next write on a route between data centres.
func (n *Topology) latency() timekeeper.Millis {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delay := n.options.Delay
	if n.options.Jitter > 0 {
		delay += timekeeper.Millis(n.random.Int64N(int64(n.options.Jitter)))
	}
	if n.random.Float64() < n.options.Loss {
		delay += retransmission
	}
	return delay
}

func (n *Topology) count(r route, bytes int) {
	if r.local() {
		n.within.Add(int64(bytes))
		return
	}
	n.between.Add(int64(bytes))
}
