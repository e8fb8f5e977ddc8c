// Package clock keeps time in whole milliseconds.
//
// Instants of two VMs are never compared: a Millis is only meaningful beside
// others read from the same Clock.
package clock

import (
	"strconv"
	"time"
)

// Millis is an instant, or a span between two instants, in milliseconds.
type Millis int64

// Spans in common use.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Duration converts a span to the standard library's unit.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// String formats a span the way time.Duration does.
func (m Millis) String() string {
	return m.Duration().String()
}

// MarshalText writes the number of milliseconds.
func (m Millis) MarshalText() ([]byte, error) {
	return strconv.AppendInt(nil, int64(m), 10), nil
}

// UnmarshalText reads a span such as "250ms" or "6s", or a bare number of
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

// FromDuration converts a standard duration, dropping what is below a millisecond.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock reads the current instant.
type Clock struct {
	// now never goes backwards.
	now func() Millis
}

// New makes a clock from a function, such as a test's virtual time.
func New(now func() Millis) Clock {
	return Clock{now: now}
}

// System returns a clock on the process's monotonic time. Its zero is the
// moment of the call.
func System() Clock {
	start := time.Now()
	return Clock{now: func() Millis { return FromDuration(time.Since(start)) }}
}

// Now returns the current instant.
func (c Clock) Now() Millis {
	return c.now()
}

// Since returns the span from an earlier instant of the same clock.
func (c Clock) Since(t Millis) Millis {
	return c.now() - t
}

// Until returns the span to a context's deadline, at least 1 while it lies
// ahead.
func Until(deadline time.Time) Millis {
	return max(FromDuration(time.Until(deadline)), 1)
}
