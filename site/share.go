package site

import (
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// Each call to the store is billed, and the calls of many entries would exceed its capacity. So a
// few entries read it on behalf of the others: they send updates as soon as they have read them
// and reply to queries about the age of their state. An entry that receives neither reads the
// store itself.

const (
	// readerCount is the number of entries that read the store. There is more than one because
	// the others notice only after a while that a reader stopped.
	readerCount = 2
	// extraPerUnserved is the number of further readers for each entry that the store does not serve, at most
	// maxExtraReaders. With more than maxUnserved such entries the store probably serves none.
	extraPerUnserved = 2
	maxExtraReaders  = 4
	maxUnserved      = readerCount + maxExtraReaders
	// extraReadTime is how long they read: until the next two entries would have found out that they are not
	// served either.
	extraReadTime = 2500 * clock.Millis(1)
	// maxConfirmationAge is how old the confirmation of the configuration may be before an entry
	// reads the store itself. An entry queries the readers once a second and a reply may be lost;
	// a reader's own confirmation is up to 1.6 s old. The rest of the 5 s for which a revoked key
	// may be used is left for the read.
	maxConfirmationAge = 3200 * clock.Millis(1)
	// maxFleetAge is the same limit for the list of endpoints. Readers send an update at once when
	// an endpoint is leaving.
	maxFleetAge = 3500 * clock.Millis(1)
	// divergenceTimeout is how long an entry's endpoints may differ from a reader's before the
	// entry reads them itself: the update may still be in transit.
	divergenceTimeout = 300 * clock.Millis(1)
	// never is a time before all others.
	never = -clock.Hour
)

// reader reports whether this entry reads the store on behalf of all.
func (s *State) reader() bool { return s.rank() < readerCount+s.extraReaders() }

// extraReaders returns the number of further entries that read the store just after it has stopped serving a few: it
// may not serve the next ones either, and a change has to be in force before these have found out.
func (s *State) extraReaders() int {
	s.delegates()
	if s.unserved > maxUnserved || s.now-s.unservedRoseAt >= extraReadTime {
		return 0
	}
	return min(extraPerUnserved*s.unserved, maxExtraReaders)
}

// probedByPeers reports whether other entries probe a store that fails all entries, so that this
// one need not. Each call is billed, even a refused one, and without this every entry would call
// the store several times a second.
func (s *State) probedByPeers() bool {
	if !s.failing {
		return false
	}
	preceding := 0
	for name, p := range s.peers {
		switch {
		case s.now-p.lastSeenAt >= peerTimeout || p.report.GetLeaving():
		case p.report.GetStoreAgeMillis() == 0:
			return false
		case name < s.self.Name:
			preceding++
		}
	}
	return preceding >= readerCount
}

// storeServesPeers reports whether the store serves the entries that read it on behalf of all. An
// entry that the store rejects receives all changes from them.
func (s *State) storeServesPeers() bool {
	serving := 0
	for _, p := range s.peers {
		if s.eligible(p) && p.report.GetStoreAgeMillis() == 0 {
			serving++
		}
	}
	return serving >= readerCount && !s.reader() && s.started()
}

// newReport returns a report with the fields that every report has.
func (s *State) newReport() *wire.EntryReport {
	r := &wire.EntryReport{
		Process: s.self.Process, Name: s.self.Name, Zone: s.self.Zone, Leaving: s.leaving, Standby: s.standby(),
		OperatorNext: s.operator.Offset, StoreEra: s.operator.Era, FleetDigest: s.fleet.Snapshot().Digest(),
	}
	switch {
	case s.overdueSince != never:
		r.StoreAgeMillis = int64(max(s.now-s.overdueSince, maxStoreAge))
	case s.failing:
		r.StoreAgeMillis = int64(max(s.now-s.storeAnsweredAt, 1))
	case s.reader() && s.servedSince > 0:
		r.ServedMillis = int64(max(s.now-s.servedSince, 1))
	}
	if s.config != nil {
		r.Version = s.config.Version()
	}
	if s.loaded[EntryStream] {
		r.Entries = int32(s.entryCount())
	}
	return r
}

// push sends operators' records that were just read, from an offset on, to all other entries.
func (s *State) push(records []Record, from int64, next Position) Effect {
	r := s.newReport()
	r.OperatorFrom, r.OperatorNext, r.StoreEra = from, next.Offset, next.Era
	r.Records = recordsToWire(OperatorStream, records)
	return SendReport{Report: r}
}

// pushEndpoints sends registrations of endpoints that were just read to all other entries.
func (s *State) pushEndpoints(records []Record) Effect {
	r := s.newReport()
	r.Records = recordsToWire(EndpointStream, records)
	return SendReport{Report: r}
}

func recordsToWire(stream Stream, records []Record) (out []*wire.StoreRecord) {
	for _, x := range records {
		out = append(out, &wire.StoreRecord{Stream: int32(stream), Key: x.Key, Value: x.Value, Offset: x.Offset, Era: x.Era})
	}
	return out
}

func recordFromWire(x *wire.StoreRecord) Record {
	return Record{Key: x.GetKey(), Value: x.GetValue(), Offset: x.GetOffset(), Era: x.GetEra()}
}

// operatorPosition returns the position up to which the sender of a report has the operators' stream.
func operatorPosition(r *wire.EntryReport) Position {
	return Position{r.GetStoreEra(), r.GetOperatorNext()}
}

// recordsOn returns a report's records of one stream.
func recordsOn(r *wire.EntryReport, stream Stream) (out []Record) {
	for _, x := range r.GetRecords() {
		if Stream(x.GetStream()) == stream {
			out = append(out, recordFromWire(x))
		}
	}
	return out
}

// receiveUpdates applies another entry's updates and confirmations, and replies to its query.
func (s *State) receiveUpdates(e ReportReceived) (effects []Effect) {
	if !s.started() {
		return nil
	}
	r := e.Report
	effects = append(effects, s.receiveOperatorUpdate(e)...)
	if len(e.Changes) > 0 {
		effects = append(effects, s.updateFleet(fleet.Update{Changes: e.Changes}, r.GetName())...)
		effects = append(effects, Publish{})
	}
	if r.GetReplyMillis() > 0 {
		effects = append(effects, s.receiveConfirmation(r)...)
	}
	if r.GetAskMillis() > 0 && s.reader() {
		effects = append(effects, s.reply(r))
	}
	return effects
}

// receiveOperatorUpdate applies operators' records sent by another entry, unless there is a gap
// before them.
func (s *State) receiveOperatorUpdate(e ReportReceived) (effects []Effect) {
	r := e.Report
	records, end := recordsOn(r, OperatorStream), operatorPosition(r)
	if end.Era == 0 && s.operator.Era > 0 {
		return s.receiveFromEarlierRelease(e)
	}
	s.hearVersion(r.GetVersion())
	if !end.After(s.operator) {
		if len(records) > 0 {
			effects = append(effects, countUpdate(updateKnown))
		}
		return append(effects, s.logNewer(r, updateKnown)...)
	}
	s.peerOperator = later(s.peerOperator, end)
	if len(records) == 0 || end.Era != s.operator.Era || r.GetOperatorFrom() < 0 || r.GetOperatorFrom() > s.operator.Offset {
		if len(records) > 0 {
			effects = append(effects, countUpdate(updateGap))
		}
		return append(append(effects, s.logNewer(r, updateGap)...), Publish{})
	}
	s.keepOperatorRecords(e.Update, false)
	effects = append(effects, countUpdate(updateApplied))
	effects = append(effects, s.applyOperatorUpdate(OperatorRead{Now: e.Now, Update: e.Update}, false)...)
	s.operator = end
	return append(effects, Publish{})
}

// hearVersion notes the version of another entry's configuration. It is newer at the same position if
// the store lost a configuration and this entry started since.
func (s *State) hearVersion(version int64) {
	if version > s.configVersion() {
		s.heardVersion, s.heardVersionAt = version, s.now
	}
}

// receiveFromEarlierRelease applies what an entry reports that knows of no eras. Its offset says
// nothing about the position, so that only a newer configuration is certain to be news; the rest is
// read.
func (s *State) receiveFromEarlierRelease(e ReportReceived) (effects []Effect) {
	r := e.Report
	effects = append(effects, s.applyConfig(e.Update, false)...)
	s.hearVersion(r.GetVersion())
	if r.GetOperatorNext() != s.operator.Offset {
		s.peerOperator = later(s.peerOperator, Position{s.operator.Era, s.operator.Offset + 1})
		effects = append(effects, countUpdate(updateGap))
	}
	return append(effects, Publish{})
}

// reply returns a reply with the age of this entry's state. The recipient counts that age from
// when it sent the query, so that time in transit cannot make the state look newer than it is.
func (s *State) reply(query *wire.EntryReport) Effect {
	r := s.newReport()
	r.ReplyMillis, r.ReplyTo = query.GetAskMillis(), query.GetProcess()
	r.ConfirmedAgeMillis = int64(s.now - s.confirmedAt)
	r.FleetAgeMillis = int64(s.now - s.fleetConfirmedAt)
	r.FleetRevision = revisionToWire(s.fleet.End())
	return SendReport{Report: r, To: query.GetAddress()}
}

// receiveConfirmation applies a reader's reply. It confirms only what is the same at both
// entries. A reply to the previous process with this address is ignored: that process had another
// clock, and the reply would make the state look newer than it is.
func (s *State) receiveConfirmation(r *wire.EntryReport) (effects []Effect) {
	queriedAt := clock.Millis(r.GetReplyMillis())
	if r.GetReplyTo() != s.self.Process || queriedAt > s.now {
		return nil
	}
	// At the same position an entry may have an older configuration: the store did not have all records
	// any more when it read them.
	applies := operatorPosition(r) == s.operator && r.GetVersion() == s.configVersion()
	effects = append(effects, countConfirmation(fromReply, applies))
	if applies {
		s.confirm(queriedAt-clock.Millis(r.GetConfirmedAgeMillis()), fromReply+"/"+r.GetName())
	}
	switch {
	case r.GetFleetDigest() == s.fleet.Snapshot().Digest():
		s.fleetConfirmedAt, s.divergedAt = max(s.fleetConfirmedAt, queriedAt-clock.Millis(r.GetFleetAgeMillis())), 0
		s.fleet.Complete(revisionFromWire(r.GetFleetRevision()))
	case s.divergedAt == 0:
		s.divergedAt = s.now
	}
	return append(effects, Publish{})
}
