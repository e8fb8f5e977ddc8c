package rollout

import (
	"slices"

	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/evidence"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/table"
)

// addDelta adds evidence to the test of its organisation and to the test over all organisations,
// and evaluates both.
func (s *State) addDelta(d evidence.Delta, env Env) (effects []event.Effect, changed bool) {
	if env.Tables == nil {
		return nil, false
	}
	route, ok := env.Tables.Routes[d.Key.Route]
	if !ok || !route.Allows(d.Key.Version) || s.Holds(env.Tables).Held(d.Key.Version, d.Key.Organisation) {
		return nil, false
	}
	all := d.Key
	all.Organisation = ""
	limits := limitsOf(env.Tables, route, d.Key.Version)
	overall := s.totals(all)
	for _, k := range []evidence.Key{all, d.Key} {
		t := s.testsOf(k)
		if t == nil {
			continue
		}
		control := s.control(k, route)
		for i, sample := range samplesOf(d.Stats) {
			if sample.N > 0 || sample.Bad > 0 {
				t[i].Add(sample, limits[i], control[i], overall[i])
			}
		}
	}
	for _, k := range []evidence.Key{all, d.Key} {
		more, found := s.evaluate(k, route, limits, env)
		effects = append(effects, more...)
		changed = changed || found
	}
	return effects, changed
}

func (s *State) totals(k evidence.Key) (out [signalCount]Sample) {
	if t, ok := s.tests[k]; ok {
		for i := range out {
			out[i] = t[i].total
		}
	}
	return out
}

func (s *State) testsOf(k evidence.Key) *tests {
	t, ok := s.tests[k]
	if !ok && (len(s.tests) < maxTests || k.Organisation == "") {
		t = &tests{}
		s.tests[k] = t
	}
	return t
}

// limitsOf returns, by signal, the rate up to which a version on a route counts as good.
func limitsOf(t *table.Tables, r table.Route, version string) (out [signalCount]float64) {
	h := r.Hold.WithDefaults()
	const minRate, maxRate = 0.001, 0.95
	out[signalErrors] = h.Errors
	out[signalSlow] = h.Slow
	out[signalRatings] = 1 - t.Versions[version].Quality + h.RatingLoss
	for i := range out {
		out[i] = min(max(out[i], minRate), maxRate)
	}
	return out
}

// samplesOf splits stats by signal. Errors are compared with started answers instead of ended
// ones: errors end sooner, so that in its first seconds even a good version would have mostly
// errors among its ended answers.
func samplesOf(stats evidence.Stats) (out [signalCount]Sample) {
	out[signalErrors] = Sample{N: float64(stats.Started + stats.Errors), Bad: float64(stats.Errors)}
	out[signalSlow] = Sample{N: float64(stats.Good), Bad: float64(stats.Slow)}
	out[signalRatings] = Sample{N: float64(stats.Ratings), Bad: float64(stats.Ratings) - stats.RatingSum}
	return out
}

// control sums the samples of the versions to compare with: the others of the same model, on the
// same route, for the same organisation.
func (s *State) control(k evidence.Key, r table.Route) (out [signalCount]Sample) {
	model, _, _ := table.SplitVersion(k.Version)
	for _, m := range r.Models {
		if m.Model != model {
			continue
		}
		for number := range m.Shares {
			other := table.VersionName(model, number)
			if other == k.Version {
				continue
			}
			for i, total := range s.totals(evidence.Key{Route: k.Route, Version: other, Organisation: k.Organisation}) {
				out[i] = out[i].plus(total)
			}
		}
	}
	return out
}

