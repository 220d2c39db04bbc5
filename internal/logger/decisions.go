package logger

import (
	"sync/atomic"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

const (
	// decisionRate and decisionBurst bound the lines about single requests, per second and at once. A line takes
	// about 10 microseconds of CPU time, and a node may have only a sixth of a core.
	decisionRate  = 20
	decisionBurst = 200
)

// Decisions logs decisions about single requests, at a bounded rate. The next line after suppressed lines has their
// number in the field "left_out". A nil *Decisions logs nothing. It is safe for concurrent use.
type Decisions struct {
	logger     *zap.Logger
	limiter    *rate.Limiter
	suppressed atomic.Int64
}

// NewDecisions returns a Decisions that writes to a logger.
func NewDecisions(logger *zap.Logger) *Decisions {
	return &Decisions{logger: logger, limiter: rate.NewLimiter(decisionRate, decisionBurst)}
}

// Allow reports whether a line may be written now. Callers ask before they build the fields of the line.
func (d *Decisions) Allow() bool {
	if d == nil {
		return false
	}
	if d.limiter.Allow() {
		return true
	}
	d.suppressed.Add(1)
	return false
}

// Info writes a line after Allow has returned true.
func (d *Decisions) Info(message string, fields ...zap.Field) {
	if count := d.suppressed.Swap(0); count > 0 {
		fields = append(fields, zap.Int64("left_out", count))
	}
	d.logger.Info(message, fields...)
}
