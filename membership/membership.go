// Package membership tracks which VMs exist and which of them may receive new work. Its sources
// are the platform's VM list, which is updated with a delay, the messages of the processes on the
// VMs and the results of calls to them.
package membership

import (
	"slices"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
)

const (
	// maxVMs bounds the tracked VMs; further ones in the list are ignored.
	maxVMs = 8192
	// absentRetention is how long a VM that is missing from the list is retained: since its last
	// message, or since it was first missing if that is later.
	absentRetention = 30 * clock.Second
	// outageRetention is how long VMs are retained if more than half of them are missing from the
	// list at once, which probably is a fault of the list.
	outageRetention = 10 * clock.Minute
	// sweepInterval is the time between two checks for expired state.
	sweepInterval = clock.Second
)

// State is the reducer of membership events.
type State struct {
	// self is this process's VM ID. Failed calls and leaving changes reported by peers don't apply
	// to it.
	self string
	// vms holds at most maxVMs VMs. A VM is removed once it has been missing from the list for
	// absentRetention without any message.
	vms map[string]*member
	// order holds the keys of vms, sorted.
	order []string
	// leavingChanges counts the leaving changes: a process started to leave, or a new one took its
	// place.
	leavingChanges int
	// flagged holds the members that are absent, leaving or suspected or have a recent leaving
	// change. Only these are checked at a tick.
	flagged map[string]*member
	// vmsChanged is true if vms has changes that are not in the snapshot yet.
	vmsChanged bool
	// snapshot is the current snapshot. It is immutable and is replaced for each change.
	snapshot *Members
	// listedAt is when the last non-empty list arrived.
	listedAt clock.Millis
	// shrunkAt is when more than half of the VMs were first missing from the list; 0 if at most
	// half of them are missing.
	shrunkAt clock.Millis
	sweptAt  clock.Millis
	now      clock.Millis
	polls    polls
}

// New returns the state of the process on VM self. It has no VMs until the first list arrives.
func New(self string) State {
	return State{self: self, vms: make(map[string]*member), flagged: make(map[string]*member), snapshot: emptyMembers()}
}

// Reduce applies one event. changed is true if Members returns a new snapshot. A new load alone
// does not change the snapshot, since all snapshots share the loads.
func (s *State) Reduce(e event.Event) (effects []event.Effect, changed bool) {
	switch e := e.(type) {
	case event.Tick:
		s.now = e.Now
		changed = s.sweep()
		effects = s.poll()
	case event.VMsListed:
		changed = s.applyList(e)
	case event.DigestReceived:
		changed = s.applyDigest(e)
	case event.LoadReceived:
		changed = s.applyLoad(e.Now, e.Load)
		s.recordUse(e)
	case event.PeerFailed:
		changed = s.recordFailure(e)
	}
	if changed {
		s.refreshSnapshot()
	}
	return effects, changed
}

// applyList applies the platform's list. If the list is empty, or more than half of the VMs are
// missing at once, the list is far more often wrong than the VMs are gone, and removing them would
// refuse every request although all endpoints are healthy. In this case the VMs are retained, and
// only failed calls and messages of the VMs themselves exclude a VM.
func (s *State) applyList(e event.VMsListed) (changed bool) {
	if len(e.VMs) == 0 {
		return false
	}
	s.listedAt = e.Now
	listed := make(map[string]bool, len(e.VMs))
	for _, v := range e.VMs {
		if len(s.vms) >= maxVMs && s.vms[v.ID] == nil {
			continue
		}
		listed[v.ID] = true
		changed = s.applyListed(e.Now, v) || changed
	}
	missing := 0
	for id, m := range s.vms {
		if listed[id] {
			continue
		}
		missing++
		if !m.absent {
			m.absent = true
			m.absentAt = e.Now
			s.flagged[id] = m
		}
	}
	s.recordShrink(e.Now, missing)
	return s.removeAbsent(e.Now) || changed
}

func (s *State) recordShrink(now clock.Millis, missing int) {
	if 2*missing <= len(s.vms) {
		s.shrunkAt = 0
		return
	}
	if s.shrunkAt == 0 {
		s.shrunkAt = max(now, 1)
	}
}

// applyListed applies the entry for one VM in the platform's list.
func (s *State) applyListed(now clock.Millis, v provider.VM) (changed bool) {
	m := s.vms[v.ID]
	if m == nil {
		s.vms[v.ID] = &member{vm: v, sharedLoad: &sharedLoad{}, lastSeenAt: now}
		s.vmsChanged = true
		return true
	}
	m.absent = false
	if m.vm == v {
		return false
	}
	s.vmsChanged = true
	if m.vm.Address != v.Address {
		m.resetProcess()
	}
	m.vm = v
	return true
}

