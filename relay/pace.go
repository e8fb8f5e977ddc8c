package relay

import (
	"math"
	"math/bits"
	"slices"
	"sync"

	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// pace knows how fast answers usually are.
type pace struct {
	mu sync.Mutex
	// means holds the time to the first byte, by route and model.
	means map[paceKey]float64
	// spans holds those of the old version by which versions are compared, by what the
	// endpoint held. For streams that is the span between two events, by model alone: a
	// model's pace does not depend on what it is asked. For all others it is the time to
	// the first byte, by route.
	spans map[paceKey]*[loadClasses]spans
	// errors holds by how much first bytes missed what was expected, in milliseconds, by
	// route for plain requests and by model for prompts.
	errors map[paceKey]*spans
}

type paceKey struct {
	route, model string
	// delay is true for how much later than expected first bytes come.
	delay bool
}

// loadClasses is how many classes of load answers are compared within. A new version has
// the least load of all while its share is small, and a slow one there is as fast as the old
// version's endpoints are under load.
const loadClasses = 6

// loadClass is the class of an endpoint that holds so many requests: 0 or 1, 2 or 3, 4 to 7
// and so on.
func loadClass(held int) int { return min(bits.Len(uint(max(held, 0)/2)), loadClasses-1) }

// spans holds the newest spans measured, in milliseconds.
type spans struct {
	// newest holds at most spansKept; next is where the next one goes.
	newest []float64
	next   int
}

const (
	// spansKept is how many spans tell what is usual: those of about ten seconds at
	// an entry of ten streams a second.
	spansKept = 100
	// spansKnown is how many must have been seen to be relied on.
	spansKnown = 10
	// leastSlower is the part of the middle span by which a slow one is beyond it at the
	// least, and leastDelay the same for delays, in milliseconds. Where all are alike, as at
	// idle endpoints, a hair's breadth would else tell two versions apart.
	leastSlower = 0.25
	leastDelay  = 50.0
)

func (s *spans) known() bool { return s != nil && len(s.newest) >= spansKnown }

func (s *spans) add(x float64) {
	if len(s.newest) < spansKept {
		s.newest = append(s.newest, x)
		return
	}
	s.newest[s.next] = x
	s.next = (s.next + 1) % spansKept
}

// grade compares a span with those kept, by each grade times a factor; not known
// while too few are. A slow one is beyond the middle one by a margin.
func (s *spans) grade(span, factor float64, margin func(middle float64) float64) (slow [len(upgrade.SlowThresholds)]bool, known bool) {
	if !s.known() {
		return slow, false
	}
	sorted := slices.Sorted(slices.Values(s.newest))
	middle := ranked(sorted, 0.5)
	for i, g := range upgrade.SlowThresholds {
		usual := max(ranked(sorted, g.Quantile), middle+margin(middle))
		// Delays may be below zero, of which a multiple is no longer span.
		slow[i] = span > usual+(g.Factor*factor-1)*math.Abs(usual)
	}
	return slow, true
}

// margin is how far beyond the middle span a slow one is at the least.
func (k paceKey) margin(middle float64) float64 {
	if k.delay {
		return leastDelay
	}
	return leastSlower * middle
}

// quantile returns the span below which a part of the newest ones lie; 0 without any.
func (s *spans) quantile(rank float64) float64 {
	if len(s.newest) == 0 {
		return 0
	}
	return ranked(slices.Sorted(slices.Values(s.newest)), rank)
}

// ranked returns the span below which a part of some sorted ones lie.
func ranked(sorted []float64, rank float64) float64 {
	return sorted[int(rank*float64(len(sorted)-1))]
}

func newPace() *pace {
	return &pace{means: make(map[paceKey]float64), spans: make(map[paceKey]*[loadClasses]spans), errors: make(map[paceKey]*spans)}
}

const (
	// paceWeight is the weight of one answer in the usual time.
	paceWeight = 0.1
	// gapEvents is how many events a stream must have for its pace to be told.
	gapEvents = 2
	// patienceFactor and aimPart say how long the first byte is waited for before
	// the request goes elsewhere: several times what is usual, but so that a
	// second attempt can still be in time.
	patienceFactor = 4.0
	aimPart        = 0.6
	// leastPatience keeps a short hiccup from costing a second attempt.
	leastPatience = 200 * clock.Millis(1)
)

const (
	// earlyShare is the part of the requests up to which a new version has no reason
	// to be slower than the old one. With more it has more of the load, and reads
	// prompts anew that the old one has in its memory.
	earlyShare = 0.5
	// loadedFactor is how much slower it may be then, or beside answers of endpoints that
	// held less than its own.
	loadedFactor = 2.0
)

func (p *pace) add(route, model string, took clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := paceKey{route: route, model: model}
	mean, ok := p.means[k]
	if !ok {
		mean = float64(took)
	}
	p.means[k] = mean + paceWeight*(float64(took)-mean)
}

// addSpan takes the span of an answer of the old version, from an endpoint that held so
// many requests.
func (p *pace) addSpan(k paceKey, held int, span float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.spans[k] == nil {
		p.spans[k] = &[loadClasses]spans{}
	}
	p.spans[k][loadClass(held)].add(span)
}

// grade reports by which grades a span is longer than usual at the load of its endpoint; not
// known while too few were seen. Where there are too few at that load, those at the next
// higher one are usual, and else those at the next lower one with a margin.
func (p *pace) grade(k paceKey, held int, span, factor float64) (slow [len(upgrade.SlowThresholds)]bool, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.spans[k]
	if all == nil {
		return slow, false
	}
	class := loadClass(held)
	for i := class; i < loadClasses; i++ {
		if all[i].known() {
			return all[i].grade(span, factor, k.margin)
		}
	}
	for i := class - 1; i >= 0; i-- {
		if all[i].known() {
			return all[i].grade(span, factor*loadedFactor, k.margin)
		}
	}
	return slow, false
}

const (
	// errorRank is the part of the first bytes that come within the error that a request
	// is waited for beyond what was expected of it, and errorFactor how many times that
	// error is.
	errorRank   = 0.95
	errorFactor = 2.0
)

// miss takes by how much a first byte missed what was expected.
func (p *pace) miss(r *catalog.Route, model string, by clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := errorKey(r, model)
	if p.errors[k] == nil {
		p.errors[k] = &spans{}
	}
	p.errors[k].add(float64(by))
}

func errorKey(r *catalog.Route, model string) paceKey {
	if model != "" {
		return paceKey{model: model}
	}
	return paceKey{route: r.Name}
}

// patienceFor is how long a first byte is waited for that was expected to take some
// time: that, and how far such expectations are off. Not longer than what is usual on its
// route allows, and no shorter than a hiccup.
func (p *pace) patienceFor(r *catalog.Route, model string, expected clock.Millis) clock.Millis {
	usual := p.patience(r, model)
	p.mu.Lock()
	defer p.mu.Unlock()
	errors := p.errors[errorKey(r, model)]
	if errors == nil || len(errors.newest) < spansKnown {
		return usual
	}
	wait := expected + clock.Millis(errorFactor*max(errors.quantile(errorRank), 0))
	return min(max(wait, leastPatience), usual)
}

func (p *pace) patience(r *catalog.Route, model string) clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	mean, ok := p.means[paceKey{route: r.Name, model: model}]
	if !ok {
		return max(r.LatencyTarget, leastPatience)
	}
	return max(clock.Millis(aimPart*float64(r.LatencyTarget)), clock.Millis(patienceFactor*mean), leastPatience)
}
