package table

import (
	"slices"

	"github.com/pelletier/go-toml/v2"
)

const (
	// MaxTablesBytes bounds the tables that result from a change, so that a
	// checkpoint of them fits a record of the log.
	MaxTablesBytes = 2 << 20
	// MaxCheckpointBytes bounds a checkpoint: tables and remembered changes.
	MaxCheckpointBytes = 3 << 20
)

// Checkpoint is the whole state of the configuration stream before an offset.
// A value never changes.
type Checkpoint struct {
	tables   *Tables
	revision int64
	offset   int64
	outcomes []Outcome
}

// saved is the part of a checkpoint's record beside the tables.
type saved struct {
	// Offset is the offset that the record must have to count: the next one
	// after the last record reduced into it.
	Offset int64 `toml:"offset"`
	// Revision is that of the tables; a checkpoint is no revision of its own.
	Revision int64          `toml:"revision"`
	Outcomes []savedOutcome `toml:"outcomes"`
}

type savedOutcome struct {
	ID       string `toml:"id"`
	Author   string `toml:"author,omitempty"`
	Revision int64  `toml:"revision"`
	Accepted bool   `toml:"accepted,omitempty"`
	Reason   string `toml:"reason,omitempty"`
}

// Checkpoint returns the state as a checkpoint; ok is false before the first
// tables.
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

// Offset returns the offset before which all records are in the checkpoint.
func (c *Checkpoint) Offset() int64 { return c.offset }

// Revision returns the revision of the checkpoint's tables.
func (c *Checkpoint) Revision() int64 { return c.revision }

// Encode writes the checkpoint as a record of the configuration stream.
func (c *Checkpoint) Encode() (data []byte, err error) {
	body := &saved{Offset: c.offset, Revision: c.revision}
	for _, o := range c.outcomes {
		body.Outcomes = append(body.Outcomes, o.plain())
	}
	data, err = toml.Marshal(&Change{Kind: CheckpointChange, Tables: *c.tables, Saved: body})
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "encode checkpoint")
	}
	return data, nil
}

func (o Outcome) plain() savedOutcome {
	return savedOutcome{ID: o.ID, Author: o.Author, Revision: o.Revision, Accepted: o.Accepted, Reason: o.Reason}
}

// ParseCheckpoint reads a checkpoint's record, from the log or from a peer.
func ParseCheckpoint(data []byte) (c *Checkpoint, err error) {
	x, err := ParseChange(data)
	if err != nil {
		return nil, err
	}
	return x.checkpoint()
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
	c.Tables.tidy()
	out = &Checkpoint{tables: &c.Tables, revision: s.Revision, offset: s.Offset}
	for _, o := range s.Outcomes {
		out.outcomes = append(out.outcomes, Outcome{ID: o.ID, Author: o.Author, Revision: o.Revision, Accepted: o.Accepted, Reason: o.Reason})
	}
	return out, nil
}

// Import takes a peer's checkpoint when it is further than this state. It never
// takes the state back.
func (s *State) Import(c *Checkpoint) (changed bool) {
	if c.offset <= s.offset || c.revision < s.Revision() {
		return false
	}
	s.tables, s.revision, s.offset = c.tables, c.revision, c.offset
	s.outcomes, s.order = make(map[string]Outcome, len(c.outcomes)), nil
	for _, o := range c.outcomes {
		s.remember(o)
	}
	return true
}

// applySaved reduces a checkpoint at a log offset. It counts only when no
// record stands between those it holds and itself; all processes see that
// alike, so an appender that lost the race to a change harms nobody. A process
// that has reduced all records before it is not moved by it: a checkpoint never
// changes the revision. One that has missed records, since they expired before
// it read them, starts from it.
func (s *State) applySaved(offset int64, c *Change) (o Outcome, ok bool) {
	o = Outcome{Revision: offset, Checkpoint: true}
	saved, err := c.checkpoint()
	switch {
	case err != nil:
		o.Reason = err.Error()
	case saved.offset != offset:
		o.Reason = ErrConflict.New("checkpoint of offset %d stands at offset %d", saved.offset, offset).Error()
	case offset == s.offset && s.tables != nil && !s.agrees(saved):
		o.Reason = ErrInvalid.New("checkpoint differs from what the records before it say").Error()
	case offset == s.offset && s.tables != nil:
		o.Accepted = true
		s.savedAt = offset
	default:
		o.Accepted = s.Import(saved)
		o.Restored = o.Accepted
		if o.Accepted {
			s.savedAt = offset
		}
	}
	if offset > s.offset {
		return o, false
	}
	s.offset = offset + 1
	return o, true
}

// agrees reports whether a checkpoint says what this state says.
func (s *State) agrees(c *Checkpoint) bool {
	mine, _ := s.Checkpoint()
	a, errA := mine.Encode()
	b, errB := c.Encode()
	return errA == nil && errB == nil && slices.Equal(a, b)
}

// CheckpointOffset returns the offset of the last checkpoint that counted; -1 when there
// was none.
func (s *State) CheckpointOffset() int64 {
	if s.savedAt == 0 {
		return -1
	}
	return s.savedAt
}
