package site

import (
	"maps"
	"slices"

	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// Self names this process.
type Self struct {
	// Name is the VM's, Process its name and start.
	Name    string
	Process string
	Zone    string
	// Exposure is the part of a service's requests that a new version may get
	// before it is known to be good.
	Exposure float64
}

// State is what a process believes of its site. Reduce changes it; nothing else
// does.
type State struct {
	self Self
	now  clock.Millis
	// startedAt is when the state was made.
	startedAt clock.Millis
	// config never gives way to an older version while the process lives.
	config *catalog.Config
	// confirmedAt is when a read was sent that found config to be the newest.
	confirmedAt clock.Millis
	fleet       *fleet.Fleet
	// known holds the streams that were read at least once.
	known map[Stream]bool
	// upgrades holds the last order of each service.
	upgrades map[string]*upgrade.Upgrade
	// verdicts holds the agreed states by service, and statusEnd the offset at
	// which their stream ended when it was last read.
	verdicts  map[string]Verdict
	statusEnd int64
	// current is the version in use by service.
	current map[string]string
	// duties holds the verdicts that are due on the status stream, by service.
	duties map[string]duty
	peers  map[string]*peer
	// addresses holds the registered entries and those that were heard, and entriesAt
	// is when the registered ones were last read.
	addresses map[string]string
	entriesAt clock.Millis
	// order is what acting worked out last.
	order order
	// counts and running are this process's own.
	counts  map[string]upgrade.Counts
	running map[string]map[string]int
	// kept holds the sessions of this process that stay on the old version
	// although their number belongs to the new one, by service.
	kept    map[string][]uint64
	leaving bool
	// storeAt is when the store last answered, and backAt when it did so after it
	// had failed for a while; 0 before any.
	storeAt clock.Millis
	backAt  clock.Millis
	// lapsed holds endpoints whose entries went while the store was away, with
	// the moment at which they are taken for gone.
	lapsed map[string]clock.Millis
	// lastTold, lastToldAll and lastCounted are when the entries that act for all, all
	// entries, and the judges of upgrades were told.
	lastTold    clock.Millis
	lastToldAll clock.Millis
	// startReportsSent counts the reports to all since the registered entries were read.
	startReportsSent int
	lastCounted      clock.Millis
	// failing is true from a call that the store did not answer to one that it did,
	// and failedAt is when the first such call failed.
	failing  bool
	failedAt clock.Millis
	// acts is whether the last view said that this entry may have to write verdicts,
	// reads whether it said that it reads the store for all, and waits whether it said
	// that it leaves a failing store to others.
	acts  bool
	reads bool
	waits bool
	// operatorNext is the offset up to which the operators' stream is known, and
	// heardNext the highest one that another entry knows.
	operatorNext int64
	heardNext    int64
	// fleetAt is when the endpoints were last known to be those of the store;
	// strayAt is since when another entry knows others, 0 while none does.
	fleetAt clock.Millis
	strayAt clock.Millis
}

// peer is another entry.
type peer struct {
	report  *wire.EntryReport
	heardAt clock.Millis
	// upgrades is what the process last said of upgrades: not each of its reports
	// does.
	upgrades []*wire.UpgradeReport
}

// sameKept reports whether two words on an upgrade name the same sessions to keep.
func sameKept(a, b *wire.UpgradeReport) bool {
	return a.GetNumber() == b.GetNumber() && slices.Equal(a.GetKept(), b.GetKept())
}

// changes reports whether a newer report changes who can act for all.
func (p *peer) changes(r *wire.EntryReport) bool {
	return p.report == nil || p.report.GetLeaving() != r.GetLeaving() || p.report.GetZone() != r.GetZone() ||
		(clock.Millis(p.report.GetStoreAgeMillis()) < reachable) != (clock.Millis(r.GetStoreAgeMillis()) < reachable)
}

// hear takes a newer report of the same entry.
func (p *peer) hear(r *wire.EntryReport, now clock.Millis) {
	if len(r.GetUpgrades()) > 0 || p.report.GetProcess() != r.GetProcess() {
		p.upgrades = r.GetUpgrades()
	}
	p.report, p.heardAt = r, now
}

// NewState returns the state of a process that knows nothing yet.
func NewState(self Self, now clock.Millis) *State {
	return &State{
		self: self, now: now, startedAt: now, fleet: fleet.New(), known: make(map[Stream]bool),
		upgrades: make(map[string]*upgrade.Upgrade), verdicts: make(map[string]Verdict), statusEnd: -1,
		current: make(map[string]string), duties: make(map[string]duty), peers: make(map[string]*peer),
		addresses: make(map[string]string), counts: make(map[string]upgrade.Counts), kept: make(map[string][]uint64), lapsed: make(map[string]clock.Millis),
		operatorNext: -1, heardNext: -1, fleetAt: never, confirmedAt: never, entriesAt: never, reads: true,
	}
}

// Reduce takes one event into the state and returns the effects in order. It
// reads no clock and does no I/O.
func Reduce(s *State, e Event) (effects []Effect) {
	switch e := e.(type) {
	case Tick:
		s.now = e.Now
		effects = s.tick()
	case OperatorRead:
		s.now = e.Now
		effects = s.operatorRead(e)
	case EndpointsRead:
		s.now = e.Now
		effects = s.endpointsRead(e)
	case VerdictsRead:
		s.now = e.Now
		effects = s.verdictsRead(e)
	case EntriesRead:
		s.now = e.Now
		effects = s.entriesRead(e)
	case ReportReceived:
		s.now = e.Now
		effects = s.heard(e)
	case TrafficCounts:
		s.now = e.Now
		effects = s.counted(e)
	case WriteDone:
		s.now = e.Now
		effects = s.written(e)
	case StoreFailed:
		s.now = e.Now
		if !s.failing {
			s.failing, s.failedAt = true, e.Now
		}
	case Leave:
		s.leaving = true
		effects = []Effect{Publish{}, s.tell()}
	}
	return effects
}

func (s *State) entriesRead(e EntriesRead) (effects []Effect) {
	first := !s.known[EntryStream]
	s.known[EntryStream], s.entriesAt = true, e.Now
	// An entry that was heard since the read began is not in it.
	for name, address := range e.Addresses {
		s.addresses[name] = address
	}
	effects = []Effect{Publish{}}
	if first {
		// What was told before went to nobody, and those that read the store for this entry
		// do not know of it until they hear it.
		effects = append(effects, s.tell())
	}
	return effects
}

func (s *State) operatorRead(e OperatorRead) (effects []Effect) {
	first := !s.known[OperatorStream]
	s.known[OperatorStream] = true
	s.answered()
	if s.reader() && len(e.Records) > 0 && !e.Full {
		effects = append(effects, s.push(OperatorStream, e.Records, e.From, e.Next))
	}
	s.operatorNext = max(s.operatorNext, e.Next)
	s.confirmedAt = max(s.confirmedAt, e.SentAt)
	effects = append(effects, s.published(e, first)...)
	return append(effects, Publish{})
}

// published takes what operators published into the state.
func (s *State) published(e OperatorRead, first bool) (effects []Effect) {
	for _, f := range e.Update.Invalid {
		effects = append(effects, LogLine{Message: "Operator's record cannot be used", Fields: []any{"key", f.Key, "offset", f.Offset, "reason", f.Reason}, Warn: true})
	}
	if c := e.Update.Config; c != nil {
		effects = append(effects, s.adopt(c)...)
	}
	for _, o := range e.Update.Orders {
		effects = append(effects, s.ordered(o, first)...)
	}
	effects = append(effects, s.zones(e)...)
	return append(effects, s.settleVersions()...)
}

// adopt takes a configuration unless a newer one is in force: a read that was
// held up would otherwise bring back a route or key that was taken away.
func (s *State) adopt(c *catalog.Config) (effects []Effect) {
	if s.config != nil && c.Version <= s.config.Version {
		return nil
	}
	old := int64(-1)
	if s.config != nil {
		old = s.config.Version
	}
	s.config = c
	return []Effect{LogLine{Message: "Configuration is in force", Fields: []any{"version", c.Version, "before", old, "routes", len(c.Routes), "organisations", len(c.Organisations)}}}
}

func (s *State) zones(e OperatorRead) (effects []Effect) {
	named := make(map[string]bool)
	for _, z := range e.Update.Zones {
		named[z.Zone] = true
		if s.fleet.SetZone(z.Zone, z.Out, s.now) {
			effects = append(effects, LogLine{Message: "Zone changed", Fields: []any{"zone", z.Zone, "out", z.Out}})
		}
	}
	if !e.Full {
		return effects
	}
	for _, zone := range s.fleet.ZonesOut() {
		if !named[zone] && s.fleet.SetZone(zone, false, s.now) {
			effects = append(effects, LogLine{Message: "Zone changed", Fields: []any{"zone", zone, "out", false}})
		}
	}
	return effects
}

func (s *State) endpointsRead(e EndpointsRead) (effects []Effect) {
	s.known[EndpointStream] = true
	s.answered()
	e = s.hold(e)
	for _, c := range e.Changes {
		if c.Reason != "" {
			effects = append(effects, LogLine{Message: "Endpoint's entry cannot be used", Fields: []any{"endpoint", c.ID, "reason", c.Reason}, Warn: true})
		}
	}
	s.fleetAt, s.strayAt = max(s.fleetAt, e.SentAt), 0
	moved := s.fleet.Apply(e.Changes, e.Full)
	effects = append(effects, s.fleetChanged(moved)...)
	if s.reader() && len(moved) > 0 {
		effects = append(effects, s.push(EndpointStream, recordsOf(moved, e.Records), 0, 0))
	}
	return append(effects, Publish{})
}

// fleetChanged follows a change of the endpoints.
func (s *State) fleetChanged(moved []string) (effects []Effect) {
	if len(moved) == 0 {
		return nil
	}
	for _, id := range moved {
		effects = append(effects, s.moved(id))
	}
	return append(effects, s.settleVersions()...)
}

// recordsOf returns the newest record of each endpoint; one without a record is
// gone.
func recordsOf(ids []string, records []Record) (out []Record) {
	for _, id := range ids {
		r := Record{Key: id}
		for _, x := range records {
			if x.Key == id {
				r = x
			}
		}
		out = append(out, r)
	}
	return out
}

const (
	// away is how long the store does not answer before entries of endpoints may
	// have lapsed for that alone: two of their heartbeats.
	away = 2400 * clock.Millis(1)
	// backWithin is how long after the store's return such entries may take to
	// come back.
	backWithin = 2 * clock.Second
)

// answered notes an answer of the store.
func (s *State) answered() {
	if s.failing && s.now-s.failedAt > away {
		s.backAt = s.now
	}
	s.storeAt = s.now
	s.failing = false
}

// hold keeps endpoints whose entries went while the store was away. Endpoints
// cannot renew their entries then, and dropping all of them at its return would
// refuse every request for two seconds.
func (s *State) hold(e EndpointsRead) EndpointsRead {
	if s.backAt == 0 || s.now-s.backAt > backWithin {
		return e
	}
	named := make(map[string]bool)
	kept := e.Changes[:0:0]
	for _, c := range e.Changes {
		named[c.ID] = true
		known := s.fleet.Find(c.ID)
		if c.Endpoint == nil && c.Reason == "" && known != nil && !known.Leaving {
			s.lapsed[c.ID] = s.backAt + backWithin
			continue
		}
		delete(s.lapsed, c.ID)
		kept = append(kept, c)
	}
	if e.Full {
		for id, known := range s.fleet.Snapshot().All() {
			switch {
			case named[id]:
			case known.Leaving:
				kept = append(kept, fleet.Change{ID: id})
			default:
				s.lapsed[id] = s.backAt + backWithin
			}
		}
	}
	return EndpointsRead{Now: e.Now, SentAt: e.SentAt, Changes: kept, Records: e.Records}
}

// dropLapsed takes endpoints for gone whose entries did not come back.
func (s *State) dropLapsed() (effects []Effect) {
	for id, at := range s.lapsed {
		if s.now < at {
			continue
		}
		delete(s.lapsed, id)
		moved := s.fleet.Apply([]fleet.Change{{ID: id}}, false)
		effects = append(effects, s.fleetChanged(moved)...)
		if s.reader() {
			effects = append(effects, s.push(EndpointStream, recordsOf(moved, nil), 0, 0))
		}
		effects = append(effects, Publish{})
	}
	return effects
}

func (s *State) moved(id string) Effect {
	at := s.fleet.Find(id)
	if at == nil {
		return LogLine{Message: "Endpoint is gone", Fields: []any{"endpoint", id}}
	}
	return LogLine{Message: "Endpoint changed", Fields: []any{
		"endpoint", id, "service", at.Service, "address", at.Address, "zone", at.Zone, "version", at.Version, "leaving", at.Leaving, "cold", s.fleet.Snapshot().Cold(at, s.now),
	}}
}

// heard takes a report of another entry.
func (s *State) heard(e ReportReceived) (effects []Effect) {
	r := e.Report
	if r.GetName() == s.self.Name {
		return nil
	}
	old := s.peers[r.GetName()]
	if old == nil {
		effects = append(effects, LogLine{Message: "Entry heard", Fields: []any{"entry", r.GetName(), "zone", r.GetZone()}}, Publish{})
		effects = append(effects, s.answerStart(r)...)
		old = &peer{}
		s.peers[r.GetName()] = old
	}
	before := old.upgrades
	if old.changes(r) {
		s.order = order{}
	}
	old.hear(r, e.Now)
	if !slices.EqualFunc(before, old.upgrades, sameKept) {
		effects = append(effects, Publish{})
	}
	if s.addresses[r.GetName()] != r.GetAddress() {
		s.addresses[r.GetName()] = r.GetAddress()
		effects = append(effects, Publish{})
	}
	for _, u := range r.GetUpgrades() {
		effects = append(effects, s.heardUpgrade(r.GetProcess(), u)...)
	}
	return append(effects, s.heardNews(e)...)
}

const (
	// peerGone is how long an entry is not heard before it no longer counts
	// among those that share a bound: longer than a restart or a cut link, in
	// which it may go on sending.
	peerGone = 30 * clock.Second
	// peerFresh is how long what an entry said of its own work holds.
	peerFresh = 5 * clock.Second
	// hearing is how long after the start entries that are registered and were
	// not heard yet count as if they were.
	hearing = 10 * clock.Second
)

// started reports whether all streams that decisions rest on were read.
func (s *State) started() bool {
	return s.config != nil && s.known[EndpointStream] && s.known[StatusStream]
}

// View returns an immutable picture of the state.
func (s *State) View() *View {
	sharers := s.sharers()
	v := &View{
		config: s.config, confirmedAt: s.confirmedAt, fleet: s.fleet.Snapshot(), entries: len(sharers), shares: s.shares(sharers),
		started: s.started(), leaving: s.leaving, moves: make(map[string]move), addresses: maps.Clone(s.addresses),
		busy: s.moving(), duties: len(s.duties) > 0 && s.rank() < judges, reader: s.reader(), operatorNext: s.operatorNext, heardNext: s.heardNext,
		fleetAt: s.fleetAt, strayAt: s.strayAt, leftToOthers: s.leftToOthers(), served: s.othersServed(), neighbours: s.neighbours(), allTold: s.allTold(),
	}
	for service, version := range s.current {
		v.moves[service] = move{rule: upgrade.Rule{Current: version}}
	}
	for service, u := range s.upgrades {
		m := v.moves[service]
		switch u.Phase() {
		case upgrade.Running:
			m.upgrade, m.startedAt, m.exposure, m.kept = u.Order(), s.now-u.Age(s.now), s.self.Exposure, s.keptElsewhere(service, u.Order())
			m.running = true
		case upgrade.RolledBack:
			m.rule.Banned = u.Order().Target
		}
		v.moves[service] = m
	}
	return v
}

// mostNeighbours is how many entries are told of this one's work at endpoints before
// only those of its zone are.
const mostNeighbours = 8

// allTold reports whether the site is so small that all tell all of their work.
func (s *State) allTold() bool { return len(s.addresses) <= mostNeighbours+1 }

func (s *State) neighbours() (out []string) {
	for name, address := range s.addresses {
		p := s.peers[name]
		if name != s.self.Name && (s.allTold() || p != nil && p.report.GetZone() == s.self.Zone) {
			out = append(out, address)
		}
	}
	return out
}

// keptElsewhere gathers the sessions that other entries keep on the old version.
func (s *State) keptElsewhere(service string, o upgrade.Order) map[uint64]bool {
	kept := make(map[uint64]bool)
	for _, p := range s.peers {
		for _, u := range p.upgrades {
			if u.GetService() != service || u.GetNumber() != o.Number {
				continue
			}
			for _, h := range u.GetKept() {
				kept[h] = true
			}
		}
	}
	return kept
}
