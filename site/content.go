package site

import (
	"maps"
	"slices"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// StateReceived is the state of another entry. It is applied as far as it is newer than this
// entry's own state.
type StateReceived struct {
	Now clock.Millis
	// ConfirmedAt and FleetConfirmedAt are times, on this process's clock, at which the sender's
	// configuration and endpoints matched the store.
	ConfirmedAt      clock.Millis
	FleetConfirmedAt clock.Millis
	// Update is decoded from Records, the newest records of the operators' stream up to
	// OperatorNext.
	Update       OperatorUpdate
	Records      []Record
	OperatorNext Position
	// Retained is decoded from those of Records that the store lacks, Deferred from DeferredRecords,
	// those of the store that differ from Records. Both are empty unless the store settles.
	Retained        OperatorUpdate
	RetainedRecords []Record
	Deferred        OperatorUpdate
	DeferredRecords []Record
	Verdicts        []Verdict
	// StatusEnd is the position at which the status stream ended.
	StatusEnd Position
	// Settling is for how much longer the store may lack what is written again after it came back
	// from an older copy; 0 if it did not.
	Settling clock.Millis
	// Changes lists all endpoints up to the end FleetRevision of their stream, and later removals.
	Changes       []fleet.Change
	FleetRevision fleet.Revision
	Entries       []EntryAddress
	// Starts holds when entries started the upgrades that the sender has resumed, by service.
	Starts   map[string]OrderStart
	Handover handover
}

// EntryAddress is where another entry receives reports.
type EntryAddress struct {
	Name    string
	Address string
	// Zone is empty if it is not known.
	Zone string
}

// EntriesListed lists the entries that another one knows to be running.
type EntriesListed struct {
	Now     clock.Millis
	Entries []EntryAddress
}

func (StateReceived) event() {}
func (EntriesListed) event() {}

// maxStateAge is the largest age of a confirmation in another entry's state that is applied. The
// rest of maxConfirmationAge is left for this entry's first query to a reader.
const maxStateAge = 2 * clock.Second

// stateAgeLimit returns how old the confirmations of a state may be. While the store settles they are
// older, and reading the store instead would bring back what is out of date.
func stateAgeLimit(settling bool) clock.Millis {
	if settling {
		return maxSettlingStateAge
	}
	return maxStateAge
}

// maxSettlingStateAge is maxStateAge while the store settles. Keys are refused with a state that is
// older than their lease.
const maxSettlingStateAge = 10 * clock.Second

// ErrStale is returned for a state of another entry that was not confirmed recently, and ErrTorn
// for one that is incomplete or does not match its digest.
var (
	ErrStale = Errors.NewType("stale")
	ErrTorn  = Errors.NewType("torn")
)

// stateReceived applies another entry's state. It is never more binding than the store: leases
// count from the sender's own confirmations.
func (s *State) stateReceived(e StateReceived) (effects []Effect) {
	first := !s.started()
	effects = s.enterEra(e.OperatorNext.Era)
	if first && e.Settling > 0 {
		s.settling = newSettling(s.now, s.now+min(e.Settling, settleTime))
	}
	s.statusEnd = later(s.statusEnd, e.StatusEnd)
	for _, v := range e.Verdicts {
		if first || s.verdicts[v.Service] != v {
			s.verdicts[v.Service] = v
			effects = append(effects, s.applyVerdict(v, "agreed, as heard")...)
		}
	}
	if first {
		s.tookStateAt = s.now
		s.takeHandover(e.Handover)
	}
	if first || e.OperatorNext.After(s.operator) {
		s.keepOperatorRecords(e.Update, true)
		s.operator = later(s.operator, e.OperatorNext)
		effects = append(effects, s.applyOperatorUpdate(OperatorRead{Now: e.Now, Full: true, Update: e.Update, Starts: e.Starts}, first)...)
		s.inheritSettling(e)
	}
	// The store may have lost a newer configuration, and this entry have started since.
	effects = append(effects, s.applyConfig(e.Update, false)...)
	applies := e.OperatorNext == s.operator && e.Update.version() == s.configVersion()
	effects = append(effects, countConfirmation(fromState, applies))
	if applies {
		s.confirm(e.ConfirmedAt, fromState)
	}
	if first || e.FleetConfirmedAt > s.fleetConfirmedAt {
		s.fleetConfirmedAt, s.divergedAt = max(s.fleetConfirmedAt, e.FleetConfirmedAt), 0
		effects = append(effects, s.updateFleet(fleet.Update{Changes: e.Changes, Full: true, End: e.FleetRevision}, fromState)...)
	}
	for _, stream := range [...]Stream{OperatorStream, EndpointStream, StatusStream} {
		s.loaded[stream] = true
	}
	effects = append(effects, s.selectVersions()...)
	return append(effects, s.entriesReceived(e.Entries)...)
}

// entriesReceived adds entries that another one knows.
func (s *State) entriesReceived(entries []EntryAddress) (effects []Effect) {
	first := !s.loaded[EntryStream]
	s.fullerList = EntryAddress{}
	for _, x := range entries {
		if x.Name == s.self.Name {
			if first {
				s.registeredAt = x.Address
			}
			continue
		}
		if _, known := s.addresses[x.Name]; !known {
			s.addresses[x.Name] = x.Address
		}
		s.listed[x.Name] = listedEntry{x.Zone, s.now}
	}
	s.counted.at = never
	effects = []Effect{Publish{}}
	if first && len(entries) > 0 {
		s.loaded[EntryStream], s.entriesReadAt = true, s.now
		effects = append(effects, s.broadcast())
	}
	return effects
}

// keepOperatorRecords keeps the newest valid records of the operators' stream, but for the configuration, for
// entries that start.
func (s *State) keepOperatorRecords(u OperatorUpdate, full bool) {
	records := u.Records
	if full {
		records = s.retainRecords(u)
		maps.DeleteFunc(s.operatorRecords, func(key string, _ Record) bool { return !u.hides(key) })
	}
	for _, r := range records {
		if !full {
			delete(s.settling.retained, r.Key)
			delete(s.settling.records, r.Key)
		}
		if len(r.Value) == 0 {
			delete(s.operatorRecords, r.Key)
			continue
		}
		s.operatorRecords[r.Key] = r
	}
}

// content returns what another entry needs to start; the verdicts are added by the loop, which has
// the codec.
func (s *State) content() *wire.SiteContent {
	c := &wire.SiteContent{OperatorNext: s.operator.Offset, StoreEra: s.operator.Era, StatusEnd: s.statusEnd.Offset, StatusEra: s.statusEnd.Era, FleetDigest: s.fleet.Snapshot().Digest()}
	if s.config != nil {
		c.Records = recordsToWire(OperatorStream, []Record{s.configRecord})
	}
	for _, key := range slices.Sorted(maps.Keys(s.operatorRecords)) {
		c.Records = append(c.Records, recordsToWire(OperatorStream, []Record{s.operatorRecords[key]})...)
	}
	all := s.fleet.Snapshot().All()
	for _, id := range slices.Sorted(maps.Keys(all)) {
		e := all[id]
		c.Endpoints = append(c.Endpoints, &wire.EndpointState{
			Id: e.ID, Service: e.Service, Address: e.Address, Zone: e.Zone, Version: e.Version, Slots: int32(e.Slots), Leaving: e.Leaving,
			ColdMillis: int64(max(e.ColdUntil-s.now, 0)), Born: e.Incarnation, Sequence: e.Sequence, Revision: revisionToWire(e.Revision),
		})
	}
	c.FleetRevision = revisionToWire(s.fleet.End())
	for _, gone := range s.fleet.GoneSince(s.fleet.End()) {
		c.Gone = append(c.Gone, &wire.EndpointRemoval{Id: gone.ID, Revision: revisionToWire(gone.Revision)})
	}
	c.Entries = EntriesToWire(s.liveEntries())
	c.Starts = s.resumedToWire()
	s.addHandover(c)
	for _, r := range s.settling.records {
		c.Deferred = append(c.Deferred, recordsToWire(OperatorStream, []Record{r})...)
	}
	return c
}

// EntriesToWire returns the message for addresses of entries.
func EntriesToWire(entries []EntryAddress) (out []*wire.EntryAddress) {
	for _, x := range entries {
		out = append(out, &wire.EntryAddress{Name: x.Name, Address: x.Address, Zone: x.Zone})
	}
	return out
}

// EntriesFromWire leaves out entries without an address, which cannot be asked or told anything.
func EntriesFromWire(all []*wire.EntryAddress) (entries []EntryAddress) {
	for _, x := range all {
		if x.GetAddress() != "" {
			entries = append(entries, EntryAddress{Name: x.GetName(), Address: x.GetAddress(), Zone: x.GetZone()})
		}
	}
	return entries
}

// liveEntries returns this entry and those that are probably running, by name.
func (s *State) liveEntries() (entries []EntryAddress) {
	for _, x := range s.sharers() {
		if address := s.addresses[x.name]; address != "" {
			entries = append(entries, EntryAddress{Name: x.name, Address: address, Zone: x.zone})
		}
	}
	return entries
}

func packContent(c *wire.SiteContent) (packed []byte, err error) { return deflate(c) }

func unpackContent(packed []byte) (c *wire.SiteContent, err error) {
	c = &wire.SiteContent{}
	if err = inflate(packed, c); err != nil {
		return nil, ErrUnpack.Wrap(err, "state of another entry")
	}
	return c, nil
}

// decodeState decodes the state that another entry was asked for at sentAt.
func decodeState(codec Codec, m *wire.SiteState, sentAt, now clock.Millis) (e StateReceived, err error) {
	c, err := unpackContent(m.GetPacked())
	if err != nil {
		return e, err
	}
	for _, age := range [...]int64{m.GetHeldMillis(), m.GetConfirmedAgeMillis(), m.GetFleetAgeMillis(), m.GetBuiltAgeMillis(), m.GetSettlingMillis()} {
		if age < 0 {
			return e, ErrStale.New("an age is negative")
		}
	}
	// The sender answered no earlier than HeldMillis after the request was sent.
	answeredAt := min(sentAt+clock.Millis(m.GetHeldMillis()), now)
	e = StateReceived{
		Now: now, ConfirmedAt: answeredAt - clock.Millis(m.GetConfirmedAgeMillis()), FleetConfirmedAt: answeredAt - clock.Millis(m.GetFleetAgeMillis()),
		OperatorNext: Position{c.GetStoreEra(), c.GetOperatorNext()}, StatusEnd: Position{c.GetStatusEra(), c.GetStatusEnd()}, Settling: clock.Millis(m.GetSettlingMillis()),
	}
	if oldest := min(e.ConfirmedAt, e.FleetConfirmedAt); now-oldest > stateAgeLimit(e.Settling > 0) {
		return e, ErrStale.New("state was confirmed %s ago", now-oldest)
	}
	var verdicts []Record
	for _, r := range c.GetRecords() {
		record := recordFromWire(r)
		if Stream(r.GetStream()) == StatusStream {
			verdicts = append(verdicts, record)
		} else {
			e.Records = append(e.Records, record)
		}
		if e.Settling > 0 && Stream(r.GetStream()) == OperatorStream && record.Era < e.OperatorNext.Era {
			e.RetainedRecords = append(e.RetainedRecords, record)
		}
	}
	for _, r := range c.GetDeferred() {
		e.DeferredRecords = append(e.DeferredRecords, recordFromWire(r))
	}
	e.Update, e.Verdicts = codec.Operator(e.Records), codec.Verdicts(verdicts)
	e.Retained, e.Deferred = codec.Operator(e.RetainedRecords), codec.Operator(e.DeferredRecords)
	if e.Update.Config == nil {
		return e, ErrTorn.New("state has no configuration")
	}
	if slices.ContainsFunc(c.GetEndpoints(), func(x *wire.EndpointState) bool { return x.GetSlots() <= 0 || x.GetAddress() == "" }) {
		return e, ErrTorn.New("an endpoint has no slots or no address")
	}
	builtAt := answeredAt - clock.Millis(m.GetBuiltAgeMillis())
	e.Changes, e.FleetRevision = endpointsFromWire(c.GetEndpoints(), builtAt, now), revisionFromWire(c.GetFleetRevision())
	e.Handover = handoverFromWire(c, builtAt)
	for _, gone := range c.GetGone() {
		e.Changes = append(e.Changes, fleet.Change{ID: gone.GetId(), Revision: revisionFromWire(gone.GetRevision())})
	}
	check := fleet.New()
	check.Apply(e.Changes, true)
	if check.Snapshot().Digest() != c.GetFleetDigest() {
		return e, ErrTorn.New("endpoints do not match their digest")
	}
	e.Entries, e.Starts = EntriesFromWire(c.GetEntries()), resumedFromWire(c.GetStarts())
	return e, nil
}

// endpointsFromWire returns the endpoints of a state that was built at the time builtAt.
func endpointsFromWire(all []*wire.EndpointState, builtAt, now clock.Millis) (changes []fleet.Change) {
	for _, x := range all {
		e := &fleet.Endpoint{
			ID: x.GetId(), Service: x.GetService(), Address: x.GetAddress(), Zone: x.GetZone(), Version: x.GetVersion(), Slots: int(x.GetSlots()),
			Leaving: x.GetLeaving(), Incarnation: x.GetBorn(), Sequence: x.GetSequence(), Revision: revisionFromWire(x.GetRevision()),
		}
		if coldUntil := builtAt + clock.Millis(x.GetColdMillis()); x.GetColdMillis() > 0 && coldUntil > now {
			e.ColdUntil = coldUntil
		}
		changes = append(changes, fleet.Change{ID: e.ID, Endpoint: e, Revision: e.Revision})
	}
	return changes
}

// revisionToWire returns the message for a revision; nil if it is unknown.
func revisionToWire(r fleet.Revision) *wire.Revision {
	if r.Next == 0 {
		return nil
	}
	return &wire.Revision{Era: r.Era, Next: r.Next}
}

func revisionFromWire(r *wire.Revision) fleet.Revision {
	return fleet.Revision{Era: r.GetEra(), Next: max(r.GetNext(), 0)}
}
