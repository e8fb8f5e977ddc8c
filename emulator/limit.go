package emulator

import (
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/placement"
)

// What an endpoint that names a rate may get at the most, in requests from entries that
// were told of it.
const (
	// limitSpan is the span in which requests are counted, limitSettle how long after a
	// rate was first named they begin to be, and limitHeard how long an entry may take to
	// act on it.
	limitSpan   = 4 * clock.Second
	limitSettle = 3 * clock.Second
	limitHeard  = 500 * clock.Millis(1)
	// limitFactor and limitExtra widen the rate.
	limitFactor = 1.5
	limitExtra  = 5.0
)

// limitsOf returns the limits of the endpoint at a place of its zone.
func (l Load) limitsOf(place int) (limits []Limit) {
	for _, x := range l.Limits {
		if place < x.Endpoints {
			limits = append(limits, x)
		}
	}
	return limits
}

// limitAt returns the limit in force at an instant.
func (e *endpoint) limitAt(now clock.Millis) (x Limit, ok bool) {
	seconds := float64(now) / float64(clock.Second)
	for _, x := range e.limits {
		if seconds >= x.From && seconds < x.Until {
			return x, true
		}
	}
	return x, false
}

// state is what the endpoint says of itself in an answer to an entry.
func (e *endpoint) state(entry string, now clock.Millis) (s placement.Advertisement) {
	x, ok := e.limitAt(now)
	if !ok {
		clear(e.toldAt)
		return s
	}
	if _, told := e.toldAt[entry]; !told {
		e.toldAt[entry] = now
	}
	return placement.Advertisement{Rate: x.Rate, HasRate: true}
}

// arrived takes in a request of an entry, and counts it where it is beyond the rate.
func (e *endpoint) arrived(entry string, now clock.Millis) (over int) {
	x, ok := e.limitAt(now)
	toldAt, told := e.toldAt[entry]
	if !ok || !told || now-toldAt < limitHeard {
		return 0
	}
	e.arrivals = append(e.arrivals, now)
	for now-e.arrivals[0] >= limitSpan {
		e.arrivals = e.arrivals[1:]
	}
	named := clock.Millis(x.From * float64(clock.Second))
	allowed := limitFactor*x.Rate*float64(limitSpan)/float64(clock.Second) + limitExtra
	if now-named >= limitSettle && float64(len(e.arrivals)) > allowed {
		return 1
	}
	return 0
}
