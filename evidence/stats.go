// Package evidence sums the outcomes of each version over all processes. Counts are cumulative per
// process and epoch, so that lost, repeated and reordered reports are harmless.
package evidence

import (
	"math"

	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// Key identifies what Stats are about.
type Key struct {
	Route        string
	Version      string
	Organisation string
}

// Stats counts outcomes. All fields only increase.
type Stats struct {
	// Started counts answers whose first token arrived.
	Started int64
	// Good counts attempts that ended with a complete answer, Errors those that failed through
	// the version's fault. Slow counts the good ones that missed the route's latency objective.
	Good   int64
	Errors int64
	Slow   int64
	// Ratings counts ratings, including those of Judged; RatingSum adds up their scores, from 0
	// to 1 each.
	Ratings   int64
	RatingSum float64
	// Judged counts first answers of cascades, Passed those of them that were delivered, and
	// PassedSum adds up the scores of the latter.
	Judged    int64
	Passed    int64
	PassedSum float64
}

// Plus returns the sum of both.
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

// since returns what t counts beyond older stats of the same process; fields in which the older
// ones are ahead are 0.
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

// valid reports whether stats from a peer are possible.
func (t Stats) valid() bool {
	for _, n := range []int64{t.Started, t.Good, t.Errors, t.Slow, t.Ratings, t.Judged, t.Passed} {
		if n < 0 {
			return false
		}
	}
	return validSum(t.RatingSum, t.Ratings) && validSum(t.PassedSum, t.Passed)
}

// validSum reports whether sum can be the sum of n scores between 0 and 1.
func validSum(sum float64, n int64) bool {
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
