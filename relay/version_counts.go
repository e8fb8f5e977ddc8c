package relay

import (
	"maps"
	"sync"

	"github.com/parsleydeal/parsleydeal/site"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// outcome is the outcome of one attempt, counted for the comparison of versions.
type outcome struct {
	service string
	route   string
	target  bool
	bad     bool
	// timed is true if the latency could be compared with that of the old version; slow reports
	// for each of upgrade.SlowThresholds whether it was slow.
	timed bool
	slow  [len(upgrade.SlowThresholds)]bool
	// delay is true if the latency is a first-byte delay; see latencySample.
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
func (v *versionCounts) beginRequest(service, version string) (end func()) {
	v.addRunning(service, version, 1)
	return func() { v.addRunning(service, version, -1) }
}

func (v *versionCounts) addRunning(service, version string, n int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.running[service] == nil {
		v.running[service] = make(map[string]int)
	}
	v.running[service][version] += n
	if v.running[service][version] == 0 {
		delete(v.running[service], version)
	}
}

func (v *versionCounts) record(o outcome) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.counts[o.service] == nil {
		v.counts[o.service] = make(upgrade.Counts)
	}
	k := upgrade.Key{Route: o.route, Target: o.target}
	c := v.counts[o.service][k]
	c.Ended++
	c.Bad += toInt(o.bad)
	v.counts[o.service][k] = c
	k.Delay = o.delay
	c = v.counts[o.service][k]
	c.Timed += toInt(o.timed)
	for i, slow := range o.slow {
		c.Slow[i] += toInt(slow)
	}
	v.counts[o.service][k] = c
}

func toInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// snapshot returns a copy of all counts.
func (v *versionCounts) snapshot() site.TrafficCounts {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := site.TrafficCounts{Counts: make(map[string]upgrade.Counts, len(v.counts)), Running: make(map[string]map[string]int, len(v.running))}
	for service, counts := range v.counts {
		c.Counts[service] = maps.Clone(counts)
	}
	for service, running := range v.running {
		c.Running[service] = maps.Clone(running)
	}
	return c
}
