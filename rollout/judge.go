package rollout

import (
	"slices"

	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/evidence"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/table"
)

// take adds evidence to the tests of its own organisation and of all.
func (s *State) take(d evidence.Delta, known Env) (effects []event.Effect, changed bool) {
	if known.Tables == nil {
		return nil, false
	}
	route, ok := known.Tables.Routes[d.Key.Route]
	if !ok || !route.Allows(d.Key.Version) || s.Holds(known.Tables).Held(d.Key.Version, d.Key.Organisation) {
		return nil, false
	}
	all := d.Key
	all.Organisation = ""
	limits := limitsOf(known.Tables, route, d.Key.Version)
	whole := s.totals(all)
	for _, k := range []evidence.Key{all, d.Key} {
		t := s.test(k)
		if t == nil {
			continue
		}
		control := s.control(k, route)
		for i, sample := range samplesOf(d.Stats) {
			if sample.N > 0 || sample.Bad > 0 {
				t[i].Add(sample, limits[i], control[i], whole[i])
			}
		}
	}
	for _, k := range []evidence.Key{all, d.Key} {
		more, due := s.judge(k, route, limits, known)
		effects = append(effects, more...)
		changed = changed || due
	}
	return effects, changed
}

func (s *State) totals(k evidence.Key) (out [signals]Sample) {
	if t, ok := s.tests[k]; ok {
		for i := range out {
			out[i] = t[i].total
		}
	}
	return out
}

func (s *State) test(k evidence.Key) *tests {
	t, ok := s.tests[k]
	if !ok && (len(s.tests) < maxTests || k.Organisation == "") {
		t = &tests{}
		s.tests[k] = t
	}
	return t
}

// limitsOf returns the rates up to which a version on a route is good.
func limitsOf(t *table.Tables, r table.Route, version string) (out [signals]float64) {
	h := r.Hold.WithDefaults()
	const least, most = 0.001, 0.95
	out[failing] = h.Errors
	out[slowing] = h.Slow
	out[rating] = 1 - t.Versions[version].Quality + h.RatingLoss
	for i := range out {
		out[i] = min(max(out[i], least), most)
	}
	return out
}

// samplesOf parts a tally by signal. Errors are set against answers begun, not
// against answers ended: errors end sooner, so that the first seconds of a good
// version would show its errors alone.
func samplesOf(t evidence.Stats) (out [signals]Sample) {
	out[failing] = Sample{N: float64(t.Started + t.Errors), Bad: float64(t.Errors)}
	out[slowing] = Sample{N: float64(t.Good), Bad: float64(t.Slow)}
	out[rating] = Sample{N: float64(t.Ratings), Bad: float64(t.Ratings) - t.RatingSum}
	return out
}

// control sums the other versions of the same model on the same route for the
// same organisation.
func (s *State) control(k evidence.Key, r table.Route) (out [signals]Sample) {
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

// judge finds a hold due when a test of the key has crossed.
func (s *State) judge(k evidence.Key, r table.Route, limits [signals]float64, known Env) (effects []event.Effect, changed bool) {
	t := s.tests[k]
	if t == nil || s.Holds(known.Tables).Held(k.Version, k.Organisation) {
		return nil, false
	}
	control := s.control(k, r)
	all := s.control(evidence.Key{Route: k.Route, Version: k.Version}, r)
	besides := sharesWithAnother(known.Tables, r, Scope{k.Version, k.Organisation}, s.Holds(known.Tables))
	for i := range signals {
		if !t[i].Crossed(control[i], besides && all[i].N > 0, i == slowing) {
			continue
		}
		scope := Scope{Version: k.Version, Organisation: k.Organisation}
		if k.Organisation == "" {
			scope.Organisation = s.onlyOne(k, i, limits[i])
		}
		hold := &wire.Hold{
			Version: scope.Version, Organisation: scope.Organisation,
			Released: int64(known.Tables.Versions[k.Version].Released),
			Signal:   i.String(), Route: k.Route, Seen: t[i].since.N, Bad: t[i].since.Bad, Limit: limits[i], Judge: known.Self, Offset: -1,
		}
		return s.find(scope, hold, known)
	}
	return nil, false
}

// onlyOne names the organisation that alone sees the version go wrong, or "".
func (s *State) onlyOne(all evidence.Key, i signal, limit float64) string {
	worst, most := "", threshold/2
	for k, t := range s.tests {
		if k.Route != all.Route || k.Version != all.Version || k.Organisation == "" {
			continue
		}
		if e := t[i].evidence(); e > most || e == most && k.Organisation < worst {
			worst, most = k.Organisation, e
		}
	}
	if worst == "" {
		return ""
	}
	own := all
	own.Organisation = worst
	t := &s.tests[own][i]
	rest := s.tests[all][i].total.minus(t.wholeAt).minus(t.since)
	if rest.N >= onlyOneLeast && rest.rate() <= limit {
		return worst
	}
	return ""
}

// onlyOneLeast is how many outcomes of other organisations must speak for the
// version before it is held for one only.
const onlyOneLeast = 30

// find makes a hold pending. The last version that a route can still serve is
// not held: that would refuse everything, so operators are told instead.
func (s *State) find(scope Scope, h *wire.Hold, known Env) (effects []event.Effect, changed bool) {
	s.reset(scope)
	if !replaceable(scope, known.Tables, s.Holds(known.Tables)) {
		if told, ok := s.reported[scope]; ok && told == h.GetReleased() {
			return nil, false
		}
		if len(s.reported) >= maxHolds {
			clear(s.reported)
		}
		s.reported[scope] = h.GetReleased()
		return []event.Effect{report("Version is bad but the last one of a route", h)}, false
	}
	if len(s.pending) >= maxHolds {
		return nil, false
	}
	s.pending[scope] = &pending{hold: h, dueAt: known.Now}
	s.current = nil
	effects, _ = s.tick(known)
	return effects, true
}

// replaceable reports whether every route that gives work to the version has
// another one to give it to.
func replaceable(scope Scope, t *table.Tables, holds *Holds) bool {
	if t == nil {
		return true
	}
	for _, r := range t.Routes {
		if r.Allows(scope.Version) && !anotherOf(t, r, scope, holds) {
			return false
		}
	}
	return true
}

func anotherOf(t *table.Tables, r table.Route, scope Scope, holds *Holds) bool {
	return slices.ContainsFunc(r.Models, func(m table.RouteModel) bool { return anotherIn(t, m, r.QualityTarget, scope, holds) })
}

// sharesWithAnother reports whether another version of the same model gets work
// of the route, so that there is something to compare with.
func sharesWithAnother(t *table.Tables, r table.Route, scope Scope, holds *Holds) bool {
	model, _, _ := table.SplitVersion(scope.Version)
	return slices.ContainsFunc(r.Models, func(m table.RouteModel) bool {
		return m.Model == model && anotherIn(t, m, 0, scope, holds)
	})
}

// anotherIn reports whether a model has another version in use whose quality
// meets a target by the operators' word.
func anotherIn(t *table.Tables, m table.RouteModel, target float64, scope Scope, holds *Holds) bool {
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
