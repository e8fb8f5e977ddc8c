package relay

import (
	"maps"
	"sync"

	"github.com/parsleydeal/parsleydeal/site"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// outcome is the outcome of one attempt, as evidence on its version.
type outcome struct {
	service string
	route   string
	target  bool
	bad     bool
	// timed is true if the latency could be graded, and slow has the result for each grade.
	timed bool
	slow  [len(upgrade.SlowThresholds)]bool
	// delay is true if the latency is the first-byte delay of a dropped answer.
	delay bool
}

// versionCounts counts outcomes and requests in flight by version.
type versionCounts struct {
	mu      sync.Mutex
	counts  map[string]upgrade.Counts
	running map[string]map[string]int
}

func newVersionCounts() *versionCounts {
	return &versionCounts{counts: make(map[string]upgrade.Counts), running: make(map[string]map[string]int)}
}

// beginRequest counts a request in flight; the returned function counts its end.
func (t *versionCounts) beginRequest(service, version string) (end func()) {
	t.addRunning(service, version, 1)
	return func() { t.addRunning(service, version, -1) }
}

func (t *versionCounts) addRunning(service, version string, n int) {
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

func (t *versionCounts) record(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts[o.service] == nil {
		t.counts[o.service] = make(upgrade.Counts)
	}
	k := upgrade.Key{Route: o.route, Target: o.target}
	c := t.counts[o.service][k]
	c.Ended++
	c.Bad += toInt(o.bad)
	t.counts[o.service][k] = c
	k.Delay = o.delay
	c = t.counts[o.service][k]
	c.Timed += toInt(o.timed)
	for i, slow := range o.slow {
		c.Slow[i] += toInt(slow)
	}
	t.counts[o.service][k] = c
}

func toInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// snapshot returns a copy of all counts.
func (t *versionCounts) snapshot() site.TrafficCounts {
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
