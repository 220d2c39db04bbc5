//go:build !linux

package timekeeper

import "time"

// Boot returns a clock of the time of day: other systems have no clock that includes the time for which the machine was
// suspended and cannot be set. Its times can only be compared with each other.
func Boot() Clock {
	return Clock{now: func() Millis { return Millis(time.Now().UnixMilli()) }}
}
