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
	// priorWeight is how many ratings the operators' word is worth.
	priorWeight = 40.0
	// margin is how many standard errors lie between the mean and the bounds.
	margin = 1.645
	// leastVariance keeps a few equal ratings from looking certain.
	leastVariance = 0.02
	// maxEstimates bounds the versions and routes known; further ones go by the
	// operators' word alone.
	maxEstimates = 1024
)

// Key names a version on a route.
type Key struct {
	Route   string
	Version string
}

// Sum adds up what raters said of a version on a route.
type Sum struct {
	Ratings   int64
	RatingSum float64
	// Judged counts first answers of cascades, Passed those let through.
	Judged    int64
	Passed    int64
	PassedSum float64
}

// State reduces evidence to sums. Judges know the counts of all processes; the
// others hear the judges' sums and keep whichever rests on more ratings, so
// that sums may come late, twice or in any order.
type State struct {
	// own adds up the evidence that came here, heard is the best of what others
	// told; both hold at most maxEstimates.
	own   map[Key]Sum
	heard map[Key]Sum
	book  *Snapshot
}

// NewState returns the state of a process that has heard nothing.
func NewState() State {
	return State{own: make(map[Key]Sum), heard: make(map[Key]Sum)}
}

// Reduce takes an event and the evidence it brought.
func (s *State) Reduce(e event.Event, deltas []evidence.Delta) {
	for _, d := range deltas {
		s.add(Key{Route: d.Key.Route, Version: d.Key.Version}, d.Stats)
	}
	if e, ok := e.(event.DigestReceived); ok {
		for _, x := range e.Digest.GetEstimates() {
			s.hear(x)
		}
	}
}

func (s *State) add(k Key, t evidence.Stats) {
	old, known := s.own[k]
	if t.Ratings == 0 && t.Judged == 0 || !known && len(s.own) >= maxEstimates {
		return
	}
	old.Ratings += t.Ratings
	old.RatingSum += t.RatingSum
	old.Judged += t.Judged
	old.Passed += t.Passed
	old.PassedSum += t.PassedSum
	s.own[k] = old
	s.book = nil
}

func (s *State) hear(x *wire.Estimate) {
	k := Key{Route: x.GetRoute(), Version: x.GetVersion()}
	old, known := s.heard[k]
	if x.GetRatings() <= old.Ratings || !known && len(s.heard) >= maxEstimates || !possible(x) {
		return
	}
	s.heard[k] = Sum{
		Ratings: x.GetRatings(), RatingSum: x.GetRatingSum(),
		Judged: x.GetJudged(), Passed: x.GetPassed(), PassedSum: x.GetPassedSum(),
	}
	s.book = nil
}

// possible reports whether an estimate can be a sum of scores at all.
func possible(x *wire.Estimate) bool {
	within := func(sum float64, n int64) bool { return sum >= 0 && sum <= float64(n) }
	return x.GetVersion() != "" && within(x.GetRatingSum(), x.GetRatings()) &&
		within(float64(x.GetPassed()), x.GetJudged()) && within(x.GetPassedSum(), x.GetPassed())
}

// Snapshot returns what is known, which later events do not change.
func (s *State) Snapshot() *Snapshot {
	if s.book != nil {
		return s.book
	}
	b := &Snapshot{sums: maps.Clone(s.own)}
	for k, h := range s.heard {
		if h.Ratings > b.sums[k].Ratings {
			b.sums[k] = h
		}
	}
	s.book = b
	return b
}

// Snapshot is an immutable set of sums. The nil value knows nothing.
type Snapshot struct {
	sums map[Key]Sum
}

// Sum returns what is known of a version on a route.
func (b *Snapshot) Sum(k Key) Sum {
	if b == nil {
		return Sum{}
	}
	return b.sums[k]
}

// Estimates returns the sums for other processes, sorted.
func (b *Snapshot) Estimates() (out []*wire.Estimate) {
	if b == nil {
		return nil
	}
	for k, s := range b.sums {
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

// Estimate is a quality with its uncertainty, all between 0 and 1.
type Estimate struct {
	Low  float64
	Mean float64
	High float64
}

// estimate weighs n scores against a prior. The operators' word is taken as it
// is until ratings speak, so the lower bound parts from the mean as these come
// in and closes again as they become many. The upper bound allows from the start
// that the operators thought too little of a version.
func estimate(prior, sum float64, n int64) Estimate {
	total := priorWeight + float64(n)
	mean := (priorWeight*prior + sum) / total
	spread := margin * math.Sqrt(max(mean*(1-mean), leastVariance)/total)
	return Estimate{Low: max(mean-spread*float64(n)/total, 0), Mean: mean, High: min(mean+spread, 1)}
}
