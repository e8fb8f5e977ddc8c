package fleet

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/clock"
)

// Fleet is the set of endpoints and of zones out of service. It is part of the control state
// and not safe for concurrent use; requests use the copy that Snapshot returns.
type Fleet struct {
	// endpoints holds all registered endpoints by ID.
	endpoints map[string]*Endpoint
	// out holds the zones out of service, which get no new requests.
	out map[string]bool
	// coldUntil holds, by zone, until when the endpoints of a zone that came back into service
	// are treated as cold.
	coldUntil map[string]clock.Millis
	// removed holds what is known of endpoints that are gone, at most maxRemoved of them, removedOrder their IDs from the
	// oldest on. forgotten is the latest removal that is not remembered any more.
	removed      map[string]removal
	removedOrder []string
	forgotten    Revision
	// end is the end of the history up to which everything is known.
	end Revision
	// keepsGone is true while registrations may be older than what is known of endpoints that are gone.
	keepsGone bool
	// snapshot is the last copy returned; nil if anything has changed since.
	snapshot *Snapshot
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{endpoints: make(map[string]*Endpoint), out: make(map[string]bool), coldUntil: make(map[string]clock.Millis), removed: make(map[string]removal)}
}

// removal is the removal of an endpoint.
type removal struct {
	// last is its last registration; nil if none was known.
	last *Endpoint
	at   Revision
}

// maxRemoved limits the endpoints that are gone and still remembered.
const maxRemoved = 4096

// Apply is Update with changes that complete no history.
func (f *Fleet) Apply(changes []Change, full bool) (changed []string) {
	changed, _ = f.Update(Update{Changes: changes, Full: full})
	return changed
}

// Update applies an update. Other processes may send changes late and in any order: those that are older than what is
// known of their endpoints are left out. It returns the IDs of the endpoints that were added, removed or changed in a
// way that other processes must know, and of those that an outdated change would have removed or brought back.
func (f *Fleet) Update(u Update) (changed, outdated []string) {
	f.snapshot = nil
	named := make(map[string]bool)
	for _, c := range u.Changes {
		named[c.ID] = true
		old := f.endpoints[c.ID]
		switch {
		case f.isOutdated(c, u.End):
			if (c.Endpoint == nil) != (old == nil) {
				outdated = append(outdated, c.ID)
			}
		case c.Endpoint == nil:
			changed = f.remove(c.ID, c.Revision, changed)
		case old != nil && older(c.Endpoint, old):
		default:
			if old == nil || old.differs(c.Endpoint) {
				changed = append(changed, c.ID)
			}
			f.endpoints[c.ID] = c.Endpoint
		}
	}
	if u.Full {
		for _, id := range slices.Sorted(maps.Keys(f.endpoints)) {
			if !named[id] && !f.endpoints[id].Revision.after(u.End) {
				changed = f.remove(id, u.End, changed)
			}
		}
	}
	f.Complete(u.End)
	return changed, outdated
}

// isOutdated reports whether a change is older than what is known of its endpoint. An endpoint that is not in use is gone
// if the history was known beyond its registration, unless the change is part of a history that is as long.
func (f *Fleet) isOutdated(c Change, end Revision) bool {
	if old := f.endpoints[c.ID]; old != nil {
		return c.Revision.notAfter(old.Revision)
	}
	if gone, ok := f.removed[c.ID]; ok {
		again := c.Endpoint == nil || f.keepsGone && gone.last != nil && !older(gone.last, c.Endpoint)
		if c.Revision.notAfter(gone.at) || again && !c.Revision.after(gone.at) {
			return true
		}
	}
	known := latest(f.forgotten, f.end)
	return c.Endpoint != nil && c.Revision.notAfter(known) && !known.notAfter(end)
}

// Complete sets the end of the history up to which everything is known, unless it is known further.
func (f *Fleet) Complete(end Revision) { f.end = latest(f.end, end) }

// End returns the end of the history up to which everything is known.
func (f *Fleet) End() Revision { return f.end }

// GoneSince returns the removals that are later than the given end of the history.
func (f *Fleet) GoneSince(end Revision) (changes []Change) {
	for _, id := range slices.Sorted(maps.Keys(f.removed)) {
		if at := f.removed[id].at; f.endpoints[id] == nil && at.after(end) {
			changes = append(changes, Change{ID: id, Revision: at})
		}
	}
	return changes
}

// KeepGone sets whether registrations that are not newer than the last one of an endpoint that is gone
// are ignored. Otherwise they bring it back: entries know sequences of different age.
func (f *Fleet) KeepGone(keep bool) { f.keepsGone = keep }

// remove removes an endpoint, if it is known, and remembers the removal.
func (f *Fleet) remove(id string, at Revision, changed []string) []string {
	last := f.endpoints[id]
	gone, known := f.removed[id]
	switch {
	case last == nil && at.Next == 0:
		return changed
	case last == nil:
		gone.at = at
	case at.Next == 0:
		gone = removal{last, last.Revision}
	default:
		gone = removal{last, at}
	}
	if f.removed[id] = gone; !known {
		f.removedOrder = append(f.removedOrder, id)
	}
	if len(f.removedOrder) > maxRemoved {
		oldest := f.removedOrder[0]
		f.forgotten = latest(f.forgotten, f.removed[oldest].at)
		delete(f.removed, oldest)
		f.removedOrder = f.removedOrder[1:]
	}
	if last == nil {
		return changed
	}
	delete(f.endpoints, id)
	return append(changed, id)
}

