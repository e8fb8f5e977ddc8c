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
)

// MaxChangeBytes bounds a change; larger ones are rejected by all alike.
const MaxChangeBytes = 1 << 20

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
}

// ParseChange reads a change. Unknown keys are errors that name the key.
func ParseChange(data []byte) (c *Change, err error) {
	defer func() {
		if err != nil {
			err = ErrMalformed.Wrap(err, "parse change")
		}
	}()
	if len(data) > MaxChangeBytes {
		return nil, fmt.Errorf("change has %d bytes, at most %d are allowed", len(data), MaxChangeBytes)
	}
	c = &Change{}
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err = dec.Decode(c); err != nil {
		return nil, err
	}
	return c, nil
}

// Encode writes the change as TOML.
func (c *Change) Encode() (data []byte, err error) {
	data, err = toml.Marshal(c)
	if err != nil {
		err = ErrMalformed.Wrap(err, "encode change")
	}
	return data, err
}
