package relay

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/catalog"
)

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
			l, k := newLatencyTracker(), latencyKey{model: "m"}
			for range 400 {
				outstanding := 1 + r.IntN(40)
				l.addSample(k, outstanding, gapAt(r, 20, outstanding))
			}
			slow := 0
			for range 100 {
				outstanding := 1 + r.IntN(2)
				grades, known := l.grade(k, outstanding, gapAt(r, x.base, outstanding), 1)
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
	l, k := newLatencyTracker(), latencyKey{route: "r"}
	_, known := l.grade(k, 4, 10, 1)
	is.True(!known)
	for range minSamples {
		l.addSample(k, 3, 20)
	}
	grades, known := l.grade(k, 9, 49, 1)
	is.True(known)
	is.True(!grades[0])
	grades, _ = l.grade(k, 9, 51, 1)
	is.True(grades[0])
}

// An entry drops answers of a small model before their events arrive, to use a larger model
// instead. The failure was that most answers of a slow version were dropped, and its upgrade was
// completed on the evidence of the few answers whose gaps between events had been measured.
func TestDroppedAnswersAreGradedByFirstByteDelay(t *testing.T) {
	is := is.New(t)
	route := &catalog.Route{Name: "r", Kind: catalog.Streaming}
	x := &exchange{route: route}
	a := &attempt{exchange: x, plan: plan{models: []string{"small", "large"}}, timeToFirstByte: 300, expectedFirstByte: 160}
	k, sample, ok := a.latencySample()
	is.True(ok)
	is.Equal(k, latencyKey{model: "small", delay: true})
	is.Equal(sample, 140.0)

	l := newLatencyTracker()
	for i := range 40 {
		l.addSample(k, 1, float64(-80+3*i)) // first bytes arrive up to 80 ms earlier than expected
	}
	for delay, want := range map[float64]bool{-80: false, 0: false, 20: false, 140: true} {
		grades, known := l.grade(k, 1, delay, 1)
		is.True(known)
		is.Equal(grades[0], want)
		is.Equal(grades[1], want)
	}

	a.timeToFirstByte = 0
	_, _, ok = a.latencySample()
	is.True(!ok) // no first byte arrived
}
