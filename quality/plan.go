package quality

import (
	"cmp"
	"slices"
)

const (
	// maxExploreRatings is the number of ratings after which a version that probably misses the
	// target is no longer explored.
	maxExploreRatings = 1000
	// trialRatio is the fraction of requests that try a cheaper plan which probably meets the
	// target. It doesn't count towards the route's explore fraction, since it costs no quality on
	// average.
	trialRatio = 0.25
)

// Option is a version that a request may run on.
type Option struct {
	Version string
	// Cost is the expected cost of one answer, in micro-units of currency.
	Cost float64
	// Prior is the quality that the operators set, between 0 and 1.
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

// passedQuality estimates the quality of the answers that the rater accepted. It accepts none below
// the target. The prior, for when it has accepted few, is halfway between the mean and 1.
func (o Option) passedQuality(target float64) Estimate {
	e := estimate(max((1+o.quality().Mean)/2, target), o.Sum.PassedSum, o.Sum.Passed)
	return Estimate{Low: max(e.Low, target), Mean: max(e.Mean, target), High: e.High}
}

// Plan is a way to answer a request: either one version, or a cascade of a first version, whose
// answer the rater judges, and a second one that answers again if the rater rejects it.
type Plan struct {
	First string
	// Second is empty unless the plan is a cascade.
	Second string
	// Cost is the average cost of a request in micro-units of currency, rejected first answers
	// included.
	Cost    float64
	Quality Estimate
	// Trial is true if the plan is not known to meet the target and was chosen to collect ratings.
	Trial bool
	// ratings is the number of ratings of the first version.
	ratings int64
}

// Cascade reports whether the plan has a second version.
func (p Plan) Cascade() bool { return p.Second != "" }

// Plans lists all plans that the options allow, cheapest first. Cascade allows plans of two
// versions.
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
// Apart from a trial, no plan in the list misses the target, so high load never lowers the quality
// below it. If the lower bounds of all plans miss the target, the list has only the plan with the
// highest lower bound among those whose upper bound meets it. The list is empty if no plan can meet
// the target.
//
// Plans must be sorted by cost. Draw is a random number in [0, 1) that is fixed for the request.
// Below trialRatio, the cheapest plan that probably meets the target but isn't known to do so is
// put first as a trial; below explore, even one that probably misses the target but may meet it.
// An explore of 0 turns trials off.
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

// mayTry reports whether a request with this draw may use the plan as a trial.
func (p Plan) mayTry(target, explore, draw float64) bool {
	if p.Quality.Mean >= target {
		return draw < trialRatio && explore > 0
	}
	return draw < explore && p.Quality.High >= target && p.ratings < maxExploreRatings
}

// closestToTarget returns the plan with the highest lower bound among those that may meet the
// target.
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
