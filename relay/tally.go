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
}

type paceKey struct{ route, model string }

func newPace() *pace { return &pace{means: make(map[paceKey]float64)} }

const (
	// paceWeight is the weight of one answer in the usual time.
	paceWeight = 0.1
	// slowFactor and slowLeast say when an answer counts as slow: several times
	// the usual time, and by more than prompts of different length differ.
	slowFactor = 3.0
	slowLeast  = 150.0
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
