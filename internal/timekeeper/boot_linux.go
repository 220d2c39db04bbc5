package timekeeper

import "golang.org/x/sys/unix"

// Boot returns a clock that counts the time since the machine started, including the time for which it was suspended,
// which System leaves out. Its times can only be compared with each other.
func Boot() Clock {
	return Clock{now: func() Millis {
		var time unix.Timespec
		if unix.ClockGettime(unix.CLOCK_BOOTTIME, &time) != nil {
			return 0
		}
		return Millis(time.Nano() / 1e6)
	}}
}
