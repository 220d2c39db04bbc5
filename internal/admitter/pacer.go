package admitter

import (
	"math"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// paceBurst is the time whose requests may start at once after a pause. A longer one would let the upstream get
	// more in one second than its limit.
	paceBurst timekeeper.Millis = 250
	// creditTolerance absorbs rounding errors of the credit.
	creditTolerance = 1e-9
	// endlessInterval is the interval between starts, in ms, at a limit of 0: longer than any deadline.
	endlessInterval = float64(24 * 60 * timekeeper.Minute)
)

// pacer spaces the starts of requests by the limit of the upstream. A start costs one unit of credit, which grows at
// the rate of the limit. The zero value starts everything at once.
type pacer struct {
	limit   Limit
	credit  float64
	updated timekeeper.Millis
}

// set changes the limit. A new limit begins without credit, since the upstream got more until then.
func (p *pacer) set(now timekeeper.Millis, limit Limit) {
	p.refill(now)
	if !p.limit.Stated {
		p.credit = 0
	}
	p.limit = limit
	p.credit = min(p.credit, p.capacity())
}

// capacity is the maximum credit.
func (p *pacer) capacity() float64 {
	if p.limit.Rate <= 0 {
		return 0
	}
	return max(p.limit.Rate*float64(paceBurst)/float64(timekeeper.Second), 1)
}

func (p *pacer) refill(now timekeeper.Millis) {
	if elapsed := now - p.updated; elapsed > 0 {
		grown := p.credit + p.limit.Rate*float64(elapsed)/float64(timekeeper.Second)
		p.credit = min(grown, p.capacity())
	}
	p.updated = max(p.updated, now)
}

// ready reports whether a request may start now.
func (p *pacer) ready(now timekeeper.Millis) bool {
	if !p.limit.Stated {
		return true
	}
	p.refill(now)
	return p.credit >= 1-creditTolerance
}

// take charges a start.
func (p *pacer) take(now timekeeper.Millis) {
	if p.limit.Stated {
		p.refill(now)
		p.credit--
	}
}

// interval is the time between two starts in ms; 0 without a limit.
func (p *pacer) interval() float64 {
	switch {
	case !p.limit.Stated:
		return 0
	case p.limit.Rate <= 0:
		return endlessInterval
	}
	return min(float64(timekeeper.Second)/p.limit.Rate, endlessInterval)
}

// untilReady is the time until a request may start, in ms, at least 1. It must not be ready.
func (p *pacer) untilReady(now timekeeper.Millis) timekeeper.Millis {
	p.refill(now)
	return max(timekeeper.Millis(math.Ceil((1-p.credit)*p.interval())), 1)
}

// concurrency is the mean number of requests that run at once when starts are at the limit, in thousandths and at least
// 1; 0 without a limit or a known service time in ms.
func (p *pacer) concurrency(serviceTime float64) int {
	if !p.limit.Stated || serviceTime <= 0 {
		return 0
	}
	return max(int(min(p.limit.Rate*serviceTime, maxConcurrency)), 1)
}

// maxConcurrency bounds the reported concurrency, in thousandths.
const maxConcurrency = 1 << 30
