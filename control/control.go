// Package control composes the reducers of all control state into one and runs it on a
// single goroutine.
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

// State is the complete control state of a process. It is owned by one goroutine.
type State struct {
	// self is the ID of this process's VM.
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
	// subsets holds, by pool, the endpoints assigned to this entry (see choice.SubsetsOf). It
	// depends on the VM list only.
	subsets map[string][]provider.VM
	// subsetsOf computes subsets. Tests that drive many states replace it, as it takes
	// long.
	subsetsOf func(self string, vms []provider.VM) map[string][]provider.VM
	// pool is the pool of this endpoint; empty in an entry.
	pool        string
	lease       lease.State
	checkpoints checkpoint.State
	// lastCheckpoint is the checkpoint of the tables after their last change.
	lastCheckpoint *table.Checkpoint
	// logShortened is true while the log ends before the records already reduced.
	logShortened bool
}

// NewState returns the initial state of the process on VM self.
func NewState(self string) *State {
	return NewStateAt(self, "", 0)
}

// NewStateAt is NewState for a process in an availability zone. Epoch must differ at each start of
// the process, because it distinguishes the outcome counts of different incarnations.
func NewStateAt(self, az string, epoch uint64) *State {
	return &State{
		self: self, zone: az, epoch: epoch, members: membership.New(self), spread: spread.New(self, az),
		evidence: evidence.NewState(self, epoch), counts: spread.NewCountReporter(self),
		rollout: rollout.NewState(), quality: quality.NewState(), zones: zone.NewState(), checkpoints: checkpoint.NewState(self),
		subsetsOf: choice.SubsetsOf,
	}
}

// View returns an immutable snapshot of the state.
func (s *State) View() *view.View {
	v := view.New(s.tables.Tables(), s.tables.Revision(), s.spread.ConfirmedAt(), s.members.Members(), s.draining)
	return v.WithEvidence(s.rollout.Holds(s.tables.Tables()), s.evidence.Report(), s.quality.Snapshot()).
		WithSubsets(s.subsets).
		WithZones(s.zones.Ramps()).
		WithSpread(spread.Snapshot{VM: s.self, Zone: s.zone, Epoch: s.epoch, Tail: s.tail, Starting: !s.spread.Started()}).
		WithCheckpoint(s.lastCheckpoint)
}

// Reduce applies one event to the state and returns the effects in order. It reads no
// clock and does no I/O: the same events give the same effects. The caller must not use
// the state it passed in, only the one returned.
func Reduce(s *State, e event.Event) (next *State, effects []event.Effect) {
	s.updateTime(e)
	changed := false
	for _, reduce := range s.reducers() {
		more, viewChanged := reduce(e)
		effects = append(effects, more...)
		changed = changed || viewChanged
	}
	if changed {
		effects = append(effects, event.Publish{})
	}
	return s, effects
}

// reducer is one of the reducers composed by State. It reports whether the view changed.
type reducer func(event.Event) (effects []event.Effect, changed bool)

