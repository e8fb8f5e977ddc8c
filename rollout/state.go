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
	// maxTests bounds the tests. Above it new organisations get no tests of their own; the test
	// over all organisations continues.
	maxTests = 8192
	// maxHolds bounds the stored holds; further ones are ignored.
	maxHolds = 4096
	// takeoverDelay is how much later each next judge appends a hold that is not yet on the log.
	takeoverDelay = 2 * clock.Second
	// retryInterval is the delay before the first judge appends again. Each next judge waits this
	// much longer.
	retryInterval = 2 * clock.Second
	// renewInterval is the age at which a hold is appended to the log again, well within any
	// retention period.
	renewInterval = clock.Hour
	// renewRetryInterval is the delay before a renewal is retried when the log did not show it.
	renewRetryInterval = 10 * clock.Second
)

// signal is a kind of evidence.
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

// pending is a hold that this process decided on and has not yet read from the log.
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

// State reduces evidence to holds, and the hold stream to the holds in force.
type State struct {
	// tests has an entry for each key and, with an empty organisation, one for each route and
	// version over all organisations.
	tests map[evidence.Key]*tests
	// logged holds the holds on the log, the highest release of each scope.
	logged  map[Scope]logged
	pending map[Scope]*pending
	// alerted holds the release at which operators were last alerted to a version that could not
	// be held. It is cleared at maxHolds, after which alerts may repeat.
	alerted map[Scope]int64
	// cached is the set in force under cachedFor; nil when it must be recomputed.
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

// Holds returns the holds in force under the tables. They are applied in log order, and one that
// would remove the last version of a route, given those before it, is not in force. Two judges may
// find both versions of a model bad at once; without that rule the two holds together would refuse
// the whole route. Pending holds of this process come last and apply before they are on the log, so
// that a log outage does not keep a bad version in use here.
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

// inForce reports whether the tables have not released the version since the hold. Offsets of two
// log streams cannot be compared, so the release number decides.
func inForce(t *table.Tables, scope Scope, h *wire.Hold) bool {
	return t == nil || h.GetReleased() >= int64(t.Versions[scope.Version].Released)
}

// Reduce applies an event and the evidence that it carried. Changed reports whether the holds in
// force may have changed.
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

// receive applies holds that a peer has read from the log, for processes that read the log rarely
// or cannot. Those already known are left unchanged: a peer's message does not show that the log
// still has them.
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

// addLogged stores a hold from the log and reports whether it is new. A second record of the same
// hold, from another judge or a retry, keeps the offset of the first.
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
// count once the version is released again.
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
