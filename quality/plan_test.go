package quality

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/evidence"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"pgregory.net/rapid"
)

var cheap = Option{Version: "cheap@1", Cost: 1, Prior: 0.7}

var dear = Option{Version: "dear@1", Cost: 10, Prior: 0.95}

// Whatever the raters said, no plan may run that is known to miss the target,
// except the one on trial, and that only for draws within its bound. Otherwise
// load, which walks down the list, would lower the quality below the target.
func TestNoPlanBelowTheTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var options []Option
		for i, name := range []string{"a@1", "b@1", "c@1"} {
			n := rapid.Int64Range(0, 3000).Draw(t, "ratings")
			sum := rapid.Float64Range(0, 1).Draw(t, "mean") * float64(n)
			options = append(options, Option{Version: name, Cost: float64(1 + i), Prior: rapid.Float64Range(0, 1).Draw(t, "prior"), Sum: Sum{Ratings: n, RatingSum: sum}})
		}
		target := rapid.Float64Range(0, 1).Draw(t, "target")
		draw := rapid.Float64Range(0, 0.999).Draw(t, "draw")
		chosen := Choose(Plans(options, target, rapid.Bool().Draw(t, "cascade")), target, 0.02, draw)
		for i, p := range chosen {
			switch {
			case p.Trial:
				is.True(i == 0 && p.Quality.High >= target)
				is.True(draw < 0.02 || p.Quality.Mean >= target && draw < trial)
			case len(chosen) > 1:
				is.True(p.Quality.Low >= target)
			default:
				is.True(p.Quality.High >= target)
			}
		}
	})
}

// A cascade looks cheap by its first step. When that step mostly fails, the
// request pays for both, and the dear version alone is the cheaper way.
func TestCascadeCostIncludesFailedFirstStep(t *testing.T) {
	is := is.New(t)
	poor := cheap
	poor.Sum = Sum{Ratings: 1000, RatingSum: 20, Judged: 1000, Passed: 20, PassedSum: 20}
	is.Equal(Choose(Plans([]Option{poor, dear}, 0.9, true), 0.9, 0, 0)[0].Second, "")
	good := cheap
	good.Sum = Sum{Ratings: 1000, RatingSum: 700, Judged: 1000, Passed: 700, PassedSum: 700}
	first := Choose(Plans([]Option{good, dear}, 0.9, true), 0.9, 0, 0)[0]
	is.Equal(first.Second, "dear@1")
	is.True(first.Cost > 1+0.25*10 && first.Cost < 1+0.35*10)
}

// The operators think too well of the cheap version. Ratings come late, and from
// then on it must not be used although its prior still meets the target.
func TestRatingsOutweighThePrior(t *testing.T) {
	is := is.New(t)
	praised := cheap
	praised.Prior = 0.9
	is.Equal(Choose(Plans([]Option{praised, dear}, 0.85, false), 0.85, 0, 0)[0].First, "cheap@1")
	praised.Sum = Sum{Ratings: 100, RatingSum: 65}
	is.Equal(Choose(Plans([]Option{praised, dear}, 0.85, false), 0.85, 0, 0)[0].First, "dear@1")
}

// Judges' sums reach an entry twice, late and from a judge that began anew and
// knows less. The entry must keep the sum that rests on most ratings.
func TestSumWithMostRatingsIsKept(t *testing.T) {
	is := is.New(t)
	s := NewState()
	hear := func(n int64, sum float64) {
		s.Reduce(event.DigestReceived{Digest: &wire.Digest{Estimates: []*wire.Estimate{{Route: "r", Version: "m@1", Ratings: n, RatingSum: sum}}}}, nil)
	}
	hear(100, 80)
	hear(40, 10)
	hear(100, 80)
	hear(200, 900) // no possible sum
	s.Reduce(event.Rated{}, []evidence.Delta{{Key: evidence.Key{Route: "r", Version: "m@1"}, Stats: evidence.Stats{Ratings: 1, RatingSum: 1}}})
	is.Equal(s.Snapshot().Sum(Key{"r", "m@1"}).RatingSum, 80.0)
}

// Nearly all answers are of a version known well. The few of a young one must
// still find room in the rater's limit.
func TestSamplerReservesCapacityForNewVersions(t *testing.T) {
	is := is.New(t)
	s := NewSampler()
	for range 10_000 {
		s.Sample(0, youngRatings, false)
	}
	is.True(s.Sample(0, 0, false))
	taken := 0
	for range 10_000 {
		if s.Sample(0, 0, false) {
			taken++
		}
	}
	is.True(taken < sampleBurst) // and the limit holds
}
