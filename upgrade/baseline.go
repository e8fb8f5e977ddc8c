package upgrade

import "math"

// baseline holds the latency samples of the old version at all entries, by load class. One entry
// alone has too few of them at endpoints with as little load as the new version's have.
type baseline map[LatencyKey]*[LoadClasses]histogram

// group returns the key under which samples are compared. The load class is an index within it.
func (k LatencyKey) group() LatencyKey {
	k.Class = 0
	if k.Shared {
		k.Route = ""
	}
	return k
}

func (b baseline) add(k LatencyKey, index int, n int64) {
	group := k.group()
	if b[group] == nil {
		b[group] = &[LoadClasses]histogram{}
	}
	b[group][k.Class].add(index, n)
}

// limits are the latencies in milliseconds above which a sample is slow, by SlowThresholds.
type limits [len(SlowThresholds)]float64

// limits returns the limits for samples of a key. If its load class has too few samples, those of
// the next higher class that has enough are used, or else those of the next lower one and a larger
// factor. known is false if no class has enough samples.
func (b baseline) limits(k LatencyKey, factor float64) (l limits, known bool) {
	classes := b[k.group()]
	if classes == nil {
		return l, false
	}
	for i := k.Class; i < LoadClasses; i++ {
		if classes[i].n >= minSamples {
			return classes[i].limits(k.Delay, factor), true
		}
	}
	for i := k.Class - 1; i >= 0; i-- {
		if classes[i].n >= minSamples {
			return classes[i].limits(k.Delay, factor*loadedFactor), true
		}
	}
	return l, false
}

// limits returns the limits that follow from the samples; factor multiplies the factor of each
// threshold. A slow sample exceeds the median at least by a margin.
func (h *histogram) limits(delay bool, factor float64) (l limits) {
	sorted := h.sortedIndexes()
	median := h.quantile(sorted, 0.5)
	margin := minSlowdown * median
	if delay {
		margin = minExtraDelayMillis
	}
	for i, t := range SlowThresholds {
		limit := max(h.quantile(sorted, t.Quantile), median+margin)
		// First-byte delays may be negative, and multiplying a negative limit would make it lower.
		l[i] = limit + (t.Factor*factor-1)*math.Abs(limit)
	}
	return l
}

// grade counts n samples of a bucket as slow or not.
func (l limits) grade(index int, n int64) (c Count) {
	c.Timed = n
	for i, limit := range l {
		if bucketValue(index) > limit {
			c.Slow[i] = n
		}
	}
	return c
}
