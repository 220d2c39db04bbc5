package router

import (
	"math"
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// refusalSlots is the number of refusals that one endpoint remembers. A colliding key overwrites the older
	// refusal.
	refusalSlots = 64
	// maxRefusalTime bounds how long one refusal keeps requests away from an endpoint. A queue of usual length
	// drains in about that time.
	maxRefusalTime timekeeper.Millis = 250
	// unavailableTime is how long an endpoint that refused all requests is skipped before the next attempt.
	unavailableTime = timekeeper.Second
	// reportHalfLife is the age at which a load report counts half. Without new calls there is no new report, so a
	// report that never decayed would exclude an endpoint permanently.
	reportHalfLife timekeeper.Millis = 500
	// errorHalfLife is the time in which an error rate decays to half without new failures.
	errorHalfLife = 2 * timekeeper.Second
	// latencyWeight and errorWeight are the weights of the newest sample in the moving averages.
	latencyWeight = 0.1
	errorWeight   = 0.1
	// errorPenalty is added to the score of an endpoint whose calls all fail, in units of all its slots.
	errorPenalty = 2.0
)

// endpoint holds the statistics of one member as this node sees it. All fields are atomic, so that calls share no lock.
type endpoint struct {
	outstanding       atomic.Int64
	reported          atomic.Int64  // running and queued calls of other nodes at the last report
	capacity          atomic.Int64  // requests at once at the upstream's limit, in thousandths; 0 for all slots
	reportedAt        atomic.Int64  // time in ms
	latency           atomic.Uint64 // moving average in ms, float64 bits
	serviceTimeRatio  atomic.Uint64 // service time as a multiple of the mean over all members, float64 bits; 0 if unknown
	reportedErrorRate atomic.Uint64 // 0 to 1 at the last report, float64 bits
	ownErrorRate      atomic.Uint64 // moving average from 0 to 1, float64 bits
	lastFailureAt     atomic.Int64  // time in ms
	unavailableUntil  atomic.Int64  // time in ms until which no requests are sent
	refusals          [refusalSlots]atomic.Uint64
}

// packRefusal combines the upper 24 bits of a key with the lower 40 bits of a time in ms.
func packRefusal(key uint64, until timekeeper.Millis) uint64 {
	return key&^(1<<40-1) | uint64(until)&(1<<40-1)
}

// recordRefusal stores the time until which the endpoint refuses requests of the key.
func (e *endpoint) recordRefusal(key uint64, until timekeeper.Millis) {
	e.refusals[key%refusalSlots].Store(packRefusal(key, until))
}

// refusedUntil returns the time until which the endpoint gets no requests of the key, or 0.
func (e *endpoint) refusedUntil(key uint64, now timekeeper.Millis) timekeeper.Millis {
	if until := timekeeper.Millis(e.unavailableUntil.Load()); until > now {
		return until
	}
	stored := e.refusals[key%refusalSlots].Load()
	if stored == 0 || packRefusal(key, 0) != stored&^(1<<40-1) {
		return 0
	}
	until := now&^(1<<40-1) | timekeeper.Millis(stored&(1<<40-1))
	if until <= now {
		return 0
	}
	return until
}

// load estimates the number of calls at the endpoint from this node's own calls and the last report, which loses weight
// with age.
func (e *endpoint) load(now timekeeper.Millis) float64 {
	reported := float64(e.reported.Load())
	if age := now - timekeeper.Millis(e.reportedAt.Load()); reported > 0 && age > 0 {
		reported *= math.Exp2(-float64(age) / float64(reportHalfLife))
	}
	return float64(e.outstanding.Load()) + reported
}

// limitedSlots returns the number of slots that the limit of the upstream leaves, or 0 if it has none. The number
// doubles with each half-life of the report: without new calls there is no new report, and the limit may have ended.
func (e *endpoint) limitedSlots(now timekeeper.Millis) float64 {
	slots := float64(e.capacity.Load()) / 1000
	if age := now - timekeeper.Millis(e.reportedAt.Load()); slots > 0 && age > 0 {
		slots *= math.Exp2(float64(age) / float64(reportHalfLife))
	}
	return slots
}

// updateEWMA adds a sample to an exponentially weighted moving average.
func updateEWMA(target *atomic.Uint64, sample, weight float64) {
	for {
		old := target.Load()
		value := math.Float64frombits(old)*(1-weight) + sample*weight
		if target.CompareAndSwap(old, math.Float64bits(value)) {
			return
		}
	}
}

func (e *endpoint) addLatency(sample float64) {
	if !e.latency.CompareAndSwap(0, math.Float64bits(sample)) {
		updateEWMA(&e.latency, sample, latencyWeight)
	}
}

func (e *endpoint) latencyMillis() float64 {
	return math.Float64frombits(e.latency.Load())
}

func (e *endpoint) addFailure(now timekeeper.Millis) {
	updateEWMA(&e.ownErrorRate, 1, errorWeight)
	e.lastFailureAt.Store(int64(now))
}

func (e *endpoint) addSuccess() {
	if e.ownErrorRate.Load() != 0 {
		updateEWMA(&e.ownErrorRate, 0, errorWeight)
	}
}

// errorRate returns the higher of this node's error rate and the one that the host node reported. Both decay, so that
// an endpoint that gets no calls because of failures is tried again.
func (e *endpoint) errorRate(now timekeeper.Millis) float64 {
	own := decayed(&e.ownErrorRate, now-timekeeper.Millis(e.lastFailureAt.Load()))
	return max(own, decayed(&e.reportedErrorRate, now-timekeeper.Millis(e.reportedAt.Load())))
}

// decayed returns an error rate after it has decayed for its age, by half per errorHalfLife.
func decayed(rate *atomic.Uint64, age timekeeper.Millis) float64 {
	value := math.Float64frombits(rate.Load())
	if value > 0 && age > 0 {
		value *= math.Exp2(-float64(age) / float64(errorHalfLife))
	}
	return value
}
