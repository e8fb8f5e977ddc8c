package choice

import (
	"github.com/parsleydeal/parsleydeal/quality"
	"github.com/parsleydeal/parsleydeal/table"
	"github.com/parsleydeal/parsleydeal/view"
)

// expectedAnswerTokens is the assumed length of an answer when the cost of plans is computed.
const expectedAnswerTokens = 300

// Plans lists the plans by which a request may be answered, best first. Of each model of the route
// they use the version that SelectVersion returns.
func Plans(v *view.View, r table.Route, q PlanQuery) []quality.Plan {
	const resolution = 1 << 53
	draw := float64(rehash(rehash(q.Hash))>>11) / resolution
	return quality.Choose(quality.Plans(options(v, r, q), r.QualityTarget, r.Cascade), r.QualityTarget, r.Explore, draw)
}

// PlanQuery describes the request that plans are made for.
type PlanQuery struct {
	Route        string
	Organisation string
	// Hash is the hash of the session, or of the request if it has no session.
	Hash uint64
	// InputTokens is the approximate length of the prompt.
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
		Cost:    float64(row.Cost(q.InputTokens, expectedAnswerTokens)),
		Prior:   row.Quality,
		Sum:     v.Quality().Sum(quality.Key{Route: q.Route, Version: version}),
	}
}

// SessionPlans returns the plan of a session that stays on a version. On a route with cascades, it
// is the cheapest plan that starts with the version and meets the quality target. On other routes,
// or if there is no such plan, it is the version alone.
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
