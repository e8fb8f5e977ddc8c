package emulator

import (
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/placement"
)

// Bounds on the requests that an endpoint with an advertised rate limit may receive. Requests of
// entries that have not received the limit yet do not count.
const (
	// limitWindow is the duration of the sliding window in which requests are counted.
	// limitSettleTime is how long after the start of a limit the bound is first checked.
	// limitReactionTime is how long an entry may take to apply a limit after it has received it.
	limitWindow       = 4 * clock.Second
	limitSettleTime   = 3 * clock.Second
	limitReactionTime = 500 * clock.Millis(1)
	// In each window, limitFactor times the number of requests at the limit's rate plus limitSlack
	// requests are allowed.
	limitFactor = 1.5
	limitSlack  = 5.0
)

// limitsOf returns the rate limits of an endpoint; index is its number in its zone, from 0.
func (l Load) limitsOf(index int) (limits []Limit) {
	for _, x := range l.Limits {
		if index < x.Endpoints {
			limits = append(limits, x)
		}
	}
	return limits
}

// limitAt returns the rate limit in force at the time now; ok is false if there is none.
func (e *endpoint) limitAt(now clock.Millis) (x Limit, ok bool) {
	seconds := float64(now) / float64(clock.Second)
	for _, x := range e.limits {
		if seconds >= x.From && seconds < x.Until {
			return x, true
		}
	}
	return x, false
}

// advertisement returns what the endpoint advertises in an answer to an entry, and records that
// the entry received it.
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

// recordArrival records the arrival of a request from an entry. It returns 1 if the request
// exceeds the bound on the rate limit in force, else 0.
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
