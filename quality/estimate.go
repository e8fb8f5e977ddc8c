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
	// priorWeight is how many ratings the operators' quality setting counts as.
	priorWeight = 40.0
	// boundZScore is the distance of the bounds from the mean, in standard errors.
	boundZScore = 1.645
	// minVariance keeps the bounds apart when the few ratings so far are all equal.
	minVariance = 0.02
	// maxEstimates bounds the keys with sums; versions beyond it are estimated from the
	// operators' setting alone.
	maxEstimates = 1024
)

// Key identifies a version on a route.
type Key struct {
	Route   string
	Version string
}

// Sum is the total of the ratings of a version on a route. The zero value has no ratings.
type Sum struct {
	Ratings   int64
	RatingSum float64
	// Judged counts the first answers of cascades that the rater judged, Passed those that it
	// accepted. PassedSum is the sum of the scores of the accepted ones.
	Judged    int64
	Passed    int64
	PassedSum float64
}

// State reduces evidence to sums. Judges receive the counts of all processes. Other processes
// receive the judges' sums and keep the one with more ratings, so sums may arrive late, twice or
// out of order.
type State struct {
	// own sums the evidence that this process received, received holds the sums with the most
	// ratings among those that other processes sent; each holds at most maxEstimates.
	own      map[Key]Sum
	received map[Key]Sum
	// snapshot is nil when it must be built again.
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

// plausible reports whether an estimate can be a sum of scores between 0 and 1.
func plausible(x *wire.Estimate) bool {
	within := func(sum float64, n int64) bool { return sum >= 0 && sum <= float64(n) }
	return x.GetVersion() != "" && within(x.GetRatingSum(), x.GetRatings()) &&
		within(float64(x.GetPassed()), x.GetJudged()) && within(x.GetPassedSum(), x.GetPassed())
}

// Snapshot returns the current sums; later events do not change the returned value.
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

// Sum returns the sum of a version on a route, the zero value when it has no ratings.
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

// Estimate is a quality with its lower and upper bound, all between 0 and 1.
type Estimate struct {
	Low  float64
	Mean float64
	High float64
}

// estimate combines n scores with a prior. The operators' prior is trusted until there are
// ratings: without any, the lower bound equals the mean. It falls below the mean as the first
// ratings arrive and approaches it again as they become many. The upper bound lies above the mean
// from the start, since the operators may have set the prior too low.
func estimate(prior, sum float64, n int64) Estimate {
	total := priorWeight + float64(n)
	mean := (priorWeight*prior + sum) / total
	spread := boundZScore * math.Sqrt(max(mean*(1-mean), minVariance)/total)
	return Estimate{Low: max(mean-spread*float64(n)/total, 0), Mean: mean, High: min(mean+spread, 1)}
}
