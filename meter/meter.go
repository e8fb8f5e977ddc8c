// Package meter counts the requests that an entry serves, by route and outcome.
package meter

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// maxSeries bounds the time series of each metric. Requests beyond it are counted under the route
// "other". Route names are taken only from the tables, never from what callers send.
const maxSeries = 2048

// codeWhole is the code of a request whose answer was sent in full.
const codeWhole = "whole"

// Meter counts requests by route and outcome code, and records the durations of successful
// requests by route. It is safe for concurrent use.
type Meter struct {
	set *metrics.Set
	mu  sync.Mutex
	// requests holds at most maxSeries counters.
	requests map[seriesKey]*metrics.Counter
	// durations holds at most maxSeries histograms.
	durations map[string]*metrics.Histogram
	attempts  *metrics.Counter
	active    *metrics.Gauge
}

type seriesKey struct{ route, code, run string }

// New returns a meter that registers its metrics in set.
func New(set *metrics.Set) *Meter {
	return &Meter{
		set: set, requests: make(map[seriesKey]*metrics.Counter), durations: make(map[string]*metrics.Histogram),
		attempts: set.GetOrCreateCounter("parsleydeal_attempts_total"),
		active:   set.GetOrCreateGauge("parsleydeal_requests_active", nil),
	}
}

// Begin counts a request as active until the caller calls the returned function end. The arguments
// of end are the request's route (empty if it was not admitted), the number of its attempts, and
// the error that its caller got, or nil. end must be called exactly once. The duration of failed
// requests is not recorded.
func (m *Meter) Begin() (end func(route string, attempts uint32, err error)) {
	start := time.Now()
	m.active.Inc()
	return func(route string, attempts uint32, err error) {
		m.active.Dec()
		m.attempts.Add(int(attempts))
		if route == "" {
			route = "none"
		}
		code, run := codeWhole, string(refusal.Ran)
		if err != nil {
			r := refusal.Of(err)
			code, run = string(r.Code()), string(r.Run())
		}
		m.counter(seriesKey{route, code, run}).Inc()
		if err == nil {
			m.duration(route).Update(time.Since(start).Seconds())
		}
	}
}

func (m *Meter) counter(k seriesKey) *metrics.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.requests[k]
	if ok {
		return c
	}
	if len(m.requests) >= maxSeries {
		k.route = "other"
	}
	c = m.set.GetOrCreateCounter(fmt.Sprintf("parsleydeal_requests_total{route=%q,code=%q,run=%q}", k.route, k.code, k.run))
	if len(m.requests) < maxSeries {
		m.requests[k] = c
	}
	return c
}

func (m *Meter) duration(route string) *metrics.Histogram {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.durations[route]
	if ok {
		return h
	}
	if len(m.durations) >= maxSeries {
		route = "other"
	}
	h = m.set.GetOrCreateHistogram(fmt.Sprintf("parsleydeal_request_duration_seconds{route=%q}", route))
	if len(m.durations) < maxSeries {
		m.durations[route] = h
	}
	return h
}
