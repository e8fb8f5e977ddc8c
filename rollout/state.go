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
	// maxTests bounds the tests; above it a new organisation gets none of its
	// own, while the test over all organisations goes on.
	maxTests = 8192
	// maxHolds bounds the holds kept; further ones are ignored.
	maxHolds = 4096
	// stepIn is how much later each next judge appends a hold that it does not
	// see on the log.
	stepIn = 2 * clock.Second
	// retryEvery is the pause before the same judge appends again.
	retryEvery = 2 * clock.Second
	// renewEvery is how long a hold stands on the log before it is appended
	// again, well within any retention.
	renewEvery = clock.Hour
	// renewAgain is the pause before it is tried again when the log did not show
	// it.
	renewAgain = 10 * clock.Second
)

// signal is a kind of evidence.
type signal int

const (
	failing signal = iota
	rating
	slowing
	signals
)

func (s signal) String() string {
	return [...]string{"errors", "ratings", "slow"}[s]
}

// Env is what the reducer may look at beside its own state.
type Env struct {
	Self   string
	Now    clock.Millis
	Tables *table.Tables
	VMs    []provider.VM
}

type tests [signals]Test

// pending is a hold that this process found due and does not yet see on the
// log.
type pending struct {
	hold    *wire.Hold
	dueAt   clock.Millis
	triedAt clock.Millis
	tried   bool
}

type logged struct {
	hold   *wire.Hold
	readAt clock.Millis
}

// State reduces evidence to holds, and the hold stream to the holds in force.
type State struct {
	// tests has an entry for each key and one for each route and version over
	// all organisations, whose organisation is empty.
	tests map[evidence.Key]*tests
	// logged holds what the log says, the highest release by scope.
	logged  map[Scope]logged
	pending map[Scope]*pending
	// reported holds the release at which operators were last told of a version
	// that could not be held; it is emptied at maxHolds, so that they may be told
	// again.
	reported map[Scope]int64
	// current is the set in force under currentFor; nil when it must be made
	// anew.
	current    *Holds
	currentFor *table.Tables
}

// NewState returns the state of a process that has seen nothing.
func NewState() State {
	return State{
		tests:    make(map[evidence.Key]*tests),
		logged:   make(map[Scope]logged),
		pending:  make(map[Scope]*pending),
		reported: make(map[Scope]int64),
	}
}

// Holds returns the holds in force under the tables, in log order: one that
// would take the last version of a route, given those before it, is not. Two
// judges may find both versions of a model bad at once; without that rule the
// two holds together would refuse the whole route. What this process found due
// itself comes last and counts before the log has it, so that a log outage does
// not keep a bad version in use here.
func (s *State) Holds(t *table.Tables) *Holds {
	if s.current != nil && s.currentFor == t {
		return s.current
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
	s.current, s.currentFor = h, t
	return h
}

func (s *State) inLogOrder() []Scope {
	scopes := sortedScopes(s.logged)
	slices.SortStableFunc(scopes, func(a, b Scope) int { return cmp.Compare(s.logged[a].hold.GetOffset(), s.logged[b].hold.GetOffset()) })
	return scopes
}

// inForce reports whether the tables have not released the version since. Log
// offsets of two streams have no order, so the release number decides.
func inForce(t *table.Tables, scope Scope, h *wire.Hold) bool {
	return t == nil || h.GetReleased() >= int64(t.Versions[scope.Version].Released)
}

// Reduce takes an event and the evidence it brought.
func (s *State) Reduce(e event.Event, deltas []evidence.Delta, known Env) (effects []event.Effect, changed bool) {
	switch e := e.(type) {
	case event.LogRead:
		if e.Stream == provider.HoldStream {
			effects, changed = s.read(e, known)
		}
	case event.DigestReceived:
		changed = s.hear(e.Digest.GetHolds(), known)
	case event.AppendDone:
		s.appended(e, known)
	case event.Tick:
		return s.tick(known)
	}
	for _, d := range deltas {
		more, due := s.take(d, known)
		effects = append(effects, more...)
		changed = changed || due
	}
	return effects, changed
}

func (s *State) read(e event.LogRead, known Env) (effects []event.Effect, changed bool) {
	for _, r := range e.Page.Records {
		h, err := Decode(r.Data)
		if err != nil {
			effects = append(effects, event.Report{Message: "Hold skipped", Fields: []any{"offset", r.Offset, "reason", err}})
			continue
		}
		h.Offset = r.Offset
		fresh := s.log(h, known)
		changed = changed || fresh
		if fresh {
			effects = append(effects, report("Version held", h))
		}
	}
	return effects, changed
}

// hear takes holds that a peer knows from the log, so that processes which read
// it seldom, or can't, know them too. One already known is left alone: hearing
// of it again says nothing of whether the log still has it.
func (s *State) hear(holds []*wire.Hold, known Env) (changed bool) {
	for _, h := range holds[:min(len(holds), MaxDigestHolds)] {
		old, seen := s.logged[scopeOf(h)]
		if _, _, ok := table.SplitVersion(h.GetVersion()); !ok || h.GetOffset() < 0 {
			continue
		}
		if !seen || old.hold.GetReleased() < h.GetReleased() {
			changed = s.log(proto.Clone(h).(*wire.Hold), known) || changed
		}
	}
	return changed
}

// log takes a hold from the log and reports whether it is a new one. A second
// record of the same hold, from another judge or a retry, changes nothing.
func (s *State) log(h *wire.Hold, known Env) (fresh bool) {
	scope := scopeOf(h)
	old, seen := s.logged[scope]
	if seen && old.hold.GetReleased() > h.GetReleased() {
		return false
	}
	if !seen && len(s.logged) >= maxHolds {
		return false
	}
	fresh = !seen || old.hold.GetReleased() < h.GetReleased()
	if !fresh {
		h.Offset = old.hold.GetOffset()
	}
	s.logged[scope] = logged{hold: h, readAt: known.Now}
	delete(s.pending, scope)
	s.current = nil
	s.reset(scope)
	return fresh
}

// reset begins the tests of a held scope anew, so that they know nothing of the
// time before when the version is released.
func (s *State) reset(scope Scope) {
	for k, t := range s.tests {
		if k.Version != scope.Version || scope.Organisation != "" && k.Organisation != scope.Organisation && k.Organisation != "" {
			continue
		}
		for i := range t {
			t[i].Reset()
		}
	}
}

func (s *State) appended(e event.AppendDone, known Env) {
	if e.Stream != provider.HoldStream || e.Err == nil {
		return
	}
	for scope, p := range s.pending {
		if scope.ID(p.hold.GetReleased()) == e.ID {
			p.triedAt = known.Now
		}
	}
}
