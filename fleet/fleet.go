package fleet

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/clock"
)

// Fleet is the set of endpoints and of zones out of service. It is a value of
// the control state; Snapshot hands traffic a copy.
type Fleet struct {
	// endpoints holds all that announced themselves and were not removed.
	endpoints map[string]*Endpoint
	// out holds the zones that get no new work.
	out map[string]bool
	// returned holds until when the endpoints of a zone that came back are taken
	// to be cold.
	returned map[string]clock.Millis
	// snapshot is the last copy handed out; nil once anything has changed since.
	snapshot *Snapshot
}

// New makes an empty fleet.
func New() *Fleet {
	return &Fleet{endpoints: make(map[string]*Endpoint), out: make(map[string]bool), returned: make(map[string]clock.Millis)}
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
		if old == nil || old.differs(c.Endpoint) {
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

// coldSlack is by how much the end of a cold start may seem to move from one
// announcement to the next, which were on their way for different spans.
const coldSlack = 700 * clock.Millis(1)

// differs reports whether a later announcement says anything that other processes
// must know. A cold start that began anew is part of it: an entry that took the
// endpoint for warm would send it more than it bears.
func (e *Endpoint) differs(later *Endpoint) bool {
	return e.Leaving != later.Leaving || e.Address != later.Address || e.Incarnation != later.Incarnation || later.ColdUntil > e.ColdUntil+coldSlack
}

// older reports whether an announcement was made before the one that is known.
// One that was held up on its way would take back an endpoint's leaving.
func older(e, known *Endpoint) bool {
	return e.Incarnation < known.Incarnation || e.Incarnation == known.Incarnation && e.Sequence < known.Sequence
}

// Find returns an endpoint by its ID, or nil.
func (f *Fleet) Find(id string) *Endpoint { return f.endpoints[id] }

// returnSpan is how long the endpoints of a zone that came back are taken to be
// cold. They were idle and look the emptiest to every entry, while an announcement
// of their cold start takes a heartbeat (1.2 s) and the pause between two reads of
// the store (0.8 s) to be known.
const returnSpan = 2500 * clock.Millis(1)

// SetZone takes a zone out of service or back in.
func (f *Fleet) SetZone(zone string, out bool, now clock.Millis) (changed bool) {
	changed = f.out[zone] != out
	f.snapshot = nil
	if out {
		f.out[zone] = true
	} else {
		delete(f.out, zone)
	}
	if changed && !out {
		f.returned[zone] = now + returnSpan
	}
	return changed
}

// ZonesOut returns the zones out of service.
func (f *Fleet) ZonesOut() []string { return slices.Sorted(maps.Keys(f.out)) }

// Snapshot returns an immutable copy, the same one until something changes.
func (f *Fleet) Snapshot() *Snapshot {
	if f.snapshot == nil {
		f.snapshot = f.copy()
	}
	return f.snapshot
}

func (f *Fleet) copy() *Snapshot {
	s := &Snapshot{byService: make(map[string][]*Endpoint), byID: maps.Clone(f.endpoints), out: maps.Clone(f.out), returned: maps.Clone(f.returned)}
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
		binary.BigEndian.PutUint64(b[:], uint64(e.Incarnation))
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
	returned  map[string]clock.Millis
	digest    uint64
}

// Digest returns a number that is the same for the same endpoints.
func (s *Snapshot) Digest() uint64 { return s.digest }

// Endpoints returns a service's endpoints in the order of their IDs.
func (s *Snapshot) Endpoints(service string) []*Endpoint { return s.byService[service] }

// Find returns an endpoint by its ID, or nil.
func (s *Snapshot) Find(id string) *Endpoint { return s.byID[id] }

// ZoneOut reports whether a zone is out of service.
func (s *Snapshot) ZoneOut(zone string) bool { return s.out[zone] }

// Usable reports whether an endpoint may get new work.
func (s *Snapshot) Usable(e *Endpoint) bool { return !e.Leaving && !s.out[e.Zone] }

// Cold reports whether an endpoint is in an announced cold start, or may be in one
// since its zone has just come back.
func (s *Snapshot) Cold(e *Endpoint, now clock.Millis) bool {
	return e.ColdUntil > now || s.returned[e.Zone] > now
}

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
