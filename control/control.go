// Package control composes the reducers of all control state into one and runs
// them on a single goroutine.
package control

import (
	"slices"

	"github.com/parsleydeal/parsleydeal/checkpoint"
	"github.com/parsleydeal/parsleydeal/choice"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/evidence"
	"github.com/parsleydeal/parsleydeal/lease"
	"github.com/parsleydeal/parsleydeal/membership"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/quality"
	"github.com/parsleydeal/parsleydeal/rollout"
	"github.com/parsleydeal/parsleydeal/spread"
	"github.com/parsleydeal/parsleydeal/table"
	"github.com/parsleydeal/parsleydeal/view"
	"github.com/parsleydeal/parsleydeal/zone"
)

// State is everything control knows. It is owned by one goroutine.
type State struct {
	// self is this process's VM.
	self     string
	zone     string
	epoch    uint64
	now      clock.Millis
	tables   table.State
	tail     spread.Tail
	members  membership.State
	spread   spread.State
	draining bool
	evidence evidence.State
	counts   spread.CountReporter
	rollout  rollout.State
	quality  quality.State
	zones    zone.State
	// subsets follow from the VM list alone.
	subsets map[string][]provider.VM
	// subsetsOf computes them; a test that drives many states at once leaves
	// them out.
	subsetsOf func(self string, vms []provider.VM) map[string][]provider.VM
	// pool is that of this endpoint; empty in an entry.
	pool  string
	lease lease.State
	saves checkpoint.State
	// saved is the tables' checkpoint as of the last change to them.
	saved *table.Checkpoint
	// logCut is true while the log shows less than was reduced.
	logCut bool
}

// NewState returns the state of a process that knows nothing yet.
func NewState(self string) *State {
	return NewStateAt(self, "", 0)
}

// NewStateAt is NewState for a process in an availability zone; epoch is new at
// each start of the process, and its evidence is counted under it.
func NewStateAt(self, place string, epoch uint64) *State {
	return &State{
		self: self, zone: place, epoch: epoch, members: membership.New(self), spread: spread.New(self, place),
		evidence: evidence.NewState(self, epoch), counts: spread.NewCountReporter(self),
		rollout: rollout.NewState(), quality: quality.NewState(), zones: zone.NewState(), saves: checkpoint.NewState(self),
		subsetsOf: choice.SubsetsOf,
	}
}

// View returns an immutable picture of the state.
func (s *State) View() *view.View {
	v := view.New(s.tables.Tables(), s.tables.Revision(), s.spread.ConfirmedAt(), s.members.Members(), s.draining)
	return v.WithEvidence(s.rollout.Holds(s.tables.Tables()), s.evidence.Report(), s.quality.Snapshot()).
		WithSubsets(s.subsets).
		WithZones(s.zones.Ramps()).
		WithSpread(spread.Snapshot{VM: s.self, Zone: s.zone, Epoch: s.epoch, Tail: s.tail, Starting: !s.spread.Started()}).
		WithCheckpoint(s.saved)
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
	return []part{s.reduceTables, s.reduceMembers, s.reduceDrain, s.reduceSpread, s.reduceEvidence, s.reduceZones, s.reduceLease, s.reduceSaves}
}

func (s *State) reduceMembers(e event.Event) (effects []event.Effect, changed bool) {
	before := s.members.Members().VMs()
	effects, changed = s.members.Reduce(e)
	if now := s.members.Members().VMs(); changed && !slices.Equal(before, now) {
		s.subsets = s.subsetsOf(s.self, now)
	}
	return effects, changed
}

func (s *State) reduceSpread(e event.Event) (effects []event.Effect, changed bool) {
	local := spread.Local{Offset: s.tables.Offset(), HasTables: s.tables.Tables() != nil, Holds: s.rollout.Holds(s.tables.Tables())}
	return s.spread.Reduce(e, local, s.members.Members())
}

// reduceZones comes after the tables and members that it looks at.
func (s *State) reduceZones(event.Event) (effects []event.Effect, changed bool) {
	return nil, s.zones.Reduce(s.now, s.tables.Tables(), s.members.Members())
}

