package forwarder

import (
	"sync"
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// nestingSpan is how long a call counts as open to callers of the mesh after one of them made it.
const nestingSpan = 10 * timekeeper.Second

// nesting tells the calls that upstreams make within a run from those of callers. An upstream has no more time left
// than the timeout of the call that it makes, and a caller usually has more, since it may come back after a refusal.
type nesting struct {
	open sync.Map // name of a call to *atomic.Int64: when a request with more time came last, in ms
}

// nested records a request and reports whether all recent requests of the call were short of time, as this one is.
func (n *nesting) nested(now timekeeper.Millis, call string, short bool) bool {
	found, ok := n.open.Load(call)
	if !ok {
		found, _ = n.open.LoadOrStore(call, &atomic.Int64{})
	}
	last, ok := found.(*atomic.Int64)
	if !ok {
		return false
	}
	if !short {
		last.Store(int64(now))
		return false
	}
	return timekeeper.Millis(last.Load())+nestingSpan < now
}
