package relay

import (
	"maps"
	"sync"

	"github.com/parsleydeal/parsleydeal/site"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// outcome is one attempt's end as evidence on a version.
type outcome struct {
	service string
	route   string
	target  bool
	bad     bool
	// timed says that the answer's pace could be told, slow by which grades it was.
	timed bool
	slow  [len(upgrade.SlowThresholds)]bool
	// delay says that it was told by the delay of a dropped answer's first byte.
	delay bool
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
	t.counts[o.service][k] = c
	k.Delay = o.delay
	c = t.counts[o.service][k]
	c.Timed += number(o.timed)
	for i, slow := range o.slow {
		c.Slow[i] += number(slow)
	}
	t.counts[o.service][k] = c
}

func number(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// counted returns a copy of all counts.
func (t *tally) counted() site.TrafficCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := site.TrafficCounts{Counts: make(map[string]upgrade.Counts, len(t.counts)), Running: make(map[string]map[string]int, len(t.running))}
	for service, counts := range t.counts {
		c.Counts[service] = maps.Clone(counts)
	}
	for service, running := range t.running {
		c.Running[service] = maps.Clone(running)
	}
	return c
}