// reduceEvidence counts what was seen and judges the versions by it.
func (s *State) reduceEvidence(e event.Event) (effects []event.Effect, changed bool) {
	deltas, told := s.evidence.Reduce(e)
	s.quality.Reduce(e, deltas)
	known := rollout.Env{Self: s.self, Now: s.now, Tables: s.tables.Tables(), VMs: s.members.Members().VMs()}
	effects, changed = s.rollout.Reduce(e, deltas, known)
	effects = append(effects, s.counts.Reduce(e, s.evidence.Report(), s.members.Members())...)
	return effects, changed || told
}

// reduceSaves appends the tables to the log again before retention ends.
func (s *State) reduceSaves(e event.Event) (effects []event.Effect, changed bool) {
	return s.saves.Reduce(e, &s.tables), false
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

// reduceTables applies records of the configuration from the log or from a
// peer. Records of a peer are taken only when they are complete from this
// process's offset on: with one missing, a change that was made on it would be
// rejected here and accepted everywhere else.
func (s *State) reduceTables(ev event.Event) (effects []event.Effect, changed bool) {
	switch e := ev.(type) {
	case event.LogRead:
		if e.Stream != provider.ConfigStream {
			return nil, false
		}
		for _, r := range e.Page.Records {
			effects = append(effects, s.apply(r.Offset, r.Data)...)
		}
		effects = append(effects, s.noteCut(e.Page.Head)...)
	case event.RecordsReceived:
		effects = s.imports(e)
		if e.Reply.GetFrom() > s.tables.Offset() {
			break
		}
		for _, r := range e.Reply.GetRecords() {
			effects = append(effects, s.apply(r.GetOffset(), r.GetData())...)
		}
	}
	return effects, len(effects) > 0
}

// noteCut reports, once, a log that shows less than this process has reduced.
// What is appended next gets offsets that were used before, which processes
// that have reduced them ignore until the log has passed them.
func (s *State) noteCut(head int64) (effects []event.Effect) {
	cut := head < s.tables.Offset()
	if cut && !s.logCut {
		effects = append(effects, event.Report{Message: "Log shows less than was read", Fields: []any{"stream", provider.ConfigStream, "head", head, "reduced", s.tables.Offset()}})
	}
	s.logCut = cut
	return effects
}

func (s *State) apply(offset int64, data []byte) (effects []event.Effect) {
	o, ok := s.tables.Apply(offset, data)
	if !ok {
		return nil
	}
	if o.Adopted {
		s.tail = s.tail.Restart(offset)
	}
	s.tail = s.tail.Add(&wire.Record{Offset: offset, Data: data})
	s.saved, _ = s.tables.Checkpoint()
	return []event.Effect{report(o)}
}

// imports takes a peer's checkpoint, which it sends when it no longer keeps the
// records that this process lacks.
func (s *State) imports(e event.RecordsReceived) (effects []event.Effect) {
	if e.Reply.GetCheckpoint() == nil {
		return nil
	}
	c, err := table.ParseCheckpoint(e.Reply.GetCheckpoint().GetData())
	if err != nil {
		return []event.Effect{event.Report{Message: "Checkpoint of a peer cannot be read", Fields: []any{"peer", e.From, "reason", err.Error()}}}
	}
	if !s.tables.Import(c) {
		return nil
	}
	s.tail = s.tail.Restart(c.Offset())
	s.saved = c
	return []event.Effect{event.Report{Message: "Tables taken from a peer's checkpoint", Fields: []any{"peer", e.From, "revision", c.Revision(), "offset", c.Offset()}}}
}

func report(o table.Outcome) event.Report {
	if o.Checkpoint {
		return event.Report{Message: "Checkpoint read", Fields: []any{"offset", o.Revision, "counts", o.Accepted, "adopted", o.Adopted, "reason", o.Reason}}
	}
	if o.Accepted {
		return event.Report{Message: "Change accepted", Fields: []any{"change", o.ID, "author", o.Author, "revision", o.Revision}}
	}
	return event.Report{Message: "Change rejected", Fields: []any{"change", o.ID, "author", o.Author, "offset", o.Revision, "reason", o.Reason}}
}
