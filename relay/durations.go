package relay

import (
	"math"
	"sync"

	"github.com/parsleydeal/parsleydeal/clock"
)

// duration is the smoothed duration of requests and its mean deviation, in ms, as in RFC 6298.
type duration struct {
	mean, deviation float64
	// usedAt is when the last request ended.
	usedAt clock.Millis
}

// durations tracks how long the answered requests of each route took.
type durations struct {
	mu      sync.Mutex
	byRoute map[string]duration
}

func newDurations() *durations { return &durations{byRoute: make(map[string]duration)} }

const (
	// durationWeight and deviationWeight are the weights of one request in the smoothed values.
	durationWeight  = 1.0 / 8
	deviationWeight = 1.0 / 4
	// usualDeviations is the number of mean deviations within which most requests end.
	usualDeviations = 2
	// durationRetention is how long the duration of a route is kept that has no requests.
	durationRetention = 10 * clock.Minute
)

// add adds a request that was answered completely.
func (d *durations) add(route string, took, now clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	last, ok := d.byRoute[route]
	if !ok {
		d.byRoute[route] = duration{mean: float64(took), usedAt: now}
		return
	}
	last.deviation += deviationWeight * (math.Abs(float64(took)-last.mean) - last.deviation)
	last.mean += durationWeight * (float64(took) - last.mean)
	last.usedAt = now
	d.byRoute[route] = last
}

// usual returns the time within which most requests of a route end; 0 if it is not known.
func (d *durations) usual(route string) clock.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	last := d.byRoute[route]
	return clock.Millis(last.mean + usualDeviations*last.deviation)
}

// sweep drops the durations of routes that have had no requests for a long time.
func (d *durations) sweep(now clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for route, last := range d.byRoute {
		if now-last.usedAt > durationRetention {
			delete(d.byRoute, route)
		}
	}
}
