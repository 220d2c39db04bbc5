// Package timekeeper provides the project's time: milliseconds and a clock that can be driven by hand.
package timekeeper

import "time"

// Millis is a point in time since the Unix epoch or a span of time, in milliseconds.
type Millis int64

// Second is one second in milliseconds.
const Second Millis = 1000

// Minute is one minute in milliseconds.
const Minute = 60 * Second

// Duration converts a span to the standard library's type, for calls at the edge.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts a standard duration to milliseconds, rounded down.
func FromDuration(d time.Duration) Millis {
	return Millis(d.Milliseconds())
}
