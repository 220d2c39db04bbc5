package admitter

import (
	"container/heap"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// maxFlows is the number of flows per rank above which idle flows are evicted.
const maxFlows = 4096

// rank is the queue of the requests with the same order.
type rank struct {
	share         int // percentage of the service time that is guaranteed to the rank
	queued        int
	ring          ring // accounts with waiting requests
	flows         map[flowKey]*flow
	nonEmptySince timekeeper.Millis // time at which the queue last became non-empty
	starts        window            // started requests
	served        window            // service time of finished requests, ms
	serviceTime   float64           // moving average, ms
}

type flowKey struct{ account, call string }

// findOrCreate returns the flow of a call, and creates the flows of the call and its account if needed. An empty call
// stands for the account itself.
func (r *rank) findOrCreate(account, call string) *flow {
	key := flowKey{account, call}
	if found := r.flows[key]; found != nil {
		return found
	}
	if r.flows == nil {
		r.flows = make(map[flowKey]*flow)
	}
	if len(r.flows) >= maxFlows {
		r.evictIdle()
	}
	created := &flow{name: call, serviceTime: r.serviceTime}
	if call != "" {
		created.parent = r.findOrCreate(account, "")
	}
	r.flows[key] = created
	return created
}

// evictIdle removes the flows without waiting requests.
func (r *rank) evictIdle() {
	for key, f := range r.flows {
		if f.queued == 0 {
			delete(r.flows, key)
		}
	}
}

func (r *rank) push(t *Ticket) {
	call, account := t.flow, t.flow.parent
	heap.Push(&call.tickets, t)
	call.queued++
	account.queued++
	r.queued++
	if !call.active {
		account.ring.add(call)
	}
	if !account.active {
		r.ring.add(account)
	}
}

// pop removes and returns the next request: the earliest deadline of the call that the rings schedule next.
func (r *rank) pop() *Ticket {
	account := r.ring.next()
	call := account.ring.next()
	t := call.tickets[0]
	cost := call.cost()
	r.ring.charge(account, cost)
	account.ring.charge(call, cost)
	r.remove(t)
	return t
}

// remove removes a waiting ticket from the queue.
func (r *rank) remove(t *Ticket) {
	call, account := t.flow, t.flow.parent
	heap.Remove(&call.tickets, t.heapIndex)
	call.queued--
	account.queued--
	r.queued--
	if call.queued == 0 {
		account.ring.remove(call)
	}
	if account.queued == 0 {
		r.ring.remove(account)
	}
}

// countAhead estimates how many queued requests start before a new request of a call. It assumes that in each round
// every account starts as many requests as the call's account, and every call of that account as many as the call.
func (r *rank) countAhead(call *flow) int {
	account := call.parent
	inside := min(account.queued, (call.queued+1)*countOthers(&account.ring, call)+call.queued)
	return min(r.queued, (inside+1)*countOthers(&r.ring, account)+inside)
}

// countOthers returns the number of flows in a ring other than f.
func countOthers(r *ring, f *flow) int {
	if f.active {
		return len(r.flows) - 1
	}
	return len(r.flows)
}

// evictionCandidate returns the waiting ticket with the latest deadline of the longest call of the longest account, or
// nil if the rank is empty.
func (r *rank) evictionCandidate() *Ticket {
	account := longestFlow(r.ring.flows)
	if account == nil {
		return nil
	}
	call := longestFlow(account.ring.flows)
	var last *Ticket
	for _, t := range call.tickets {
		if last == nil || t.Deadline > last.Deadline {
			last = t
		}
	}
	return last
}

// longestFlow returns the flow with the most queued requests, or nil.
func longestFlow(flows []*flow) *flow {
	var found *flow
	for _, f := range flows {
		if found == nil || f.queued > found.queued {
			found = f
		}
	}
	return found
}

// observe adds the service time of a finished request to the average.
func (r *rank) observe(elapsed timekeeper.Millis) {
	if r.serviceTime == 0 {
		r.serviceTime = float64(elapsed)
		return
	}
	r.serviceTime += (float64(elapsed) - r.serviceTime) * serviceWeight
}
