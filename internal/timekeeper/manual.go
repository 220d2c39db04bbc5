package timekeeper

import "sync/atomic"

// ManualClock is a clock for tests that moves only when Advance is called. It is safe for concurrent use.
type ManualClock struct {
	millis atomic.Int64
}

// Manual returns a manual clock that starts at start.
func Manual(start Millis) *ManualClock {
	m := &ManualClock{}
	m.millis.Store(int64(start))
	return m
}

// Clock returns a Clock that reads the time of m.
func (m *ManualClock) Clock() Clock {
	return Clock{now: func() Millis { return Millis(m.millis.Load()) }}
}

// Advance moves the clock forward by duration.
func (m *ManualClock) Advance(duration Millis) {
	m.millis.Add(int64(duration))
}
