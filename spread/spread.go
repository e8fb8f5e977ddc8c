// Package spread distributes the configuration to every process within seconds, although most
// processes don't read the log, and never moves a process back to an older revision.
//
// A few processes of each availability zone read the log. A process that receives new records
// notifies a few peers at once. In addition, every process starts an exchange with one peer each
// second, in which the one that is behind fetches the missing records from the other.
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
	// exchangeInterval is the time between two exchanges that a process starts.
	exchangeInterval = clock.Second
	// startingExchangeInterval is the time between two exchanges while the process is starting.
	startingExchangeInterval = 300 * clock.Millis(1)
	// fetchTimeout is the timeout of a request for records from a peer.
	fetchTimeout = 3 * clock.Second
	// fanOut is how many peers are notified of an update at once.
	fanOut = 4
	// maxAhead bounds the stored peers that have read further than this process; the oldest one is
	// dropped.
	maxAhead = 8
	// minStartReplies is how many peers must have replied before a process starts without the log.
	minStartReplies = 3
)

// NeverConfirmed is the confirmation time of tables that were never confirmed to be current. It is
// before any clock time.
const NeverConfirmed = clock.Millis(-1 << 50)

// Local is the state of other reducers of this process that State depends on.
type Local struct {
	// Offset is the offset of the next log record to apply.
	Offset int64
	// HasTables is true once tables are in force.
	HasTables bool
	// Holds is the set of holds in force. The pointer changes whenever the set does.
	Holds *rollout.Holds
}

// State tracks how far this process and its peers have read the log.
type State struct {
	self string
	zone string
	now  clock.Millis
	// offset is Local.Offset as of the last event; it never decreases.
	offset int64
	// confirmedAt is the latest time, on this process's clock, at which it was known that the log
	// had no records from offset on.
	confirmedAt clock.Millis
	// started is true once the process has the tables in force; it is never reset.
	started bool
	// following is the value of On in the last Follow effect; valid once followSent is true.
	following  bool
	followSent bool
	draining   bool
	// exchangeAt is the time of the next exchange.
	exchangeAt clock.Millis
	// exchanges counts the periodic exchanges started; it selects the next peer.
	exchanges uint64
	// notifications counts the peers drawn to be notified of updates; it selects the next one.
	notifications uint64
	// startReplies holds the peers that replied while this process was starting and had themselves
	// started: their zones by VM ID.
	startReplies map[string]string
	// ahead holds at most maxAhead peers that have read further than this process.
	ahead []peerAhead
	// fetching is the VM from which records are being fetched, "" if none. The fetch times out at
	// fetchUntil.
	fetching   string
	fetchUntil clock.Millis
	// readerVMs holds the processes of this zone that read the log. It was computed from
	// readersOf.
	readerVMs []provider.VM
	readersOf *membership.Members
	// holds is Local.Holds as of the last event.
	holds *rollout.Holds
	// leavingChanges is Members.LeavingChanges as of the last event.
	leavingChanges int
}

// peerAhead is a peer that has read further than this process.
type peerAhead struct {
	vm      string
	address string
	offset  int64
}

// New returns the state of a process that has just started on the VM with the ID self.
func New(self, zone string) State {
	return State{self: self, zone: zone, confirmedAt: NeverConfirmed, startReplies: make(map[string]string)}
}

// Started reports whether the process has the tables in force, as confirmed by the log or by
// several peers.
func (s *State) Started() bool { return s.started }

// ConfirmedAt returns the latest time, on this process's clock, at which the tables were known to
// be current; NeverConfirmed if there is none.
func (s *State) ConfirmedAt() clock.Millis { return s.confirmedAt }

// Reduce applies one event. The tables must have been updated by the event before, so that l
// includes it. changed is true if Started or ConfirmedAt changed, so that a new view must be
// published.
func (s *State) Reduce(e event.Event, l Local, m *membership.Members) (effects []event.Effect, changed bool) {
	started, confirmed := s.started, s.confirmedAt
	newRecords := l.Offset > s.offset || l.Holds != s.holds
	s.holds = l.Holds
	s.offset = max(s.offset, l.Offset)
	effects = s.apply(e, m)
	s.tryStart(l, m)
	if notify := s.takeUpdates(newRecords, m); notify {
		effects = append(effects, s.notifyPeers(m)...)
	}
	return effects, s.started != started || s.confirmedAt != confirmed
}

func (s *State) apply(e event.Event, m *membership.Members) (effects []event.Effect) {
	switch e := e.(type) {
	case event.Tick:
		s.now = e.Now
		return s.tick(m)
	case event.LogRead:
		s.logRead(e)
	case event.DigestReceived:
		s.digestReceived(e, m)
		return s.fetch()
	case event.PeerAhead:
		s.peerIsAhead(e, m)
		return s.fetch()
	case event.RecordsReceived:
		s.recordsReceived(e)
		return s.fetch()
	case event.PeerFailed:
		s.peerFailed(e)
		return s.fetch()
	case event.Draining:
		s.draining = true
		return s.notifyPeers(m)
	}
	return nil
}

