package admitter

import (
	"container/heap"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// serviceWeight is the weight of the newest sample in the moving averages (EWMA) of service times.
const serviceWeight = 0.1

// flow is a unit of scheduling in a ring: a client account with a ring of its calls, or a call with waiting tickets.
type flow struct {
	name        string
	parent      *flow // account of a call, nil for an account
	ring        ring  // calls of an account that have waiting requests
	tickets     tickets
	deficit     float64 // service time in ms that the flow may still use in this round
	active      bool
	queued      int
	serviceTime float64 // moving average, ms
}

// cost returns the expected service time of a request, at least 1 ms.
func (f *flow) cost() float64 {
	return max(f.serviceTime, 1)
}

// minServiceDivisor divides the average service time. A queued request starts only if more than the result remains
// before its deadline, since with less time it is unlikely to end in time.
const minServiceDivisor = 2

// minRemaining returns the time that must remain before the deadline when a queued request starts, in ms.
func (f *flow) minRemaining() timekeeper.Millis {
	return timekeeper.Millis(f.serviceTime / minServiceDivisor)
}

// observe adds the service time of a finished request to the average.
func (f *flow) observe(elapsed timekeeper.Millis) {
	if f.serviceTime == 0 {
		f.serviceTime = float64(elapsed)
		return
	}
	f.serviceTime += (float64(elapsed) - f.serviceTime) * serviceWeight
}

// ring schedules flows by deficit round robin: a flow is served while its deficit is above zero, and each request
// reduces the deficit by its cost. Flows of long and of short requests thus get the same service time.
type ring struct {
	flows   []*flow
	current int     // index of the flow that is served next
	quantum float64 // deficit that each flow gains per round, ms
}

// add inserts a flow at the end of the round. A negative deficit from earlier rounds is kept; a positive one is cut to
// 1 ms.
func (r *ring) add(f *flow) {
	f.active = true
	f.deficit = min(f.deficit, 1)
	end := r.current
	r.flows = append(r.flows, nil)
	copy(r.flows[end+1:], r.flows[end:])
	r.flows[end] = f
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

// next returns the flow to serve. The ring must not be empty.
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

// charge reduces a flow's deficit by the cost of a request. The quantum grows to the largest cost, so that one round
// makes up for the cost of any one request.
func (r *ring) charge(f *flow, cost float64) {
	r.quantum = max(r.quantum, cost)
	f.deficit -= cost
}

// tickets is a heap with the earliest deadline first.
type tickets []*Ticket

var _ heap.Interface = (*tickets)(nil)

func (t tickets) Len() int           { return len(t) }
func (t tickets) Less(i, j int) bool { return t[i].Deadline < t[j].Deadline }
func (t tickets) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].heapIndex, t[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (t *tickets) Push(x any) {
	if ticket, ok := x.(*Ticket); ok {
		ticket.heapIndex = len(*t)
		*t = append(*t, ticket)
	}
}

// Pop implements heap.Interface.
func (t *tickets) Pop() any {
	last := len(*t) - 1
	ticket := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	return ticket
}
