// Package spread brings the configuration to every process within seconds,
// though most cannot read the log, and never takes a process back.
//
// A few processes of each availability zone read the log. Who learns something
// new tells a few peers at once, and every process asks one peer each second.
// Who turns out to be behind fetches the records from the other.
package spread

import (
	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/membership"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/rollout"
)

const (
	// askEvery is the span between two exchanges that a process begins.
	askEvery = clock.Second
	// askStarting is the same before the process has started.
	askStarting = 300 * clock.Millis(1)
	// fetchTimeout is when an unanswered fetch is given up.
	fetchTimeout = 3 * clock.Second
	// fanOut is how many peers are told of news at once.
	fanOut = 4
	// maxAhead bounds the peers remembered to be ahead; the oldest falls out.
	maxAhead = 8
	// startVoices is how many peers a process hears before it starts without
	// the log.
	startVoices = 3
)

// NeverConfirmed stands for no confirmation at all: long before any instant.
const NeverConfirmed = clock.Millis(-1 << 50)

// Local is what the process itself has reduced.
type Local struct {
	// Offset is the next offset of the log to reduce.
	Offset int64
	// HasTables is true once there are tables.
	HasTables bool
	// Holds is the set of holds in force; another set is another pointer.
	Holds *rollout.Holds
}

// State reduces how far this process and its peers have read.
type State struct {
	self string
	zone string
	now  clock.Millis
	// offset is Local.Offset as of the last event; it never goes back.
	offset int64
	// confirmedAt is the latest instant, on this process's clock, at which the
	// log's head was provably no further than offset.
	confirmedAt clock.Millis
	// started is true once the process knows the tables in force; it stays.
	started   bool
	following bool
	followed  bool
	draining  bool
	askAt     clock.Millis
	// asks counts the exchanges begun, to choose the next peer.
	asks uint64
	// told counts the news told.
	told uint64
	// voices holds the zone of each started peer that replied before the start.
	voices map[string]string
	// ahead holds peers known to be further, at most maxAhead.
	ahead []lead
	// fetching is the VM that a fetch is under way from, until fetchUntil.
	fetching   string
	fetchUntil clock.Millis
	// rank holds the readers among the members ranked.
	rank   []provider.VM
	ranked *membership.Members
	// holds is Local.Holds as of the last event.
	holds *rollout.Holds
	// words is how many words on leaving had been heard at the last event.
	words int
}

// lead is a peer that is further than this process.
type lead struct {
	vm      string
	address string
	offset  int64
}

// New returns the state of a process that has just begun.
func New(self, zone string) State {
	return State{self: self, zone: zone, confirmedAt: NeverConfirmed, voices: make(map[string]string)}
}

// Started reports whether the process knows the tables in force, so far as the
// log or several peers could tell.
func (s *State) Started() bool { return s.started }

// ConfirmedAt returns the latest instant, on this process's clock, at which the
// tables were provably current.
func (s *State) ConfirmedAt() clock.Millis { return s.confirmedAt }

// Reduce takes one event, after the tables have reduced it. Changed is true
// when a view must tell traffic.
func (s *State) Reduce(e event.Event, l Local, m *membership.Members) (effects []event.Effect, changed bool) {
	started, confirmed := s.started, s.confirmedAt
	grown := l.Offset > s.offset || l.Holds != s.holds
	s.holds = l.Holds
	s.offset = max(s.offset, l.Offset)
	effects = s.take(e, m)
	s.start(l, m)
	if news := s.news(grown, m); news {
		effects = append(effects, s.tell(m)...)
	}
	return effects, s.started != started || s.confirmedAt != confirmed
}

func (s *State) take(e event.Event, m *membership.Members) (effects []event.Effect) {
	switch e := e.(type) {
	case event.Tick:
		s.now = e.Now
		return s.tick(m)
	case event.LogRead:
		s.read(e)
	case event.DigestReceived:
		s.digest(e, m)
		return s.fetch()
	case event.Behind:
		s.behind(e, m)
		return s.fetch()
	case event.RecordsReceived:
		s.received(e)
		return s.fetch()
	case event.PeerFailed:
		s.failed(e)
		return s.fetch()
	case event.Draining:
		s.draining = true
		return s.tell(m)
	}
	return nil
}

// read confirms the revision at the log's head. A log that shows less than this
// process has reduced was cut short: the process stays where it is and confirms
// nothing by it.
func (s *State) read(e event.LogRead) {
	if e.Stream != provider.ConfigStream {
		return
	}
	s.now = e.Now
	if s.offset != e.Page.Head {
		return
	}
	s.confirmedAt = e.Now
	s.started = s.started || len(s.ahead) == 0
}

