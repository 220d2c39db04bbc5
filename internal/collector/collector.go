// Package collector sets how much the heap may grow between two garbage collections from how often they happen.
package collector

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// minPercent and maxPercent bound the growth of the heap between two collections, as a percentage.
	minPercent = 25
	maxPercent = 200
	// A collection marks the whole live heap, which takes tens of ms on a tenth of a core. Above maxRate collections a
	// second the heap may grow further, below minRate it shrinks again.
	maxRate = 2.0
	minRate = 0.5
	// raiseFactor and lowerFactor are applied once per period. Memory is released more slowly than it is taken, so that
	// the percentage does not follow each wave of the load.
	raiseFactor = 1.5
	lowerFactor = 0.9
	// period is the time between two adjustments.
	period = timekeeper.Second
)

// cyclesMetric is the number of completed garbage collections since the start of the process.
const cyclesMetric = "/gc/cycles/total:gc-cycles"

// Collector trades memory for processor time: an idle process keeps its heap small, and a busy one collects garbage at
// a bounded rate. The memory limit of the runtime holds in any case.
type Collector struct {
	percent float64
	cycles  uint64
	last    timekeeper.Millis
}

// New returns a collector that starts with the lowest percentage.
func New(now timekeeper.Millis) *Collector {
	return &Collector{percent: minPercent, last: now}
}

// Step takes the number of collections since the start of the process, and returns the percentage by which the heap may
// grow until the next one.
func (c *Collector) Step(now timekeeper.Millis, cycles uint64) int {
	elapsed := now - c.last
	if elapsed <= 0 {
		return int(c.percent)
	}
	rate := float64(cycles-c.cycles) * float64(timekeeper.Second) / float64(elapsed)
	c.cycles, c.last = cycles, now
	switch {
	case rate > maxRate:
		c.percent = min(c.percent*raiseFactor, maxPercent)
	case rate < minRate:
		c.percent = max(c.percent*lowerFactor, minPercent)
	}
	return int(c.percent)
}

// Run adjusts the runtime until ctx ends. It returns nil.
func (c *Collector) Run(ctx context.Context, clock timekeeper.Clock) error {
	ticker := time.NewTicker(period.Duration())
	defer ticker.Stop()
	sample := []metrics.Sample{{Name: cyclesMetric}}
	current := int(c.percent)
	debug.SetGCPercent(current)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		metrics.Read(sample)
		// SetGCPercent stops the world, so it is called for changes only.
		if next := c.Step(clock.Now(), sample[0].Value.Uint64()); next != current {
			debug.SetGCPercent(next)
			current = next
		}
	}
}
