package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns a clock that, unlike System, advances while the VM is suspended. Its zero is the
// time of the call. With the monotonic clock a lease would outlive a suspension: after the VM
// resumes, the process would treat a confirmation from before the suspension as recent.
func Boot() Clock {
	start := bootMillis()
	return Clock{now: func() Millis { return bootMillis() - start }}
}

func bootMillis() Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has CLOCK_BOOTTIME since 2.6.39. Without it leases would not be safe.
		panic("clock: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return FromDuration(time.Duration(t.Nano()))
}
