package table

import (
	"slices"

	"github.com/pelletier/go-toml/v2"
)

const (
	// MaxTablesBytes limits the size of the tables that result from a change, so that their checkpoint
	// fits into one record of the log.
	MaxTablesBytes = 2 << 20
	// MaxCheckpointBytes limits the size of a checkpoint: the tables and the recorded outcomes.
	MaxCheckpointBytes = 3 << 20
)

// Checkpoint is the complete state of the configuration stream before an offset. It is immutable.
type Checkpoint struct {
	tables   *Tables
	revision int64
	offset   int64
	outcomes []Outcome
}

// savedState is what a checkpoint's record holds besides the tables.
type savedState struct {
	// Offset is the offset after the last record that the checkpoint includes. The checkpoint is valid
	// only if its own record has this offset.
	Offset int64 `toml:"offset"`
	// Revision is the revision of the tables; a checkpoint does not create a new one.
	Revision int64           `toml:"revision"`
	Outcomes []outcomeRecord `toml:"outcomes"`
}

type outcomeRecord struct {
	ID       string `toml:"id"`
	Author   string `toml:"author,omitempty"`
	Revision int64  `toml:"revision"`
	Accepted bool   `toml:"accepted,omitempty"`
	Reason   string `toml:"reason,omitempty"`
}

// Checkpoint returns the state as a checkpoint; ok is false if there are no tables yet.
func (s *State) Checkpoint() (c *Checkpoint, ok bool) {
	if s.tables == nil {
		return nil, false
	}
	c = &Checkpoint{tables: s.tables, revision: s.revision, offset: s.offset, outcomes: make([]Outcome, 0, len(s.order))}
	for _, id := range s.order {
		c.outcomes = append(c.outcomes, s.outcomes[id])
	}
	return c, true
}

// Offset returns the offset after the last record that the checkpoint includes.
func (c *Checkpoint) Offset() int64 { return c.offset }

// Revision returns the revision of the checkpoint's tables.
func (c *Checkpoint) Revision() int64 { return c.revision }

// Encode encodes the checkpoint as a record of the configuration stream.
func (c *Checkpoint) Encode() (data []byte, err error) {
	body := &savedState{Offset: c.offset, Revision: c.revision}
	for _, o := range c.outcomes {
		body.Outcomes = append(body.Outcomes, o.record())
	}
	data, err = toml.Marshal(&Change{Kind: CheckpointChange, Tables: *c.tables, Saved: body})
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "encode checkpoint")
	}
	return data, nil
}

func (o Outcome) record() outcomeRecord {
	return outcomeRecord{ID: o.ID, Author: o.Author, Revision: o.Revision, Accepted: o.Accepted, Reason: o.Reason}
}

// ParseCheckpoint decodes a checkpoint's record from the log or from a peer. Its errors are
// ErrMalformed, or ErrInvalid for tables that contradict themselves.
func ParseCheckpoint(data []byte) (c *Checkpoint, err error) {
	change, err := ParseChange(data)
	if err != nil {
		return nil, err
	}
	return change.checkpoint()
}

func (c *Change) checkpoint() (out *Checkpoint, err error) {
	if c.Kind != CheckpointChange || c.Saved == nil {
		return nil, ErrMalformed.New("record is no checkpoint")
	}
	s := c.Saved
	if s.Revision < 0 || s.Revision >= s.Offset {
		return nil, ErrMalformed.New("checkpoint: revision %d does not stand before offset %d", s.Revision, s.Offset)
	}
	if err = c.Tables.Check(); err != nil {
		return nil, err
	}
	c.Tables.normalize()
	out = &Checkpoint{tables: &c.Tables, revision: s.Revision, offset: s.Offset}
	for _, o := range s.Outcomes {
		out.outcomes = append(out.outcomes, Outcome{ID: o.ID, Author: o.Author, Revision: o.Revision, Accepted: o.Accepted, Reason: o.Reason})
	}
	return out, nil
}

// Import replaces the state by a peer's checkpoint if that is ahead of it. The offset and the revision
// never go back.
func (s *State) Import(c *Checkpoint) (changed bool) {
	if c.offset <= s.offset || c.revision < s.Revision() {
		return false
	}
	s.tables, s.revision, s.offset = c.tables, c.revision, c.offset
	s.outcomes, s.order = make(map[string]Outcome, len(c.outcomes)), nil
	for _, o := range c.outcomes {
		s.recordOutcome(o)
	}
	return true
}

// applyCheckpoint reduces a checkpoint at a log offset. The checkpoint is valid only if no record lies
// between the last one it includes and itself. All processes come to the same result, so a checkpoint
// that lost a race against a change is harmless. It does not change the state of a process that has
// reduced all records before it, as a checkpoint never changes the revision. A process that missed
// records because they expired before it read them is restored from it.
func (s *State) applyCheckpoint(offset int64, c *Change) (o Outcome, ok bool) {
	o = Outcome{Revision: offset, Checkpoint: true}
	checkpoint, err := c.checkpoint()
	switch {
	case err != nil:
		o.Reason = err.Error()
	case checkpoint.offset != offset:
		o.Reason = ErrConflict.New("checkpoint of offset %d stands at offset %d", checkpoint.offset, offset).Error()
	case offset == s.offset && s.tables != nil && !s.matches(checkpoint):
		o.Reason = ErrInvalid.New("checkpoint differs from what the records before it say").Error()
	case offset == s.offset && s.tables != nil:
		o.Accepted = true
		s.checkpointOffset = offset
	default:
		o.Accepted = s.Import(checkpoint)
		o.Restored = o.Accepted
		if o.Accepted {
			s.checkpointOffset = offset
		}
	}
	if offset > s.offset {
		return o, false
	}
	s.offset = offset + 1
	return o, true
}

// matches reports whether a checkpoint equals this state.
func (s *State) matches(c *Checkpoint) bool {
	own, _ := s.Checkpoint()
	a, errA := own.Encode()
	b, errB := c.Encode()
	return errA == nil && errB == nil && slices.Equal(a, b)
}

// CheckpointOffset returns the offset of the last valid checkpoint, or -1 if there was none.
func (s *State) CheckpointOffset() int64 {
	if s.checkpointOffset == 0 {
		return -1
	}
	return s.checkpointOffset
}
