package burn

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// maxKeys bounds the keys of one bucket; more organisations are counted
	// together under "other".
	maxKeys = 1024
	other   = "other"
	// Histograms hold 1 ms to 2 minutes to two digits.
	histogramLeast  = 1
	histogramMost   = int64(2 * clock.Minute)
	histogramDigits = 2
	// maxRoutes bounds the routes with histograms; further ones have none.
	maxRoutes = 64
	// latencySlots and latencySlot make the hour over which latencies are kept.
	latencySlots = 4
	latencySlot  = 15 * clock.Minute
)

// Window is a span over which burn is judged.
type Window struct {
	Name     string
	Duration clock.Millis
	// step is the width of the buckets that it is summed from.
	step clock.Millis
}

// Windows are the spans judged, the shortest first.
func Windows() []Window {
	return []Window{
		{Name: "5m", Duration: 5 * clock.Minute, step: clock.Minute / 2},
		{Name: "1h", Duration: clock.Hour, step: 5 * clock.Minute},
		{Name: "6h", Duration: 6 * clock.Hour, step: 30 * clock.Minute},
		{Name: "3d", Duration: 72 * clock.Hour, step: 6 * clock.Hour},
	}
}

// Recorder counts what this process serves. It is safe for use by many
// goroutines.
type Recorder struct {
	mu  sync.Mutex
	now func() clock.Millis
	// rings holds the buckets of each window, the newest last.
	rings [][]bucket
	// latencies holds at most maxRoutes routes.
	latencies map[string]*latency
	startedAt clock.Millis
	// inherited holds at most maxLives lives, the one taken first in front.
	inherited []inherited
}

type bucket struct {
	// start is a multiple of the window's step.
	start   clock.Millis
	tallies map[Key]*Counts
}

// latency holds one histogram a slot; the slot in use is overwritten after an
// hour.
type latency struct {
	slots [latencySlots]latencySlotted
}

type latencySlotted struct {
	start      clock.Millis
	first, gap *hdrhistogram.Histogram
}

// NewRecorder makes an empty recorder.
func NewRecorder(c clock.Clock) *Recorder {
	return &Recorder{now: c.Now, rings: make([][]bucket, len(Windows())), latencies: make(map[string]*latency), startedAt: c.Now()}
}

// Add counts a tally under a key.
func (r *Recorder) Add(k Key, t Counts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for i, w := range Windows() {
		r.rings[i] = advance(r.rings[i], w, now)
		tallies := r.rings[i][len(r.rings[i])-1].tallies
		key := k
		if _, known := tallies[key]; !known && len(tallies) >= maxKeys {
			key = Key{Route: k.Route, Organisation: other}
		}
		if tallies[key] == nil {
			tallies[key] = &Counts{}
		}
		tallies[key].Add(t)
	}
}

// advance opens the bucket of an instant and drops those that left the window.
func advance(ring []bucket, w Window, now clock.Millis) []bucket {
	start := now / w.step * w.step
	if len(ring) == 0 || ring[len(ring)-1].start < start {
		ring = append(ring, bucket{start: start, tallies: make(map[Key]*Counts)})
	}
	for ring[0].start+w.step+w.Duration <= now {
		ring = ring[1:]
	}
	return ring
}

// RecordLatency counts an attempt's time to the first token and mean time between
// tokens; a span of 0 is not counted.
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

func (l *latency) slot(now clock.Millis) *latencySlotted {
	start := now / latencySlot * latencySlot
	s := &l.slots[start/latencySlot%latencySlots]
	if s.first == nil || s.start != start {
		*s = latencySlotted{start: start, first: newHistogram(), gap: newHistogram()}
	}
	return s
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLeast, histogramMost, histogramDigits)
}

func record(h *hdrhistogram.Histogram, span clock.Millis) {
	if span > 0 {
		_ = h.RecordValue(min(int64(span), histogramMost))
	}
}
