// Package clock measures time in whole milliseconds.
//
// Instants of different VMs are never compared: an instant is meaningful only relative to
// others read from the same Clock.
package clock

import (
	"strconv"
	"time"
)

// Millis is an instant of a Clock, or a duration, in milliseconds.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// String formats a duration as time.Duration does.
func (m Millis) String() string {
	return m.Duration().String()
}

// MarshalText encodes m as the number of milliseconds.
func (m Millis) MarshalText() ([]byte, error) {
	return strconv.AppendInt(nil, int64(m), 10), nil
}

// UnmarshalText decodes a duration such as "250ms" or "6s", or a plain number of
// milliseconds.
func (m *Millis) UnmarshalText(text []byte) error {
	if n, err := strconv.ParseInt(string(text), 10, 64); err == nil {
		*m = Millis(n)
		return nil
	}
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*m = FromDuration(d)
	return nil
}

// FromDuration converts a time.Duration, truncated to whole milliseconds.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock returns the current instant. Use New, System or Boot; the zero value is not usable.
type Clock struct {
	// now never goes backwards.
	now func() Millis
}

// New returns a clock that reads a function, such as the virtual time of a test. The
// function must never go backwards.
func New(now func() Millis) Clock {
	return Clock{now: now}
}

// System returns a clock that reads the process's monotonic time. Its zero is the time of
// the call.
func System() Clock {
	start := time.Now()
	return Clock{now: func() Millis { return FromDuration(time.Since(start)) }}
}

// Now returns the current instant.
func (c Clock) Now() Millis {
	return c.now()
}

// Since returns the time elapsed since t, an earlier instant of the same clock.
func (c Clock) Since(t Millis) Millis {
	return c.now() - t
}

// Until returns the time left until a deadline, at least 1 ms, also when the deadline has
// passed.
func Until(deadline time.Time) Millis {
	return max(FromDuration(time.Until(deadline)), 1)
}
