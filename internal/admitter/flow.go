package admitter

import (
	"container/heap"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// serviceWeight is the weight of the newest sample in a flow's average service time.
const serviceWeight = 0.1

// flow is one turn-taker of a ring: a client account with a ring of its calls, or a call with waiting tickets.
type flow struct {
	name    string
	parent  *flow // of a call: its account
	ring    ring  // of an account: its calls with waiting work
	tickets tickets
	deficit float64 // ms of service that the flow may still take in its turn
	active  bool
	queued  int
	service float64 // average service time, ms
}

// cost returns the expected service time of one piece of work, at least 1 ms.
func (f *flow) cost() float64 {
	return max(f.service, 1)
}

// leastShare is the part of the average service time, as a divisor, that work needs at least to end in time.
const leastShare = 2

// least returns the time that a piece of work needs to have a chance to end, in ms.
func (f *flow) least() timekeeper.Millis {
	return timekeeper.Millis(f.service / leastShare)
}

func (f *flow) sample(span timekeeper.Millis) {
	if f.service == 0 {
		f.service = float64(span)
		return
	}
	f.service += (float64(span) - f.service) * serviceWeight
}

// ring takes turns among flows by deficit: a flow is served while its deficit is above zero and pays the cost of what
// it took, so a flow of long work gets as much time as one of short work.
type ring struct {
	flows   []*flow
	current int
	quantum float64
}

// add lets a flow take part, last in the round. A debt from earlier turns is kept, a credit is not.
func (r *ring) add(f *flow) {
	f.active = true
	f.deficit = min(f.deficit, 1)
	at := r.current
	r.flows = append(r.flows, nil)
	copy(r.flows[at+1:], r.flows[at:])
	r.flows[at] = f
	if len(r.flows) > 1 {
		r.current++
	}
}

func (r *ring) remove(f *flow) {
	f.active = false
	for i, other := range r.flows {
		if other != f {
			continue
		}
		r.flows = append(r.flows[:i], r.flows[i+1:]...)
		if i < r.current {
			r.current--
		}
		break
	}
	if r.current >= len(r.flows) {
		r.current = 0
	}
	if len(r.flows) == 0 {
		r.quantum = 0
	}
}

// next returns the flow whose turn it is. The ring must not be empty.
func (r *ring) next() *flow {
	for {
		f := r.flows[r.current]
		if f.deficit > 0 {
			return f
		}
		f.deficit += max(r.quantum, 1)
		r.current = (r.current + 1) % len(r.flows)
	}
}

// pay charges a flow for work it took. The quantum grows to the largest cost, so that one round clears any debt.
func (r *ring) pay(f *flow, cost float64) {
	r.quantum = max(r.quantum, cost)
	f.deficit -= cost
}

// tickets is a heap by deadline.
type tickets []*Ticket

var _ heap.Interface = (*tickets)(nil)

func (t tickets) Len() int           { return len(t) }
func (t tickets) Less(i, j int) bool { return t[i].Deadline < t[j].Deadline }
func (t tickets) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].place, t[j].place = i, j
}

// Push implements heap.Interface.
func (t *tickets) Push(x any) {
	if one, ok := x.(*Ticket); ok {
		one.place = len(*t)
		*t = append(*t, one)
	}
}

// Pop implements heap.Interface.
func (t *tickets) Pop() any {
	last := len(*t) - 1
	one := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	return one
}
