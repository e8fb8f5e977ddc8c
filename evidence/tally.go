// Package evidence sums what all processes have seen of each version. Counts
// are cumulative per process and epoch, so that lost, repeated and reordered
// reports of them do no harm.
package evidence

import (
	"math"

	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// Key says what a tally is about.
type Key struct {
	Route        string
	Version      string
	Organisation string
}

// Stats counts what was seen. All fields only grow.
type Stats struct {
	// Started counts answers whose first token came.
	Started int64
	// Good and Errors count attempts that ended whole and through the version's
	// fault; Slow is the part of Good that missed the route's objective.
	Good   int64
	Errors int64
	Slow   int64
	// Ratings counts late ratings; RatingSum adds up their scores.
	Ratings   int64
	RatingSum float64
	// Judged counts first answers of cascades, Passed those delivered.
	Judged    int64
	Passed    int64
	PassedSum float64
}

// Plus returns the sum of two tallies.
func (t Stats) Plus(o Stats) Stats {
	t.Started += o.Started
	t.Good += o.Good
	t.Errors += o.Errors
	t.Slow += o.Slow
	t.Ratings += o.Ratings
	t.RatingSum += o.RatingSum
	t.Judged += o.Judged
	t.Passed += o.Passed
	t.PassedSum += o.PassedSum
	return t
}

// since returns what t counts beyond an older tally of the same process; fields
// in which the older one is ahead give nothing.
func (t Stats) since(o Stats) Stats {
	return Stats{
		Started:   max(t.Started-o.Started, 0),
		Good:      max(t.Good-o.Good, 0),
		Errors:    max(t.Errors-o.Errors, 0),
		Slow:      max(t.Slow-o.Slow, 0),
		Ratings:   max(t.Ratings-o.Ratings, 0),
		RatingSum: max(t.RatingSum-o.RatingSum, 0),
		Judged:    max(t.Judged-o.Judged, 0),
		Passed:    max(t.Passed-o.Passed, 0),
		PassedSum: max(t.PassedSum-o.PassedSum, 0),
	}
}

// sane reports whether a peer's tally can be a count at all.
func (t Stats) sane() bool {
	for _, n := range []int64{t.Started, t.Good, t.Errors, t.Slow, t.Ratings, t.Judged, t.Passed} {
		if n < 0 {
			return false
		}
	}
	return sumOf(t.RatingSum, t.Ratings) && sumOf(t.PassedSum, t.Passed)
}

// sumOf reports whether sum can add up n scores between 0 and 1.
func sumOf(sum float64, n int64) bool {
	return !math.IsNaN(sum) && sum >= 0 && sum <= float64(n)
}

func fromWire(c *wire.Count) (k Key, t Stats) {
	k = Key{Route: c.GetRoute(), Version: c.GetVersion(), Organisation: c.GetOrganisation()}
	t = Stats{
		Started: c.GetStarted(), Good: c.GetGood(), Errors: c.GetErrors(), Slow: c.GetSlow(),
		Ratings: c.GetRatings(), RatingSum: c.GetRatingSum(),
		Judged: c.GetJudged(), Passed: c.GetPassed(), PassedSum: c.GetPassedSum(),
	}
	return k, t
}

func toWire(vm string, epoch uint64, k Key, t Stats) *wire.Count {
	return &wire.Count{
		Vm: vm, Epoch: epoch, Route: k.Route, Version: k.Version, Organisation: k.Organisation,
		Started: t.Started, Good: t.Good, Errors: t.Errors, Slow: t.Slow,
		Ratings: t.Ratings, RatingSum: t.RatingSum,
		Judged: t.Judged, Passed: t.Passed, PassedSum: t.PassedSum,
	}
}
