package site

import (
	"bytes"
	"maps"
	"slices"

	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// Self identifies this process.
type Self struct {
	// Name is the name of the VM. Process identifies one incarnation of the process on that VM.
	Name    string
	Process string
	Zone    string
	// Exposure is the fraction of a service's requests that a new version may get before it is
	// known to be good.
	Exposure float64
	// KeyLease is how long a revoked key may be used.
	KeyLease clock.Millis
	// SessionTTL is how long a session keeps its version after its last request; 0 means the default.
	SessionTTL clock.Millis
}

// State is a process's state of its site. Only Reduce changes it; it is not safe for concurrent
// use.
type State struct {
	self Self
	now  clock.Millis
	// startedAt is when the state was created.
	startedAt clock.Millis
	// config is never replaced by an older version during the life of the process.
	config *catalog.Config
	// confirmedAt is when the last read that confirmed config as the newest version was sent.
	confirmedAt clock.Millis
	// confirmedBy is what confirmed it: a read, a reply of the named entry, or a state that was taken.
	confirmedBy string
	// newerLoggedAt is when a log line last named an entry with a newer configuration.
	newerLoggedAt clock.Millis
	fleet         *fleet.Fleet
	// loaded holds the streams that were read at least once.
	loaded map[Stream]bool
	// upgrades holds the last ordered upgrade of each service.
	upgrades map[string]*upgrade.Upgrade
	// resumed holds the starts of upgrades that this entry has resumed, by service.
	resumed map[string]resumedOrder
	// verdicts holds the agreed states by service. statusEnd is the position at which the status
	// stream ended when it was last read.
	verdicts  map[string]Verdict
	statusEnd Position
	// verdictsToCheck holds those that the store may have lost.
	verdictsToCheck map[string]Verdict
	// current is the version in use by service.
	current map[string]string
	// pendingVerdicts holds the verdicts to be written to the status stream, by service.
	pendingVerdicts map[string]pendingVerdict
	peers           map[string]*peer
	// addresses holds the registered entries and those that sent a report. entriesReadAt is when
	// the registered ones were last read.
	addresses     map[string]string
	entriesReadAt clock.Millis
	// listed holds the entries that another one listed as running. fullerList is an entry that knows
	// more entries than this one; without an address if none is known.
	listed     map[string]listedEntry
	fullerList EntryAddress
	// counted caches the result of entryCount.
	counted entryCount
	// configRecord is the record that config was decoded from.
	configRecord Record
	// operatorRecords holds the newest valid record of each other key of the operators' stream.
	operatorRecords map[string]Record
	// invalid limits the log lines about records that cannot be used.
	invalid invalidLog
	// tookStateAt is when this entry started with the state of another one; never if it did not.
	tookStateAt clock.Millis
	// registeredAt is the address at which another entry knew this one when it started: it is in
	// the store from an earlier start.
	registeredAt string
	// heardUnlogged counts the entries heard for the first time since heardLoggedAt that have no log
	// line of their own.
	heardUnlogged int
	heardLoggedAt clock.Millis
	// delegateOrder caches the result of delegates.
	delegateOrder delegateOrder
	// unserved is the number of other running entries that the store does not serve, unservedRoseAt when it
	// last rose.
	unserved       int
	unservedRoseAt clock.Millis
	// counts, latencies and running are those of this process's last TrafficCounts.
	counts         map[string]upgrade.Counts
	latencies      map[string]upgrade.Latencies
	running        map[string]map[string]int
	latencyReports latencyReports
	// keptSessions holds by service this process's sessions that stay on the old version although
	// their hash is in the new version's share.
	keptSessions map[string][]uint64
	// retained holds sessions on old versions whose process is gone.
	retained []keptSessions
	// handedOver is true once another entry has handed on what happened before this process started.
	handedOver bool
	leaving    bool
	// storeAnsweredAt is when the store last answered, recoveredAt when its last outage ended; 0
	// before the first.
	storeAnsweredAt clock.Millis
	recoveredAt     clock.Millis
	// listReadAt is when this entry last read all registrations.
	listReadAt clock.Millis
	// awokeAt is when this process last went on after it had stood still; never if it did not.
	awokeAt clock.Millis
	// lapsed holds endpoints whose registrations disappeared during a store outage.
	lapsed map[string]lapse
	// lastReportAt, lastBroadcastAt and lastCountsAt are when reports were last sent to the first
	// delegates, to all entries, and with traffic counts to the judges.
	lastReportAt    clock.Millis
	lastBroadcastAt clock.Millis
	// startupBroadcastsSent counts the broadcasts since the registered entries were first read.
	startupBroadcastsSent int
	lastCountsAt          clock.Millis
	// failing is true from a failed call to the store to the next successful one. failingSince is
	// when the first of the failed calls failed.
	failing      bool
	failingSince clock.Millis
	// overdueSince is when a read of the operators' stream was sent that has not ended in time; never if
	// there is none, or one that was sent later has succeeded.
	overdueSince clock.Millis
	// servedSince is when the store began to serve this entry, 0 before that. peerServedSince is since
	// when it has served another entry, as reported while it failed this one; 0 if no entry did.
	servedSince     clock.Millis
	peerServedSince clock.Millis
	// wasJudge, wasReader and wasProbedByPeers are values as of the last tick: whether this entry
	// might have to write verdicts, and the results of reader and probedByPeers.
	wasJudge         bool
	wasReader        bool
	wasProbedByPeers bool
	// operator is the position up to which this entry has the operators' stream, peerOperator the
	// latest one reported by another entry.
	operator     Position
	peerOperator Position
	// heardVersion is the last newer configuration that another entry reported, at heardVersionAt.
	heardVersion   int64
	heardVersionAt clock.Millis
	// era is the highest known era of the store.
	era      int64
	settling settling
	// zonesOut holds the zones that the store has out of service.
	zonesOut map[string]bool
	// fleetConfirmedAt is when the endpoints were last known to match the store. divergedAt is
	// when another entry first reported endpoints that differ from this entry's; 0 if none does.
	fleetConfirmedAt clock.Millis
	divergedAt       clock.Millis
}

// peer is another entry.
type peer struct {
	report     *wire.EntryReport
	lastSeenAt clock.Millis
	// upgrades is the last report of upgrades from this process; not every report contains them.
	upgrades []*wire.UpgradeReport
}

// lapse is how long an endpoint stays in use after its registration disappeared, and the revision of its removal.
type lapse struct {
	until   clock.Millis
	removed fleet.Revision
}

// listedEntry is an entry that another one listed as running at the time at.
type listedEntry struct {
	zone string
	at   clock.Millis
}

// sameKept reports whether two reports of an upgrade list the same sessions that stay on the old
// version.
func sameKept(a, b *wire.UpgradeReport) bool {
	return a.GetNumber() == b.GetNumber() && a.GetEra() == b.GetEra() && slices.Equal(a.GetKept(), b.GetKept())
}

// changesEligibility reports whether a newer report may change which entries can be delegates, or
// their order.
func (p *peer) changesEligibility(r *wire.EntryReport) bool {
	return p.report == nil || p.report.GetLeaving() != r.GetLeaving() || p.report.GetStandby() != r.GetStandby() || p.report.GetZone() != r.GetZone() ||
		(clock.Millis(p.report.GetStoreAgeMillis()) < maxStoreAge) != (clock.Millis(r.GetStoreAgeMillis()) < maxStoreAge)
}

// update applies a newer report from the same entry.
func (p *peer) update(r *wire.EntryReport, now clock.Millis) {
	if len(r.GetUpgrades()) > 0 || p.report.GetProcess() != r.GetProcess() {
		p.upgrades = r.GetUpgrades()
	}
	p.report, p.lastSeenAt = r, now
}

// NewState returns the state of a process that has read nothing yet.
func NewState(self Self, now clock.Millis) *State {
	return &State{
		self: self, now: now, startedAt: now, fleet: fleet.New(), loaded: make(map[Stream]bool),
		upgrades: make(map[string]*upgrade.Upgrade), resumed: make(map[string]resumedOrder), verdicts: make(map[string]Verdict), statusEnd: unread,
		current: make(map[string]string), pendingVerdicts: make(map[string]pendingVerdict), peers: make(map[string]*peer),
		addresses: make(map[string]string), listed: make(map[string]listedEntry), operatorRecords: make(map[string]Record), counts: make(map[string]upgrade.Counts), keptSessions: make(map[string][]uint64), lapsed: make(map[string]lapse),
		operator: unread, peerOperator: unread, settling: settling{since: never, until: never}, zonesOut: make(map[string]bool), fleetConfirmedAt: never, confirmedAt: never, entriesReadAt: never, overdueSince: never, unservedRoseAt: never, tookStateAt: never, newerLoggedAt: never, awokeAt: never, listReadAt: never, counted: entryCount{at: never}, wasReader: true,
	}
}

// Reduce applies one event to the state and returns the resulting effects in order. It reads no
// clock and does no I/O.
func Reduce(s *State, e Event) (effects []Effect) {
	switch e := e.(type) {
	case Tick:
		s.now = e.Now
		effects = s.tick()
	case OperatorRead:
		s.now = e.Now
		effects = s.operatorRead(e)
	case OperatorReadOverdue:
		s.now = e.Now
		effects = s.operatorReadOverdue(e)
	case ConfigFound:
		s.now = e.Now
		effects = append(s.applyConfig(e.Update, false), Publish{})
	case EndpointsRead:
		s.now = e.Now
		effects = s.endpointsRead(e)
	case VerdictsRead:
		s.now = e.Now
		effects = s.verdictsRead(e)
	case EntriesRead:
		s.now = e.Now
		effects = s.entriesRead(e)
	case StateReceived:
		s.now = e.Now
		effects = s.stateReceived(e)
	case EntriesListed:
		s.now = e.Now
		effects = s.entriesReceived(e.Entries)
	case HandoverReceived:
		s.now = e.Now
		s.takeHandover(e.Handover)
		effects = []Effect{Publish{}}
	case ReportReceived:
		s.now = e.Now
		effects = s.reportReceived(e)
	case TrafficCounts:
		s.now = e.Now
		effects = s.trafficCounts(e)
	case WriteDone:
		s.now = e.Now
		effects = s.writeDone(e)
	case StoodStill:
		s.now, s.awokeAt = e.Now, e.Now
		effects = []Effect{Count{"parsleydeal_process_standstills_total"}, LogLine{Message: "Process stood still", Fields: []any{"for", e.For}, Warn: true}}
	case StoreFailed:
		s.now = e.Now
		if !s.failing {
			s.failing, s.failingSince, s.peerServedSince = true, e.Now, 0
		}
	case Leave:
		s.leaving = true
		effects = []Effect{Publish{}, s.broadcast()}
	case Stop:
		s.now = e.Now
		effects = []Effect{s.broadcast()}
	}
	return effects
}

func (s *State) entriesRead(e EntriesRead) (effects []Effect) {
	first := !s.loaded[EntryStream]
	s.loaded[EntryStream], s.entriesReadAt = true, e.Now
	// An entry that sent its first report after this read was sent may be missing from the result,
	// so no address is deleted.
	for name, address := range e.Addresses {
		s.addresses[name] = address
	}
	effects = []Effect{Publish{}}
	if first {
		// Earlier broadcasts had no recipients, and the readers of the store do not send updates
		// to this entry before they receive a report from it.
		effects = append(effects, s.broadcast())
	}
	return effects
}

// operatorReadOverdue tells all entries that this one does not have the operators' stream at the moment, so that
// others read it.
func (s *State) operatorReadOverdue(e OperatorReadOverdue) (effects []Effect) {
	effects = []Effect{Count{"parsleydeal_operator_reads_overdue_total"}}
	if s.overdueSince != never || !s.reader() || s.unserved > maxUnserved {
		return effects
	}
	s.overdueSince = e.SentAt
	return append(effects, LogLine{Message: "Read of the operators' stream is overdue", Fields: []any{"after", s.now - e.SentAt}}, s.broadcast())
}

func (s *State) operatorRead(e OperatorRead) (effects []Effect) {
	s.storeAnswered()
	s.overdueSince = never
	if e.Next.Era < s.operator.Era {
		return nil // sent before the store came back
	}
	first := !s.loaded[OperatorStream]
	s.loaded[OperatorStream] = true
	effects = s.enterEra(e.Next.Era)
	if s.reader() && len(e.Records) > 0 && !e.Full {
		effects = append(effects, s.push(e.Records, e.From, e.Next))
	}
	before, newEra := s.operator, e.Next.Era > s.operator.Era && s.operator.Era > 0
	if !first && s.operator.After(e.Next) {
		// Another entry has sent these records and later ones since the read was sent.
		e.Update, e.Full = OperatorUpdate{}, false
	}
	s.keepOperatorRecords(e.Update, e.Full)
	s.operator = later(s.operator, e.Next)
	effects = append(effects, countConfirmation(fromRead, true))
	if e.SentAt >= s.settling.until {
		s.confirm(e.SentAt, fromRead)
	} else {
		s.confirm(e.SentAt-s.settlingAge(), fromSettlingRead)
	}
	effects = append(effects, s.applyOperatorUpdate(e, first)...)
	if (newEra || e.Full && !first && e.Next.After(before)) && s.reader() {
		// A full read is not sent on. The others take the state of a reader as soon as they know of a later
		// position.
		effects = append(effects, s.broadcast())
	}
	return append(effects, Publish{})
}

// confirm records that the configuration was the newest one at the given time.
func (s *State) confirm(at clock.Millis, by string) {
	if at > s.confirmedAt {
		s.confirmedAt, s.confirmedBy = at, by
	}
}

// applyOperatorUpdate applies what operators published.
func (s *State) applyOperatorUpdate(e OperatorRead, first bool) (effects []Effect) {
	effects = append(effects, s.applyConfig(e.Update, !e.Full)...)
	for _, r := range e.Update.Invalid {
		effects = append(effects, s.recordInvalid(r)...)
	}
	for _, o := range e.Update.Orders {
		if !s.deferOrder(o, e.Full) {
			effects = append(effects, s.orderReceived(o, first, e.Starts)...)
		}
	}
	effects = append(effects, s.applyZones(e)...)
	return append(effects, s.selectVersions()...)
}

// applyConfig puts the configuration of an update in force unless a newer one already is: a delayed read
// would otherwise restore a removed route or key. isNews is true if operators have just written it.
func (s *State) applyConfig(u OperatorUpdate, isNews bool) (effects []Effect) {
	c := u.Config
	switch {
	case c == nil:
		return nil
	case s.config != nil && c.Version() <= s.config.Version():
		if isNews && !bytes.Equal(u.ConfigRecord.Value, s.configRecord.Value) {
			return s.recordInvalid(OutdatedConfig(u.ConfigRecord, c.Version(), s.config.Version()))
		}
		return nil
	}
	old := int64(-1)
	if s.config != nil {
		old = s.config.Version()
	}
	s.config, s.configRecord = c, u.ConfigRecord
	return []Effect{LogLine{Message: "Configuration is in force", Fields: []any{"version", c.Version(), "before", old, "routes", len(c.Routes()), "organisations", len(c.Organisations())}}}
}

func (s *State) applyZones(e OperatorRead) (effects []Effect) {
	if e.Full {
		clear(s.zonesOut)
	}
	for _, z := range e.Update.Zones {
		s.zonesOut[z.Zone] = z.Out
		effects = append(effects, s.setZone(z.Zone, z.Out)...)
	}
	if !e.Full || s.now < s.settling.until {
		return effects
	}
	for _, zone := range s.fleet.ZonesOut() {
		if !s.zonesOut[zone] {
			effects = append(effects, s.setZone(zone, false)...)
		}
	}
	return effects
}

func (s *State) setZone(zone string, out bool) []Effect {
	if !s.fleet.SetZone(zone, out, s.now) {
		return nil
	}
	return []Effect{LogLine{Message: "Zone changed", Fields: []any{"zone", zone, "out", out}}}
}

func (s *State) endpointsRead(e EndpointsRead) (effects []Effect) {
	s.loaded[EndpointStream] = true
	s.storeAnswered()
	if e.Full {
		s.listReadAt = e.SentAt
	}
	if e.Next.Era < s.era && e.Next.Era > 0 {
		return nil // sent before the store came back
	}
	effects = s.enterEra(e.Next.Era)
	e = s.retainLapsed(e)
	for _, c := range e.Changes {
		if c.Reason != "" {
			effects = append(effects, LogLine{Message: "Endpoint's entry cannot be used", Fields: []any{"endpoint", c.ID, "reason", c.Reason}, Warn: true})
		}
	}
	s.fleetConfirmedAt, s.divergedAt = max(s.fleetConfirmedAt, e.SentAt), 0
	changed, outdated := s.fleet.Update(fleet.Update{Changes: e.Changes, Full: e.Full, End: e.Next.revision()})
	s.endLapses(e.Changes)
	effects = append(effects, logOutdated(outdated, fromRead)...)
	effects = append(effects, s.fleetChanged(changed)...)
	if s.reader() && len(changed) > 0 {
		effects = append(effects, s.pushEndpoints(recordsOf(changed, e)))
	}
	return append(effects, Publish{})
}

const (
	// minListInterval and listIntervalPerEndpoint are how long the first reader of the store reads only changes of the
	// registrations, and then reads them all. What it had and the store has not would otherwise stay at all entries.
	minListInterval         = 20 * clock.Second
	listIntervalPerEndpoint = 50 * clock.Millis(1)
)

// listDue reports whether this entry has to read all registrations again.
func (s *State) listDue() bool {
	interval := max(minListInterval, clock.Millis(s.fleet.Snapshot().Size())*listIntervalPerEndpoint)
	return s.rank() == 0 && s.now-s.listReadAt >= interval
}

// updateFleet applies what another entry has sent of the endpoints.
func (s *State) updateFleet(u fleet.Update, from string) (effects []Effect) {
	changed, outdated := s.fleet.Update(u)
	s.endLapses(u.Changes)
	return append(logOutdated(outdated, from), s.fleetChanged(changed)...)
}

// logOutdated counts and logs changes of endpoints that came later than newer ones.
func logOutdated(outdated []string, from string) []Effect {
	if len(outdated) == 0 {
		return nil
	}
	return []Effect{Count{"parsleydeal_endpoint_changes_outdated_total"}, LogLine{Message: "Outdated changes of endpoints are ignored", Fields: []any{"from", from, "endpoint", outdated[0], "number", len(outdated)}}}
}

// fleetChanged logs changed endpoints and selects versions again.
func (s *State) fleetChanged(changed []string) (effects []Effect) {
	if len(changed) == 0 {
		return nil
	}
	for _, id := range changed {
		effects = append(effects, s.endpointLogLine(id))
	}
	return append(effects, s.selectVersions()...)
}

// recordsOf returns the newest record of each endpoint in a read. An endpoint without a record was removed.
func recordsOf(ids []string, e EndpointsRead) (out []Record) {
	newest := make(map[string]Record, len(e.Records))
	for _, r := range e.Records {
		newest[r.Key] = r
	}
	for _, id := range ids {
		r, ok := newest[id]
		if !ok {
			r = removalOf(id, e.Next.revision())
		}
		out = append(out, r)
	}
	return out
}

const (
	// outageThreshold is the duration of a store outage after which registrations of endpoints may
	// have expired because of the outage alone: two of their heartbeats.
	outageThreshold = 2400 * clock.Millis(1)
	// recoveryGrace is how long after a store outage endpoints may take to register again.
	recoveryGrace = 2 * clock.Second
	// recoverySkew is how much earlier than this entry another one may notice the end of an outage.
	recoverySkew = 2 * clock.Second
)

// storeAnswered records a successful call to the store.
func (s *State) storeAnswered() {
	if s.failing && s.now-s.failingSince > outageThreshold && !s.wasCutOff() {
		s.recoveredAt = s.now
	}
	if s.failing || s.servedSince == 0 {
		s.servedSince = s.now
	}
	s.storeAnsweredAt = s.now
	s.failing = false
}

// wasCutOff reports whether the store served other entries while it failed this one. Endpoints could
// then renew their registrations, and those that are missing have left.
func (s *State) wasCutOff() bool {
	return s.peerServedSince > 0 && s.now-s.peerServedSince > recoverySkew
}

// retainLapsed retains endpoints whose registrations disappeared during a store outage. Endpoints
// cannot renew their registrations during an outage. If all of them were removed when the store is
// back, every request would be refused for two seconds.
func (s *State) retainLapsed(e EndpointsRead) EndpointsRead {
	if s.recoveredAt == 0 || s.now-s.recoveredAt > recoveryGrace {
		return e
	}
	listed := make(map[string]bool)
	retained := e.Changes[:0:0]
	for _, c := range e.Changes {
		listed[c.ID] = true
		endpoint := s.fleet.Find(c.ID)
		if c.Endpoint == nil && c.Reason == "" && endpoint != nil && !endpoint.Leaving {
			s.lapsed[c.ID] = lapse{s.recoveredAt + recoveryGrace, c.Revision}
			continue
		}
		delete(s.lapsed, c.ID)
		retained = append(retained, c)
	}
	if e.Full {
		for id, endpoint := range s.fleet.Snapshot().All() {
			switch {
			case listed[id]:
			case endpoint.Leaving:
				retained = append(retained, fleet.Change{ID: id, Revision: e.Next.revision()})
			default:
				s.lapsed[id] = lapse{s.recoveredAt + recoveryGrace, e.Next.revision()}
			}
		}
	}
	e.Changes, e.Full = retained, false
	return e
}

// endLapses ends the lapses of endpoints that have registered again.
func (s *State) endLapses(changes []fleet.Change) {
	for _, c := range changes {
		if c.Endpoint != nil {
			delete(s.lapsed, c.ID)
		}
	}
}

// dropLapsed removes retained endpoints that did not register again in time. A process that stood still first has to know
// whether they have.
func (s *State) dropLapsed() (effects []Effect) {
	for id, x := range s.lapsed {
		if s.now < x.until || s.fleetConfirmedAt < s.awokeAt {
			continue
		}
		delete(s.lapsed, id)
		effects = append(effects, s.updateFleet(fleet.Update{Changes: []fleet.Change{{ID: id, Revision: x.removed}}}, fromRead)...)
		if s.reader() && s.fleet.Find(id) == nil {
			effects = append(effects, s.pushEndpoints([]Record{removalOf(id, x.removed)}))
		}
		effects = append(effects, Publish{})
	}
	return effects
}

func (s *State) endpointLogLine(id string) Effect {
	endpoint := s.fleet.Find(id)
	if endpoint == nil {
		return LogLine{Message: "Endpoint is gone", Fields: []any{"endpoint", id}}
	}
	return LogLine{Message: "Endpoint changed", Fields: []any{
		"endpoint", id, "service", endpoint.Service, "address", endpoint.Address, "zone", endpoint.Zone, "version", endpoint.Version, "leaving", endpoint.Leaving, "cold", s.fleet.Snapshot().Cold(endpoint, s.now),
	}}
}

// reportReceived applies a report from another entry.
func (s *State) reportReceived(e ReportReceived) (effects []Effect) {
	r := e.Report
	if r.GetName() == s.self.Name {
		return nil
	}
	p := s.peers[r.GetName()]
	if p == nil {
		effects = append(s.logHeard(r), Publish{})
		effects = append(effects, s.replyToNewEntry(r)...)
		p = &peer{}
		s.peers[r.GetName()] = p
	}
	before := p.upgrades
	if p.report.GetProcess() != r.GetProcess() {
		effects = append(effects, s.retainSessions(p)...)
	}
	if p.changesEligibility(r) {
		s.delegateOrder = delegateOrder{}
	}
	p.update(r, e.Now)
	if !slices.EqualFunc(before, p.upgrades, sameKept) {
		effects = append(effects, Publish{})
	}
	if s.addresses[r.GetName()] != r.GetAddress() {
		s.addresses[r.GetName()] = r.GetAddress()
		effects = append(effects, Publish{})
	}
	if since := max(s.now-clock.Millis(r.GetServedMillis()), 1); s.failing && r.GetServedMillis() > 0 && (s.peerServedSince == 0 || since < s.peerServedSince) {
		s.peerServedSince = since
	}
	for _, u := range r.GetUpgrades() {
		effects = append(effects, s.receiveUpgrade(r.GetProcess(), u)...)
	}
	if s.fullerList.Address == "" && int(r.GetEntries()) > s.entryCount() {
		s.fullerList = EntryAddress{Name: r.GetName(), Address: r.GetAddress(), Zone: r.GetZone()}
		effects = append(effects, Publish{})
	}
	return append(effects, s.receiveUpdates(e)...)
}

// maxHeardLines is the number of other entries from which the first report is logged one by one.
// Beyond it their number is logged once a second: on a large site each start would otherwise write
// a line for every entry.
const maxHeardLines = 16

// logHeard logs the first report from another entry, or counts it.
func (s *State) logHeard(r *wire.EntryReport) []Effect {
	if len(s.peers) >= maxHeardLines {
		s.heardUnlogged++
		return nil
	}
	return []Effect{LogLine{Message: "Entry heard", Fields: []any{"entry", r.GetName(), "zone", r.GetZone()}}}
}

// logHeardCount logs how many entries were heard for the first time since the last such line.
func (s *State) logHeardCount() []Effect {
	if s.heardUnlogged == 0 || s.now-s.heardLoggedAt < clock.Second {
		return nil
	}
	n := s.heardUnlogged
	s.heardUnlogged, s.heardLoggedAt = 0, s.now
	return []Effect{LogLine{Message: "Entries heard", Fields: []any{"entries", n, "known", len(s.peers)}}}
}

const (
	// peerExpiry is how long after its last report an entry still counts among those that share a
	// limit. It is longer than a restart or a network partition, during which the entry may
	// continue to send requests.
	peerExpiry = 30 * clock.Second
	// peerReportTTL is how long an entry's report of its own work stays valid.
	peerReportTTL = 5 * clock.Second
	// startupGrace is how long after the start registered entries count as present although no
	// report from them has arrived, and how long entries that another one listed do.
	startupGrace = 10 * clock.Second
)

// started reports whether all streams that decisions depend on were read.
func (s *State) started() bool {
	return s.config != nil && s.loaded[EndpointStream] && s.loaded[StatusStream]
}

// newerVersionAt returns when another entry last reported a configuration that is newer than this
// entry's; never if none did.
func (s *State) newerVersionAt() clock.Millis {
	if s.heardVersion > s.configVersion() {
		return s.heardVersionAt
	}
	return never
}

// View returns an immutable snapshot of the state.
func (s *State) View() *View {
	sharers := s.sharers()
	v := &View{
		config: s.config, confirmedAt: s.confirmedAt, confirmedBy: s.confirmedBy, fleet: s.fleet.Snapshot(), entries: len(sharers), shares: s.shares(sharers),
		started: s.started(), lacksConfig: s.loaded[OperatorStream] && s.config == nil, leaving: s.leaving, versions: make(map[string]versionState), addresses: maps.Clone(s.addresses),
		upgradeActive: s.hasActiveUpgrade(), checksVerdicts: len(s.verdictsToCheck) > 0 && s.rank() < judgeCount, mayWriteVerdict: len(s.pendingVerdicts) > 0 && s.rank() < judgeCount, reader: s.reader(), operator: s.operator, statusEnd: s.statusEnd, era: s.era, settledAt: s.settling.until, listDue: s.listDue(), lacksHandover: s.lacksHandover(), registeredAt: s.registeredAt, entriesKnown: s.loaded[EntryStream], fullerList: s.fullerList, delegates: s.delegateAddresses(), ahead: s.ahead(), others: s.neighbours(true), peerOperator: s.peerOperator, newerVersionAt: s.newerVersionAt(),
		fleetConfirmedAt: s.fleetConfirmedAt, divergedAt: s.divergedAt, probedByPeers: s.probedByPeers(), storeServesPeers: s.storeServesPeers(), neighbours: s.neighbours(s.fullMesh()), zoneAddresses: s.neighbours(false), fullMesh: s.fullMesh(),
	}
	v.spreaders, v.spreaderRank = s.spreaders()
	for service, version := range s.current {
		v.versions[service] = versionState{rule: upgrade.Rule{Current: version}}
	}
	for service, u := range s.upgrades {
		vs := v.versions[service]
		switch u.Phase() {
		case upgrade.Running:
			vs.upgrade, vs.schedule, vs.exposure, vs.kept = u.Order(), u.Schedule(), s.self.Exposure, s.keptByOthers(u.Order())
			vs.running = true
		case upgrade.RolledBack:
			vs.rule.Banned = u.Order().Target
		}
		v.versions[service] = vs
	}
	return v
}

// maxNeighbours is the number of other entries above which this entry reports its work at
// endpoints only to those of its zone.
const maxNeighbours = 8

// fullMesh reports whether the site is small enough for all entries to report their work to each
// other.
func (s *State) fullMesh() bool { return len(s.addresses) <= maxNeighbours+1 }

// neighbours returns the addresses of the other entries, or of those of this entry's zone.
func (s *State) neighbours(all bool) (out []string) {
	for name, address := range s.addresses {
		p := s.peers[name]
		if name != s.self.Name && (all || p != nil && p.report.GetZone() == s.self.Zone) {
			out = append(out, address)
		}
	}
	return out
}
