package relay

import (
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// A bad version was rolled back, and another one is ordered. Guards against the outcomes of the first
// counting as those of the second, which would be rolled back before it has answered anything.
func TestOutcomesOfEarlierOrderAreDropped(t *testing.T) {
	is := is.New(t)
	v := newVersionCounts(clock.Boot(), metrics.NewCounter("dropped_1"))
	slow := upgrade.LatencyBucket{LatencyKey: upgrade.LatencyKey{Model: "m"}, Target: true, Index: 90}
	for range 40 {
		v.record(outcome{service: "s", route: "r", order: 1, target: true, bad: true})
		v.recordLatency("s", 1, slow)
	}
	v.record(outcome{service: "s", route: "r", order: noOrder})
	v.record(outcome{service: "s", route: "r", order: 2, target: true})
	v.record(outcome{service: "s", route: "r", order: 1, target: true, bad: true}) // began during the first order
	c := v.snapshot()
	is.Equal(c.Orders["s"], int64(2))
	is.Equal(c.Counts["s"], upgrade.Counts{{Route: "r"}: {Ended: 1}, {Route: "r", Target: true}: {Ended: 1}})
	is.Equal(len(c.Latencies["s"]), 0)
}

// Entries collect latencies for as long as they run. Guards against memory and reports that grow
// with that time, and against comparing a new version with answers of long ago.
func TestLatencySamplesAreBounded(t *testing.T) {
	is := is.New(t)
	now := clock.Millis(0)
	c, dropped := clock.New(func() clock.Millis { return now }), metrics.NewCounter("dropped_2")
	v := newVersionCounts(c, dropped)
	old := upgrade.LatencyBucket{Index: 1}
	v.recordLatency("s", noOrder, old)
	for range 3 {
		now += latencyGeneration
		v.recordLatency("s", noOrder, upgrade.LatencyBucket{Index: 2})
	}
	is.Equal(v.snapshot().Latencies["s"], upgrade.Latencies{{Index: 2}: 2})
	for i := range 2 * maxLatencyBuckets {
		v.recordLatency("s", 1, upgrade.LatencyBucket{Index: 3 + i})
	}
	is.Equal(len(v.snapshot().Latencies["s"]), maxLatencyBuckets)
	is.True(dropped.Get() > 0)
}