// reducers returns the reducers in the order in which they process each event.
func (s *State) reducers() []reducer {
	return []reducer{s.reduceTables, s.reduceMembers, s.reduceDrain, s.reduceSpread, s.reduceEvidence, s.reduceZones, s.reduceLease, s.reduceCheckpoints}
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

// reduceZones must run after the reducers of the tables and members that it reads.
func (s *State) reduceZones(event.Event) (effects []event.Effect, changed bool) {
	return nil, s.zones.Reduce(s.now, s.tables.Tables(), s.members.Members())
}

// reduceEvidence counts the outcomes of requests and evaluates the versions by them.
func (s *State) reduceEvidence(e event.Event) (effects []event.Effect, changed bool) {
	deltas, reportChanged := s.evidence.Reduce(e)
	s.quality.Reduce(e, deltas)
	env := rollout.Env{Self: s.self, Now: s.now, Tables: s.tables.Tables(), VMs: s.members.Members().VMs()}
	effects, changed = s.rollout.Reduce(e, deltas, env)
	effects = append(effects, s.counts.Reduce(e, s.evidence.Report(), s.members.Members())...)
	return effects, changed || reportChanged
}

// reduceCheckpoints returns the effect that appends the tables to the log again, when this is due,
// before the log's retention drops them.
func (s *State) reduceCheckpoints(e event.Event) (effects []event.Effect, changed bool) {
	return s.checkpoints.Reduce(e, &s.tables), false
}

func (s *State) reduceDrain(e event.Event) (effects []event.Effect, changed bool) {
	if _, ok := e.(event.Draining); !ok {
		return nil, false
	}
	s.draining = true
	return nil, true
}

// updateTime sets now from the events that advance it.
func (s *State) updateTime(e event.Event) {
	switch e := e.(type) {
	case event.Tick:
		s.now = e.Now
	case event.LogRead:
		s.now = e.Now
	}
}

// reduceTables applies configuration records from the log or from a peer. Records of a peer are
// applied only if they are complete from this process's offset on: if one is missing, a change
// based on it would be rejected here and accepted by all other processes.
func (s *State) reduceTables(ev event.Event) (effects []event.Effect, changed bool) {
	switch e := ev.(type) {
	case event.LogRead:
		if e.Stream != provider.ConfigStream {
			return nil, false
		}
		for _, r := range e.Page.Records {
			effects = append(effects, s.apply(r.Offset, r.Data)...)
		}
		effects = append(effects, s.reportShortenedLog(e.Page.Head)...)
	case event.RecordsReceived:
		effects = s.importCheckpoint(e)
		if e.Reply.GetFrom() > s.tables.Offset() {
			break
		}
		for _, r := range e.Reply.GetRecords() {
			effects = append(effects, s.apply(r.GetOffset(), r.GetData())...)
		}
	}
	return effects, len(effects) > 0
}

// reportShortenedLog reports once that the log ends before the records this process has
// reduced. The next records appended reuse offsets; processes that have reduced records at
// these offsets ignore the new ones until the log has grown past them.
func (s *State) reportShortenedLog(head int64) (effects []event.Effect) {
	shortened := head < s.tables.Offset()
	if shortened && !s.logShortened {
		effects = append(effects, event.WriteLog{Message: "Log shows less than was read", Fields: []any{"stream", provider.ConfigStream, "head", head, "reduced", s.tables.Offset()}})
	}
	s.logShortened = shortened
	return effects
}

// apply applies one configuration record to the tables and the tail.
func (s *State) apply(offset int64, data []byte) (effects []event.Effect) {
	o, ok := s.tables.Apply(offset, data)
	if !ok {
		return nil
	}
	if o.Restored {
		s.tail = s.tail.Restart(offset)
	}
	s.tail = s.tail.Add(&wire.Record{Offset: offset, Data: data})
	s.lastCheckpoint, _ = s.tables.Checkpoint()
	return []event.Effect{outcomeReport(o)}
}

// importCheckpoint replaces the tables by a peer's checkpoint. A peer sends one if it no longer
// retains the records that this process lacks.
func (s *State) importCheckpoint(e event.RecordsReceived) (effects []event.Effect) {
	if e.Reply.GetCheckpoint() == nil {
		return nil
	}
	c, err := table.ParseCheckpoint(e.Reply.GetCheckpoint().GetData())
	if err != nil {
		return []event.Effect{event.WriteLog{Message: "Cannot decode the checkpoint of a peer", Fields: []any{"peer", e.From, "reason", err.Error()}}}
	}
	if !s.tables.Import(c) {
		return nil
	}
	s.tail = s.tail.Restart(c.Offset())
	s.lastCheckpoint = c
	return []event.Effect{event.WriteLog{Message: "Tables taken from a peer's checkpoint", Fields: []any{"peer", e.From, "revision", c.Revision(), "offset", c.Offset()}}}
}

func outcomeReport(o table.Outcome) event.WriteLog {
	if o.Checkpoint {
		return event.WriteLog{Message: "Checkpoint read", Fields: []any{"offset", o.Revision, "counts", o.Accepted, "adopted", o.Restored, "reason", o.Reason}}
	}
	if o.Accepted {
		return event.WriteLog{Message: "Change accepted", Fields: []any{"change", o.ID, "author", o.Author, "revision", o.Revision}}
	}
	return event.WriteLog{Message: "Change rejected", Fields: []any{"change", o.ID, "author", o.Author, "offset", o.Revision, "reason", o.Reason}}
}
