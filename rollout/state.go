package rollout

import (
	"cmp"
	"slices"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/evidence"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/table"
	"google.golang.org/protobuf/proto"
)

const (
	// maxTests bounds the tests. At the bound, no tests for further organisations are added; the
	// tests over all organisations continue to cover them.
	maxTests = 8192
	// maxHolds bounds the stored holds; further ones are ignored.
	maxHolds = 4096
	// takeoverDelay is how much longer each judge waits than the judge that precedes it until it
	// appends a hold that is not on the log yet.
	takeoverDelay = 2 * clock.Second
	// retryInterval is how long after an append the first judge appends the hold again if it has
	// not read it from the log by then. Each judge waits this much longer than the one before it.
	retryInterval = 2 * clock.Second
	// renewInterval is the age at which a hold is appended to the log again, well within any
	// retention period.
	renewInterval = clock.Hour
	// renewRetryInterval is how long after a renewal it is tried again if the renewed hold has not
	// been read from the log.
	renewRetryInterval = 10 * clock.Second
)

// signal is a kind of outcome by which a version may be bad.
type signal int

const (
	signalErrors signal = iota
	signalRatings
	signalSlow
	signalCount
)

func (s signal) String() string {
	return [...]string{"errors", "ratings", "slow"}[s]
}

// Env is the reducer's input besides events and its own state.
type Env struct {
	Self   string
	Now    clock.Millis
	Tables *table.Tables
	VMs    []provider.VM
}

type tests [signalCount]Test

// pending is a hold that this process decided on and has not read from the log yet.
type pending struct {
	hold        *wire.Hold
	dueAt       clock.Millis
	attemptedAt clock.Millis
	attempted   bool
}

type logged struct {
	hold   *wire.Hold
	readAt clock.Millis
}

// State is the reducer of holds. It derives new holds from evidence, and the holds in force from
// the hold stream of the log.
type State struct {
	// tests holds the tests by key. A key with an empty organisation stands for all organisations.
	tests map[evidence.Key]*tests
	// logged holds the holds that are on the log; of several for one scope, the one with the
	// highest release.
	logged  map[Scope]logged
	pending map[Scope]*pending
	// alerted holds, by scope, the release for which operators were last alerted that a bad
	// version could not be held. It is cleared when it reaches maxHolds, after which alerts may
	// repeat.
	alerted map[Scope]int64
	// cached is the result of Holds for the tables cachedFor; nil if it must be computed again.
	cached    *Holds
	cachedFor *table.Tables
}

// NewState returns a state without evidence or holds.
func NewState() State {
	return State{
		tests:   make(map[evidence.Key]*tests),
		logged:  make(map[Scope]logged),
		pending: make(map[Scope]*pending),
		alerted: make(map[Scope]int64),
	}
}

// Holds returns the holds in force under the given tables. They are applied in log order, and a
// hold that would leave a route without any version that can serve it is ignored. This is needed
// because two judges may each find another version of the same model bad at the same time; both
// holds together would refuse the whole route. Pending holds of this process are applied last.
// They are in force before they are on the log, so that this process stops using a bad version
// even if the log is unavailable.
func (s *State) Holds(t *table.Tables) *Holds {
	if s.cached != nil && s.cachedFor == t {
		return s.cached
	}
	h := NewHolds()
	for _, scope := range s.inLogOrder() {
		if l := s.logged[scope]; inForce(t, scope, l.hold) && replaceable(scope, t, h) {
			h.holds[scope] = l.hold
		}
	}
	for _, scope := range sortedScopes(s.pending) {
		if p := s.pending[scope]; inForce(t, scope, p.hold) && replaceable(scope, t, h) {
			h.holds[scope] = p.hold
		}
	}
	s.cached, s.cachedFor = h, t
	return h
}

func (s *State) inLogOrder() []Scope {
	scopes := sortedScopes(s.logged)
	slices.SortStableFunc(scopes, func(a, b Scope) int { return cmp.Compare(s.logged[a].hold.GetOffset(), s.logged[b].hold.GetOffset()) })
	return scopes
}