// coldTolerance is by how much the ends of a cold start computed from two registrations may
// differ, because the registrations were in transit for different times.
const coldTolerance = 700 * clock.Millis(1)

// differs reports whether a later registration contains a change that other processes must know.
// That includes a new cold start: an entry that treats the endpoint as warm would send it more
// than it can accept.
func (e *Endpoint) differs(later *Endpoint) bool {
	return e.Leaving != later.Leaving || e.Address != later.Address || e.Incarnation != later.Incarnation || later.ColdUntil > e.ColdUntil+coldTolerance
}

// older reports whether a registration was made before the known one. A delayed registration must
// not undo an endpoint's leaving.
func older(e, known *Endpoint) bool {
	return e.Incarnation < known.Incarnation || e.Incarnation == known.Incarnation && e.Sequence < known.Sequence
}

// Find returns an endpoint by its ID, or nil.
func (f *Fleet) Find(id string) *Endpoint { return f.endpoints[id] }

// returnedZoneCold is how long the endpoints of a zone that came back into service are treated as
// cold. They were idle and look the least loaded to every entry, but the registration of a cold
// start arrives only after a heartbeat (1.2 s) and the interval between two reads of the store
// (0.8 s).
const returnedZoneCold = 2500 * clock.Millis(1)

// SetZone takes a zone out of service or puts it back, and reports whether this changed its state.
func (f *Fleet) SetZone(zone string, out bool, now clock.Millis) (changed bool) {
	changed = f.out[zone] != out
	f.snapshot = nil
	if out {
		f.out[zone] = true
	} else {
		delete(f.out, zone)
	}
	if changed && !out {
		f.coldUntil[zone] = now + returnedZoneCold
	}
	return changed
}

// SetZoneCold treats the endpoints of a zone as cold until the given time at least.
func (f *Fleet) SetZoneCold(zone string, until clock.Millis) {
	f.snapshot = nil
	f.coldUntil[zone] = max(f.coldUntil[zone], until)
}

// ColdZones returns until when the endpoints of zones that came back into service are treated as cold.
func (f *Fleet) ColdZones(now clock.Millis) map[string]clock.Millis {
	out := maps.Clone(f.coldUntil)
	maps.DeleteFunc(out, func(_ string, until clock.Millis) bool { return until <= now })
	return out
}

// ZonesOut returns the zones out of service.
func (f *Fleet) ZonesOut() []string { return slices.Sorted(maps.Keys(f.out)) }

// Snapshot returns an immutable copy. It returns the same one until something changes.
func (f *Fleet) Snapshot() *Snapshot {
	if f.snapshot == nil {
		f.snapshot = f.copy()
	}
	return f.snapshot
}

func (f *Fleet) copy() *Snapshot {
	s := &Snapshot{byService: make(map[string][]*Endpoint), byID: maps.Clone(f.endpoints), out: maps.Clone(f.out), coldUntil: maps.Clone(f.coldUntil)}
	for _, e := range f.endpoints {
		s.byService[e.Service] = append(s.byService[e.Service], e)
	}
	for _, all := range s.byService {
		slices.SortFunc(all, func(a, b *Endpoint) int { return strings.Compare(a.ID, b.ID) })
	}
	s.digest = s.digestOf()
	return s
}

// digestOf returns a hash of what processes must agree on. Cold starts are left out because they
// end without a registration.
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

// Snapshot is an immutable copy of a fleet, safe for concurrent use.
type Snapshot struct {
	byService map[string][]*Endpoint
	byID      map[string]*Endpoint
	out       map[string]bool
	coldUntil map[string]clock.Millis
	digest    uint64
}

// Digest returns a hash that is equal for equal endpoints. It ignores cold starts.
func (s *Snapshot) Digest() uint64 { return s.digest }

// Endpoints returns a service's endpoints in the order of their IDs. Callers must not change it.
func (s *Snapshot) Endpoints(service string) []*Endpoint { return s.byService[service] }

// Find returns an endpoint by its ID, or nil.
func (s *Snapshot) Find(id string) *Endpoint { return s.byID[id] }

// ZoneOut reports whether a zone is out of service.
func (s *Snapshot) ZoneOut(zone string) bool { return s.out[zone] }

// Usable reports whether an endpoint may get new requests.
func (s *Snapshot) Usable(e *Endpoint) bool { return !e.Leaving && !s.out[e.Zone] }

// Cold reports whether an endpoint has registered a cold start, or may be in one because its
// zone has just come back into service.
func (s *Snapshot) Cold(e *Endpoint, now clock.Millis) bool {
	return e.ColdUntil > now || s.coldUntil[e.Zone] > now
}

// Services returns the endpoints by service. Callers must not change it.
func (s *Snapshot) Services() map[string][]*Endpoint { return s.byService }

// All returns the endpoints by ID. Callers must not change it.
func (s *Snapshot) All() map[string]*Endpoint { return s.byID }

// Size returns the number of endpoints.
func (s *Snapshot) Size() int { return len(s.byID) }

// Versions returns the number of a service's endpoints by version.
func (s *Snapshot) Versions(service string) map[string]int {
	n := make(map[string]int)
	for _, e := range s.byService[service] {
		n[e.Version]++
	}
	return n
}
