package table

import (
	"bytes"
	"fmt"

	"github.com/joomcode/errorx"
	"github.com/pelletier/go-toml/v2"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("table")

// Kinds of errors.
var (
	// ErrMalformed marks a record that is not a valid change or checkpoint.
	ErrMalformed = Errors.NewType("malformed")
	// ErrInvalid marks tables that contradict themselves.
	ErrInvalid = Errors.NewType("invalid")
	// ErrConflict marks a change made on a revision that is no longer current.
	ErrConflict = Errors.NewType("conflict")
)

// ChangeKind defines how a change is applied to the tables.
type ChangeKind string

// The kinds of change.
const (
	// Whole replaces all tables.
	Whole ChangeKind = "whole"
	// Patch replaces the entries in Tables and deletes those listed in Remove.
	Patch ChangeKind = "patch"
	// CheckpointChange is a checkpoint; processes append it themselves.
	CheckpointChange ChangeKind = "checkpoint"
)

// MaxChangeBytes limits the size of a change. All processes reject larger ones.
const MaxChangeBytes = 1 << 20

// maxIDBytes limits the length of a change's ID and of its author, as both are stored with its outcome.
const maxIDBytes = 128

// Change is one record of the configuration stream.
type Change struct {
	// ID is an idempotency key chosen by the publisher and reused for retries: a second record with
	// the same ID has no effect.
	ID     string     `toml:"id"`
	Author string     `toml:"author"`
	Kind   ChangeKind `toml:"kind"`
	// Base is the revision that the change is based on. The change is accepted only if this revision is
	// still current.
	Base   int64    `toml:"base"`
	Remove []string `toml:"remove,omitempty"`
	Tables Tables   `toml:"tables"`
	// Saved holds what a checkpoint records besides the tables: its offset, the revision and the
	// outcomes of earlier changes. It is nil in a change.
	Saved *savedState `toml:"saved,omitempty"`
}

// ParseChange decodes a change or checkpoint. All errors are ErrMalformed; unknown keys are errors that
// name the key.
func ParseChange(data []byte) (c *Change, err error) {
	defer func() {
		if err != nil {
			err = ErrMalformed.Wrap(err, "parse change")
		}
	}()
	if len(data) > MaxCheckpointBytes {
		return nil, fmt.Errorf("record has %d bytes, at most %d are allowed", len(data), MaxCheckpointBytes)
	}
	c = &Change{}
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err = dec.Decode(c); err != nil {
		return nil, err
	}
	if c.Kind != CheckpointChange && len(data) > MaxChangeBytes {
		return nil, fmt.Errorf("change has %d bytes, at most %d are allowed", len(data), MaxChangeBytes)
	}
	return c, nil
}

// check checks the fields set by the publisher. The tables are checked after the merge.
func (c *Change) check() error {
	switch c.Kind {
	case Whole, Patch:
	default:
		return ErrMalformed.New("kind: is %q, \"whole\" or \"patch\" is allowed", c.Kind)
	}
	switch {
	case c.ID == "" || len(c.ID) > maxIDBytes || len(c.Author) > maxIDBytes:
		return ErrMalformed.New("id: 1 to %d bytes are allowed, and as many for author", maxIDBytes)
	case c.Saved != nil:
		return ErrMalformed.New("saved: belongs to checkpoints only")
	case c.Kind == Whole && len(c.Remove) > 0:
		return ErrMalformed.New("remove: belongs to patches only")
	}
	return nil
}

// Encode encodes the change as TOML.
func (c *Change) Encode() (data []byte, err error) {
	data, err = toml.Marshal(c)
	if err != nil {
		err = ErrMalformed.Wrap(err, "encode change")
	}
	return data, err
}