// evaluate holds the version if a test of the key requires it.
func (s *State) evaluate(k evidence.Key, r table.Route, limits [signalCount]float64, env Env) (effects []event.Effect, changed bool) {
	t := s.tests[k]
	if t == nil || s.Holds(env.Tables).Held(k.Version, k.Organisation) {
		return nil, false
	}
	control := s.control(k, r)
	all := s.control(evidence.Key{Route: k.Route, Version: k.Version}, r)
	compared := hasControl(env.Tables, r, Scope{k.Version, k.Organisation}, s.Holds(env.Tables))
	for i := range signalCount {
		if !t[i].Crossed(control[i], compared && all[i].N > 0, i == signalSlow) {
			continue
		}
		scope := Scope{Version: k.Version, Organisation: k.Organisation}
		if k.Organisation == "" {
			scope.Organisation = s.soleOrganisation(k, i, limits[i])
		}
		hold := &wire.Hold{
			Version: scope.Version, Organisation: scope.Organisation,
			Released: int64(env.Tables.Versions[k.Version].Released),
			Signal:   i.String(), Route: k.Route, Seen: t[i].sinceReset.N, Bad: t[i].sinceReset.Bad, Limit: limits[i], Judge: env.Self, Offset: -1,
		}
		return s.hold(scope, hold, env)
	}
	return nil, false
}

// soleOrganisation returns the organisation for which the version is bad if it is good for all
// others; "" otherwise.
func (s *State) soleOrganisation(all evidence.Key, i signal, limit float64) string {
	worst, highest := "", threshold/2
	for k, t := range s.tests {
		if k.Route != all.Route || k.Version != all.Version || k.Organisation == "" {
			continue
		}
		if e := t[i].statistic(); e > highest || e == highest && k.Organisation < worst {
			worst, highest = k.Organisation, e
		}
	}
	if worst == "" {
		return ""
	}
	own := all
	own.Organisation = worst
	t := &s.tests[own][i]
	rest := s.tests[all][i].total.minus(t.overallAtStart).minus(t.sinceReset)
	if rest.N >= minOtherOutcomes && rest.rate() <= limit {
		return worst
	}
	return ""
}

// minOtherOutcomes is how many outcomes the other organisations must have had, within the limit,
// before a version is held for one organisation only.
const minOtherOutcomes = 30

// hold makes a hold pending, to be appended to the log. The last version that can serve a route is
// not held, since that would refuse all requests of the route; operators are alerted instead.
func (s *State) hold(scope Scope, h *wire.Hold, env Env) (effects []event.Effect, changed bool) {
	s.resetTests(scope)
	if !replaceable(scope, env.Tables, s.Holds(env.Tables)) {
		if release, ok := s.alerted[scope]; ok && release == h.GetReleased() {
			return nil, false
		}
		if len(s.alerted) >= maxHolds {
			clear(s.alerted)
		}
		s.alerted[scope] = h.GetReleased()
		return []event.Effect{holdLogLine("Version is bad but the last one of a route", h)}, false
	}
	if len(s.pending) >= maxHolds {
		return nil, false
	}
	s.pending[scope] = &pending{hold: h, dueAt: env.Now}
	s.cached = nil
	effects, _ = s.tick(env)
	return effects, true
}

// replaceable reports whether every route that sends work to the scope's version can use another
// version instead.
func replaceable(scope Scope, t *table.Tables, holds *Holds) bool {
	if t == nil {
		return true
	}
	for _, r := range t.Routes {
		if r.Allows(scope.Version) && !hasAlternative(t, r, scope, holds) {
			return false
		}
	}
	return true
}

func hasAlternative(t *table.Tables, r table.Route, scope Scope, holds *Holds) bool {
	return slices.ContainsFunc(r.Models, func(m table.RouteModel) bool { return modelHasAlternative(t, m, r.QualityTarget, scope, holds) })
}

// hasControl reports whether another version of the same model gets work on the route, so that the
// version can be compared with it.
func hasControl(t *table.Tables, r table.Route, scope Scope, holds *Holds) bool {
	model, _, _ := table.SplitVersion(scope.Version)
	return slices.ContainsFunc(r.Models, func(m table.RouteModel) bool {
		return m.Model == model && modelHasAlternative(t, m, 0, scope, holds)
	})
}

// modelHasAlternative reports whether the model has another version in use whose configured
// quality meets the target.
func modelHasAlternative(t *table.Tables, m table.RouteModel, target float64, scope Scope, holds *Holds) bool {
	for number, share := range m.Shares {
		other := table.VersionName(m.Model, number)
		if other == scope.Version || share == 0 || t.Versions[other].Withdrawn || t.Versions[other].Quality < target {
			continue
		}
		if !holds.Held(other, scope.Organisation) {
			return true
		}
	}
	return false
}
