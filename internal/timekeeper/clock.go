package timekeeper

import "time"

// Clock returns the current time. The zero value is not usable; System and ManualClock create clocks.
type Clock struct {
	now func() Millis
}

// System returns the clock of the operating system. It never goes backwards within a process.
func System() Clock {
	start := time.Now()
	base := Millis(start.UnixMilli())
	return Clock{now: func() Millis { return base + FromDuration(time.Since(start)) }}
}

// Now returns the current time in milliseconds since the Unix epoch.
func (c Clock) Now() Millis {
	return c.now()
}
