package choice

import (
	"github.com/parsleydeal/parsleydeal/quality"
	"github.com/parsleydeal/parsleydeal/table"
	"github.com/parsleydeal/parsleydeal/view"
)

// answerTokens is how long an answer is taken to be when plans are priced.
const answerTokens = 300

// Plans lists the plans that may serve a request, the best first. From each
// model of the route it takes the version on which the request's hash falls.
func Plans(v *view.View, r table.Route, q PlanQuery) []quality.Plan {
	const fraction = 1 << 53
	draw := float64(again(again(q.Hash))>>11) / fraction
	return quality.Choose(quality.Plans(options(v, r, q), r.QualityTarget, r.Cascade), r.QualityTarget, r.Explore, draw)
}

// PlanQuery asks for plans.
type PlanQuery struct {
	Route        string
	Organisation string
	// Hash is the session's or the request's own.
	Hash uint64
	// InputTokens is about how long the prompt is.
	InputTokens int64
}

func options(v *view.View, r table.Route, q PlanQuery) (out []quality.Option) {
	for _, m := range r.Models {
		if version := SelectVersion(v.Tables(), v.Holds(), m, q.Organisation, q.Hash); version != "" {
			out = append(out, option(v, version, q))
		}
	}
	return out
}

func option(v *view.View, version string, q PlanQuery) quality.Option {
	row := v.Tables().Versions[version]
	return quality.Option{
		Version: version,
		Cost:    float64(row.Cost(q.InputTokens, answerTokens)),
		Prior:   row.Quality,
		Sum:     v.Quality().Sum(quality.Key{Route: q.Route, Version: version}),
	}
}

// SessionPlans lists the plans of a session that keeps a version: the cheapest cascade
// from it when the route's target asks for one, or the version alone.
func SessionPlans(v *view.View, r table.Route, q PlanQuery, version string) []quality.Plan {
	alone := []quality.Plan{{First: version}}
	if !r.Cascade {
		return alone
	}
	all := []quality.Option{option(v, version, q)}
	for _, o := range options(v, r, q) {
		if o.Version != version {
			all = append(all, o)
		}
	}
	for _, p := range quality.Plans(all, r.QualityTarget, true) {
		if p.First == version && p.Quality.Low >= r.QualityTarget {
			return []quality.Plan{p}
		}
	}
	return alone
}