// removeAbsent removes the VMs that have been missing from the list for their retention time.
func (s *State) removeAbsent(now clock.Millis) (changed bool) {
	if s.shrunkAt != 0 && now-s.shrunkAt < outageRetention {
		return false
	}
	for id, m := range s.flagged {
		if m.absent && now-max(m.absentAt, m.lastSeenAt) >= absentRetention {
			delete(s.vms, id)
			delete(s.flagged, id)
			s.vmsChanged = true
			changed = true
		}
	}
	return changed
}

// sweep removes absent VMs and expires the state of flagged members.
func (s *State) sweep() (changed bool) {
	if s.now-s.sweptAt < sweepInterval {
		return false
	}
	s.sweptAt = s.now
	changed = s.removeAbsent(s.now) || len(s.snapshot.recentLeavingChanges) != len(s.recentLeavingChanges())
	for id, m := range s.flagged {
		changed = m.expire(s.now) || changed
		if !m.suspected && !m.absent && !m.leaving && !m.leavingChanged {
			delete(s.flagged, id)
		}
	}
	return changed
}

func (s *State) applyDigest(e event.DigestReceived) (changed bool) {
	d := e.Digest
	if m := s.vms[d.GetVm()]; m != nil {
		changed = s.recordContact(e.Now, m, d.GetEpoch())
		if d.GetLeaving() {
			changed = s.applyLeaving(e.Now, m, d.GetEpoch()) || changed
		}
	}
	for _, l := range d.GetLoads() {
		changed = s.applyLoad(e.Now, l) || changed
	}
	for _, l := range d.GetLeavings() {
		m := s.vms[l.GetVm()]
		switch {
		case m == nil || l.GetVm() == s.self:
		case l.GetJoined():
			changed = s.recordLeavingChange(m, m.applyJoin(e.Now, l.GetEpoch())) || changed
		default:
			changed = s.applyLeaving(e.Now, m, l.GetEpoch()) || changed
		}
	}
	return changed
}

func (s *State) applyLoad(now clock.Millis, l *wire.Load) (changed bool) {
	m := s.vms[l.GetVm()]
	if m == nil {
		return false
	}
	changed = s.recordContact(now, m, l.GetEpoch())
	if !m.applyLoad(l) {
		return changed
	}
	if l.GetLeaving() {
		changed = s.applyLeaving(now, m, l.GetEpoch()) || changed
	}
	return changed
}

// recordUse records that the VM answered a request of this process, which makes it subject to
// polls.
func (s *State) recordUse(e event.LoadReceived) {
	m := s.vms[e.Load.GetVm()]
	if m == nil {
		return
	}
	m.usedAt = e.Now
	if !m.used {
		m.used = true
		s.polls.used = append(s.polls.used, m)
	}
}

func (s *State) applyLeaving(now clock.Millis, m *member, epoch uint64) (changed bool) {
	return s.recordLeavingChange(m, m.applyLeaving(now, epoch))
}

func (s *State) recordContact(now clock.Millis, m *member, epoch uint64) (changed bool) {
	previous := m.epoch
	changed = m.recordContact(now, epoch)
	s.recordLeavingChange(m, changed && previous != m.epoch)
	return changed
}

// recordLeavingChange records a leaving change, to be reported to peers, if changed is true. It
// returns changed.
func (s *State) recordLeavingChange(m *member, changed bool) bool {
	if changed {
		s.leavingChanges++
		s.flagged[m.vm.ID] = m
	}
	return changed
}

func (s *State) recordFailure(e event.PeerFailed) (changed bool) {
	m := s.vms[e.VM]
	if m == nil || e.VM == s.self {
		return false
	}
	s.flagged[e.VM] = m
	return m.recordFailure(e.Now)
}

// refreshSnapshot replaces the snapshot. It runs when a VM is added or removed, starts to leave or
// is suspected, but not for a new load alone.
func (s *State) refreshSnapshot() {
	if s.vmsChanged {
		s.order = s.order[:0]
		for id := range s.vms {
			s.order = append(s.order, id)
		}
		slices.Sort(s.order)
		s.snapshot = s.newSnapshot()
	}
	s.vmsChanged = false
	s.snapshot = s.withFlags(s.snapshot)
}

// Members returns the current snapshot. Later events do not change it, except for its loads.
func (s *State) Members() *Members { return s.snapshot }

// ListedAt returns when the last non-empty list arrived; 0 before the first one.
func (s *State) ListedAt() clock.Millis { return s.listedAt }
