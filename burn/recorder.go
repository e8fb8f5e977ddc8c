package burn

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// maxKeys is the number of keys in one bucket beyond which further organisations are counted
	// together under otherOrganisations. It limits memory when callers invent organisations.
	maxKeys            = 1024
	otherOrganisations = "other"
	// Histograms cover 1 ms to 2 minutes with two significant digits.
	histogramMinMillis = 1
	histogramMaxMillis = int64(2 * clock.Minute)
	histogramDigits    = 2
	// maxRoutes is how many routes have histograms. Latencies of further routes are not recorded.
	maxRoutes = 64
	// latencySlotCount slots of latencySlotWidth cover the hour for which latencies are retained.
	latencySlotCount = 4
	latencySlotWidth = 15 * clock.Minute
)

// Window is a period over which burn rates are computed.
type Window struct {
	Name     string
	Duration clock.Millis
	// step is the width of the buckets that are summed for the window.
	step clock.Millis
}

// Windows returns the windows, the shortest first.
func Windows() []Window {
	return []Window{
		{Name: "5m", Duration: 5 * clock.Minute, step: clock.Minute / 2},
		{Name: "1h", Duration: clock.Hour, step: 5 * clock.Minute},
		{Name: "6h", Duration: 6 * clock.Hour, step: 30 * clock.Minute},
		{Name: "3d", Duration: 72 * clock.Hour, step: 6 * clock.Hour},
	}
}

// Recorder counts the requests that this process serves. It is safe for concurrent use.
type Recorder struct {
	mu  sync.Mutex
	now func() clock.Millis
	// rings holds the buckets of each window in the order of Windows, the newest bucket last.
	rings [][]bucket
	// latencies holds the histograms of at most maxRoutes routes.
	latencies map[string]*latency
	startedAt clock.Millis
	// inherited holds at most maxHandovers handovers, in the order in which they were received.
	inherited []inherited
}

type bucket struct {
	// start is a multiple of the window's step.
	start  clock.Millis
	counts map[Key]*Counts
}

// latency holds the histograms of one route in a ring of slots. Each slot covers latencySlotWidth
// and is reused after an hour.
type latency struct {
	slots [latencySlotCount]slotHistograms
}

type slotHistograms struct {
	start      clock.Millis
	first, gap *hdrhistogram.Histogram
}

// NewRecorder returns an empty recorder.
func NewRecorder(c clock.Clock) *Recorder {
	return &Recorder{now: c.Now, rings: make([][]bucket, len(Windows())), latencies: make(map[string]*latency), startedAt: c.Now()}
}

// Add adds counts under a key.
func (r *Recorder) Add(k Key, counts Counts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for i, w := range Windows() {
		r.rings[i] = advance(r.rings[i], w, now)
		byKey := r.rings[i][len(r.rings[i])-1].counts
		key := k
		if _, known := byKey[key]; !known && len(byKey) >= maxKeys {
			key = Key{Route: k.Route, Organisation: otherOrganisations}
		}
		if byKey[key] == nil {
			byKey[key] = &Counts{}
		}
		byKey[key].Add(counts)
	}
}

// advance adds the bucket for the current time if it is missing and drops those that have left the
// window.
func advance(ring []bucket, w Window, now clock.Millis) []bucket {
	start := now / w.step * w.step
	if len(ring) == 0 || ring[len(ring)-1].start < start {
		ring = append(ring, bucket{start: start, counts: make(map[Key]*Counts)})
	}
	for ring[0].start+w.step+w.Duration <= now {
		ring = ring[1:]
	}
	return ring
}

// RecordLatency records an attempt's time to the first token and its mean time between tokens. A
// duration of 0 is not recorded.
func (r *Recorder) RecordLatency(route string, first, gap clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.latencies[route]
	if l == nil {
		if len(r.latencies) >= maxRoutes {
			return
		}
		l = &latency{}
		r.latencies[route] = l
	}
	s := l.slot(r.now())
	record(s.first, first)
	record(s.gap, gap)
}

func (l *latency) slot(now clock.Millis) *slotHistograms {
	start := now / latencySlotWidth * latencySlotWidth
	s := &l.slots[start/latencySlotWidth%latencySlotCount]
	if s.first == nil || s.start != start {
		*s = slotHistograms{start: start, first: newHistogram(), gap: newHistogram()}
	}
	return s
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMinMillis, histogramMaxMillis, histogramDigits)
}

func record(h *hdrhistogram.Histogram, duration clock.Millis) {
	if duration > 0 {
		_ = h.RecordValue(min(int64(duration), histogramMaxMillis))
	}
}
