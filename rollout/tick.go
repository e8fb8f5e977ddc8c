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

// tick appends pending holds to the log if it is this process's turn, and appends logged ones
// again before the log's retention ends.
func (s *State) tick(env Env) (effects []event.Effect, changed bool) {
	if env.Tables == nil {
		return nil, false
	}
	for _, scope := range sortedScopes(s.pending) {
		p := s.pending[scope]
		if !inForce(env.Tables, scope, p.hold) {
			delete(s.pending, scope)
			s.cached = nil
			changed = true
			continue
		}
		rank := judgeRank(env, scope.Version)
		retryDelay := retryInterval * clock.Millis(1+rank)
		if env.Now < p.dueAt+takeoverDelay*clock.Millis(rank) || p.attempted && env.Now < p.attemptedAt+retryDelay {
			continue
		}
		p.attempted = true
		p.attemptedAt = env.Now
		effects = append(effects, appendEffect(scope, p.hold))
	}
	return append(effects, s.renew(env)...), changed
}

func (s *State) renew(env Env) (effects []event.Effect) {
	for _, scope := range sortedScopes(s.logged) {
		l := s.logged[scope]
		if !inForce(env.Tables, scope, l.hold) {
			delete(s.logged, scope)
			s.cached = nil
			continue
		}
		rank := judgeRank(env, scope.Version)
		wait := renewInterval + takeoverDelay*clock.Millis(rank)
		if env.Now-l.readAt < wait || rank >= evidence.JudgeCount || !s.Holds(env.Tables).has(scope) {
			continue
		}
		l.readAt = env.Now - wait + renewRetryInterval
		s.logged[scope] = l
		effects = append(effects, appendEffect(scope, l.hold))
	}
	return effects
}

// judgeRank returns this process's position among the judges of a version, from 0; the number of
// judges if it is none of them.
func judgeRank(env Env, version string) int {
	judges := evidence.Judges(env.VMs, version)
	if i := slices.Index(judges, env.Self); i >= 0 {
		return i
	}
	return len(judges)
}

func appendEffect(scope Scope, h *wire.Hold) event.Effect {
	data, err := Encode(h)
	if err != nil {
		return event.WriteLog{Message: "Could not encode hold", Fields: []any{"reason", err}}
	}
	return event.Append{Stream: provider.HoldStream, ID: scope.ID(h.GetReleased()), Data: data}
}

func holdLogLine(message string, h *wire.Hold) event.WriteLog {
	return event.WriteLog{Message: message, Fields: []any{
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
