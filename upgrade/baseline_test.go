package upgrade

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// addSample adds a latency from an endpoint with the given number of outstanding requests.
func (b baseline) addSample(k LatencyKey, outstanding int, sample float64) {
	k.Class = LoadClass(outstanding)
	b.add(k, BucketIndex(sample), 1)
}

// gradeSample reports for each of SlowThresholds whether a sample is slow.
func (b baseline) gradeSample(k LatencyKey, outstanding int, sample, factor float64) (slow [len(SlowThresholds)]bool, known bool) {
	k.Class = LoadClass(outstanding)
	l, known := b.limits(k, factor)
	for i, n := range l.grade(BucketIndex(sample), 1).Slow {
		slow[i] = n > 0
	}
	return slow, known
}

// gapAt draws a gap between events at an endpoint with the given number of requests: base, plus
// 15% for each request. One gap in four is up to four times as long, because another prompt is
// processed in between.
func gapAt(r *rand.Rand, base float64, outstanding int) float64 {
	gap := base * (1 + 0.15*float64(outstanding))
	if r.IntN(4) == 0 {
		gap *= 1 + 3*r.Float64()
	}
	return gap
}

// A new version is four times as slow as the old one. It gets a twentieth of the requests, at
// endpoints with one or two requests each, while endpoints of the old version have up to forty.
// The failure was that its answers were compared with the samples of all endpoints of the old
// version, so that hardly any counted as slow and the upgrade was completed.
func TestSlowVersionIsDetectedOnIdleEndpoints(t *testing.T) {
	for name, x := range map[string]struct {
		base             float64
		minSlow, maxSlow int
	}{
		"four times as slow":         {80, 95, 100},
		"as fast as the old version": {20, 0, 45},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(7, 7))
			b, k := make(baseline), LatencyKey{Model: "m", Shared: true}
			for range 400 {
				outstanding := 1 + r.IntN(40)
				b.addSample(k, outstanding, gapAt(r, 20, outstanding))
			}
			slow := 0
			for range 100 {
				outstanding := 1 + r.IntN(2)
				grades, known := b.gradeSample(k, outstanding, gapAt(r, x.base, outstanding), 1)
				is.True(known)
				if grades[0] {
					slow++
				}
			}
			t.Logf("%d of 100 answers are slow", slow)
			is.True(slow >= x.minSlow)
			is.True(slow <= x.maxSlow)
		})
	}
}

// An endpoint of a new version has more outstanding requests than any endpoint of the old version
// has had so far. Its answers must not count as slow only because of this load.
func TestVersionUnderMoreLoadIsComparedWithMargin(t *testing.T) {
	is := is.New(t)
	b, k := make(baseline), LatencyKey{Route: "r"}
	_, known := b.gradeSample(k, 4, 10, 1)
	is.True(!known)
	for range minSamples {
		b.addSample(k, 3, 20)
	}
	grades, known := b.gradeSample(k, 9, 49, 1)
	is.True(known)
	is.True(!grades[0])
	grades, _ = b.gradeSample(k, 9, 51, 1)
	is.True(grades[0])
}

// First bytes of the old version arrive up to 80 ms earlier than expected. Guards against grading
// first-byte delays, which may be negative, like times.
func TestFirstByteDelaysAreGraded(t *testing.T) {
	is := is.New(t)
	b, k := make(baseline), LatencyKey{Model: "small", Shared: true, Delay: true}
	for i := range 40 {
		b.addSample(k, 1, float64(-80+3*i))
	}
	for delay, want := range map[float64]bool{-80: false, 0: false, 20: false, 140: true} {
		grades, known := b.gradeSample(k, 1, delay, 1)
		is.True(known)
		is.Equal(grades[0], want)
		is.Equal(grades[1], want)
	}
}

// Buckets must keep the order of samples, and a sample must differ little from its bucket's value.
func TestBucketsAreClose(t *testing.T) {
	is := is.New(t)
	last := BucketIndex(-20000)
	for sample := -20000.0; sample <= 20000; sample += 0.5 {
		index := BucketIndex(sample)
		is.True(index >= last)
		last = index
		if value := bucketValue(index); sample >= 1 {
			is.True(value > 0.97*sample && value < 1.03*sample)
		}
	}
}
