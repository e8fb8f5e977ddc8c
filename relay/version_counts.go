package relay

import (
	"maps"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/site"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// noOrder is the number of the running order if there is none.
const noOrder = -1

// outcome is the outcome of one attempt, counted for the comparison of versions.
type outcome struct {
	service string
	route   string
	// order is the number of the running order for the service, or noOrder. target is true
	// if the attempt was made at the order's new version.
	order  int64
	target bool
	bad    bool
}

// versionCounts counts outcomes, latencies and requests in flight by version.
type versionCounts struct {
	mu       sync.Mutex
	clock    clock.Clock
	services map[string]*serviceCounts
	running  map[string]map[string]int
	// dropped counts latency samples beyond maxLatencyBuckets.
	dropped *metrics.Counter
}

// serviceCounts counts outcomes and latencies of one service.
type serviceCounts struct {
	// order is the number of the last order during which something was counted. Counts of the new
	// version are those of this order.
	order    int64
	outcomes upgrade.Counts
	// latencies holds the samples since startedAt, and earlier those of the generation before it.
	latencies upgrade.Latencies
	earlier   upgrade.Latencies
	startedAt clock.Millis
}

const (
	// maxLatencyBuckets bounds the buckets of latency samples of one service.
	maxLatencyBuckets = 1024
	// latencyGeneration is how long samples are collected between upgrades before they make up a
	// generation. An upgrade begins with two of them, so that it is compared with recent answers.
	latencyGeneration = 30 * clock.Second
)

func newVersionCounts(c clock.Clock, dropped *metrics.Counter) *versionCounts {
	return &versionCounts{clock: c, dropped: dropped, services: make(map[string]*serviceCounts), running: make(map[string]map[string]int)}
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

// of returns the counts of a service. A new order drops the counts of the new version of an earlier
// one. A lower order is that of a request that began before.
func (v *versionCounts) of(service string, order int64) *serviceCounts {
	c, ok := v.services[service]
	if !ok {
		c = &serviceCounts{order: noOrder, outcomes: make(upgrade.Counts), latencies: make(upgrade.Latencies), startedAt: v.clock.Now()}
		v.services[service] = c
	}
	if order > c.order {
		c.order = order
		maps.DeleteFunc(c.outcomes, func(k upgrade.Key, _ upgrade.Count) bool { return k.Target })
		maps.DeleteFunc(c.latencies, func(b upgrade.LatencyBucket, _ int64) bool { return b.Target })
		maps.DeleteFunc(c.earlier, func(b upgrade.LatencyBucket, _ int64) bool { return b.Target })
	}
	return c
}

func (v *versionCounts) record(o outcome) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.of(o.service, o.order)
	if o.target && o.order < c.order {
		return
	}
	k := upgrade.Key{Route: o.route, Target: o.target}
	n := c.outcomes[k]
	n.Ended++
	if o.bad {
		n.Bad++
	}
	c.outcomes[k] = n
}

// recordLatency records a latency sample. order is the number of the running order, or noOrder.
func (v *versionCounts) recordLatency(service string, order int64, b upgrade.LatencyBucket) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.of(service, order)
	if b.Target && order < c.order {
		return
	}
	if now := v.clock.Now(); order == noOrder && now-c.startedAt >= latencyGeneration {
		c.earlier, c.latencies, c.startedAt = c.latencies, make(upgrade.Latencies), now
	}
	if _, ok := c.latencies[b]; !ok && len(c.latencies) >= maxLatencyBuckets {
		v.dropped.Inc()
		return
	}
	c.latencies[b]++
}

// snapshot returns a copy of all counts.
func (v *versionCounts) snapshot() site.TrafficCounts {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := site.TrafficCounts{
		Counts: make(map[string]upgrade.Counts, len(v.services)), Latencies: make(map[string]upgrade.Latencies, len(v.services)),
		Orders: make(map[string]int64, len(v.services)), Running: make(map[string]map[string]int, len(v.running)),
	}
	for service, x := range v.services {
		c.Orders[service] = x.order
		c.Counts[service] = maps.Clone(x.outcomes)
		latencies := maps.Clone(x.latencies)
		for b, n := range x.earlier {
			latencies[b] += n
		}
		c.Latencies[service] = latencies
	}
	for service, running := range v.running {
		c.Running[service] = maps.Clone(running)
	}
	return c
}
