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
	qualityInterval = 50 * clock.Millis(1) // between two requests
	judgeErrorRatio = 0.05                 // fraction of first answers of cascades that get a wrong score
)

// qualityCase is one route with the configured and the true qualities of its models.
type qualityCase struct {
	name    string
	target  float64
	cascade bool
	explore float64
	// prior is the quality of each model as operators configure it, truth the quality as raters
	// find it.
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

func (c qualityCase) trueQuality(version string) float64 {
	model, _, _ := table.SplitVersion(version)
	return c.truth[model]
}

// planner chooses the plan of a request: the version to run and, for a cascade, the one to escalate
// to.
type planner func(v *view.View, q choice.PlanQuery) quality.Plan

// qualityRun simulates requests whose plans come from one planner. Ratings of answers arrive after
// ratingDelay.
type qualityRun struct {
	c              qualityCase
	rng            *rand.Rand
	tables         *table.Tables
	evidence       evidence.State
	quality        quality.State
	sampler        *quality.Sampler
	pendingRatings []pendingRating
	totalCost      float64
	totalQuality   float64
}

type pendingRating struct {
	at    clock.Millis
	rated event.Event
}

func (r *qualityRun) reduce(e event.Event) {
	deltas, _ := r.evidence.Reduce(e)
	r.quality.Reduce(e, deltas)
}

// run returns the mean cost and the mean quality of the delivered answers.
func (r *qualityRun) run(plan planner) (cost, meanQuality float64) {
	for i := range qualityRequests {
		now := clock.Millis(i+1) * qualityInterval
		r.reduce(event.Tick{Now: now})
		for len(r.pendingRatings) > 0 && r.pendingRatings[0].at <= now {
			r.reduce(r.pendingRatings[0].rated)
			r.pendingRatings = r.pendingRatings[1:]
		}
		v := view.New(r.tables, 0, 0, &membership.Members{}, false).WithEvidence(nil, nil, r.quality.Snapshot())
		q := choice.PlanQuery{Route: "route", Organisation: "o", Hash: xxhash.Sum64([]byte{byte(i), byte(i >> 8), byte(i >> 16)}), InputTokens: 700}
		r.serve(now, plan(v, q))
	}
	return r.totalCost / qualityRequests, r.totalQuality / qualityRequests
}

func (r *qualityRun) versionCost(version string) float64 {
	return float64(r.tables.Versions[version].Cost(700, 300))
}

func (r *qualityRun) serve(now clock.Millis, p quality.Plan) {
	r.totalCost += r.versionCost(p.First)
	score := r.drawScore(p.First)
	if !p.Cascade() {
		r.totalQuality += score
		ratings := r.quality.Snapshot().Sum(quality.Key{Route: "route", Version: p.First}).Ratings
		if r.sampler.Sample(now, ratings, p.Trial) && r.rng.Float64() > ratingLossRatio {
			r.pendingRatings = append(r.pendingRatings, pendingRating{now + ratingDelay, event.Rated{Now: now, Route: "route", Version: p.First, Organisation: "o", Score: score}})
		}
		return
	}
	judgeScore := score
	if r.rng.Float64() < judgeErrorRatio {
		judgeScore = 1 - judgeScore
	}
	passed := judgeScore >= r.c.target
	r.reduce(event.CascadeRated{Now: now, Route: "route", Version: p.First, Organisation: "o", Score: judgeScore, Passed: passed})
	if !passed {
		r.totalCost += r.versionCost(p.Second)
		score = r.drawScore(p.Second)
	}
	r.totalQuality += score
}

// drawScore draws the score of one answer: 1 with a probability of the version's true quality,
// otherwise 0.
func (r *qualityRun) drawScore(version string) float64 {
	if r.rng.Float64() < r.c.trueQuality(version) {
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

// entryPlan selects a plan with the functions that the entry uses.
func (r *qualityRun) entryPlan(v *view.View, q choice.PlanQuery) quality.Plan {
	plans := choice.Plans(v, r.tables.Routes["route"], q)
	if len(plans) == 0 {
		return quality.Plan{First: "large@1"}
	}
	return plans[0]
}

func fixedPlan(p quality.Plan) planner {
	return func(*view.View, choice.PlanQuery) quality.Plan { return p }
}

// oracle returns the cheapest plan that meets the target. It knows the true qualities and
// judgeErrorRatio, unlike the planner under test.
func (r *qualityRun) oracle() quality.Plan {
	best, minCost := quality.Plan{First: "large@1"}, math.Inf(1)
	for first := range modelCosts {
		a := first + "@1"
		if q := r.c.trueQuality(a); q >= r.c.target && r.versionCost(a) < minCost {
			best, minCost = quality.Plan{First: a}, r.versionCost(a)
		}
		for second := range modelCosts {
			b := second + "@1"
			if !r.c.cascade || modelCosts[second] <= modelCosts[first] {
				continue
			}
			q := r.c.trueQuality(a)
			passRatio := q*(1-judgeErrorRatio) + (1-q)*judgeErrorRatio
			delivered := q*(1-judgeErrorRatio) + (1-passRatio)*r.c.trueQuality(b)
			if cost := r.versionCost(a) + (1-passRatio)*r.versionCost(b); delivered >= r.c.target && cost < minCost {
				best, minCost = quality.Plan{First: a, Second: b}, cost
			}
		}
	}
	return best
}

// benchQuality measures the mean cost and how far the mean quality is below the target.
func benchQuality() (out []Figure) {
	for _, c := range qualityCases {
		measure := func(name string, r *qualityRun, p planner) {
			cost, meanQuality := r.run(p)
			prefix := "quality/" + name + "/" + c.name + "/"
			out = append(out, Figure{prefix + "cost", cost}, Figure{prefix + "quality", meanQuality}, Figure{prefix + "quality-short", max(c.target-meanQuality, 0)})
		}
		production := newQualityRun(c)
		measure("ours", production, production.entryPlan)
		measure("always-dear", newQualityRun(c), fixedPlan(quality.Plan{First: "large@1"}))
		measure("always-cheap", newQualityRun(c), fixedPlan(quality.Plan{First: "small@1"}))
		measure("fixed-cascade", newQualityRun(c), fixedPlan(quality.Plan{First: "small@1", Second: "large@1"}))
		best := newQualityRun(c)
		measure("oracle", best, fixedPlan(best.oracle()))
	}
	return out
}
