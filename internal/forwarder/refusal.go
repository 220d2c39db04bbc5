package forwarder

import (
	"net/http"
	"sync"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// A refusal proves that a request did not run only if it cannot be an earlier one that the server wrote once more: it
// is the first response of its connection, or it names the request and no earlier refusal did.

// maxRefusals bounds the ids that refusals remembers.
const maxRefusals = 4096

// refusals remembers the ids of the requests that the upstream refused.
type refusals struct {
	mutex   sync.Mutex
	expires map[string]timekeeper.Millis // by id
}

// add remembers an id until a time, and reports whether it knew the id.
func (r *refusals) add(now timekeeper.Millis, id string, until timekeeper.Millis) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.expires == nil {
		r.expires = make(map[string]timekeeper.Millis)
	}
	expiry, known := r.expires[id]
	if !known && len(r.expires) >= maxRefusals {
		r.prune(now)
	}
	r.expires[id] = max(until, expiry)
	return known && expiry > now
}

// prune removes the expired ids, or all if none has expired.
func (r *refusals) prune(now timekeeper.Millis) {
	for id, expiry := range r.expires {
		if expiry <= now {
			delete(r.expires, id)
		}
	}
	if len(r.expires) >= maxRefusals {
		clear(r.expires)
	}
}

// provesNotRun reports whether the refusal of an upstream belongs to the attempt.
func (h *Host) provesNotRun(x *hostAttempt, response *http.Response, used *usedConnection) bool {
	again := h.refusals.add(h.Clock.Now(), x.ID, x.deadline+attemptGrace)
	return used.first || response.Header.Get(headerID) == x.ID && !again
}
