package relay

import (
	"maps"
	"sync"

	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/site"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// outcome is one attempt's end as evidence on a version.
type outcome struct {
	service string
	route   string
	target  bool
	bad     bool
	timed   bool
	slow    bool
}

// tally counts outcomes and running requests by version.
type tally struct {
	mu      sync.Mutex
	counts  map[string]upgrade.Counts
	running map[string]map[string]int
}

func newTally() *tally {
	return &tally{counts: make(map[string]upgrade.Counts), running: make(map[string]map[string]int)}
}

// begin counts a running request; the function it returns counts its end.
func (t *tally) begin(service, version string) (end func()) {
	t.add(service, version, 1)
	return func() { t.add(service, version, -1) }
}

func (t *tally) add(service, version string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[service] == nil {
		t.running[service] = make(map[string]int)
	}
	t.running[service][version] += n
	if t.running[service][version] == 0 {
		delete(t.running[service], version)
	}
}

func (t *tally) count(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts[o.service] == nil {
		t.counts[o.service] = make(upgrade.Counts)
	}
	k := upgrade.Key{Route: o.route, Target: o.target}
	c := t.counts[o.service][k]
	c.Ended++
	c.Bad += number(o.bad)
	c.Timed += number(o.timed)
	c.Slow += number(o.slow)
	t.counts[o.service][k] = c
}

func number(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// counted returns a copy of all counts.
func (t *tally) counted() site.Counted {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := site.Counted{Counts: make(map[string]upgrade.Counts, len(t.counts)), Running: make(map[string]map[string]int, len(t.running))}
	for service, counts := range t.counts {
		c.Counts[service] = maps.Clone(counts)
	}
	for service, running := range t.running {
		c.Running[service] = maps.Clone(running)
	}
	return c
}

// pace knows how long the first byte of an answer usually takes, by route and
// model.
type pace struct {
	mu    sync.Mutex
	means map[paceKey]float64
	// gaps holds a high quantile of the spans between two events of a stream, by
	// model alone: a model's pace does not depend on what it is asked.
	gaps map[paceKey]*quantile
}

// quantile follows a quantile of measured spans, in milliseconds.
type quantile struct {
	value float64
	n     int
}

const (
	// gapRank is the part of the old version's streams that are faster than the
	// quantile.
	gapRank = 0.8
	// gapStep is how far one stream moves the quantile.
	gapStep = 0.05
	// gapKnown is how many streams must have been seen for it to be relied on.
	gapKnown = 10
)

func (q *quantile) add(x float64) {
	q.n++
	switch {
	case q.n == 1:
		q.value = x
	case x > q.value:
		q.value *= 1 + gapStep*gapRank
	default:
		q.value *= 1 - gapStep*(1-gapRank)
	}
}

type paceKey struct{ route, model string }

func newPace() *pace {
	return &pace{means: make(map[paceKey]float64), gaps: make(map[paceKey]*quantile)}
}

const (
	// paceWeight is the weight of one answer in the usual time.
	paceWeight = 0.1
	// slowFactor and slowLeast say when an answer counts as slow: several times
	// the usual time, and by more than prompts of different length differ.
	slowFactor = 3.0
	slowLeast  = 150.0
	// earlyGapFactor and lateGapFactor say by how much the events of a slow stream
	// are further apart than those of four fifths of the old version's. While the
	// new version has few of the requests it has no reason to be slower at all;
	// later it has more of the load than the old one. A version that was slow had
	// 67 to 128 ms beside a median of 35 ms and a three quarters' quantile of 57 ms.
	earlyGapFactor = 1.0
	lateGapFactor  = 2.5
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

func (p *pace) add(route, model string, took clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := paceKey{route, model}
	mean, ok := p.means[k]
	if !ok {
		mean = float64(took)
	}
	p.means[k] = mean + paceWeight*(float64(took)-mean)
}

// addGap takes the span between the events of an answer of the old version.
func (p *pace) addGap(model string, gap float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := paceKey{model: model}
	if p.gaps[k] == nil {
		p.gaps[k] = &quantile{}
	}
	p.gaps[k].add(gap)
}

// slowGap reports whether a stream's events were further apart than usual; not
// known while too few streams were seen.
func (p *pace) slowGap(model string, gap, factor float64) (slow, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.gaps[paceKey{model: model}]
	if q == nil || q.n < gapKnown {
		return false, false
	}
	return gap > q.value*factor, true
}

// usual is how long a model's first byte takes by now; 0 when that is not known.
func (p *pace) usual(route, model string) clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return clock.Millis(p.means[paceKey{route, model}])
}

func (p *pace) slow(route, model string, took clock.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	mean, ok := p.means[paceKey{route, model}]
	return ok && float64(took) > mean*slowFactor+slowLeast
}

func (p *pace) patience(r *catalog.Route, model string) clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	mean, ok := p.means[paceKey{r.Name, model}]
	if !ok {
		return max(r.Aim, leastPatience)
	}
	return max(clock.Millis(aimPart*float64(r.Aim)), clock.Millis(patienceFactor*mean), leastPatience)
}
