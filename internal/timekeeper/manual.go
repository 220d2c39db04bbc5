package timekeeper

import "sync/atomic"

// ManualClock is a clock that moves only when told to, for tests. It is safe for concurrent use.
type ManualClock struct {
	millis atomic.Int64
}

// Manual returns a manual clock that shows start.
func Manual(start Millis) *ManualClock {
	m := &ManualClock{}
	m.millis.Store(int64(start))
	return m
}

// Clock returns a Clock that reads m.
func (m *ManualClock) Clock() Clock {
	return Clock{now: func() Millis { return Millis(m.millis.Load()) }}
}

// Advance moves the clock forward by span.
func (m *ManualClock) Advance(span Millis) {
	m.millis.Add(int64(span))
}
