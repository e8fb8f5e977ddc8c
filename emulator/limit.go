package emulator

import (
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/placement"
)

// Bounds on the requests that an endpoint with an advertised rate limit may receive. Only entries that
// have received the limit count.
const (
	// limitWindow is the duration of the sliding count of requests. limitSettleTime is the time between
	// the start of a limit and the first check, limitReactionTime the time that an entry has to apply
	// the limit once it has received it.
	limitWindow       = 4 * clock.Second
	limitSettleTime   = 3 * clock.Second
	limitReactionTime = 500 * clock.Millis(1)
	// limitFactor multiplies the rate; limitSlack is added to the requests per window.
	limitFactor = 1.5
	limitSlack  = 5.0
)

// limitsOf returns the limits of the endpoint with an index in its zone.
func (l Load) limitsOf(index int) (limits []Limit) {
	for _, x := range l.Limits {
		if index < x.Endpoints {
			limits = append(limits, x)
		}
	}
	return limits
}

// limitAt returns the limit in force at a time.
func (e *endpoint) limitAt(now clock.Millis) (x Limit, ok bool) {
	seconds := float64(now) / float64(clock.Second)
	for _, x := range e.limits {
		if seconds >= x.From && seconds < x.Until {
			return x, true
		}
	}
	return x, false
}

// advertisement returns what the endpoint advertises in an answer to an entry, and records that the entry
// has received it.
func (e *endpoint) advertisement(entry string, now clock.Millis) (ad placement.Advertisement) {
	x, ok := e.limitAt(now)
	if !ok {
		clear(e.limitReceivedAt)
		return ad
	}
	if _, received := e.limitReceivedAt[entry]; !received {
		e.limitReceivedAt[entry] = now
	}
	return placement.Advertisement{Rate: x.Rate, HasRate: true}
}

// recordArrival records a request of an entry. It returns 1 if the request exceeds the bound on the limit
// in force, else 0.
func (e *endpoint) recordArrival(entry string, now clock.Millis) (over int) {
	x, ok := e.limitAt(now)
	receivedAt, received := e.limitReceivedAt[entry]
	if !ok || !received || now-receivedAt < limitReactionTime {
		return 0
	}
	e.arrivals = append(e.arrivals, now)
	for now-e.arrivals[0] >= limitWindow {
		e.arrivals = e.arrivals[1:]
	}
	limitStart := clock.Millis(x.From * float64(clock.Second))
	allowed := limitFactor*x.Rate*float64(limitWindow)/float64(clock.Second) + limitSlack
	if now-limitStart >= limitSettleTime && float64(len(e.arrivals)) > allowed {
		return 1
	}
	return 0
}
