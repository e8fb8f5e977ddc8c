package choice

import (
	"math"
	"sync"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

const (
	// halfLife is the half-life of the reported load that other entries cause. That load changes,
	// and an endpoint that was full once must be tried again.
	halfLife = 2 * clock.Second
	// minBackoff and maxBackoff bound how long an unreachable endpoint is avoided; the duration
	// doubles with each consecutive failure.
	minBackoff = 500 * clock.Millis(1)
	maxBackoff = 10 * clock.Second
	// answerLoadMaxAge is the maximum age at which a load report from an answer takes precedence
	// over one that control received.
	answerLoadMaxAge = clock.Second
	// maxTracked bounds the tracked endpoints. At the bound, all endpoints without a request of
	// this process in flight are evicted.
	maxTracked = 8192
)

// endpointState is what this process knows of the load of one endpoint.
type endpointState struct {
	// ownRequests counts this process's requests in flight.
	ownRequests int
	// otherRequests is the smoothed number of the endpoint's requests that came from other
	// processes. window is the last reported window, the number of slots; 0 before the first
	// report.
	otherRequests    float64
	window           int
	reportedAt       clock.Millis
	generation       uint64
	sequence         uint64
	unreachableUntil clock.Millis
	failures         int
}

// Inflight estimates the load of endpoints from their load reports, which arrive with a delay, and
// from this process's own requests in flight. It is safe for concurrent use.
type Inflight struct {
	mu sync.Mutex
	// endpoints is keyed by VM ID and holds at most maxTracked endpoints, plus those with requests
	// in flight.
	endpoints map[string]*endpointState
}

// NewInflight returns an Inflight without any endpoints.
func NewInflight() *Inflight {
	return &Inflight{endpoints: make(map[string]*endpointState)}
}

func (f *Inflight) state(vm string) *endpointState {
	s, ok := f.endpoints[vm]
	if ok {
		return s
	}
	if len(f.endpoints) >= maxTracked {
		f.evictIdle()
	}
	s = &endpointState{}
	f.endpoints[vm] = s
	return s
}

func (f *Inflight) evictIdle() {
	for vm, s := range f.endpoints {
		if s.ownRequests == 0 {
			delete(f.endpoints, vm)
		}
	}
}

// Add changes the number of this process's requests in flight to an endpoint by n: 1 when one
// starts, -1 when it ends.
func (f *Inflight) Add(vm string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state(vm).ownRequests += n
}

// RecordLoad records a load report that came with an answer and ends the endpoint's backoff. It
// also accepts a sequence number lower than the last one: the endpoint has restarted. A nil report
// is ignored.
func (f *Inflight) RecordLoad(l *wire.Load, now clock.Millis) {
	if l == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(l.GetVm())
	s.failures = 0
	s.unreachableUntil = 0
	s.apply(l, now)
}

// apply records the part of a reported load that other processes cause: the load minus this
// process's own requests, whose current number it knows exactly. The age of a report is unknown.
// Adding only the requests sent since it arrived would miss those sent while it was in transit.
func (s *endpointState) apply(l *wire.Load, now clock.Millis) {
	const weight = 0.05
	others := max(float64(l.GetHeld())-float64(s.ownRequests), 0)
	if s.window == 0 || now-s.reportedAt > halfLife {
		s.otherRequests = others
	}
	s.otherRequests += weight * (others - s.otherRequests)
	s.window = int(l.GetWindow())
	s.generation, s.sequence = l.GetGeneration(), l.GetSequence()
	s.reportedAt = now
}

// applyControlLoad applies a load report that control received, unless an answer has brought one
// within answerLoadMaxAge.
func (s *endpointState) applyControlLoad(l *wire.Load, now clock.Millis) {
	if l == nil || s.generation == l.GetGeneration() && s.sequence == l.GetSequence() {
		return
	}
	if s.window == 0 || now-s.reportedAt > answerLoadMaxAge {
		s.apply(l, now)
	}
}

// RecordUnreachable records that an endpoint could not be reached, and starts its backoff. Without
// a backoff, a VM that no longer exists would keep getting requests until the VM list, which is
// updated with a delay, drops it.
func (f *Inflight) RecordUnreachable(vm string, now clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(vm)
	s.unreachableUntil = now + min(minBackoff<<min(s.failures, 5), maxBackoff)
	s.failures++
}

// Load returns an endpoint's estimated load as a fraction of its window; 1 is full. The argument
// window is used until the endpoint has reported one. The load is 0 during a backoff: Load is for
// callers that get load reports only with answers and track unreachable endpoints themselves.
func (f *Inflight) Load(vm string, window int, now clock.Millis) (load float64) {
	load, _ = f.load(vm, window, nil, now)
	return load
}

// load returns an endpoint's estimated load as a fraction of its window; 1 is full. ok is false
// during the backoff of an unreachable endpoint.
func (f *Inflight) load(vm string, window int, controlLoad *wire.Load, now clock.Millis) (load float64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.endpoints[vm]; !known && controlLoad == nil {
		return 0, true
	}
	s := f.state(vm)
	s.applyControlLoad(controlLoad, now)
	if now < s.unreachableUntil {
		return 0, false
	}
	if s.window > 0 {
		window = s.window
	}
	age := float64(max(now-s.reportedAt, 0)) / float64(halfLife)
	outstanding := float64(s.ownRequests) + s.otherRequests*math.Exp2(-age)
	return outstanding / float64(max(window, 1)), true
}
