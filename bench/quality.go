package main

import (
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/choice"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/evidence"
	"github.com/parsleydeal/parsleydeal/membership"
	"github.com/parsleydeal/parsleydeal/quality"
	"github.com/parsleydeal/parsleydeal/table"
	"github.com/parsleydeal/parsleydeal/view"
)

const (
	qualityRequests = 40_000
	qualityGap      = 50 * clock.Millis(1) // between requests at the entry
	judgeNoise      = 0.05                 // part of the judge's words that are wrong
)

// qualityCase is one route and the truth about its versions.
type qualityCase struct {
	name    string
	target  float64
	cascade bool
	explore float64
	// prior is the operators' word, truth what raters find.
	prior map[string]float64
	truth map[string]float64
}

var modelCosts = map[string]int64{"small": 1000, "medium": 3000, "large": 10_000}

var qualityCases = []qualityCase{
	{
		name: "good-priors", target: 0.85, explore: 0.02,
		prior: map[string]float64{"small": 0.72, "medium": 0.88, "large": 0.95},
		truth: map[string]float64{"small": 0.72, "medium": 0.88, "large": 0.95},
	},
	{
		name: "cheap-overrated", target: 0.8, explore: 0.02,
		prior: map[string]float64{"small": 0.85, "medium": 0.88, "large": 0.95},
		truth: map[string]float64{"small": 0.65, "medium": 0.87, "large": 0.95},
	},
	{
		name: "cheap-underrated", target: 0.8, explore: 0.02,
		prior: map[string]float64{"small": 0.78, "medium": 0.88, "large": 0.95},
		truth: map[string]float64{"small": 0.86, "medium": 0.88, "large": 0.95},
	},
	{
		name: "cascade", target: 0.93, cascade: true, explore: 0.02,
		prior: map[string]float64{"small": 0.75, "medium": 0.88, "large": 0.95},
		truth: map[string]float64{"small": 0.7, "medium": 0.85, "large": 0.95},
	},
	{
		name: "cascade-of-poor", target: 0.93, cascade: true, explore: 0.02,
		prior: map[string]float64{"small": 0.6, "medium": 0.88, "large": 0.95},
		truth: map[string]float64{"small": 0.05, "medium": 0.8, "large": 0.95},
	},
}

func (c qualityCase) tables() *table.Tables {
	t := &table.Tables{Versions: map[string]table.Version{}, Routes: map[string]table.Route{}}
	r := table.Route{QualityTarget: c.target, Cascade: c.cascade, Explore: c.explore}
	for model, cost := range modelCosts {
		t.Versions[model+"@1"] = table.Version{InputCost: cost, OutputCost: cost, Quality: c.prior[model]}
		r.Models = append(r.Models, table.RouteModel{Model: model, Shares: map[string]float64{"1": 1}})
	}
	t.Routes["route"] = r
	return t
}

func (c qualityCase) true(version string) float64 {
	model, _, _ := table.SplitVersion(version)
	return c.truth[model]
}

// planner chooses the plan of a request.
type planner func(v *view.View, q choice.PlanQuery) quality.Plan

// qualityRun serves requests with one planner; the rater's words come late.
type qualityRun struct {
	c        qualityCase
	rng      *rand.Rand
	tables   *table.Tables
	evidence evidence.State
	quality  quality.State
	sampler  *quality.Sampler
	due      []dueRating
	cost     float64
	good     float64
}

type dueRating struct {
	at clock.Millis
	e  event.Event
}

func (r *qualityRun) feed(e event.Event) {
	deltas, _ := r.evidence.Reduce(e)
	r.quality.Reduce(e, deltas)
}

// run returns the mean cost and the mean quality delivered.
func (r *qualityRun) run(plan planner) (cost, good float64) {
	for i := range qualityRequests {
		now := clock.Millis(i+1) * qualityGap
		r.feed(event.Tick{Now: now})
		for len(r.due) > 0 && r.due[0].at <= now {
			r.feed(r.due[0].e)
			r.due = r.due[1:]
		}
		v := view.New(r.tables, 0, 0, &membership.Members{}, false).WithEvidence(nil, nil, r.quality.Snapshot())
		q := choice.PlanQuery{Route: "route", Organisation: "o", Hash: xxhash.Sum64([]byte{byte(i), byte(i >> 8), byte(i >> 16)}), InputTokens: 700}
		r.serve(now, plan(v, q))
	}
	return r.cost / qualityRequests, r.good / qualityRequests
}

