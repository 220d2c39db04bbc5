// Package timekeeper provides times and durations in milliseconds, the system clock and a manual clock for tests.
package timekeeper

import "time"

// Millis is a point in time since the Unix epoch or a duration, in milliseconds.
type Millis int64

// Second is one second in milliseconds.
const Second Millis = 1000

// Minute is one minute in milliseconds.
const Minute = 60 * Second

// Duration converts a duration in milliseconds to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts a time.Duration to milliseconds, rounded towards zero.
func FromDuration(d time.Duration) Millis {
	return Millis(d.Milliseconds())
}
