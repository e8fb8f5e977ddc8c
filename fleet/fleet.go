package fleet

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Fleet is the set of endpoints and of zones out of service. It is a value of
// the control state; Snapshot hands traffic a copy.
type Fleet struct {
	// endpoints holds all that announced themselves and were not removed.
	endpoints map[string]*Endpoint
	// out holds the zones that get no new work.
	out map[string]bool
	// snapshot is the last copy handed out; nil once anything has changed since.
	snapshot *Snapshot
}

// New makes an empty fleet.
func New() *Fleet {
	return &Fleet{endpoints: make(map[string]*Endpoint), out: make(map[string]bool)}
}

// Apply takes changes of the list. A whole list drops every endpoint that it
// does not name. Moved names the endpoints that became known, changed their
// state or went.
func (f *Fleet) Apply(changes []Change, whole bool) (moved []string) {
	f.snapshot = nil
	named := make(map[string]bool)
	for _, c := range changes {
		named[c.ID] = true
		if c.Endpoint == nil {
			moved = f.remove(c.ID, moved)
			continue
		}
		old := f.endpoints[c.ID]
		if old != nil && older(c.Endpoint, old) {
			continue
		}
		if old == nil || old.Leaving != c.Endpoint.Leaving || old.Address != c.Endpoint.Address || old.Born != c.Endpoint.Born {
			moved = append(moved, c.ID)
		}
		f.endpoints[c.ID] = c.Endpoint
	}
	if whole {
		for _, id := range slices.Sorted(maps.Keys(f.endpoints)) {
			if !named[id] {
				moved = f.remove(id, moved)
			}
		}
	}
	return moved
}

func (f *Fleet) remove(id string, moved []string) []string {
	if f.endpoints[id] == nil {
		return moved
	}
	delete(f.endpoints, id)
	return append(moved, id)
}

// older reports whether an announcement was made before the one that is known.
// One that was held up on its way would take back an endpoint's leaving.
func older(e, known *Endpoint) bool {
	return e.Born < known.Born || e.Born == known.Born && e.Sequence < known.Sequence
}

// Find returns an endpoint by its ID, or nil.
func (f *Fleet) Find(id string) *Endpoint { return f.endpoints[id] }

// SetZone takes a zone out of service or back in.
func (f *Fleet) SetZone(zone string, out bool) (changed bool) {
	changed = f.out[zone] != out
	f.snapshot = nil
	if out {
		f.out[zone] = true
	} else {
		delete(f.out, zone)
	}
	return changed
}

// Zones returns the zones out of service.
func (f *Fleet) Zones() []string { return slices.Sorted(maps.Keys(f.out)) }

// Snapshot returns an immutable copy, the same one until something changes.
func (f *Fleet) Snapshot() *Snapshot {
	if f.snapshot == nil {
		f.snapshot = f.copy()
	}
	return f.snapshot
}

func (f *Fleet) copy() *Snapshot {
	s := &Snapshot{byService: make(map[string][]*Endpoint), byID: maps.Clone(f.endpoints), out: maps.Clone(f.out)}
	for _, e := range f.endpoints {
		s.byService[e.Service] = append(s.byService[e.Service], e)
	}
	for _, all := range s.byService {
		slices.SortFunc(all, func(a, b *Endpoint) int { return strings.Compare(a.ID, b.ID) })
	}
	s.digest = s.digestOf()
	return s
}

// digestOf digests what processes must agree on. Cold starts are left out, as
// they end without an announcement.
func (s *Snapshot) digestOf() uint64 {
	d := xxhash.New()
	var b [9]byte
	for _, id := range slices.Sorted(maps.Keys(s.byID)) {
		e := s.byID[id]
		for _, text := range [...]string{id, e.Service, e.Address, e.Zone, e.Version} {
			_, _ = d.WriteString(text + "\x00")
		}
		binary.BigEndian.PutUint64(b[:], uint64(e.Born))
		b[8] = 0
		if e.Leaving {
			b[8] = 1
		}
		_, _ = d.Write(b[:])
	}
	return d.Sum64()
}

// Snapshot is a fleet as traffic sees it.
type Snapshot struct {
	byService map[string][]*Endpoint
	byID      map[string]*Endpoint
	out       map[string]bool
	digest    uint64
}

// Digest returns a number that is the same for the same endpoints.
func (s *Snapshot) Digest() uint64 { return s.digest }

// Of returns a service's endpoints in the order of their IDs.
func (s *Snapshot) Of(service string) []*Endpoint { return s.byService[service] }

// Find returns an endpoint by its ID, or nil.
func (s *Snapshot) Find(id string) *Endpoint { return s.byID[id] }

// Out reports whether a zone is out of service.
func (s *Snapshot) Out(zone string) bool { return s.out[zone] }

// Usable reports whether an endpoint may get new work.
func (s *Snapshot) Usable(e *Endpoint) bool { return !e.Leaving && !s.out[e.Zone] }

// Services returns the endpoints by service.
func (s *Snapshot) Services() map[string][]*Endpoint { return s.byService }

// All returns the endpoints by ID.
func (s *Snapshot) All() map[string]*Endpoint { return s.byID }

// Size returns the number of endpoints.
func (s *Snapshot) Size() int { return len(s.byID) }

// Versions returns the versions among a service's endpoints, with their number.
func (s *Snapshot) Versions(service string) map[string]int {
	n := make(map[string]int)
	for _, e := range s.byService[service] {
		n[e.Version]++
	}
	return n
}
