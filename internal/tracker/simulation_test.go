package tracker

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// simulation runs state machines over a simulated network, on its own clock.
type simulation struct {
	now             timekeeper.Millis
	random          *rand.Rand
	nodes           []*node
	byAddress       map[string]*node
	queue           deliveries
	deliveryCount   uint64
	loss, duplicate float64
	delay           timekeeper.Millis // maximum; each message takes a random part of it, which reorders messages
	partitioned     func(a, b *node) bool
	trafficBytes    map[*node]int // bytes sent and received; nil disables counting
	afterStep       func(n *node)
}

type node struct {
	m           *machine
	name, zone  string
	killed      bool
	pausedUntil timekeeper.Millis
	epoch       int // processes started so far; deliveries to an earlier one are dropped
}

type delivery struct {
	at    timekeeper.Millis
	order uint64
	to    *node
	epoch int
	run   func(n *node)
}

type deliveries []delivery

func (d deliveries) Len() int      { return len(d) }
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d deliveries) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(d[i].at, d[j].at), cmp.Compare(d[i].order, d[j].order)) < 0
}
func (d *deliveries) Push(x any) { *d = append(*d, x.(delivery)) } //nolint:forcetypeassert // heap of deliveries
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

func newSimulation(seed uint64, zones, perZone int) *simulation {
	s := &simulation{
		now: 1_000_000_000, random: rand.New(rand.NewPCG(seed, 1)), byAddress: make(map[string]*node), delay: 10,
	}
	for i := range zones * perZone {
		n := &node{name: fmt.Sprintf("node-%d", i), zone: fmt.Sprintf("zone-%d", i%zones)}
		s.nodes = append(s.nodes, n)
		s.byAddress[n.name] = n
		s.startProcess(n)
	}
	return s
}

// startProcess starts a new process of n. The address of a node is its name; the first three nodes are the seeds.
func (s *simulation) startProcess(n *node) {
	n.killed, n.pausedUntil, n.epoch = false, 0, n.epoch+1
	n.m = newMachine(s.now, Member{Name: n.name, Zone: n.zone, Peer: n.name, Service: "service"}, s.random.Uint64())
	s.step(n, joinRequested{addresses: []string{"node-0", "node-1", "node-2"}})
	s.scheduleTick(n)
}

func (s *simulation) scheduleTick(n *node) {
	s.schedule(n, tickInterval, func(n *node) {
		s.step(n, tick{})
		s.scheduleTick(n)
	})
}

func (s *simulation) schedule(n *node, delay timekeeper.Millis, run func(n *node)) {
	s.deliveryCount++
	heap.Push(&s.queue, delivery{at: s.now + delay, order: s.deliveryCount, to: n, epoch: n.epoch, run: run})
}

func (s *simulation) advance(duration timekeeper.Millis) {
	end := s.now + duration
	for len(s.queue) > 0 && s.queue[0].at <= end {
		d, _ := heap.Pop(&s.queue).(delivery)
		s.now = d.at
		if d.to.killed || d.epoch != d.to.epoch {
			continue
		}
		if d.to.pausedUntil > s.now {
			d.at = d.to.pausedUntil
			heap.Push(&s.queue, d)
			continue
		}
		d.run(d.to)
	}
	s.now = end
}

// step passes an event to a machine, sends its messages and returns its response.
func (s *simulation) step(n *node, e Event) response {
	var reply response
	for _, action := range n.m.Step(s.now, e) {
		switch a := action.(type) {
		case response:
			reply = a
		case sendPing:
			s.schedule(n, a.timeout, func(n *node) { s.step(n, pingFailed{probe: a.probe}) })
			s.sendTo(n, a.address, func(to *node) {
				s.countBytes(n, to, a.ping)
				if r := s.step(to, pingReceived{ping: a.ping}); r.failure == nil {
					s.countBytes(n, to, r.pong)
					s.send(to, n, func(n *node) { s.step(n, pongReceived{probe: a.probe, pong: r.pong}) })
				}
			})
		case sendIndirectPing:
			s.schedule(n, a.timeout, func(n *node) { s.step(n, pingFailed{probe: a.probe}) })
			s.sendTo(n, a.address, func(via *node) { s.forward(n, via, a) })
		case sendExchange:
			s.exchange(n, a)
		case reportVersion:
		}
	}
	if s.afterStep != nil {
		s.afterStep(n)
	}
	return reply
}

func (s *simulation) forward(n, via *node, a sendIndirectPing) {
	r := s.step(via, indirectPingReceived{request: a.request})
	if r.failure != nil {
		return
	}
	s.sendTo(via, r.forward.address, func(to *node) {
		pong := s.step(to, pingReceived{ping: r.forward.ping})
		s.send(to, via, func(via *node) {
			s.send(via, n, func(n *node) { s.step(n, pongReceived{probe: a.probe, pong: pong.pong}) })
		})
	})
}

func (s *simulation) exchange(n *node, a sendExchange) {
	zone := a.exchange.Zone
	if zone != "" {
		s.schedule(n, a.timeout, func(n *node) { s.step(n, exchangeFailed{zone: zone}) })
	}
	s.sendTo(n, a.address, func(to *node) {
		s.countBytes(n, to, a.exchange)
		r := s.step(to, exchangeReceived{exchange: a.exchange})
		s.countBytes(n, to, r.exchanged)
		if zone != "" && r.failure == nil {
			s.send(to, n, func(n *node) {
				s.step(n, exchangeCompleted{zone: zone, address: a.address, reply: r.exchanged})
			})
		}
	})
}

func (s *simulation) sendTo(from *node, address string, run func(to *node)) {
	if to := s.byAddress[address]; to != nil {
		s.send(from, to, run)
	}
}

func (s *simulation) send(from, to *node, run func(to *node)) {
	if s.random.Float64() < s.loss || s.partitioned != nil && s.partitioned(from, to) {
		return
	}
	s.schedule(to, 1+timekeeper.Millis(s.random.Int64N(int64(s.delay))), run)
	if s.random.Float64() < s.duplicate {
		s.schedule(to, 1+timekeeper.Millis(s.random.Int64N(int64(20*s.delay))), run)
	}
}

// messageOverhead is the size of the frame, method name and TCP and IP headers of one message, in bytes.
const messageOverhead = 100

func (s *simulation) countBytes(from, to *node, message any) {
	if s.trafficBytes == nil {
		return
	}
	content, _ := msgpack.Marshal(message)
	s.trafficBytes[from] += len(content) + messageOverhead
	s.trafficBytes[to] += len(content) + messageOverhead
}

// disagreement describes the first entry on a live node that differs from the actual state, or returns "".
func (s *simulation) disagreement() string {
	for _, n := range s.nodes {
		if n.killed {
			continue
		}
		for _, other := range s.nodes {
			r := n.m.table.find(other.name)
			switch {
			case other.killed && (r == nil || r.member.Health >= HealthFailed):
			case r == nil:
				return fmt.Sprintf("%s does not know %s", n.name, other.name)
			case other.killed:
				return fmt.Sprintf("%s has killed %s with health %d", n.name, other.name, r.member.Health)
			case stampOf(&r.member) != stampOf(&other.m.self):
				return fmt.Sprintf("%s has %+v for %s, whose own entry is %+v", n.name, stampOf(&r.member), other.name,
					stampOf(&other.m.self))
			}
		}
	}
	return ""
}

// converge advances until all live nodes agree or the limit passes, and reports whether they agree.
func (s *simulation) converge(limit timekeeper.Millis) bool {
	for start := s.now; s.now-start < limit; {
		s.advance(200)
		if s.disagreement() == "" {
			return true
		}
	}
	return false
}
