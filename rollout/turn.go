package rollout

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/evidence"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
)

// tick appends pending holds when it is this process's turn, and renews logged
// ones before the log drops them.
func (s *State) tick(known Env) (effects []event.Effect, changed bool) {
	if known.Tables == nil {
		return nil, false
	}
	for _, scope := range sortedScopes(s.pending) {
		p := s.pending[scope]
		if !inForce(known.Tables, scope, p.hold) {
			delete(s.pending, scope)
			s.current = nil
			changed = true
			continue
		}
		place := turn(known, scope.Version)
		again := retryEvery * clock.Millis(1+place)
		if known.Now < p.dueAt+stepIn*clock.Millis(place) || p.tried && known.Now < p.triedAt+again {
			continue
		}
		p.tried = true
		p.triedAt = known.Now
		effects = append(effects, appendOf(scope, p.hold))
	}
	return append(effects, s.renew(known)...), changed
}

func (s *State) renew(known Env) (effects []event.Effect) {
	for _, scope := range sortedScopes(s.logged) {
		l := s.logged[scope]
		if !inForce(known.Tables, scope, l.hold) {
			delete(s.logged, scope)
			s.current = nil
			continue
		}
		place := turn(known, scope.Version)
		wait := renewEvery + stepIn*clock.Millis(place)
		if known.Now-l.readAt < wait || place >= evidence.JudgeCount || !s.Holds(known.Tables).has(scope) {
			continue
		}
		l.readAt = known.Now - wait + renewAgain
		s.logged[scope] = l
		effects = append(effects, appendOf(scope, l.hold))
	}
	return effects
}

// turn is this process's place among the judges of a version.
func turn(known Env, version string) int {
	judges := evidence.Judges(known.VMs, version)
	if i := slices.Index(judges, known.Self); i >= 0 {
		return i
	}
	return len(judges)
}

func appendOf(scope Scope, h *wire.Hold) event.Effect {
	data, err := Encode(h)
	if err != nil {
		return event.Report{Message: "Hold not encoded", Fields: []any{"reason", err}}
	}
	return event.Append{Stream: provider.HoldStream, ID: scope.ID(h.GetReleased()), Data: data}
}

func report(message string, h *wire.Hold) event.Report {
	return event.Report{Message: message, Fields: []any{
		"version", h.GetVersion(), "organisation", h.GetOrganisation(), "released", h.GetReleased(),
		"signal", h.GetSignal(), "route", h.GetRoute(), "seen", h.GetSeen(), "bad", h.GetBad(), "limit", h.GetLimit(), "judge", h.GetJudge(),
	}}
}

func sortedScopes[V any](m map[Scope]V) (out []Scope) {
	for scope := range m {
		out = append(out, scope)
	}
	slices.SortFunc(out, func(a, b Scope) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Organisation, b.Organisation))
	})
	return out
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
