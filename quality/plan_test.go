package quality

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/evidence"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"pgregory.net/rapid"
)

var cheapOption = Option{Version: "cheap@1", Cost: 1, Prior: 0.7}

var costlyOption = Option{Version: "dear@1", Cost: 10, Prior: 0.95}

// Under load a request uses later plans of the list, so none of them may miss the target, or load
// would lower the quality below it. Only a trial may miss it, and only if the request's draw allows
// a trial.
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
				is.True(draw < 0.02 || p.Quality.Mean >= target && draw < trialRatio)
			case len(chosen) > 1:
				is.True(p.Quality.Low >= target)
			default:
				is.True(p.Quality.High >= target)
			}
		}
	})
}

// A cascade whose first version is cheap seems cheap. If the rater rejects most first answers,
// requests pay for both versions, and the costly version alone is cheaper.
func TestCascadeCostIncludesFailedFirstStep(t *testing.T) {
	is := is.New(t)
	poor := cheapOption
	poor.Sum = Sum{Ratings: 1000, RatingSum: 20, Judged: 1000, Passed: 20, PassedSum: 20}
	is.Equal(Choose(Plans([]Option{poor, costlyOption}, 0.9, true), 0.9, 0, 0)[0].Second, "")
	good := cheapOption
	good.Sum = Sum{Ratings: 1000, RatingSum: 700, Judged: 1000, Passed: 700, PassedSum: 700}
	first := Choose(Plans([]Option{good, costlyOption}, 0.9, true), 0.9, 0, 0)[0]
	is.Equal(first.Second, "dear@1")
	is.True(first.Cost > 1+0.25*10 && first.Cost < 1+0.35*10)
}

// The operators configured too high a quality for the cheap version. Once enough ratings show it,
// the version must not be used, although its configured quality still meets the target.
func TestRatingsOutweighThePrior(t *testing.T) {
	is := is.New(t)
	overrated := cheapOption
	overrated.Prior = 0.9
	is.Equal(Choose(Plans([]Option{overrated, costlyOption}, 0.85, false), 0.85, 0, 0)[0].First, "cheap@1")
	overrated.Sum = Sum{Ratings: 100, RatingSum: 65}
	is.Equal(Choose(Plans([]Option{overrated, costlyOption}, 0.85, false), 0.85, 0, 0)[0].First, "dear@1")
}

// The judges, which sum the ratings of a version, send the sums to an entry. They arrive twice,
// late, and from a judge that restarted and has fewer ratings. The entry must retain the sum with
// the most ratings.
func TestSumWithMostRatingsIsKept(t *testing.T) {
	is := is.New(t)
	s := NewState()
	receive := func(n int64, sum float64) {
		s.Reduce(event.DigestReceived{Digest: &wire.Digest{Estimates: []*wire.Estimate{{Route: "r", Version: "m@1", Ratings: n, RatingSum: sum}}}}, nil)
	}
	receive(100, 80)
	receive(40, 10)
	receive(100, 80)
	receive(200, 900) // invalid: the sum of the scores exceeds the number of ratings
	s.Reduce(event.Rated{}, []evidence.Delta{{Key: evidence.Key{Route: "r", Version: "m@1"}, Stats: evidence.Stats{Ratings: 1, RatingSum: 1}}})
	is.Equal(s.Snapshot().Sum(Key{"r", "m@1"}).RatingSum, 80.0)
}

// Nearly all answers come from an established version and use up the sample rate. The few answers
// of a new version must still be sampled.
func TestSamplerReservesCapacityForNewVersions(t *testing.T) {
	is := is.New(t)
	s := NewSampler()
	for range 10_000 {
		s.Sample(0, establishedRatings, false)
	}
	is.True(s.Sample(0, 0, false))
	sampled := 0
	for range 10_000 {
		if s.Sample(0, 0, false) {
			sampled++
		}
	}
	is.True(sampled < sampleBurst) // the rate stays bounded
}
