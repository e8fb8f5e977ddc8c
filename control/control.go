// Package control composes the reducers of all control state into one and runs
// them on a single goroutine.
package control

import (
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/evidence"
	"github.com/parsleydeal/parsleydeal/membership"
	"github.com/parsleydeal/parsleydeal/platform"
	"github.com/parsleydeal/parsleydeal/quality"
	"github.com/parsleydeal/parsleydeal/rollout"
	"github.com/parsleydeal/parsleydeal/table"
	"github.com/parsleydeal/parsleydeal/view"
)

// State is everything control knows. It is owned by one goroutine.
type State struct {
	// self is this process's VM.
	self        string
	now         clock.Millis
	tables      table.State
	members     membership.State
	confirmedAt clock.Millis
	draining    bool
	evidence    evidence.State
	rollout     rollout.State
	quality     quality.State
}

// NewState returns the state of a process that knows nothing yet.
func NewState(self string) *State {
	return &State{self: self, evidence: evidence.NewState(self, 0), rollout: rollout.NewState(), quality: quality.NewState()}
}

// WithEpoch sets the number that tells this life of the process from earlier
// ones; its evidence is counted under it.
func (s *State) WithEpoch(epoch uint64) *State {
	s.evidence = evidence.NewState(s.self, epoch)
	return s
}

// View returns an immutable picture of the state.
func (s *State) View() *view.View {
	return view.New(s.tables.Tables(), s.tables.Revision(), s.confirmedAt, s.members.Members(), s.draining).
		WithEvidence(s.rollout.Holds(s.tables.Tables()), s.evidence.Report(), s.quality.Book())
}

// Reduce takes one event into the state and returns the effects in order. It
// reads no clock and does no I/O: the same events give the same effects. The
// state passed in is consumed.
func Reduce(s *State, e event.Event) (next *State, effects []event.Effect) {
	s.time(e)
	changed := false
	for _, part := range s.parts() {
		more, partChanged := part(e)
		effects = append(effects, more...)
		changed = changed || partChanged
	}
	if changed {
		effects = append(effects, event.Publish{})
	}
	return s, effects
}

// part is one reducer among those composed here. It reports whether the view
// changed.
type part func(event.Event) (effects []event.Effect, changed bool)

// parts lists the reducers in the order in which they see each event.
func (s *State) parts() []part {
	return []part{s.reduceTables, s.reduceMembers, s.reduceDrain, s.reduceEvidence}
}

func (s *State) reduceMembers(e event.Event) (effects []event.Effect, changed bool) {
	return nil, s.members.Reduce(e)
}

// reduceEvidence counts what was seen and judges the versions by it.
func (s *State) reduceEvidence(e event.Event) (effects []event.Effect, changed bool) {
	deltas, told := s.evidence.Reduce(e)
	s.quality.Reduce(e, deltas)
	known := rollout.Known{Self: s.self, Now: s.now, Tables: s.tables.Tables(), VMs: s.members.VMs()}
	effects, changed = s.rollout.Reduce(e, deltas, known)
	return effects, changed || told
}

func (s *State) reduceDrain(e event.Event) (effects []event.Effect, changed bool) {
	if _, ok := e.(event.Draining); !ok {
		return nil, false
	}
	s.draining = true
	return nil, true
}

func (s *State) time(e event.Event) {
	switch e := e.(type) {
	case event.Tick:
		s.now = e.Now
	case event.LogRead:
		s.now = e.Now
	}
}

func (s *State) reduceTables(ev event.Event) (effects []event.Effect, changed bool) {
	e, ok := ev.(event.LogRead)
	if !ok || e.Stream != platform.ConfigStream {
		return nil, false
	}
	for _, r := range e.Page.Records {
		o, ok := s.tables.Apply(r.Offset, r.Data)
		if !ok {
			continue
		}
		changed = changed || o.Accepted
		effects = append(effects, report(o))
	}
	if s.tables.Offset() >= e.Page.Head {
		s.confirmedAt = e.Now
		changed = true
	}
	return effects, changed
}

func report(o table.Outcome) event.Report {
	if o.Accepted {
		return event.Report{Message: "Change accepted", Fields: []any{"change", o.ID, "author", o.Author, "revision", o.Revision}}
	}
	return event.Report{Message: "Change rejected", Fields: []any{"change", o.ID, "author", o.Author, "offset", o.Revision, "reason", o.Reason}}
}
