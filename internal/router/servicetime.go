package router

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// serviceTimeWeight is the weight of the newest sample in the mean service time of a call over all members.
	serviceTimeWeight = 0.05
	// baseLoad is added to each load, in units of all slots, so that the faster of two idle members is picked. A
	// member of mean service time with half its slots in use ranks like an idle one that takes twice as long.
	baseLoad = 0.5
)

// serviceTimes holds the mean service time of each call over the members that run it.
type serviceTimes struct {
	calls sync.Map // key of the call to *atomic.Uint64: mean in ms, float64 bits
}

// updateRatio adds a member's average service time to the mean of its call and returns it as a multiple of that mean.
func (s *serviceTimes) updateRatio(request *Request, serviceTime timekeeper.Millis) float64 {
	key := callKeyOf(request)
	found, ok := s.calls.Load(key)
	if !ok {
		found, _ = s.calls.LoadOrStore(key, &atomic.Uint64{})
	}
	mean, ok := found.(*atomic.Uint64)
	if !ok {
		return 1
	}
	sample := float64(serviceTime)
	if !mean.CompareAndSwap(0, math.Float64bits(sample)) {
		updateEWMA(mean, sample, serviceTimeWeight)
	}
	return sample / math.Float64frombits(mean.Load())
}

// relativeServiceTime returns the member's service time as a multiple of the mean, or 1 if it is unknown.
func (e *endpoint) relativeServiceTime() float64 {
	if ratio := math.Float64frombits(e.serviceTimeRatio.Load()); ratio > 0 {
		return ratio
	}
	return 1
}
