package quality

import (
	"cmp"
	"slices"
)

const (
	// maxExploreRatings is the number of ratings from which a version that probably misses the
	// target is no longer tried.
	maxExploreRatings = 1000
	// trialRatio is the fraction of requests that try a cheaper plan which probably meets the
	// target. It is separate from the route's explore fraction, since these trials cost no quality
	// on average.
	trialRatio = 0.25
)

// Option is a version that may answer a request.
type Option struct {
	Version string
	// Cost is the expected cost of one answer, in micro-units of currency.
	Cost float64
	// Prior is the quality configured by the operators, between 0 and 1.
	Prior float64
	Sum   Sum
}

// quality estimates the quality of the option's answers.
func (o Option) quality() Estimate {
	return estimate(o.Prior, o.Sum.RatingSum, o.Sum.Ratings)
}

// passRate estimates the fraction of the option's answers that the rater accepts in a cascade.
func (o Option) passRate() Estimate {
	return estimate(o.quality().Mean, float64(o.Sum.Passed), o.Sum.Judged)
}

// passedQuality estimates the quality of the answers that the rater accepted. The rater accepts no
// answer below the target. While it has accepted few, a prior halfway between the mean quality and
// 1 is used.
func (o Option) passedQuality(target float64) Estimate {
	e := estimate(max((1+o.quality().Mean)/2, target), o.Sum.PassedSum, o.Sum.Passed)
	return Estimate{Low: max(e.Low, target), Mean: max(e.Mean, target), High: e.High}
}

// Plan describes how a request is answered: by one version, or by a cascade. In a cascade a first
// version answers, and a second one answers again if the rater rejects the first answer.
type Plan struct {
	First string
	// Second is the second version of a cascade; empty if the plan is not a cascade.
	Second string
	// Cost is the mean cost of a request in micro-units of currency, including rejected first
	// answers.
	Cost    float64
	Quality Estimate
	// Trial is true if the plan is not known to meet the target and was chosen to collect ratings.
	Trial bool
	// ratings is the number of ratings of First.
	ratings int64
}

// Cascade reports whether the plan has a second version.
func (p Plan) Cascade() bool { return p.Second != "" }

// Plans lists the plans that the options allow, cheapest first. It includes cascades only if
// cascade is true.
func Plans(options []Option, target float64, cascade bool) (plans []Plan) {
	for _, o := range options {
		plans = append(plans, Plan{First: o.Version, Cost: o.Cost, Quality: o.quality(), ratings: o.Sum.Ratings})
		for _, second := range options {
			if cascade && second.Cost > o.Cost {
				plans = append(plans, newCascade(o, second, target))
			}
		}
	}
	slices.SortFunc(plans, func(a, b Plan) int {
		return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.First, b.First), cmp.Compare(a.Second, b.Second))
	})
	return plans
}

func newCascade(first, second Option, target float64) Plan {
	pass, accepted, repeated := first.passRate().Mean, first.passedQuality(target), second.quality()
	mix := func(a, b float64) float64 { return pass*a + (1-pass)*b }
	return Plan{
		First: first.Version, Second: second.Version,
		Cost:    first.Cost + (1-pass)*second.Cost,
		Quality: Estimate{Low: mix(accepted.Low, repeated.Low), Mean: mix(accepted.Mean, repeated.Mean), High: mix(accepted.High, repeated.High)},
		ratings: first.Sum.Ratings,
	}
}

// Choose lists the plans that a request may use, best first: the cheapest one whose lower bound
// meets the target, then the next cheapest ones, which are used if no endpoint can run the first.
// Apart from a trial, all plans in the list meet the target, so that high load never lowers the
// quality below it. If the lower bounds of all plans miss the target, the list has only the plan
// with the highest lower bound among those whose upper bound meets it. The list is empty if no plan
// can meet the target.
//
// Plans must be sorted by cost. draw is a random number in [0, 1) that is fixed for the request. If
// some plan meets the target and cheaper ones may be tried, the list starts with the cheapest of
// these as a trial. A plan that probably meets the target, although its lower bound misses it, may
// be tried if draw is below trialRatio. A plan that probably misses the target may be tried if draw
// is below explore, its upper bound meets the target, and it has fewer than maxExploreRatings
// ratings. If explore is 0, there are no trials.
func Choose(plans []Plan, target, explore, draw float64) (out []Plan) {
	for _, p := range plans {
		if p.Quality.Low >= target {
			out = append(out, p)
		}
	}
	if len(out) == 0 {
		return closestToTarget(plans, target)
	}
	for _, p := range plans {
		if p.Cost >= out[0].Cost {
			break
		}
		if p.mayTry(target, explore, draw) {
			p.Trial = true
			return append([]Plan{p}, out...)
		}
	}
	return out
}

// mayTry reports whether a request with this draw, as passed to Choose, may use the plan as a
// trial.
func (p Plan) mayTry(target, explore, draw float64) bool {
	if p.Quality.Mean >= target {
		return draw < trialRatio && explore > 0
	}
	return draw < explore && p.Quality.High >= target && p.ratings < maxExploreRatings
}

// closestToTarget returns the plan with the highest lower bound among those whose upper bound
// meets the target; nil if there is none.
func closestToTarget(plans []Plan, target float64) (out []Plan) {
	for _, p := range plans {
		if p.Quality.High < target {
			continue
		}
		if len(out) == 0 || p.Quality.Low > out[0].Quality.Low {
			out = []Plan{p}
		}
	}
	return out
}