// digest compares a peer's offset with this process's own.
//
// Staleness travels as a span. A reply's age is at most the peer's staleness
// plus the whole round trip, both spans on one clock each, so no two clocks are
// compared. A digest that came unasked may have waited on the way for an
// unknown time, so it confirms nothing.
func (s *State) digest(e event.DigestReceived, m *membership.Members) {
	d := e.Digest
	if d.GetVm() == s.self {
		return
	}
	if d.GetOffset() > s.offset {
		s.lead(d.GetVm(), "", d.GetOffset(), m)
	}
	if !e.Reply || !d.GetStarted() {
		return
	}
	if !s.started {
		s.voices[d.GetVm()] = d.GetZone()
	}
	if d.GetOffset() <= s.offset && d.GetStalenessMillis() >= 0 {
		s.confirmedAt = max(s.confirmedAt, e.Sent-clock.Millis(d.GetStalenessMillis()))
	}
}

func (s *State) behind(e event.Behind, m *membership.Members) {
	if e.Revision >= s.offset {
		s.lead(e.VM, e.Address, e.Revision+1, m)
	}
}

// lead remembers a peer that is further.
func (s *State) lead(vm, address string, offset int64, m *membership.Members) {
	if v, ok := m.Find(vm); ok {
		address = v.Address
	}
	if address == "" {
		return
	}
	for i := range s.ahead {
		if s.ahead[i].vm == vm {
			s.ahead[i].offset = max(s.ahead[i].offset, offset)
			return
		}
	}
	s.ahead = append(s.ahead, lead{vm: vm, address: address, offset: offset})
	if len(s.ahead) > maxAhead {
		s.ahead = s.ahead[1:]
	}
}

func (s *State) received(e event.RecordsReceived) {
	if e.From != s.fetching {
		return
	}
	s.fetching = ""
	if e.Reply.GetFrom() > s.offset {
		s.drop(e.From)
	}
}

func (s *State) failed(e event.PeerFailed) {
	s.drop(e.VM)
	delete(s.voices, e.VM)
	if e.VM == s.fetching {
		s.fetching = ""
	}
}

func (s *State) drop(vm string) {
	for i := range s.ahead {
		if s.ahead[i].vm == vm {
			s.ahead = append(s.ahead[:i], s.ahead[i+1:]...)
			return
		}
	}
}

// fetch asks the furthest peer for what this process lacks, one at a time.
func (s *State) fetch() (effects []event.Effect) {
	best := lead{offset: s.offset}
	kept := s.ahead[:0]
	for _, a := range s.ahead {
		if a.offset <= s.offset {
			continue
		}
		kept = append(kept, a)
		if a.offset > best.offset {
			best = a
		}
	}
	s.ahead = kept
	if best.vm == "" || s.fetching != "" {
		return nil
	}
	s.fetching = best.vm
	s.fetchUntil = s.now + fetchTimeout
	return []event.Effect{event.FetchRecords{VM: best.vm, Address: best.address, From: s.offset}}
}

// start ends the starting phase without the log: enough peers have replied, one
// of them in another availability zone where there is one, and this process
// stands where the furthest of them stands. Fewer voices could all be behind,
// and a process without disks has no memory of its own to tell.
func (s *State) start(l Local, m *membership.Members) {
	if s.started || !l.HasTables || len(s.ahead) > 0 {
		return
	}
	others, elsewhere := 0, false
	for _, v := range m.VMs() {
		if v.ID == s.self || m.Suspected(v.ID) {
			continue
		}
		others++
		elsewhere = elsewhere || v.Zone != s.zone
	}
	heardElsewhere := false
	for _, zone := range s.voices {
		heardElsewhere = heardElsewhere || zone != s.zone
	}
	if len(s.voices) == 0 || len(s.voices) < min(startVoices, others) || elsewhere && !heardElsewhere {
		return
	}
	s.started = true
}

// news reports whether peers should hear at once: records that were new here,
// or a process that says that it leaves.
func (s *State) news(grown bool, m *membership.Members) bool {
	more := m.LeavingChanges() > s.words
	s.words = m.LeavingChanges()
	return grown || more
}

func (s *State) tick(m *membership.Members) (effects []event.Effect) {
	if s.fetching != "" && s.now >= s.fetchUntil {
		s.drop(s.fetching)
		s.fetching = ""
		effects = s.fetch()
	}
	if s.now < s.askAt {
		return effects
	}
	every := askEvery
	if !s.started {
		every = askStarting
	}
	s.askAt = s.now + every
	if s.asks == 0 {
		s.askAt += clock.Millis(xxhash.Sum64String(s.self) % uint64(askEvery))
	}
	effects = append(effects, s.follow(m)...)
	s.asks++
	if v, ok := s.next(m); ok {
		effects = append(effects, event.Exchange{VM: v.ID, Address: v.Address})
	}
	return effects
}

// Snapshot is what traffic and peers may know of State; it never changes.
type Snapshot struct {
	VM    string
	Zone  string
	Epoch uint64
	Tail  Tail
	// Starting is true until the process knows the tables in force.
	Starting bool
}

// Digest returns what a process tells its peers, but for its load.
func (p Snapshot) Digest(revision int64, staleness clock.Millis, leaving bool, m *membership.Members) *wire.Digest {
	return &wire.Digest{
		Vm: p.VM, Zone: p.Zone, Epoch: p.Epoch,
		Revision: revision, Offset: p.Tail.End(), Started: !p.Starting,
		Leaving: leaving, Leavings: m.Leavings(),
		StalenessMillis: int64(staleness),
	}
}
