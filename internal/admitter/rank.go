package admitter

import (
	"container/heap"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// maxFlows bounds the remembered flows of a rank; idle ones are forgotten beyond it.
const maxFlows = 4096

// rank is the queue of one rank order.
type rank struct {
	share   int // percent
	queued  int
	ring    ring // accounts with waiting work
	flows   map[flowKey]*flow
	since   timekeeper.Millis // when the queue was empty last
	starts  window
	spent   window  // ms of service
	service float64 // average service time, ms
}

type flowKey struct{ account, call string }

// find returns the flow of a call and creates it and its account's if needed.
func (r *rank) find(account, call string) *flow {
	key := flowKey{account, call}
	if found := r.flows[key]; found != nil {
		return found
	}
	if r.flows == nil {
		r.flows = make(map[flowKey]*flow)
	}
	if len(r.flows) >= maxFlows {
		r.forget()
	}
	made := &flow{name: call, service: r.service}
	if call != "" {
		made.parent = r.find(account, "")
	}
	r.flows[key] = made
	return made
}

func (r *rank) forget() {
	for key, one := range r.flows {
		if one.queued == 0 {
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

// pop takes the next work: the account and call whose turn it is, and there the earliest deadline.
func (r *rank) pop() *Ticket {
	account := r.ring.next()
	call := account.ring.next()
	t := call.tickets[0]
	cost := call.cost()
	r.ring.pay(account, cost)
	account.ring.pay(call, cost)
	r.remove(t)
	return t
}

// remove takes a waiting ticket out of the queue.
func (r *rank) remove(t *Ticket) {
	call, account := t.flow, t.flow.parent
	heap.Remove(&call.tickets, t.place)
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

// ahead estimates how many queued pieces of work start before a new one of the flow: in each round, every account takes
// as much as the new one's account, and likewise every call inside the account.
func (r *rank) ahead(call *flow) int {
	account := call.parent
	inside := min(account.queued, (call.queued+1)*others(&account.ring, call)+call.queued)
	return min(r.queued, (inside+1)*others(&r.ring, account)+inside)
}

func others(r *ring, f *flow) int {
	if f.active {
		return len(r.flows) - 1
	}
	return len(r.flows)
}

// longest returns the last waiting ticket by deadline of the longest flow of the longest account, or nil.
func (r *rank) longest() *Ticket {
	account := longest(r.ring.flows)
	if account == nil {
		return nil
	}
	call := longest(account.ring.flows)
	var last *Ticket
	for _, t := range call.tickets {
		if last == nil || t.Deadline > last.Deadline {
			last = t
		}
	}
	return last
}

func longest(flows []*flow) *flow {
	var found *flow
	for _, f := range flows {
		if found == nil || f.queued > found.queued {
			found = f
		}
	}
	return found
}

func (r *rank) sample(span timekeeper.Millis) {
	if r.service == 0 {
		r.service = float64(span)
		return
	}
	r.service += (float64(span) - r.service) * serviceWeight
}