// logRead records that the tables are current if this process has applied the log up to its head.
// If the log ends before this process's offset, it was truncated: the offset stays, and nothing is
// confirmed.
func (s *State) logRead(e event.LogRead) {
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

// digestReceived compares a peer's offset with this process's own.
//
// A peer's staleness is the time since its tables were last confirmed to be current. It is sent as
// a duration. The age of a reply is at most this staleness plus the round trip time. Each of the
// two is measured on one clock, so clocks of different processes are never compared. A digest that
// is not a reply may have been delayed for an unknown time, so it confirms nothing.
func (s *State) digestReceived(e event.DigestReceived, m *membership.Members) {
	d := e.Digest
	if d.GetVm() == s.self {
		return
	}
	if d.GetOffset() > s.offset {
		s.addAhead(d.GetVm(), "", d.GetOffset(), m)
	}
	if !e.Reply || !d.GetStarted() {
		return
	}
	if !s.started {
		s.startReplies[d.GetVm()] = d.GetZone()
	}
	if d.GetOffset() <= s.offset && d.GetStalenessMillis() >= 0 {
		s.confirmedAt = max(s.confirmedAt, e.Sent-clock.Millis(d.GetStalenessMillis()))
	}
}

func (s *State) peerIsAhead(e event.PeerAhead, m *membership.Members) {
	if e.Revision >= s.offset {
		s.addAhead(e.VM, e.Address, e.Revision+1, m)
	}
}

// addAhead records a peer that has read further than this process. A peer without a known address
// is ignored.
func (s *State) addAhead(vm, address string, offset int64, m *membership.Members) {
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
	s.ahead = append(s.ahead, peerAhead{vm: vm, address: address, offset: offset})
	if len(s.ahead) > maxAhead {
		s.ahead = s.ahead[1:]
	}
}

func (s *State) recordsReceived(e event.RecordsReceived) {
	if e.From != s.fetching {
		return
	}
	s.fetching = ""
	if e.Reply.GetFrom() > s.offset {
		s.removeAhead(e.From)
	}
}

func (s *State) peerFailed(e event.PeerFailed) {
	s.removeAhead(e.VM)
	delete(s.startReplies, e.VM)
	if e.VM == s.fetching {
		s.fetching = ""
	}
}

func (s *State) removeAhead(vm string) {
	for i := range s.ahead {
		if s.ahead[i].vm == vm {
			s.ahead = append(s.ahead[:i], s.ahead[i+1:]...)
			return
		}
	}
}

// fetch requests the missing records from the peer that has read furthest. Only one fetch runs at
// a time.
func (s *State) fetch() (effects []event.Effect) {
	best := peerAhead{offset: s.offset}
	remaining := s.ahead[:0]
	for _, a := range s.ahead {
		if a.offset <= s.offset {
			continue
		}
		remaining = append(remaining, a)
		if a.offset > best.offset {
			best = a
		}
	}
	s.ahead = remaining
	if best.vm == "" || s.fetching != "" {
		return nil
	}
	s.fetching = best.vm
	s.fetchUntil = s.now + fetchTimeout
	return []event.Effect{event.FetchRecords{VM: best.vm, Address: best.address, From: s.offset}}
}

// tryStart ends the starting phase without the log. Enough peers must have replied, including one
// in another availability zone if there is one, and this process must have read as far as the
// furthest of them. If fewer replied, all of them could be behind. This process could not detect
// that, since it does not store its offset across restarts.
func (s *State) tryStart(l Local, m *membership.Members) {
	if s.started || !l.HasTables || len(s.ahead) > 0 {
		return
	}
	peers, otherZones := 0, false
	for _, v := range m.VMs() {
		if v.ID == s.self || m.Suspected(v.ID) {
			continue
		}
		peers++
		otherZones = otherZones || v.Zone != s.zone
	}
	otherZoneReplied := false
	for _, zone := range s.startReplies {
		otherZoneReplied = otherZoneReplied || zone != s.zone
	}
	if len(s.startReplies) == 0 || len(s.startReplies) < min(minStartReplies, peers) || otherZones && !otherZoneReplied {
		return
	}
	s.started = true
}

// takeUpdates reports whether peers must be notified at once, because there are new records or
// holds (newRecords is true) or there were leaving changes since the last call. It records the
// number of leaving changes for the next call.
func (s *State) takeUpdates(newRecords bool, m *membership.Members) bool {
	changed := m.LeavingChanges() > s.leavingChanges
	s.leavingChanges = m.LeavingChanges()
	return newRecords || changed
}

func (s *State) tick(m *membership.Members) (effects []event.Effect) {
	if s.fetching != "" && s.now >= s.fetchUntil {
		s.removeAhead(s.fetching)
		s.fetching = ""
		effects = s.fetch()
	}
	if s.now < s.exchangeAt {
		return effects
	}
	interval := exchangeInterval
	if !s.started {
		interval = startingExchangeInterval
	}
	s.exchangeAt = s.now + interval
	if s.exchanges == 0 {
		s.exchangeAt += clock.Millis(xxhash.Sum64String(s.self) % uint64(exchangeInterval))
	}
	effects = append(effects, s.follow(m)...)
	s.exchanges++
	if v, ok := s.nextPeer(m); ok {
		effects = append(effects, event.Exchange{VM: v.ID, Address: v.Address})
	}
	return effects
}

// Snapshot is the immutable state by which requests are handled and digests to peers are made.
type Snapshot struct {
	VM    string
	Zone  string
	Epoch uint64
	Tail  Tail
	// Starting is true until the process is known to have the tables in force.
	Starting bool
}

// Digest returns the digest that the process sends to its peers, without its load. staleness is
// the time since the tables were last confirmed to be current.
func (sn Snapshot) Digest(revision int64, staleness clock.Millis, leaving bool, m *membership.Members) *wire.Digest {
	return &wire.Digest{
		Vm: sn.VM, Zone: sn.Zone, Epoch: sn.Epoch,
		Revision: revision, Offset: sn.Tail.End(), Started: !sn.Starting,
		Leaving: leaving, Leavings: m.RecentLeavingChanges(),
		StalenessMillis: int64(staleness),
	}
}
