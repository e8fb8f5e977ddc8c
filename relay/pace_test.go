package relay

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/catalog"
)

// gapAt draws a span between events at an endpoint that holds so many requests: the base, a
// bit more for each of them, and now and then a prompt that is read in between.
func gapAt(r *rand.Rand, base float64, held int) float64 {
	gap := base * (1 + 0.15*float64(held))
	if r.IntN(4) == 0 {
		gap *= 1 + 3*r.Float64()
	}
	return gap
}

// A new version is four times as slow as the old one. It gets a twentieth of the requests, at
// endpoints that hold one or two, while those of the old version hold up to forty: by all
// spans of the old version hardly any of its answers was slow, and it was completed.
func TestSlowVersionIsDetectedOnIdleEndpoints(t *testing.T) {
	for name, x := range map[string]struct {
		base        float64
		least, most int
	}{
		"four times as slow": {80, 95, 100},
		"as fast":            {20, 0, 45},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(7, 7))
			p, k := newPace(), paceKey{model: "m"}
			for range 400 {
				held := 1 + r.IntN(40)
				p.addSpan(k, held, gapAt(r, 20, held))
			}
			slow := 0
			for range 100 {
				held := 1 + r.IntN(2)
				grades, known := p.grade(k, held, gapAt(r, x.base, held), 1)
				is.True(known)
				if grades[0] {
					slow++
				}
			}
			t.Logf("%d in a hundred are slow", slow)
			is.True(slow >= x.least)
			is.True(slow <= x.most)
		})
	}
}

// A new version's endpoints hold more than any of the old one did yet. Its answers are not
// slow for that alone.
func TestVersionUnderMoreLoadIsComparedWithMargin(t *testing.T) {
	is := is.New(t)
	p, k := newPace(), paceKey{route: "r"}
	_, known := p.grade(k, 4, 10, 1)
	is.True(!known)
	for range spansKnown {
		p.addSpan(k, 3, 20)
	}
	grades, known := p.grade(k, 9, 49, 1)
	is.True(known)
	is.True(!grades[0])
	grades, _ = p.grade(k, 9, 51, 1)
	is.True(grades[0])
}

// A small model's answers are dropped for a larger one's before their events come. A slow
// version was completed on a handful of timed answers where most of its own were dropped.
func TestDroppedAnswersAreGradedByFirstByteDelay(t *testing.T) {
	is := is.New(t)
	route := &catalog.Route{Name: "r", Kind: catalog.Streaming}
	x := &exchange{route: route}
	a := &attempt{exchange: x, plan: plan{models: []string{"small", "large"}}, firstAfter: 300, expected: 160}
	k, span, ok := a.span()
	is.True(ok)
	is.Equal(k, paceKey{model: "small", delay: true})
	is.Equal(span, 140.0)

	p := newPace()
	for i := range 40 {
		p.addSpan(k, 1, float64(-80+3*i)) // first bytes come up to 80 ms before they are expected
	}
	for delay, want := range map[float64]bool{-80: false, 0: false, 20: false, 140: true} {
		grades, known := p.grade(k, 1, delay, 1)
		is.True(known)
		is.Equal(grades[0], want) // by the delay
		is.Equal(grades[1], want)
	}

	a.firstAfter = 0
	_, _, ok = a.span()
	is.True(!ok) // nothing came
}
