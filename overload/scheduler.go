package overload

import (
	"math"
	"runtime/metrics"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// schedulerMetric is the runtime's histogram of how long goroutines that could run waited for a processor.
	schedulerMetric = "/sched/latencies:seconds"
	// schedulerQuantile is the quantile of these waits that is measured, of at least minWaits of them. Most goroutines are
	// woken by the one that ran before them and hardly wait, also in a process that has fallen behind.
	schedulerQuantile = 0.9
	minWaits          = 16
)

// scheduler measures how long goroutines wait for a processor.
type scheduler struct {
	samples []metrics.Sample
	// counts are those of the histogram at the last measurement.
	counts []uint64
}

func newScheduler() *scheduler {
	return &scheduler{samples: []metrics.Sample{{Name: schedulerMetric}}}
}

// delay returns the wait that a tenth of the goroutines have exceeded since the last measurement; ok is false if too few have
// waited, who then count for the next one.
func (s *scheduler) delay() (d clock.Millis, ok bool) {
	metrics.Read(s.samples)
	if s.samples[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0, false
	}
	h := s.samples[0].Value.Float64Histogram()
	if s.counts == nil {
		s.counts = make([]uint64, len(h.Counts))
	}
	total := uint64(0)
	for i, n := range h.Counts {
		total += n - s.counts[i]
	}
	if total < minWaits {
		return 0, false
	}
	limit := uint64(math.Ceil(schedulerQuantile * float64(total)))
	seen := uint64(0)
	for i, n := range h.Counts {
		if seen += n - s.counts[i]; seen >= limit {
			// The first bucket has no lower bound.
			seconds := max(h.Buckets[i], 0)
			d = clock.FromDuration(time.Duration(seconds * float64(time.Second)))
			break
		}
	}
	copy(s.counts, h.Counts)
	return d, true
}
