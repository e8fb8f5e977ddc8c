package upgrade

import (
	"maps"
	"math"
	"math/bits"
	"slices"
)

// LatencyKey groups latency samples in milliseconds that can be compared with each other.
type LatencyKey struct {
	Route string
	Model string
	// Shared is true if samples of all routes can be compared. This holds for the time between the
	// events of a stream, which depends on the model and not on the prompt.
	Shared bool
	// Delay is true for first-byte delays; see Key.
	Delay bool
	// Class is the load class of the endpoint.
	Class int
}

// LatencyBucket is a bucket of a histogram of latency samples. Target is true for the new version.
type LatencyBucket struct {
	LatencyKey
	Target bool
	Index  int
}

// Latencies counts samples by bucket.
type Latencies map[LatencyBucket]int64

// LoadClasses is the number of load classes. Latencies are compared within a class, because the
// endpoints of a new version have little load while its share is small: even a slow version would
// look as fast as the old version's endpoints under load.
const LoadClasses = 6

// LoadClass returns the load class for a number of requests at an endpoint: class 0 for 0 or 1,
// class 1 for 2 or 3, class 2 for 4 to 7 and so on. The last class has no upper bound.
func LoadClass(outstanding int) int { return min(bits.Len(uint(max(outstanding, 0)/2)), LoadClasses-1) }

// bucketsPerOctave is the number of buckets per doubling of a latency: two samples of a bucket
// differ by 4% at most.
const bucketsPerOctave = 16

// BucketIndex returns the index of the bucket for a sample in milliseconds. Samples below a
// millisecond have index 0, negative ones negative indexes.
func BucketIndex(sample float64) int {
	if math.Abs(sample) < 1 {
		return 0
	}
	return int(math.Copysign(math.Round(bucketsPerOctave*math.Log2(math.Abs(sample)))+1, sample))
}

// bucketValue returns the sample in the middle of a bucket.
func bucketValue(index int) float64 {
	if index == 0 {
		return 0
	}
	return math.Copysign(math.Exp2(math.Abs(float64(index))/bucketsPerOctave-1.0/bucketsPerOctave), float64(index))
}

const (
	// minSamples is the number of samples below which a histogram is not used.
	minSamples = 10
	// minSlowdown is by how much a slow sample must exceed the median, as a fraction of the
	// median; minExtraDelayMillis is the same for first-byte delays, in milliseconds. Without
	// these margins tiny differences would count as slow where all samples are alike, as at idle
	// endpoints.
	minSlowdown         = 0.25
	minExtraDelayMillis = 50.0
	// earlyShare is the new version's share of requests up to which a good version is expected to
	// be as fast as the old one. At a higher share the new version has more load than the old one,
	// and must process prompts whose prefixes only the old version has cached.
	earlyShare = 0.5
	// loadedFactor is how much slower a new version may be above earlyShare, or when its answers
	// are compared with those of endpoints that had less load.
	loadedFactor = 2.0
)

// histogram counts samples by the index of their bucket.
type histogram struct {
	counts map[int]int64
	n      int64
}

func (h *histogram) add(index int, n int64) {
	if h.counts == nil {
		h.counts = make(map[int]int64)
	}
	h.counts[index] += n
	h.n += n
}

// sortedIndexes returns the indexes of the buckets that have samples, in ascending order.
func (h *histogram) sortedIndexes() []int { return slices.Sorted(maps.Keys(h.counts)) }

// quantile returns a quantile of the samples. sorted is the result of sortedIndexes.
func (h *histogram) quantile(sorted []int, rank float64) float64 {
	position := int64(rank * float64(h.n-1))
	for _, index := range sorted {
		if position -= h.counts[index]; position < 0 {
			return bucketValue(index)
		}
	}
	return 0
}
