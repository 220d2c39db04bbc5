package forwarder

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// A refusal proves that a request did not run only if it cannot be an earlier one that the server wrote once more: it
// is the first response of its connection, or it names the request and no earlier refusal did.

// exchange describes the connection of one HTTP exchange.
type exchange struct {
	conn  net.Conn // nil if the exchange got none
	first bool     // no exchange used the connection before
}

// trace returns a context for a request and the exchange that is filled in when the request gets a connection.
func trace(ctx context.Context) (context.Context, *exchange) {
	x := &exchange{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		x.conn, x.first = info.Conn, !info.Reused
	}}), x
}

// abandon closes the connection, whose next response would belong to this exchange.
func (x *exchange) abandon() {
	if x.conn != nil {
		_ = x.conn.Close()
	}
}

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
func (h *Host) provesNotRun(x *hostAttempt, response *http.Response, used *exchange) bool {
	again := h.refusals.add(h.Clock.Now(), x.ID, x.deadline+attemptGrace)
	return used.first || response.Header.Get(headerID) == x.ID && !again
}
