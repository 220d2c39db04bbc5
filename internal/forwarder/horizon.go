package forwarder

import (
	"sync"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// horizonSpan is the time over which the longest remaining time of a call is kept. It is long against the gaps between
// the requests of a call in use, and short against the life of a client's settings.
const horizonSpan = 5 * timekeeper.Second

// horizons keeps how much time callers have at most when they make each call. A request with much less was made
// before and refused, and a call for which nobody has more time than its timeout is made by upstreams within a run.
type horizons struct {
	calls sync.Map // name of a call to *horizon
}

// horizon is the longest remaining time of a call in the present and the last span.
type horizon struct {
	mutex         sync.Mutex
	begun         timekeeper.Millis
	present, last timekeeper.Millis
}

// add records the remaining time of a request and returns the longest of late.
func (h *horizons) add(now timekeeper.Millis, call string, remaining timekeeper.Millis) timekeeper.Millis {
	found, ok := h.calls.Load(call)
	if !ok {
		found, _ = h.calls.LoadOrStore(call, &horizon{})
	}
	one, ok := found.(*horizon)
	if !ok {
		return remaining
	}
	return one.add(now, remaining)
}

func (h *horizon) add(now, remaining timekeeper.Millis) timekeeper.Millis {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if age := now - h.begun; age >= horizonSpan {
		h.last = h.present
		if age >= 2*horizonSpan {
			h.last = 0
		}
		h.present, h.begun = 0, now
	}
	h.present = max(h.present, remaining)
	return max(h.present, h.last)
}
