package quality

import (
	"cmp"
	"slices"
)

const (
	// exploreRatings is how many ratings end the exploration of a version that
	// probably misses the target.
	exploreRatings = 1000
	// trial is the part of requests that try a cheaper plan which probably meets
	// the target. It is no part of the route's explore, since it costs no quality
	// on average.
	trial = 0.25
)

// Option is a version that a request may run on.
type Option struct {
	Version string
	// Cost is the expected cost of one answer, in micro-units of currency.
	Cost float64
	// Prior is the operators' word on the quality.
	Prior float64
	Sum   Sum
}

// quality estimates the option's own answers.
func (o Option) quality() Estimate {
	return estimate(o.Prior, o.Sum.RatingSum, o.Sum.Ratings)
}

// passing estimates the part of the option's answers that the rater lets pass.
func (o Option) passing() Estimate {
	return estimate(o.quality().Mean, float64(o.Sum.Passed), o.Sum.Judged)
}

// passed estimates the quality of the answers that passed. The rater lets none
// pass below the target; before any did, they are taken to lie between the mean
// and 1.
func (o Option) passed(target float64) Estimate {
	e := estimate(max((1+o.quality().Mean)/2, target), o.Sum.PassedSum, o.Sum.Passed)
	return Estimate{Low: max(e.Low, target), Mean: max(e.Mean, target), High: e.High}
}

// Plan is a way to answer a request: one version, or a first one whose answer
// the rater judges and a second one that answers again when it is poor.
type Plan struct {
	First string
	// Second is empty in a plan of one version.
	Second string
	// Cost is what a request costs on average, a first step in vain included.
	Cost    float64
	Quality Estimate
	// Trial says that the plan is not known to meet the target and was chosen to
	// learn of it.
	Trial bool
	// ratings is how many ratings of the first version there are.
	ratings int64
}

// Cascade reports whether the plan has a second version.
func (p Plan) Cascade() bool { return p.Second != "" }

// Plans lists all plans over some options, the cheapest first.
func Plans(options []Option, target float64, cascade bool) (plans []Plan) {
	for _, o := range options {
		plans = append(plans, Plan{First: o.Version, Cost: o.Cost, Quality: o.quality(), ratings: o.Sum.Ratings})
		for _, second := range options {
			if cascade && second.Cost > o.Cost {
				plans = append(plans, cascadeOf(o, second, target))
			}
		}
	}
	slices.SortFunc(plans, func(a, b Plan) int {
		return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.First, b.First), cmp.Compare(a.Second, b.Second))
	})
	return plans
}

func cascadeOf(first, second Option, target float64) Plan {
	pass, good, again := first.passing().Mean, first.passed(target), second.quality()
	mix := func(a, b float64) float64 { return pass*a + (1-pass)*b }
	return Plan{
		First: first.Version, Second: second.Version,
		Cost:    first.Cost + (1-pass)*second.Cost,
		Quality: Estimate{Low: mix(good.Low, again.Low), Mean: mix(good.Mean, again.Mean), High: mix(good.High, again.High)},
		ratings: first.Sum.Ratings,
	}
}

// Choose orders the plans that a request may use, the best first: the cheapest
// whose lower bound meets the target, then the next ones for when no endpoint
// can take it. No plan that misses the target stands among them, so that load
// never lowers the quality below it. When the bounds of all plans miss, the one
// with the highest bound stands alone if the target lies within its bounds; no
// plan is left when none can meet it.
//
// Draw is a number of the request's own in [0, 1). Below trial it puts the
// cheapest plan first that probably meets the target but is not known to, and
// below explore even one that probably does not but may.
func Choose(plans []Plan, target, explore, draw float64) (out []Plan) {
	for _, p := range plans {
		if p.Quality.Low >= target {
			out = append(out, p)
		}
	}
	if len(out) == 0 {
		return closest(plans, target)
	}
	for _, p := range plans {
		if p.Cost >= out[0].Cost {
			break
		}
		if p.open(target, explore, draw) {
			p.Trial = true
			return append([]Plan{p}, out...)
		}
	}
	return out
}

// open reports whether a request with this draw may try the plan.
func (p Plan) open(target, explore, draw float64) bool {
	if p.Quality.Mean >= target {
		return draw < trial && explore > 0
	}
	return draw < explore && p.Quality.High >= target && p.ratings < exploreRatings
}

func closest(plans []Plan, target float64) (out []Plan) {
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
