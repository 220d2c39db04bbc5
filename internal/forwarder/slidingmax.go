package forwarder

import (
	"sync"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// slidingWindow is how long the longest remaining time of a call is kept. It is long compared with the gaps between the
// requests of a call in use, and short compared with the lifetime of a client's settings.
const slidingWindow = 5 * timekeeper.Second

// remainingTimes keeps the longest remaining time that callers have for each call. A request with much less remaining
// time was refused before and is a retry, and a call whose callers never have more time than its timeout is nested:
// upstreams make it within a run.
type remainingTimes struct {
	calls sync.Map // name of a call to *slidingMax
}

// slidingMax is the longest remaining time of a call in the current and the previous window.
type slidingMax struct {
	mutex             sync.Mutex
	started           timekeeper.Millis
	current, previous timekeeper.Millis
}

// add records the remaining time of a request and returns the longest in the current and the previous window.
func (h *remainingTimes) add(now timekeeper.Millis, call string, remaining timekeeper.Millis) timekeeper.Millis {
	found, ok := h.calls.Load(call)
	if !ok {
		found, _ = h.calls.LoadOrStore(call, &slidingMax{})
	}
	maximum, ok := found.(*slidingMax)
	if !ok {
		return remaining
	}
	return maximum.add(now, remaining)
}

func (h *slidingMax) add(now, remaining timekeeper.Millis) timekeeper.Millis {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if age := now - h.started; age >= slidingWindow {
		h.previous = h.current
		if age >= 2*slidingWindow {
			h.previous = 0
		}
		h.current, h.started = 0, now
	}
	h.current = max(h.current, remaining)
	return max(h.current, h.previous)
}
