package router

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// paceWeight is the weight of the newest report in the mean service time of a call over all members.
	paceWeight = 0.05
	// idleLoad is added to the load in units of all slots, so that among idle members the faster one is taken, and
	// a member of mean pace with half its slots in use is as good as an idle one that takes twice as long.
	idleLoad = 0.5
)

// paces keeps the mean service time of each call over the members that run it.
type paces struct {
	calls sync.Map // key of a call to *atomic.Uint64, float64 bits, ms
}

// compare takes a member's average service time of a call and returns it as a multiple of the mean.
func (p *paces) compare(request *Request, span timekeeper.Millis) float64 {
	key := busyKey(request)
	found, ok := p.calls.Load(key)
	if !ok {
		found, _ = p.calls.LoadOrStore(key, &atomic.Uint64{})
	}
	mean, ok := found.(*atomic.Uint64)
	if !ok {
		return 1
	}
	sample := float64(span)
	if !mean.CompareAndSwap(0, math.Float64bits(sample)) {
		blend(mean, sample, paceWeight)
	}
	return sample / math.Float64frombits(mean.Load())
}

// relativePace returns the service time of a member as a multiple of the mean, 1 if it is not known.
func (e *endpoint) relativePace() float64 {
	if pace := math.Float64frombits(e.pace.Load()); pace > 0 {
		return pace
	}
	return 1
}