func (r *qualityRun) price(version string) float64 {
	return float64(r.tables.Versions[version].Cost(700, 300))
}

func (r *qualityRun) serve(now clock.Millis, p quality.Plan) {
	r.cost += r.price(p.First)
	score := r.score(p.First)
	if !p.Cascade() {
		r.good += score
		known := r.quality.Snapshot().Sum(quality.Key{Route: "route", Version: p.First}).Ratings
		if r.sampler.Sample(now, known, p.Trial) && r.rng.Float64() > ratingLoss {
			r.due = append(r.due, dueRating{now + ratingAfter, event.Rated{Now: now, Route: "route", Version: p.First, Organisation: "o", Score: score}})
		}
		return
	}
	word := score
	if r.rng.Float64() < judgeNoise {
		word = 1 - word
	}
	pass := word >= r.c.target
	r.feed(event.CascadeRated{Now: now, Route: "route", Version: p.First, Organisation: "o", Score: word, Passed: pass})
	if !pass {
		r.cost += r.price(p.Second)
		score = r.score(p.Second)
	}
	r.good += score
}

// score is the worth of one answer: good or not.
func (r *qualityRun) score(version string) float64 {
	if r.rng.Float64() < r.c.true(version) {
		return 1
	}
	return 0
}

func newQualityRun(c qualityCase) *qualityRun {
	return &qualityRun{
		c: c, rng: rand.New(rand.NewPCG(3, 4)), tables: c.tables(),
		evidence: evidence.NewState("entry", 1), quality: quality.NewState(), sampler: quality.NewSampler(),
	}
}

// ours is what the entry does.
func (r *qualityRun) ours(v *view.View, q choice.PlanQuery) quality.Plan {
	plans := choice.Plans(v, r.tables.Routes["route"], q)
	if len(plans) == 0 {
		return quality.Plan{First: "large@1"}
	}
	return plans[0]
}

func fixed(p quality.Plan) planner {
	return func(*view.View, choice.PlanQuery) quality.Plan { return p }
}

// oracle knows the truth, the judge's noise included, and takes the cheapest
// plan that meets the target.
func (r *qualityRun) oracle() quality.Plan {
	best, least := quality.Plan{First: "large@1"}, math.Inf(1)
	for first := range modelCosts {
		a := first + "@1"
		if q := r.c.true(a); q >= r.c.target && r.price(a) < least {
			best, least = quality.Plan{First: a}, r.price(a)
		}
		for second := range modelCosts {
			b := second + "@1"
			if !r.c.cascade || modelCosts[second] <= modelCosts[first] {
				continue
			}
			q := r.c.true(a)
			pass := q*(1-judgeNoise) + (1-q)*judgeNoise
			got := q*(1-judgeNoise) + (1-pass)*r.c.true(b)
			if cost := r.price(a) + (1-pass)*r.price(b); got >= r.c.target && cost < least {
				best, least = quality.Plan{First: a, Second: b}, cost
			}
		}
	}
	return best
}

// benchQuality measures mean cost and how far quality falls short of the target.
func benchQuality() (out []Figure) {
	for _, c := range qualityCases {
		measure := func(name string, r *qualityRun, p planner) {
			cost, good := r.run(p)
			prefix := "quality/" + name + "/" + c.name + "/"
			out = append(out, Figure{prefix + "cost", cost}, Figure{prefix + "quality", good}, Figure{prefix + "quality-short", max(c.target-good, 0)})
		}
		ours := newQualityRun(c)
		measure("ours", ours, ours.ours)
		measure("always-dear", newQualityRun(c), fixed(quality.Plan{First: "large@1"}))
		measure("always-cheap", newQualityRun(c), fixed(quality.Plan{First: "small@1"}))
		measure("fixed-cascade", newQualityRun(c), fixed(quality.Plan{First: "small@1", Second: "large@1"}))
		best := newQualityRun(c)
		measure("oracle", best, fixed(best.oracle()))
	}
	return out
}
