package router

import (
	"math"
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// busyMarks is the size of the table of refusals of one endpoint. A collision only loses the older mark.
	busyMarks = 64
	// maxBusy bounds how long one refusal keeps work away, since a queue of usual length drains in about
	// that time.
	maxBusy timekeeper.Millis = 250
	// leavingSpan is how long an endpoint that refused all work is skipped before it is asked again.
	leavingSpan = timekeeper.Second
	// reportHalfLife is the age at which a load report counts half: without new calls there is no new report, and a
	// report that never aged would keep an endpoint out of use for good.
	reportHalfLife timekeeper.Millis = 500
	// errorHalfLife is the span in which the share of failed calls loses half its effect without new failures.
	errorHalfLife = 2 * timekeeper.Second
	// latencyWeight and errorWeight are the weights of the newest sample in the moving averages.
	latencyWeight = 0.1
	errorWeight   = 0.1
	// errorPenalty is what the score of an endpoint that always fails is raised by, in units of all its slots.
	errorPenalty = 2.0
)

// endpoint is what this node knows of one member from its own calls. All fields are atomic: calls share no lock.
type endpoint struct {
	outstanding atomic.Int64
	reported    atomic.Int64  // running and queued at the last report
	reportedAt  atomic.Int64  // ms
	latency     atomic.Uint64 // float64 bits, ms
	pace        atomic.Uint64 // float64 bits, service time as a multiple of the mean over all members; 0 if not known
	faults      atomic.Uint64 // float64 bits, 0 to 1, at the last report
	failures    atomic.Uint64 // float64 bits, 0 to 1
	failedAt    atomic.Int64  // ms
	leaving     atomic.Int64  // ms until which no work is sent at all
	busy        [busyMarks]atomic.Uint64
}

// mark packs a key's upper 24 bits and 40 bits of time.
func mark(key uint64, until timekeeper.Millis) uint64 {
	return key&^(1<<40-1) | uint64(until)&(1<<40-1)
}

func (e *endpoint) setBusy(key uint64, until timekeeper.Millis) {
	e.busy[key%busyMarks].Store(mark(key, until))
}

// busyUntil returns the time until which work of the key is refused, or 0.
func (e *endpoint) busyUntil(key uint64, now timekeeper.Millis) timekeeper.Millis {
	if leaving := timekeeper.Millis(e.leaving.Load()); leaving > now {
		return leaving
	}
	stored := e.busy[key%busyMarks].Load()
	if stored == 0 || mark(key, 0) != stored&^(1<<40-1) {
		return 0
	}
	until := now&^(1<<40-1) | timekeeper.Millis(stored&(1<<40-1))
	if until <= now {
		return 0
	}
	return until
}

// load returns the work believed to be at the endpoint: own calls and the last report, which loses weight with age.
func (e *endpoint) load(now timekeeper.Millis) float64 {
	reported := float64(e.reported.Load())
	if age := now - timekeeper.Millis(e.reportedAt.Load()); reported > 0 && age > 0 {
		reported *= math.Exp2(-float64(age) / float64(reportHalfLife))
	}
	return float64(e.outstanding.Load()) + reported
}

func blend(target *atomic.Uint64, sample, weight float64) {
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
		blend(&e.latency, sample, latencyWeight)
	}
}

func (e *endpoint) latencyMillis() float64 {
	return math.Float64frombits(e.latency.Load())
}

func (e *endpoint) addFailure(now timekeeper.Millis) {
	blend(&e.failures, 1, errorWeight)
	e.failedAt.Store(int64(now))
}

func (e *endpoint) addSuccess() {
	if e.failures.Load() != 0 {
		blend(&e.failures, 0, errorWeight)
	}
}

// errorRate is the higher of the own calls' failures and what the host node reported. Both age: an endpoint that gets
// no calls because it failed must be tried again.
func (e *endpoint) errorRate(now timekeeper.Millis) float64 {
	own := aged(&e.failures, now-timekeeper.Millis(e.failedAt.Load()))
	return max(own, aged(&e.faults, now-timekeeper.Millis(e.reportedAt.Load())))
}

// aged returns a rate that loses half of its value in errorHalfLife.
func aged(rate *atomic.Uint64, age timekeeper.Millis) float64 {
	value := math.Float64frombits(rate.Load())
	if value > 0 && age > 0 {
		value *= math.Exp2(-float64(age) / float64(errorHalfLife))
	}
	return value
}
