package table

import (
	"maps"
	"strings"
)

// maxRemembered bounds the change IDs kept to recognise retries; the oldest
// falls out first.
const maxRemembered = 4096

// Outcome is the verdict on one change, the same in every process.
type Outcome struct {
	ID       string
	Author   string
	Revision int64
	Accepted bool
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
// has no effect and ok is false.
func (s *State) Apply(offset int64, data []byte) (o Outcome, ok bool) {
	if offset < s.offset {
		return o, false
	}
	s.offset = offset + 1
	c, err := ParseChange(data)
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
	next := s.merge(c)
	if err := next.Check(); err != nil {
		o.Reason = err.Error()
		return o
	}
	s.tables = next
	s.revision = offset
	o.Accepted = true
	return o
}

func (s *State) merge(c *Change) *Tables {
	if c.Kind == Whole || s.tables == nil {
		t := c.Tables
		return &t
	}
	old := s.tables
	next := &Tables{
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
	return next
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
