package faker

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Topology simulates a network of data centres on loopback, with delay, loss, partitions and paused members.
type Topology struct {
	options       TopologyOptions
	mutex         sync.Mutex
	zones         map[string]string   // data centre by address
	members       map[string]string   // member by address
	isolatedZones map[string]struct{} // data centres that cannot reach any other
	pausedMembers map[string]struct{} // members that neither send nor receive
	changed       chan struct{}       // closed when a field that blocks traffic changes
	silencedUpTo  uint64              // connections with a number up to this are silent
	connections   uint64              // number of connections so far
	random        *rand.Rand
	bytesWithin   atomic.Int64
	bytesBetween  atomic.Int64
}

// TopologyOptions are the properties of links between data centres.
type TopologyOptions struct {
	Delay  timekeeper.Millis // one way
	Jitter timekeeper.Millis // upper bound of the random addition to Delay
	Loss   float64           // share of writes that arrive later by a retransmission timeout
	Seed   uint64
}

// retransmissionTimeout is the time in ms after which TCP resends a lost segment.
const retransmissionTimeout timekeeper.Millis = 200

// NewTopology returns a topology without members.
func NewTopology(options TopologyOptions) *Topology {
	return &Topology{
		options:       options,
		zones:         make(map[string]string),
		members:       make(map[string]string),
		isolatedZones: make(map[string]struct{}),
		pausedMembers: make(map[string]struct{}),
		changed:       make(chan struct{}),
		random:        rand.New(rand.NewPCG(options.Seed, 1)),
	}
}

// Register sets the data centre and the member of an address.
func (n *Topology) Register(address, zone, member string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.zones[address], n.members[address] = zone, member
}

// Cut partitions a data centre from the others, or heals the partition.
func (n *Topology) Cut(zone string, cut bool) {
	n.updateSet(n.isolatedZones, zone, cut)
}

// Pause blocks the traffic of a member, or resumes it.
func (n *Topology) Pause(member string, pause bool) {
	n.updateSet(n.pausedMembers, member, pause)
}

// Silence makes all open connections silent permanently. New connections work.
func (n *Topology) Silence() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.silencedUpTo = n.connections
	close(n.changed)
	n.changed = make(chan struct{})
}

// Within returns the bytes sent so far inside data centres.
func (n *Topology) Within() int64 { return n.bytesWithin.Load() }

// Between returns the bytes sent so far between data centres.
func (n *Topology) Between() int64 { return n.bytesBetween.Load() }

// Dialer returns the dial function of a member.
func (n *Topology) Dialer(zone, member string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mutex.Lock()
		route := route{fromZone: zone, fromMember: member, toZone: n.zones[address], toMember: n.members[address]}
		n.mutex.Unlock()
		if err := n.waitUnblocked(ctx.Done(), route); err != nil {
			return nil, err
		}
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		n.mutex.Lock()
		n.connections++
		route.number = n.connections
		n.mutex.Unlock()
		return newConn(conn, n, route), nil
	}
}

func (n *Topology) updateSet(set map[string]struct{}, key string, add bool) {
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

// waitUnblocked waits until the route carries traffic. It returns net.ErrClosed if done is closed first.
func (n *Topology) waitUnblocked(done <-chan struct{}, r route) error {
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
	if r.number > 0 && r.number <= n.silencedUpTo {
		return true, n.changed
	}
	if _, ok := n.pausedMembers[r.fromMember]; ok {
		return true, n.changed
	}
	if _, ok := n.pausedMembers[r.toMember]; ok {
		return true, n.changed
	}
	if r.local() {
		return false, n.changed
	}
	_, from := n.isolatedZones[r.fromZone]
	_, to := n.isolatedZones[r.toZone]
	return from || to, n.changed
}

// drawDelay returns a random one-way delay for the next write between data centres.
func (n *Topology) drawDelay() timekeeper.Millis {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delay := n.options.Delay
	if n.options.Jitter > 0 {
		delay += timekeeper.Millis(n.random.Int64N(int64(n.options.Jitter)))
	}
	if n.random.Float64() < n.options.Loss {
		delay += retransmissionTimeout
	}
	return delay
}

func (n *Topology) countBytes(r route, bytes int) {
	if r.local() {
		n.bytesWithin.Add(int64(bytes))
		return
	}
	n.bytesBetween.Add(int64(bytes))
}
