package table

import (
	"maps"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxRemembered bounds the change IDs kept to recognise retries; the oldest
// falls out first.
const maxRemembered = 1024

// maxReasonBytes bounds the reason that is remembered of a rejected change.
const maxReasonBytes = 512

// Outcome is the verdict on one change, the same in every process.
type Outcome struct {
	ID       string
	Author   string
	Revision int64
	Accepted bool
	// Checkpoint is true for a checkpoint's record, which is no change. Adopted
	// says that the state began anew from it.
	Checkpoint bool
	Restored   bool
	// Reason says why the change was rejected; empty when accepted.
	Reason string
}

// State reduces the configuration stream. The zero value has no tables.
type State struct {
	// tables is never changed in place: each accepted change makes a new value.
	tables *Tables
	// revision is the log offset of the change in force; it never goes back.
	revision int64
	// offset is the next log offset to reduce; records below it are ignored.
	offset int64
	// outcomes holds the last maxRemembered verdicts by change ID.
	outcomes map[string]Outcome
	order    []string
	// savedAt is the offset of the last checkpoint that counted; 0 for none, as
	// no checkpoint is the first record.
	savedAt int64
}

// Tables returns the configuration in force, or nil before the first change.
func (s *State) Tables() *Tables { return s.tables }

// Revision returns the log offset of the configuration in force; -1 before the
// first change.
func (s *State) Revision() int64 {
	if s.tables == nil {
		return -1
	}
	return s.revision
}

// Offset returns the next log offset to reduce.
func (s *State) Offset() int64 { return s.offset }

// Outcome returns the verdict on a change ID that is still remembered.
func (s *State) Outcome(id string) (o Outcome, ok bool) {
	o, ok = s.outcomes[id]
	return o, ok
}

// Apply reduces the record at a log offset. A record that was already reduced
// has no effect and ok is false. Nor has one after a gap, unless it is a
// checkpoint: with a record missing, a change that was made on it would be
// rejected here and accepted everywhere else.
func (s *State) Apply(offset int64, data []byte) (o Outcome, ok bool) {
	if offset < s.offset {
		return o, false
	}
	c, err := ParseChange(data)
	if err == nil && c.Kind == CheckpointChange {
		return s.applySaved(offset, c)
	}
	if offset > s.offset {
		return o, false
	}
	s.offset = offset + 1
	if err == nil {
		err = c.check()
	}
	if err != nil {
		return Outcome{Revision: offset, Reason: err.Error()}, true
	}
	if old, seen := s.outcomes[c.ID]; seen {
		return old, true
	}
	o = s.judge(offset, c)
	s.remember(o)
	return o, true
}

func (s *State) judge(offset int64, c *Change) (o Outcome) {
	o = Outcome{ID: c.ID, Author: c.Author, Revision: offset}
	if c.Base != s.Revision() {
		o.Reason = ErrConflict.New("made on revision %d, current is %d", c.Base, s.Revision()).Error()
		return o
	}
	next, err := s.merge(c)
	if err == nil {
		err = next.Check()
	}
	if err == nil {
		err = next.fits()
	}
	if err != nil {
		o.Reason = err.Error()
		return o
	}
	s.tables = next
	s.revision = offset
	o.Accepted = true
	return o
}

// merge returns the tables after a change: a patch replaces whole entries and
// removes others, which must exist and may not stand in it as well.
func (s *State) merge(c *Change) (next *Tables, err error) {
	if c.Kind == Whole {
		t := c.Tables
		t.tidy()
		return &t, nil
	}
	old := s.tables
	if old == nil {
		old = &Tables{}
	}
	for _, path := range c.Remove {
		if !old.has(path) {
			return nil, ErrInvalid.New("remove: no entry %q", path)
		}
		if c.Tables.has(path) {
			return nil, ErrInvalid.New("remove: %q is set by the same change", path)
		}
	}
	next = &Tables{
		Organisations: mergeMap(old.Organisations, c.Tables.Organisations),
		Versions:      mergeMap(old.Versions, c.Tables.Versions),
		Routes:        mergeMap(old.Routes, c.Tables.Routes),
		Services:      mergeMap(old.Services, c.Tables.Services),
		Pools:         mergeMap(old.Pools, c.Tables.Pools),
		Zones:         mergeMap(old.Zones, c.Tables.Zones),
		VMs:           mergeMap(old.VMs, c.Tables.VMs),
	}
	for _, path := range c.Remove {
		next.remove(path)
	}
	next.tidy()
	return next, nil
}

// tidy makes empty sections nil, so that tables built from changes and those
// read from a checkpoint are written alike.
func (t *Tables) tidy() {
	tidyMap(&t.Organisations)
	tidyMap(&t.Versions)
	tidyMap(&t.Routes)
	tidyMap(&t.Services)
	tidyMap(&t.Pools)
	tidyMap(&t.Zones)
	tidyMap(&t.VMs)
}

func tidyMap[V any](m *map[string]V) {
	if len(*m) == 0 {
		*m = nil
	}
}

// fits refuses tables that no checkpoint could hold.
func (t *Tables) fits() error {
	data, err := toml.Marshal(t)
	if err != nil {
		return ErrInvalid.Wrap(err, "encode tables")
	}
	if len(data) > MaxTablesBytes {
		return ErrInvalid.New("tables have %d bytes, at most %d are allowed", len(data), MaxTablesBytes)
	}
	return nil
}

// has reports whether there is an entry at a path such as "routes.dossier". The
// entry's name begins after the first dot and may hold others.
func (t *Tables) has(path string) (ok bool) {
	section, name, _ := strings.Cut(path, ".")
	switch section {
	case "organisations":
		_, ok = t.Organisations[name]
	case "versions":
		_, ok = t.Versions[name]
	case "routes":
		_, ok = t.Routes[name]
	case "services":
		_, ok = t.Services[name]
	case "pools":
		_, ok = t.Pools[name]
	case "zones":
		_, ok = t.Zones[name]
	case "vms":
		_, ok = t.VMs[name]
	}
	return ok
}

// remove drops the entry at a path such as "routes.dossier".
func (t *Tables) remove(path string) {
	section, name, _ := strings.Cut(path, ".")
	switch section {
	case "organisations":
		delete(t.Organisations, name)
	case "versions":
		delete(t.Versions, name)
	case "routes":
		delete(t.Routes, name)
	case "services":
		delete(t.Services, name)
	case "pools":
		delete(t.Pools, name)
	case "zones":
		delete(t.Zones, name)
	case "vms":
		delete(t.VMs, name)
	}
}

func mergeMap[V any](old, add map[string]V) map[string]V {
	next := make(map[string]V, len(old)+len(add))
	maps.Copy(next, old)
	maps.Copy(next, add)
	return next
}

func (s *State) remember(o Outcome) {
	if o.ID == "" {
		return
	}
	if len(o.Reason) > maxReasonBytes {
		o.Reason = strings.ToValidUTF8(o.Reason[:maxReasonBytes], "")
	}
	if s.outcomes == nil {
		s.outcomes = make(map[string]Outcome)
	}
	s.outcomes[o.ID] = o
	s.order = append(s.order, o.ID)
	if len(s.order) > maxRemembered {
		delete(s.outcomes, s.order[0])
		s.order = s.order[1:]
	}
}
