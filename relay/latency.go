package relay

import (
	"math"
	"math/bits"
	"slices"
	"sync"

	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// latencyTracker tracks the typical latency of answers.
type latencyTracker struct {
	mu sync.Mutex
	// means holds the mean time to the first byte in milliseconds, by route and model.
	means map[latencyKey]float64
	// baseline holds the latency samples of the old version, by load class of the endpoint.
	// Answers of a new version are compared with them; latencySample defines a sample. Samples of
	// streams are grouped by model alone, because a model's speed does not depend on the prompt,
	// all others also by route.
	baseline map[latencyKey]*[loadClasses]sampleWindow
	// errors holds the prediction errors of the time to the first byte in milliseconds, by model,
	// or by route for requests without a model.
	errors map[latencyKey]*sampleWindow
}

type latencyKey struct {
	route, model string
	// delay is true for first-byte delays: how much later than predicted the first byte arrived.
	delay bool
}

// loadClasses is the number of load classes. Latencies are compared within a class, because the
// endpoints of a new version have little load while its share is small: even a slow version would
// look as fast as the old version's endpoints under load.
const loadClasses = 6

// loadClass returns the load class for a number of requests at an endpoint: class 0 for 0 or 1,
// class 1 for 2 or 3, class 2 for 4 to 7 and so on. The last class has no upper bound.
func loadClass(outstanding int) int { return min(bits.Len(uint(max(outstanding, 0)/2)), loadClasses-1) }

// sampleWindow holds the most recent samples, in milliseconds.
type sampleWindow struct {
	// samples holds at most maxSamples; next is the index that is overwritten next.
	samples []float64
	next    int
}

const (
	// maxSamples is the number of samples in a full window: about ten seconds at an entry with ten
	// streams per second.
	maxSamples = 100
	// minSamples is the number of samples below which a window is not used.
	minSamples = 10
	// minSlowdown is by how much a slow sample must exceed the median, as a fraction of the
	// median; minExtraDelayMillis is the same for first-byte delays, in milliseconds. Without
	// these margins tiny differences would count as slow where all samples are alike, as at idle
	// endpoints.
	minSlowdown         = 0.25
	minExtraDelayMillis = 50.0
)

func (s *sampleWindow) sufficient() bool { return s != nil && len(s.samples) >= minSamples }

func (s *sampleWindow) add(sample float64) {
	if len(s.samples) < maxSamples {
		s.samples = append(s.samples, sample)
		return
	}
	s.samples[s.next] = sample
	s.next = (s.next + 1) % maxSamples
}

// grade compares a sample with the window and reports for each of upgrade.SlowThresholds whether
// the sample is slow; factor multiplies the factor of each threshold. A slow sample exceeds the
// median at least by the margin. known is false while the window has too few samples.
func (s *sampleWindow) grade(sample, factor float64, margin func(median float64) float64) (slow [len(upgrade.SlowThresholds)]bool, known bool) {
	if !s.sufficient() {
		return slow, false
	}
	sorted := slices.Sorted(slices.Values(s.samples))
	median := quantileOf(sorted, 0.5)
	for i, g := range upgrade.SlowThresholds {
		limit := max(quantileOf(sorted, g.Quantile), median+margin(median))
		// First-byte delays may be negative, and multiplying a negative limit would make it lower.
		slow[i] = sample > limit+(g.Factor*factor-1)*math.Abs(limit)
	}
	return slow, true
}

// margin returns by how many milliseconds a slow sample must exceed the median.
func (k latencyKey) margin(median float64) float64 {
	if k.delay {
		return minExtraDelayMillis
	}
	return minSlowdown * median
}

// quantile returns a quantile of the window; 0 if it is empty.
func (s *sampleWindow) quantile(rank float64) float64 {
	if len(s.samples) == 0 {
		return 0
	}
	return quantileOf(slices.Sorted(slices.Values(s.samples)), rank)
}

// quantileOf returns a quantile of sorted samples.
func quantileOf(sorted []float64, rank float64) float64 {
	return sorted[int(rank*float64(len(sorted)-1))]
}

func newLatencyTracker() *latencyTracker {
	return &latencyTracker{means: make(map[latencyKey]float64), baseline: make(map[latencyKey]*[loadClasses]sampleWindow), errors: make(map[latencyKey]*sampleWindow)}
}

const (
	// meanWeight is the weight of one answer in the exponentially weighted mean.
	meanWeight = 0.1
	// minGapEvents is the least number of events from which a stream's mean gap is computed.
	minGapEvents = 2
	// timeoutFactor and targetRatio set the first-byte timeout after which a request goes to
	// another endpoint: timeoutFactor times the mean time to the first byte or, if that is longer,
	// targetRatio times the route's latency target. The rest of the target is left for a second
	// attempt.
	timeoutFactor = 4.0
	targetRatio   = 0.6
	// minFirstByteTimeout is the minimum first-byte timeout, so that a brief delay causes no
	// second attempt.
	minFirstByteTimeout = 200 * clock.Millis(1)
)

const (
	// earlyShare is the new version's share of requests up to which a good version is expected to
	// be as fast as the old one. At a higher share the new version has more load than the old one,
	// and must process prompts whose prefixes only the old version has cached.
	earlyShare = 0.5
	// loadedFactor is how much slower a new version may be above earlyShare, or when its answers
	// are compared with those of endpoints that had less load.
	loadedFactor = 2.0
)

func (l *latencyTracker) addFirstByte(route, model string, took clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := latencyKey{route: route, model: model}
	mean, ok := l.means[k]
	if !ok {
		mean = float64(took)
	}
	l.means[k] = mean + meanWeight*(float64(took)-mean)
}

// addSample adds a latency of the old version, from an endpoint with the given number of
// outstanding requests.
func (l *latencyTracker) addSample(k latencyKey, outstanding int, sample float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.baseline[k] == nil {
		l.baseline[k] = &[loadClasses]sampleWindow{}
	}
	l.baseline[k][loadClass(outstanding)].add(sample)
}

// grade reports for each of upgrade.SlowThresholds whether a sample is slow for the load of its
// endpoint. If the load class of the endpoint has too few samples, the sample is compared with the
// next higher class that has enough, or else with the next lower one and a larger factor. known is
// false if no class has enough samples.
func (l *latencyTracker) grade(k latencyKey, outstanding int, sample, factor float64) (slow [len(upgrade.SlowThresholds)]bool, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.baseline[k]
	if all == nil {
		return slow, false
	}
	class := loadClass(outstanding)
	for i := class; i < loadClasses; i++ {
		if all[i].sufficient() {
			return all[i].grade(sample, factor, k.margin)
		}
	}
	for i := class - 1; i >= 0; i-- {
		if all[i].sufficient() {
			return all[i].grade(sample, factor*loadedFactor, k.margin)
		}
	}
	return slow, false
}

const (
	// errorQuantile and errorFactor set the margin of first-byte timeouts: this quantile of the
	// prediction errors, multiplied by errorFactor, is added to the predicted time.
	errorQuantile = 0.95
	errorFactor   = 2.0
)

// addError adds the prediction error of a time to the first byte; it is negative if the first byte
// arrived earlier than predicted.
func (l *latencyTracker) addError(r *catalog.Route, model string, excess clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := errorKey(r, model)
	if l.errors[k] == nil {
		l.errors[k] = &sampleWindow{}
	}
	l.errors[k].add(float64(excess))
}

func errorKey(r *catalog.Route, model string) latencyKey {
	if model != "" {
		return latencyKey{model: model}
	}
	return latencyKey{route: r.Name}
}

// timeoutFor returns the first-byte timeout for a predicted time: the prediction plus a margin for
// prediction errors. It is at least minFirstByteTimeout and at most typicalTimeout.
func (l *latencyTracker) timeoutFor(r *catalog.Route, model string, expected clock.Millis) clock.Millis {
	typical := l.typicalTimeout(r, model)
	l.mu.Lock()
	defer l.mu.Unlock()
	errors := l.errors[errorKey(r, model)]
	if errors == nil || len(errors.samples) < minSamples {
		return typical
	}
	timeout := expected + clock.Millis(errorFactor*max(errors.quantile(errorQuantile), 0))
	return min(max(timeout, minFirstByteTimeout), typical)
}

// typicalTimeout returns the first-byte timeout from the mean of the route and model, or the
// route's latency target while there is no mean.
func (l *latencyTracker) typicalTimeout(r *catalog.Route, model string) clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	mean, ok := l.means[latencyKey{route: r.Name, model: model}]
	if !ok {
		return max(r.LatencyTarget, minFirstByteTimeout)
	}
	return max(clock.Millis(targetRatio*float64(r.LatencyTarget)), clock.Millis(timeoutFactor*mean), minFirstByteTimeout)
}
