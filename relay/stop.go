package relay

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// plannedStop is the planned stop of a server.
type plannedStop struct {
	// at is when all requests must have been answered, on the server's clock; neverStops before a stop was planned. lateAt is
	// when only requests are taken whose own deadline is before that.
	at     atomic.Int64
	lateAt atomic.Int64
	// ended is cancelled at that time.
	ended context.Context
	end   context.CancelFunc
}

// neverStops is the end of a server that does not stop.
const neverStops = math.MaxInt64

func newPlannedStop() *plannedStop {
	s := &plannedStop{}
	s.at.Store(neverStops)
	s.ended, s.end = context.WithCancel(context.Background())
	return s
}

// endsAt returns when all requests must have been answered.
func (s *plannedStop) endsAt() clock.Millis { return clock.Millis(s.at.Load()) }

const (
	// answerMargin is the time that is reserved at the end of a planned stop for the answers to requests that still run.
	answerMargin = 100 * clock.Millis(1)
	// leavingRetryAfter is the retry delay of a request that a stopping entry does not take. Other entries can serve it.
	leavingRetryAfter = 50 * clock.Millis(1)
)

// Leave makes every response from now on close its connection, so that callers move to other entries. Requests that
// usually take longer than what is left of the given time are refused, and those that still run at its end are answered
// as unknown, unless a part of the answer was sent. Load balancers send nothing new after noticedAfter; what comes then is
// taken only if its deadline is before the end. Leave must be called once.
func (s *Server) Leave(noticedAfter, left clock.Millis) {
	left = max(left-answerMargin, 0)
	now := s.cfg.Clock.Now()
	s.stop.lateAt.Store(int64(now + noticedAfter))
	s.stop.at.Store(int64(now + left))
	time.AfterFunc(left.Duration(), s.stop.end)
	s.leaving.Store(true)
}

// countStopped counts a request that was not answered because of a planned stop.
func (s *Server) countStopped(outcome string) {
	s.metrics.GetOrCreateCounter(`parsleydeal_stop_unanswered_total{outcome="` + outcome + `"}`).Inc()
}

// checkTime refuses a request that may take longer than this process still runs.
func (x *exchange) checkTime() error {
	s := x.server
	if !s.leaving.Load() {
		return nil
	}
	now := s.cfg.Clock.Now()
	needed := max(s.durations.usual(x.route.Name), minRemaining)
	if now >= clock.Millis(s.stop.lateAt.Load()) {
		needed = x.untilDeadline()
	}
	if s.stop.endsAt()-now >= needed {
		return nil
	}
	s.countStopped("refused")
	return refusal.New(refusal.Leaving, "entry stops, and such requests take up to "+needed.String()).WithRetryAfter(leavingRetryAfter)
}

// endWithServer cancels a request when the server ends, unless a part of its answer was sent by then. The function stop
// must be called when the request has ended.
func (x *exchange) endWithServer(cancel context.CancelFunc) (stop func() bool) {
	return context.AfterFunc(x.server.stop.ended, func() {
		if !x.begun.Load() {
			cancel()
		}
	})
}

// endsWithServer reports whether the request ends because the server does.
func (x *exchange) endsWithServer() bool {
	s := x.server
	return !x.begun.Load() && s.stop.endsAt()-s.cfg.Clock.Now() < minRemaining
}

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
