package relay

import (
	"slices"
	"sync"

	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
)

// latencyTracker tracks the typical latency of answers.
type latencyTracker struct {
	mu sync.Mutex
	// means holds the mean time to the first byte in milliseconds, by route and model.
	means map[latencyKey]float64
	// errors holds the prediction errors of the time to the first byte in milliseconds, by model,
	// or by route for requests without a model.
	errors map[latencyKey]*sampleWindow
}

type latencyKey struct {
	route, model string
}

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
)

func (s *sampleWindow) add(sample float64) {
	if len(s.samples) < maxSamples {
		s.samples = append(s.samples, sample)
		return
	}
	s.samples[s.next] = sample
	s.next = (s.next + 1) % maxSamples
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
	return &latencyTracker{means: make(map[latencyKey]float64), errors: make(map[latencyKey]*sampleWindow)}
}

const (
	// meanWeight is the weight of one answer in the exponentially weighted mean.
	meanWeight = 0.1
	// minGapEvents is the least number of events from which a stream's mean gap is computed.
	minGapEvents = 2
	// sampledEvents is the number of events after which a stream's mean gap is recorded. At the end
	// of the stream it would come too late: a slow version's answers last several times as long.
	sampledEvents = 6
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
