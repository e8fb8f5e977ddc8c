package site

import (
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// Each call to the store is paid for, and the calls of many entries would use up
// what it serves. So a few entries read it and the others hear from them: news as
// soon as it was read, and on asking how fresh what they know is. An entry that
// hears nothing reads the store itself.

const (
	// readers is how many entries read the store: one may end at any time, and the
	// others notice that only after a while.
	readers = 2
	// confirmWithin is how old the confirmation of the configuration may be before
	// an entry reads the store itself. It asks once a second and an answer may be
	// lost; a reader's own confirmation is up to 1.6 s old. What is left of the 5 s
	// for which a key may be used after it was taken away is for the read.
	confirmWithin = 3200 * clock.Millis(1)
	// fleetWithin is the same for the endpoints, whose leaving an entry hears of
	// at once.
	fleetWithin = 3500 * clock.Millis(1)
	// strayFor is how long an entry may know other endpoints than a reader before
	// it reads them itself: the news may still be on its way.
	strayFor = 300 * clock.Millis(1)
	// never is an instant before all others.
	never = -clock.Hour
)

// reader reports whether this entry reads the store for all.
func (s *State) reader() bool { return s.rank() < readers }

// leftToOthers reports whether this entry may leave it to others to find out when a
// store that fails all of them is back. Each call is paid for, also a refused one, and
// trying for themselves they would call it several times a second each.
func (s *State) leftToOthers() bool {
	if !s.failing {
		return false
	}
	before := 0
	for name, p := range s.peers {
		switch {
		case s.now-p.heardAt >= peerLive || p.report.GetLeaving():
		case p.report.GetStoreAgeMillis() == 0:
			return false
		case name < s.self.Name:
			before++
		}
	}
	return before >= readers
}

// othersServed reports whether the store answers entries that read it for all. One that
// it turns away hears of all changes from these.
func (s *State) othersServed() bool {
	served := 0
	for _, p := range s.peers {
		if s.able(p) && p.report.GetStoreAgeMillis() == 0 {
			served++
		}
	}
	return served >= readers && !s.reader() && s.started()
}

// report is what every report says.
func (s *State) report() *wire.EntryReport {
	r := &wire.EntryReport{
		Process: s.self.Process, Name: s.self.Name, Zone: s.self.Zone, Leaving: s.leaving,
		OperatorNext: s.operatorNext, FleetDigest: s.fleet.Snapshot().Digest(),
	}
	if s.failing {
		r.StoreAgeMillis = int64(max(s.now-s.storeAt, 1))
	}
	if s.config != nil {
		r.Version = s.config.Version
	}
	return r
}

// push tells all others of news that was just read.
func (s *State) push(stream Stream, records []Record, from, next int64) Effect {
	r := s.report()
	if stream == OperatorStream {
		r.OperatorFrom, r.OperatorNext = from, next
	}
	for _, x := range records {
		r.Records = append(r.Records, &wire.StoreRecord{Stream: int32(stream), Key: x.Key, Value: x.Value, Offset: x.Offset})
	}
	return SendReport{Report: r}
}

// recordsOn returns a report's records of one stream.
func recordsOn(r *wire.EntryReport, stream Stream) (out []Record) {
	for _, x := range r.GetRecords() {
		if Stream(x.GetStream()) == stream {
			out = append(out, Record{Key: x.GetKey(), Value: x.GetValue(), Offset: x.GetOffset()})
		}
	}
	return out
}

// heardNews takes news and confirmations of another entry, and answers its
// question.
func (s *State) heardNews(e ReportReceived) (effects []Effect) {
	if !s.started() {
		return nil
	}
	r := e.Report
	effects = append(effects, s.heardOperator(e)...)
	if len(e.Changes) > 0 {
		effects = append(effects, s.fleetChanged(s.fleet.Apply(e.Changes, false))...)
		effects = append(effects, Publish{})
	}
	if r.GetReplyMillis() > 0 {
		effects = append(effects, s.confirmed(r)...)
	}
	if r.GetAskMillis() > 0 && s.reader() {
		effects = append(effects, s.reply(r))
	}
	return effects
}

// heardOperator takes what operators published by way of another entry, if
// nothing is missing before it.
func (s *State) heardOperator(e ReportReceived) (effects []Effect) {
	r := e.Report
	if r.GetOperatorNext() <= s.operatorNext {
		return nil
	}
	s.heardNext = max(s.heardNext, r.GetOperatorNext())
	complete := len(recordsOn(r, OperatorStream)) > 0 && r.GetOperatorFrom() >= 0 && r.GetOperatorFrom() <= s.operatorNext
	if complete {
		effects = s.published(OperatorRead{Now: e.Now, Update: e.Update}, false)
		s.operatorNext = r.GetOperatorNext()
	}
	return append(effects, Publish{})
}

// reply tells an asker how fresh this entry's knowledge is. The asker counts from
// when it asked, so that no time on the way makes it look fresher than it is.
func (s *State) reply(asker *wire.EntryReport) Effect {
	r := s.report()
	r.ReplyMillis, r.ReplyTo = asker.GetAskMillis(), asker.GetProcess()
	r.ConfirmedAgeMillis = int64(s.now - s.confirmedAt)
	r.FleetAgeMillis = int64(s.now - s.fleetAt)
	return SendReport{Report: r, To: asker.GetAddress()}
}

// confirmed takes a reader's answer. It confirms only what is the same here and
// there. An answer to the process that had this address before is none: its clock
// was another one, and the answer would look fresher than it is.
func (s *State) confirmed(r *wire.EntryReport) (effects []Effect) {
	asked := clock.Millis(r.GetReplyMillis())
	if r.GetReplyTo() != s.self.Process || asked > s.now {
		return nil
	}
	if r.GetOperatorNext() == s.operatorNext {
		s.confirmedAt = max(s.confirmedAt, asked-clock.Millis(r.GetConfirmedAgeMillis()))
	}
	switch {
	case r.GetFleetDigest() == s.fleet.Snapshot().Digest():
		s.fleetAt, s.strayAt = max(s.fleetAt, asked-clock.Millis(r.GetFleetAgeMillis())), 0
	case s.strayAt == 0:
		s.strayAt = s.now
	}
	return []Effect{Publish{}}
}
