package choice

import (
	"math"
	"sync"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

const (
	// halfLife is how fast a report loses its weight: others' load is not what
	// it was, and an endpoint that was full once must be tried again.
	halfLife = 2 * clock.Second
	// lostFirst and lostMost bound how long an endpoint that could not be
	// reached is left alone; the span doubles with each failure in a row.
	lostFirst = 500 * clock.Millis(1)
	lostMost  = 10 * clock.Second
	// heardAfter is how old the word of an answer must be before one that came
	// by way of control replaces it.
	heardAfter = clock.Second
	// maxTracked bounds the endpoints tracked; when it is passed, all that have
	// nothing in flight here fall out.
	maxTracked = 8192
)

// track is what this process knows of one endpoint's load.
type track struct {
	// own counts this process's requests in flight.
	own int
	// others is a smoothed part of the endpoint's own word that others must have
	// sent; window is its last word on that, 0 before any.
	others     float64
	window     int
	reportedAt clock.Millis
	generation uint64
	sequence   uint64
	lostUntil  clock.Millis
	losses     int
}

// Inflight estimates the load of endpoints from their own late word and from
// what this process sent them since.
type Inflight struct {
	mu sync.Mutex
	// tracks holds at most maxTracked endpoints and those with requests in
	// flight.
	tracks map[string]*track
}

// NewInflight makes an empty estimate.
func NewInflight() *Inflight {
	return &Inflight{tracks: make(map[string]*track)}
}

func (f *Inflight) track(vm string) *track {
	t, ok := f.tracks[vm]
	if ok {
		return t
	}
	if len(f.tracks) >= maxTracked {
		f.forget()
	}
	t = &track{}
	f.tracks[vm] = t
	return t
}

func (f *Inflight) forget() {
	for vm, t := range f.tracks {
		if t.own == 0 {
			delete(f.tracks, vm)
		}
	}
}

// Add counts one request more (1) or less (-1).
func (f *Inflight) Add(vm string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.track(vm).own += n
}

// RecordLoad takes an endpoint's own word that came with an answer. All are taken:
// a sequence that fell back means that the endpoint began anew.
func (f *Inflight) RecordLoad(l *wire.Load, now clock.Millis) {
	if l == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.track(l.GetVm())
	t.losses = 0
	t.lostUntil = 0
	t.take(l, now)
}

// take parts a word into what this process sent, which it knows exactly and at
// once, and the rest. How old the word is can't be told, so that counting what
// was sent since would miss all that was sent while it was under way.
func (t *track) take(l *wire.Load, now clock.Millis) {
	const weight = 0.05
	others := max(float64(l.GetHeld())-float64(t.own), 0)
	if t.window == 0 || now-t.reportedAt > halfLife {
		t.others = others
	}
	t.others += weight * (others - t.others)
	t.window = int(l.GetWindow())
	t.generation, t.sequence = l.GetGeneration(), l.GetSequence()
	t.reportedAt = now
}

// hear takes a word that came by way of control, when answers have brought none
// for a while.
func (t *track) hear(l *wire.Load, now clock.Millis) {
	if l == nil || t.generation == l.GetGeneration() && t.sequence == l.GetSequence() {
		return
	}
	if t.window == 0 || now-t.reportedAt > heardAfter {
		t.take(l, now)
	}
}

// RecordUnreachable counts an endpoint that could not be reached. The VM list lags, so that
// a VM which is gone would get a request at each turn until it is dropped.
func (f *Inflight) RecordUnreachable(vm string, now clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.track(vm)
	t.lostUntil = now + min(lostFirst<<min(t.losses, 5), lostMost)
	t.losses++
}

// Load is an endpoint's estimated load as a part of a window, for processes that
// have no other word of it than the answers' and judge by themselves whether an
// endpoint is lost.
func (f *Inflight) Load(vm string, window int, now clock.Millis) (part float64) {
	part, _ = f.load(vm, window, nil, now)
	return part
}

// load is an endpoint's estimated load as a part of its window; 1 is full. Lost
// endpoints have none.
func (f *Inflight) load(vm string, window int, heard *wire.Load, now clock.Millis) (part float64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.tracks[vm]; !known && heard == nil {
		return 0, true
	}
	t := f.track(vm)
	t.hear(heard, now)
	if now < t.lostUntil {
		return 0, false
	}
	if t.window > 0 {
		window = t.window
	}
	age := float64(max(now-t.reportedAt, 0)) / float64(halfLife)
	held := float64(t.own) + t.others*math.Exp2(-age)
	return held / float64(max(window, 1)), true
}
