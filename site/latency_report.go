package site

import (
	"slices"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

const (
	// latencyRepeats is how many reports contain a changed count, since datagrams may be lost.
	latencyRepeats = 3
	// latencyRefreshInterval is the time between reports that contain all counts. Together with
	// latencyRepeats it bounds the traffic: all counts in each report would be most of what an entry
	// sends.
	latencyRefreshInterval = 5 * clock.Second
)

// latencyReports selects the latency samples that are sent to the judges.
type latencyReports struct {
	// sent holds the samples as of the last reports by service, the oldest first.
	sent map[string][]upgrade.Latencies
	// refreshedAt is when all samples were last sent, and judges those that got them.
	refreshedAt clock.Millis
	judges      []string
}

// begin prepares a report to the judges at the time now.
func (l *latencyReports) begin(judges []string, now clock.Millis) {
	if l.sent == nil || now-l.refreshedAt >= latencyRefreshInterval || !slices.Equal(judges, l.judges) {
		l.sent, l.refreshedAt, l.judges = make(map[string][]upgrade.Latencies), now, slices.Clone(judges)
	}
}

// changed returns the samples of a service whose counts differ from those latencyRepeats reports
// ago. The caller must not change all any more.
func (l *latencyReports) changed(service string, all upgrade.Latencies) (some upgrade.Latencies) {
	before := l.sent[service]
	some = make(upgrade.Latencies)
	for b, n := range all {
		if len(before) == 0 || before[0][b] != n {
			some[b] = n
		}
	}
	l.sent[service] = append(before[max(len(before)-latencyRepeats+1, 0):], all)
	return some
}

// latenciesToWire groups samples by their key.
func latenciesToWire(samples upgrade.Latencies) (out []*wire.UpgradeLatency) {
	type group struct {
		upgrade.LatencyKey
		target bool
	}
	groups := make(map[group]*wire.UpgradeLatency)
	for b, n := range samples {
		g := group{b.LatencyKey, b.Target}
		m, ok := groups[g]
		if !ok {
			m = &wire.UpgradeLatency{Route: b.Route, Model: b.Model, Target: b.Target, Shared: b.Shared, Delay: b.Delay, Class: int32(b.Class)}
			groups[g] = m
			out = append(out, m)
		}
		m.Buckets = append(m.Buckets, int32(b.Index))
		m.Counts = append(m.Counts, n)
	}
	return out
}

// latenciesFromWire returns the samples of a report. Those of a load class that this release does
// not have are left out.
func latenciesFromWire(in []*wire.UpgradeLatency) upgrade.Latencies {
	samples := make(upgrade.Latencies)
	for _, m := range in {
		if m.GetClass() < 0 || m.GetClass() >= upgrade.LoadClasses || len(m.GetCounts()) != len(m.GetBuckets()) {
			continue
		}
		k := upgrade.LatencyKey{Route: m.GetRoute(), Model: m.GetModel(), Shared: m.GetShared(), Delay: m.GetDelay(), Class: int(m.GetClass())}
		for i, index := range m.GetBuckets() {
			samples[upgrade.LatencyBucket{LatencyKey: k, Target: m.GetTarget(), Index: int(index)}] = m.GetCounts()[i]
		}
	}
	return samples
}
