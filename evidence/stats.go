// Package evidence sums the outcomes of each version over all processes. Judges are the processes
// that sum the outcome counts of a version and decide whether to hold it. Counts are cumulative
// per process and epoch, so that lost, repeated and reordered reports are harmless.
package evidence

import (
	"math"

	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// Key identifies the requests that Stats count: those of an organisation on a route that a version
// answered.
type Key struct {
	Route        string
	Version      string
	Organisation string
}

// Stats counts outcomes. All fields only increase.
type Stats struct {
	// Started counts answers whose first token arrived.
	Started int64
	// Good counts attempts that ended with a complete answer; Errors counts attempts that failed
	// through the version's fault. Slow counts those of Good that missed the route's latency
	// objective.
	Good   int64
	Errors int64
	Slow   int64
	// Ratings counts the rated answers, including those counted in Judged; RatingSum adds up their
	// scores, which are between 0 and 1.
	Ratings   int64
	RatingSum float64
	// Judged counts the rated first answers of cascades and Passed those of them that were
	// delivered. PassedSum adds up the scores of the delivered ones.
	Judged    int64
	Passed    int64
	PassedSum float64
}

// Plus returns the sum of s and o, field by field.
func (s Stats) Plus(o Stats) Stats {
	s.Started += o.Started
	s.Good += o.Good
	s.Errors += o.Errors
	s.Slow += o.Slow
	s.Ratings += o.Ratings
	s.RatingSum += o.RatingSum
	s.Judged += o.Judged
	s.Passed += o.Passed
	s.PassedSum += o.PassedSum
	return s
}

// since returns s minus o, field by field, where o are older stats of the same process. Fields in
// which o is greater are 0.
func (s Stats) since(o Stats) Stats {
	return Stats{
		Started:   max(s.Started-o.Started, 0),
		Good:      max(s.Good-o.Good, 0),
		Errors:    max(s.Errors-o.Errors, 0),
		Slow:      max(s.Slow-o.Slow, 0),
		Ratings:   max(s.Ratings-o.Ratings, 0),
		RatingSum: max(s.RatingSum-o.RatingSum, 0),
		Judged:    max(s.Judged-o.Judged, 0),
		Passed:    max(s.Passed-o.Passed, 0),
		PassedSum: max(s.PassedSum-o.PassedSum, 0),
	}
}

// valid reports whether stats received from a peer are consistent.
func (s Stats) valid() bool {
	for _, n := range []int64{s.Started, s.Good, s.Errors, s.Slow, s.Ratings, s.Judged, s.Passed} {
		if n < 0 {
			return false
		}
	}
	return validSum(s.RatingSum, s.Ratings) && validSum(s.PassedSum, s.Passed)
}

// validSum reports whether sum can be the sum of n scores between 0 and 1.
func validSum(sum float64, n int64) bool {
	return !math.IsNaN(sum) && sum >= 0 && sum <= float64(n)
}

func fromWire(c *wire.Count) (k Key, stats Stats) {
	k = Key{Route: c.GetRoute(), Version: c.GetVersion(), Organisation: c.GetOrganisation()}
	stats = Stats{
		Started: c.GetStarted(), Good: c.GetGood(), Errors: c.GetErrors(), Slow: c.GetSlow(),
		Ratings: c.GetRatings(), RatingSum: c.GetRatingSum(),
		Judged: c.GetJudged(), Passed: c.GetPassed(), PassedSum: c.GetPassedSum(),
	}
	return k, stats
}

func toWire(vm string, epoch uint64, k Key, stats Stats) *wire.Count {
	return &wire.Count{
		Vm: vm, Epoch: epoch, Route: k.Route, Version: k.Version, Organisation: k.Organisation,
		Started: stats.Started, Good: stats.Good, Errors: stats.Errors, Slow: stats.Slow,
		Ratings: stats.Ratings, RatingSum: stats.RatingSum,
		Judged: stats.Judged, Passed: stats.Passed, PassedSum: stats.PassedSum,
	}
}
