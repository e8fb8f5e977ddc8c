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
	// ErrMalformed marks text that is no valid change.
	ErrMalformed = Errors.NewType("malformed")
	// ErrInvalid marks tables that contradict themselves.
	ErrInvalid = Errors.NewType("invalid")
	// ErrConflict marks a change made on a revision that is no longer current.
	ErrConflict = Errors.NewType("conflict")
)

// ChangeKind says how a change's body applies.
type ChangeKind string

// The kinds of change.
const (
	// Whole replaces all tables.
	Whole ChangeKind = "whole"
	// Patch replaces the entries it names; an entry listed in Remove goes.
	Patch ChangeKind = "patch"
	// CheckpointChange is a checkpoint, which processes write themselves.
	CheckpointChange ChangeKind = "checkpoint"
)

// MaxChangeBytes bounds a change; larger ones are rejected by all alike.
const MaxChangeBytes = 1 << 20

// maxIDBytes bounds a change's ID and its author, which are remembered.
const maxIDBytes = 128

// Change is one record of the configuration stream.
type Change struct {
	// ID is chosen by the publisher and survives its retries: a second record
	// with the same ID has no effect.
	ID     string     `toml:"id"`
	Author string     `toml:"author"`
	Kind   ChangeKind `toml:"kind"`
	// Base is the revision the change was made on; it is accepted only while
	// that revision is current.
	Base   int64    `toml:"base"`
	Remove []string `toml:"remove,omitempty"`
	Tables Tables   `toml:"tables"`
	// Saved is set in a checkpoint only.
	Saved *saved `toml:"saved,omitempty"`
}

// ParseChange reads a change. Unknown keys are errors that name the key.
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

// check looks at the fields that the publisher fills in; the tables are checked
// once merged.
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

// Encode writes the change as TOML.
func (c *Change) Encode() (data []byte, err error) {
	data, err = toml.Marshal(c)
	if err != nil {
		err = ErrMalformed.Wrap(err, "encode change")
	}
	return data, err
}
