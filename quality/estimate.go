package quality

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/evidence"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

const (
	// priorWeight is the number of ratings that the quality configured by the operators is worth.
	priorWeight = 40.0
	// boundZScore is the distance of an estimate's bounds from its mean, in standard errors.
	boundZScore = 1.645
	// minVariance is the minimum variance of scores. It keeps the bounds apart if the few ratings
	// so far are all equal.
	minVariance = 0.02
	// maxEstimates is the maximum number of keys (versions on routes) in State.own and in
	// State.received. The quality of any further version is taken from the operators' configuration
	// alone.
	maxEstimates = 1024
)

// Key identifies a version on a route.
type Key struct {
	Route   string
	Version string
}

// Sum is the sum of the ratings of a version on a route. The zero value has no ratings.
type Sum struct {
	Ratings   int64
	RatingSum float64
	// Judged counts the first answers of cascades that were rated, and Passed those of them that
	// the rater accepted. PassedSum is the sum of the scores of the accepted ones.
	Judged    int64
	Passed    int64
	PassedSum float64
}

// State is the reducer of ratings. The judges of a version, which receive the counts of all
// processes, sum its ratings and send the sums to other processes. Of several sums for a key, the
// one with the most ratings is used, so that sums may arrive late, twice or out of order.
type State struct {
	// own sums the evidence that this process received itself; received holds, of the sums that
	// other processes sent, the one with the most ratings for each key. Each holds at most
	// maxEstimates keys.
	own      map[Key]Sum
	received map[Key]Sum
	// snapshot caches the result of Snapshot; nil if the sums have changed.
	snapshot *Snapshot
}

// NewState returns a state without any ratings.
func NewState() State {
	return State{own: make(map[Key]Sum), received: make(map[Key]Sum)}
}

// Reduce applies an event and the evidence derived from it.
func (s *State) Reduce(e event.Event, deltas []evidence.Delta) {
	for _, d := range deltas {
		s.add(Key{Route: d.Key.Route, Version: d.Key.Version}, d.Stats)
	}
	if e, ok := e.(event.DigestReceived); ok {
		for _, x := range e.Digest.GetEstimates() {
			s.receive(x)
		}
	}
}

func (s *State) add(k Key, stats evidence.Stats) {
	old, known := s.own[k]
	if stats.Ratings == 0 && stats.Judged == 0 || !known && len(s.own) >= maxEstimates {
		return
	}
	old.Ratings += stats.Ratings
	old.RatingSum += stats.RatingSum
	old.Judged += stats.Judged
	old.Passed += stats.Passed
	old.PassedSum += stats.PassedSum
	s.own[k] = old
	s.snapshot = nil
}

func (s *State) receive(x *wire.Estimate) {
	k := Key{Route: x.GetRoute(), Version: x.GetVersion()}
	old, known := s.received[k]
	if x.GetRatings() <= old.Ratings || !known && len(s.received) >= maxEstimates || !plausible(x) {
		return
	}
	s.received[k] = Sum{
		Ratings: x.GetRatings(), RatingSum: x.GetRatingSum(),
		Judged: x.GetJudged(), Passed: x.GetPassed(), PassedSum: x.GetPassedSum(),
	}
	s.snapshot = nil
}

// plausible reports whether the sums received from a peer are consistent with scores between 0 and
// 1.
func plausible(x *wire.Estimate) bool {
	within := func(sum float64, n int64) bool { return sum >= 0 && sum <= float64(n) }
	return x.GetVersion() != "" && within(x.GetRatingSum(), x.GetRatings()) &&
		within(float64(x.GetPassed()), x.GetJudged()) && within(x.GetPassedSum(), x.GetPassed())
}

// Snapshot returns the current sums: for each key, the own or the received sum with more ratings.
// Later events do not change the returned value.
func (s *State) Snapshot() *Snapshot {
	if s.snapshot != nil {
		return s.snapshot
	}
	snap := &Snapshot{sums: maps.Clone(s.own)}
	for k, sum := range s.received {
		if sum.Ratings > snap.sums[k].Ratings {
			snap.sums[k] = sum
		}
	}
	s.snapshot = snap
	return snap
}

// Snapshot is an immutable set of sums. The nil value is empty.
type Snapshot struct {
	sums map[Key]Sum
}

// Sum returns the sum of a version on a route; the zero value if it has no ratings.
func (sn *Snapshot) Sum(k Key) Sum {
	if sn == nil {
		return Sum{}
	}
	return sn.sums[k]
}

// Estimates returns the sums in wire form, sorted by route and version.
func (sn *Snapshot) Estimates() (out []*wire.Estimate) {
	if sn == nil {
		return nil
	}
	for k, s := range sn.sums {
		out = append(out, &wire.Estimate{
			Route: k.Route, Version: k.Version, Ratings: s.Ratings, RatingSum: s.RatingSum,
			Judged: s.Judged, Passed: s.Passed, PassedSum: s.PassedSum,
		})
	}
	slices.SortFunc(out, func(a, b *wire.Estimate) int {
		return cmp.Or(cmp.Compare(a.GetRoute(), b.GetRoute()), cmp.Compare(a.GetVersion(), b.GetVersion()))
	})
	return out
}

// Estimate is an estimated quality with its lower and upper bound, all between 0 and 1.
type Estimate struct {
	Low  float64
	Mean float64
	High float64
}

// estimate combines the sum of n scores with a prior, the quality configured by the operators.
// Without ratings the prior is trusted: the lower bound equals the mean. The lower bound falls
// below the mean as the first ratings arrive, and approaches it again as they become many. The
// upper bound is above the mean from the start, since the operators may have set the prior too
// low.
func estimate(prior, sum float64, n int64) Estimate {
	total := priorWeight + float64(n)
	mean := (priorWeight*prior + sum) / total
	spread := boundZScore * math.Sqrt(max(mean*(1-mean), minVariance)/total)
	return Estimate{Low: max(mean-spread*float64(n)/total, 0), Mean: mean, High: min(mean+spread, 1)}
}
