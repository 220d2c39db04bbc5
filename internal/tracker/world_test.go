package tracker

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// world runs state machines over a network in memory, on its own clock.
type world struct {
	now             timekeeper.Millis
	random          *rand.Rand
	nodes           []*node
	byAddress       map[string]*node
	queue           deliveries
	count           uint64
	loss, duplicate float64
	delay           timekeeper.Millis // longest; a random part of it reorders messages
	cut             func(a, b *node) bool
	sizes           map[*node]int // bytes sent and received; nil counts none
	seen            func(n *node)
}

type node struct {
	m           *machine
	name, zone  string
	killed      bool
	pausedUntil timekeeper.Millis
	epoch       int // processes so far; what belongs to an earlier one is dropped
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

func newWorld(seed uint64, zones, perZone int) *world {
	w := &world{
		now: 1_000_000_000, random: rand.New(rand.NewPCG(seed, 1)), byAddress: make(map[string]*node), delay: 10,
	}
	for i := range zones * perZone {
		n := &node{name: fmt.Sprintf("node-%d", i), zone: fmt.Sprintf("zone-%d", i%zones)}
		w.nodes = append(w.nodes, n)
		w.byAddress[n.name] = n
		w.start(n)
	}
	return w
}

// start begins a process of n. The address of a node is its name; the first three nodes are the seeds.
func (w *world) start(n *node) {
	n.killed, n.pausedUntil, n.epoch = false, 0, n.epoch+1
	n.m = newMachine(w.now, Member{Name: n.name, Zone: n.zone, Peer: n.name, Service: "service"}, w.random.Uint64())
	w.step(n, joinAsked{addresses: []string{"node-0", "node-1", "node-2"}})
	w.tickLater(n)
}

func (w *world) tickLater(n *node) {
	w.at(n, tickSpan, func(n *node) {
		w.step(n, tick{})
		w.tickLater(n)
	})
}

func (w *world) at(n *node, span timekeeper.Millis, run func(n *node)) {
	w.count++
	heap.Push(&w.queue, delivery{at: w.now + span, order: w.count, to: n, epoch: n.epoch, run: run})
}

func (w *world) advance(span timekeeper.Millis) {
	end := w.now + span
	for len(w.queue) > 0 && w.queue[0].at <= end {
		d, _ := heap.Pop(&w.queue).(delivery)
		w.now = d.at
		if d.to.killed || d.epoch != d.to.epoch {
			continue
		}
		if d.to.pausedUntil > w.now {
			d.at = d.to.pausedUntil
			heap.Push(&w.queue, d)
			continue
		}
		d.run(d.to)
	}
	w.now = end
}

// step feeds an event to a machine and sends its messages. It returns the machine's answer.
func (w *world) step(n *node, e Event) answer {
	var reply answer
	for _, action := range n.m.Step(w.now, e) {
		switch a := action.(type) {
		case answer:
			reply = a
		case sendPing:
			w.at(n, a.timeout, func(n *node) { w.step(n, pingFailed{probe: a.probe}) })
			w.request(n, a.address, func(to *node) {
				w.size(n, to, a.ping)
				if r := w.step(to, pingReceived{ping: a.ping}); r.failure == nil {
					w.size(n, to, r.pong)
					w.send(to, n, func(n *node) { w.step(n, pingAnswered{probe: a.probe, pong: r.pong}) })
				}
			})
		case sendIndirect:
			w.at(n, a.timeout, func(n *node) { w.step(n, pingFailed{probe: a.probe}) })
			w.request(n, a.address, func(via *node) { w.forward(n, via, a) })
		case sendExchange:
			w.exchange(n, a)
		case heard:
		}
	}
	if w.seen != nil {
		w.seen(n)
	}
	return reply
}

func (w *world) forward(n, via *node, a sendIndirect) {
	r := w.step(via, indirectReceived{indirect: a.indirect})
	if r.failure != nil {
		return
	}
	w.request(via, r.forward.address, func(to *node) {
		pong := w.step(to, pingReceived{ping: r.forward.ping})
		w.send(to, via, func(via *node) {
			w.send(via, n, func(n *node) { w.step(n, pingAnswered{probe: a.probe, pong: pong.pong}) })
		})
	})
}

func (w *world) exchange(n *node, a sendExchange) {
	zone := a.exchange.Zone
	if zone != "" {
		w.at(n, a.timeout, func(n *node) { w.step(n, exchangeFailed{zone: zone}) })
	}
	w.request(n, a.address, func(to *node) {
		w.size(n, to, a.exchange)
		r := w.step(to, exchangeReceived{exchange: a.exchange})
		w.size(n, to, r.exchanged)
		if zone != "" && r.failure == nil {
			w.send(to, n, func(n *node) {
				w.step(n, exchangeAnswered{zone: zone, address: a.address, reply: r.exchanged})
			})
		}
	})
}

func (w *world) request(from *node, address string, run func(to *node)) {
	if to := w.byAddress[address]; to != nil {
		w.send(from, to, run)
	}
}

func (w *world) send(from, to *node, run func(to *node)) {
	if w.random.Float64() < w.loss || w.cut != nil && w.cut(from, to) {
		return
	}
	w.at(to, 1+timekeeper.Millis(w.random.Int64N(int64(w.delay))), run)
	if w.random.Float64() < w.duplicate {
		w.at(to, 1+timekeeper.Millis(w.random.Int64N(int64(20*w.delay))), run)
	}
}

// overhead is what one message costs beside its own encoding: frame, method name and TCP and IP headers.
const overhead = 100

func (w *world) size(from, to *node, message any) {
	if w.sizes == nil {
		return
	}
	content, _ := msgpack.Marshal(message)
	w.sizes[from] += len(content) + overhead
	w.sizes[to] += len(content) + overhead
}

// disagreement describes the first entry on a live node that does not match the truth, or returns "".
func (w *world) disagreement() string {
	for _, n := range w.nodes {
		if n.killed {
			continue
		}
		for _, other := range w.nodes {
			r := n.m.table.find(other.name)
			switch {
			case other.killed && (r == nil || r.member.Health >= HealthFailed):
			case r == nil:
				return fmt.Sprintf("%s does not know %s", n.name, other.name)
			case other.killed:
				return fmt.Sprintf("%s holds killed %s for health %d", n.name, other.name, r.member.Health)
			case stampOf(&r.member) != stampOf(&other.m.self):
				return fmt.Sprintf("%s holds %+v for %s, which is %+v", n.name, stampOf(&r.member), other.name,
					stampOf(&other.m.self))
			}
		}
	}
	return ""
}

// settle advances until all live nodes agree, or the limit passes.
func (w *world) settle(limit timekeeper.Millis) bool {
	for start := w.now; w.now-start < limit; {
		w.advance(200)
		if w.disagreement() == "" {
			return true
		}
	}
	return false
}
