package relay

import (
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

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
