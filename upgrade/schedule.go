package upgrade

import "github.com/parsleydeal/parsleydeal/clock"

// Schedule is when the new version's share rises. It reads no clock: callers pass the time.
type Schedule struct {
	startedAt clock.Millis
	// span is the time from the start to the end of the order's time; it is shorter than the order's duration if the
	// upgrade was resumed.
	span clock.Millis
}

// NewSchedule returns a schedule that started at a time and has the given span.
func NewSchedule(startedAt, span clock.Millis) Schedule {
	return Schedule{startedAt: startedAt, span: span}
}

const (
	// clockMargin is how far the age of an order may be off, because it is measured with the times of day of two VMs. An
	// order is better over early than late.
	clockMargin = clock.Second
	// minSpanRatio is the fraction of an order's duration that a resumed upgrade has at least, so that a version is judged
	// before it gets all traffic even if the order's time is over.
	minSpanRatio = 0.4
)

// resumedSchedule returns the schedule of an order that was started the given time ago.
func resumedSchedule(o Order, now, age clock.Millis) Schedule {
	left := o.Duration - max(age, 0) - clockMargin
	return Schedule{startedAt: now, span: max(left, clock.Millis(minSpanRatio*float64(o.Duration)))}
}

// Span returns how long the schedule lasts.
func (s Schedule) Span() clock.Millis { return s.span }

// Age returns the time since the schedule started.
func (s Schedule) Age(now clock.Millis) clock.Millis { return now - s.startedAt }

// ElapsedRatio returns the elapsed fraction of the schedule; above 1 after its end.
func (s Schedule) ElapsedRatio(now clock.Millis) float64 {
	return float64(s.Age(now)) / float64(max(s.span, 1))
}
