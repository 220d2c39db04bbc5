package logger

import (
	"sync/atomic"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

const (
	// decisionRate bounds the lines about single requests, per second, and decisionBurst those at once. A line costs
	// some 10 microseconds of a core that may be a sixth of one.
	decisionRate  = 20
	decisionBurst = 200
)

// Decisions logs what was decided about single requests, up to a bounded rate. The next line after a gap tells in the
// field "left_out" how many there were no lines for. A nil value logs nothing. It is safe for concurrent use.
type Decisions struct {
	logger  *zap.Logger
	limiter *rate.Limiter
	leftOut atomic.Int64
}

// NewDecisions returns a Decisions that writes to a logger.
func NewDecisions(logger *zap.Logger) *Decisions {
	return &Decisions{logger: logger, limiter: rate.NewLimiter(decisionRate, decisionBurst)}
}

// Allow reports whether a line may be written now, so that its fields are built only then.
func (d *Decisions) Allow() bool {
	if d == nil {
		return false
	}
	if d.limiter.Allow() {
		return true
	}
	d.leftOut.Add(1)
	return false
}

// Info writes a line that Allow has granted.
func (d *Decisions) Info(message string, fields ...zap.Field) {
	if count := d.leftOut.Swap(0); count > 0 {
		fields = append(fields, zap.Int64("left_out", count))
	}
	d.logger.Info(message, fields...)
}
