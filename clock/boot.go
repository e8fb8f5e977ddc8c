package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns a clock that goes on while the VM is suspended, unlike System's.
// A lease that is judged by the monotonic time would outlive a suspension: the
// process wakes up and takes for fresh what it confirmed long ago. Its zero is
// the moment of the call.
func Boot() Clock {
	start := bootMillis()
	return Clock{now: func() Millis { return bootMillis() - start }}
}

func bootMillis() Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since 2.6.39; without it no lease can be kept.
		panic("clock: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return FromDuration(time.Duration(t.Nano()))
}