// inForce reports whether a hold is still in force: operators have not released the version again
// since. It compares release numbers, because the offsets of the table stream and of the hold
// stream cannot be compared.
func inForce(t *table.Tables, scope Scope, h *wire.Hold) bool {
	return t == nil || h.GetReleased() >= int64(t.Versions[scope.Version].Released)
}

// Reduce applies an event and the evidence that it carried. changed is true if the holds in force
// may have changed.
func (s *State) Reduce(e event.Event, deltas []evidence.Delta, env Env) (effects []event.Effect, changed bool) {
	switch e := e.(type) {
	case event.LogRead:
		if e.Stream == provider.HoldStream {
			effects, changed = s.readRecords(e, env)
		}
	case event.DigestReceived:
		changed = s.receive(e.Digest.GetHolds(), env)
	case event.AppendDone:
		s.appendDone(e, env)
	case event.Tick:
		return s.tick(env)
	}
	for _, d := range deltas {
		more, found := s.addDelta(d, env)
		effects = append(effects, more...)
		changed = changed || found
	}
	return effects, changed
}

func (s *State) readRecords(e event.LogRead, env Env) (effects []event.Effect, changed bool) {
	for _, r := range e.Page.Records {
		h, err := Decode(r.Data)
		if err != nil {
			effects = append(effects, event.WriteLog{Message: "Hold skipped", Fields: []any{"offset", r.Offset, "reason", err}})
			continue
		}
		h.Offset = r.Offset
		isNew := s.addLogged(h, env)
		changed = changed || isNew
		if isNew {
			effects = append(effects, holdLogLine("Version held", h))
		}
	}
	return effects, changed
}

// receive applies holds that a peer has read from the log. It serves processes that read the log
// rarely or cannot read it. A hold that is already stored is not touched, in particular not its
// time of renewal: that a peer has it does not show that it is still on the log.
func (s *State) receive(holds []*wire.Hold, env Env) (changed bool) {
	for _, h := range holds[:min(len(holds), MaxDigestHolds)] {
		old, seen := s.logged[scopeOf(h)]
		if _, _, ok := table.SplitVersion(h.GetVersion()); !ok || h.GetOffset() < 0 {
			continue
		}
		if !seen || old.hold.GetReleased() < h.GetReleased() {
			changed = s.addLogged(proto.Clone(h).(*wire.Hold), env) || changed
		}
	}
	return changed
}

// addLogged stores a hold from the log and reports whether it is new. If a judge or a retry
// appended the same hold again, the offset of its first record is retained.
func (s *State) addLogged(h *wire.Hold, env Env) (isNew bool) {
	scope := scopeOf(h)
	old, seen := s.logged[scope]
	if seen && old.hold.GetReleased() > h.GetReleased() {
		return false
	}
	if !seen && len(s.logged) >= maxHolds {
		return false
	}
	isNew = !seen || old.hold.GetReleased() < h.GetReleased()
	if !isNew {
		h.Offset = old.hold.GetOffset()
	}
	s.logged[scope] = logged{hold: h, readAt: env.Now}
	delete(s.pending, scope)
	s.cached = nil
	s.resetTests(scope)
	return isNew
}

// resetTests restarts the tests of a held scope, so that evidence from before the hold does not
// count after the version is released again.
func (s *State) resetTests(scope Scope) {
	for k, t := range s.tests {
		if k.Version != scope.Version || scope.Organisation != "" && k.Organisation != scope.Organisation && k.Organisation != "" {
			continue
		}
		for i := range t {
			t[i].Reset()
		}
	}
}

func (s *State) appendDone(e event.AppendDone, env Env) {
	if e.Stream != provider.HoldStream || e.Err == nil {
		return
	}
	for scope, p := range s.pending {
		if scope.ID(p.hold.GetReleased()) == e.ID {
			p.attemptedAt = env.Now
		}
	}
}
