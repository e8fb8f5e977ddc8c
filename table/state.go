package table

import (
	"maps"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxOutcomes limits the number of outcomes retained to recognize retries; the oldest is dropped
// first.
const maxOutcomes = 1024

// maxReasonBytes limits the stored reason of a rejected change.
const maxReasonBytes = 512

// Outcome is the result of one change or checkpoint. It is the same in every process.
type Outcome struct {
	ID       string
	Author   string
	Revision int64
	Accepted bool
	// Checkpoint is true for the record of a checkpoint. Restored is true if the state was replaced by
	// it.
	Checkpoint bool
	Restored   bool
	// Reason is why the record was rejected; empty if it was accepted.
	Reason string
}

// State is the reducer of the configuration stream. The zero value is ready to use and has no tables.
type State struct {
	// tables is never modified in place: each accepted change creates a new value.
	tables *Tables
	// revision is the log offset of the last accepted change; it never goes back.
	revision int64
	// offset is the next log offset to reduce; records below it are ignored.
	offset int64
	// outcomes holds the last maxOutcomes outcomes by change ID; order lists the IDs, oldest first.
	outcomes map[string]Outcome
	order    []string
	// checkpointOffset is the offset of the last valid checkpoint. 0 means none, as a checkpoint is never
	// the first record.
	checkpointOffset int64
}

// Tables returns the current tables, or nil before the first accepted change. They must not be modified.
func (s *State) Tables() *Tables { return s.tables }

// Revision returns the log offset of the last accepted change, or -1 before the first one.
func (s *State) Revision() int64 {
	if s.tables == nil {
		return -1
	}
	return s.revision
}

// Offset returns the next log offset to reduce.
func (s *State) Offset() int64 { return s.offset }

// Outcome returns the outcome of a change; ok is false if its ID is unknown or no longer stored.
func (s *State) Outcome(id string) (o Outcome, ok bool) {
	o, ok = s.outcomes[id]
	return o, ok
}

// Apply reduces the record at a log offset. If the record was already reduced, it has no effect and ok
// is false. The same holds for a record after a gap, unless it is a checkpoint: a change based on the
// missing record would be rejected here and accepted by all other processes.
func (s *State) Apply(offset int64, data []byte) (o Outcome, ok bool) {
	if offset < s.offset {
		return o, false
	}
	c, err := ParseChange(data)
	if err == nil && c.Kind == CheckpointChange {
		return s.applyCheckpoint(offset, c)
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
	o = s.evaluate(offset, c)
	s.recordOutcome(o)
	return o, true
}

func (s *State) evaluate(offset int64, c *Change) (o Outcome) {
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
		err = next.checkSize()
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

// merge returns the tables after a change. A patch replaces complete entries and removes others; an
// entry to remove must exist and must not be set by the same patch.
func (s *State) merge(c *Change) (next *Tables, err error) {
	if c.Kind == Whole {
		t := c.Tables
		t.normalize()
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
	next.normalize()
	return next, nil
}

// normalize sets empty sections to nil, so that tables merged from changes and tables decoded from a
// checkpoint are encoded identically.
func (t *Tables) normalize() {
	normalizeMap(&t.Organisations)
	normalizeMap(&t.Versions)
	normalizeMap(&t.Routes)
	normalizeMap(&t.Services)
	normalizeMap(&t.Pools)
	normalizeMap(&t.Zones)
	normalizeMap(&t.VMs)
}

func normalizeMap[V any](m *map[string]V) {
	if len(*m) == 0 {
		*m = nil
	}
}

// checkSize returns an error for tables that are too large for a checkpoint.
func (t *Tables) checkSize() error {
	data, err := toml.Marshal(t)
	if err != nil {
		return ErrInvalid.Wrap(err, "encode tables")
	}
	if len(data) > MaxTablesBytes {
		return ErrInvalid.New("tables have %d bytes, at most %d are allowed", len(data), MaxTablesBytes)
	}
	return nil
}

// has reports whether there is an entry at a path such as "routes.dossier". The name of the entry starts
// after the first dot and may contain further dots.
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

// remove deletes the entry at a path such as "routes.dossier".
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

func mergeMap[V any](old, changed map[string]V) map[string]V {
	next := make(map[string]V, len(old)+len(changed))
	maps.Copy(next, old)
	maps.Copy(next, changed)
	return next
}

func (s *State) recordOutcome(o Outcome) {
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
	if len(s.order) > maxOutcomes {
		delete(s.outcomes, s.order[0])
		s.order = s.order[1:]
	}
}
