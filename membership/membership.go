// Package membership knows which VMs there are and which of them may receive
// new work, from the platform's lagging list, the processes' own word and what
// became of calls to them.
package membership

import (
	"slices"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
)

const (
	// maxVMs bounds the VMs known; of a longer list the last by ID fall out.
	maxVMs = 8192
	// absentKeep is how long a VM that the list dropped is kept after its last
	// word, or after the drop when it said nothing.
	absentKeep = 30 * clock.Second
	// outageKeep is how long VMs are kept after a list that lost more than half
	// of them at once, which looks like a fault of the list.
	outageKeep = 10 * clock.Minute
	// sweepEvery is the span between two looks for what has lapsed.
	sweepEvery = clock.Second
)

// State reduces what is known of the VMs.
type State struct {
	// self is this process's VM; nothing is judged of it.
	self string
	// vms holds at most maxVMs; an entry goes once the list has lacked the VM
	// and the VM has said nothing for a while.
	vms map[string]*member
	// order holds the IDs of vms, sorted.
	order []string
	// words counts the changed words on leaving.
	words int
	// marked holds the members that are absent, leaving, suspected or
	// lately worded, so that a tick need not look at all.
	marked map[string]*member
	// reshaped is true while vms has lines that the picture lacks.
	reshaped bool
	// picture is what traffic sees; it is replaced when it changes.
	picture *Members
	// listedAt is when the last list that was believed came.
	listedAt clock.Millis
	// shrunkAt is when the list first lost more than half; 0 when it has not.
	shrunkAt clock.Millis
	sweptAt  clock.Millis
	now      clock.Millis
	polls    polls
}

// New returns the state of a process that knows no VMs yet.
func New(self string) State {
	return State{self: self, vms: make(map[string]*member), marked: make(map[string]*member), picture: emptyMembers()}
}

// Reduce takes one event and reports whether the members changed. A load
// report changes no member: traffic reads loads in place.
func (s *State) Reduce(e event.Event) (effects []event.Effect, changed bool) {
	switch e := e.(type) {
	case event.Tick:
		s.now = e.Now
		changed = s.sweep()
		effects = s.poll()
	case event.VMsListed:
		changed = s.list(e)
	case event.DigestReceived:
		changed = s.digest(e)
	case event.LoadReceived:
		changed = s.load(e.Now, e.Load)
		s.use(e)
	case event.PeerFailed:
		changed = s.fail(e)
	}
	if changed {
		s.redraw()
	}
	return effects, changed
}

// list takes in the platform's list. An empty list, or one that lost more than
// half of the VMs at once, is a fault of the list far more often than of the
// VMs: emptying the members would refuse every request while all endpoints are
// well. The VMs are kept then, and direct evidence alone takes them out.
func (s *State) list(e event.VMsListed) (changed bool) {
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
		changed = s.see(e.Now, v) || changed
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
			s.marked[id] = m
		}
	}
	s.noteShrink(e.Now, missing)
	return s.drop(e.Now) || changed
}

func (s *State) noteShrink(now clock.Millis, missing int) {
	if 2*missing <= len(s.vms) {
		s.shrunkAt = 0
		return
	}
	if s.shrunkAt == 0 {
		s.shrunkAt = max(now, 1)
	}
}

// see takes one line of the list.
func (s *State) see(now clock.Millis, v provider.VM) (changed bool) {
	m := s.vms[v.ID]
	if m == nil {
		s.vms[v.ID] = &member{vm: v, slot: &slot{}, heardAt: now}
		s.reshaped = true
		return true
	}
	m.absent = false
	if m.vm == v {
		return false
	}
	s.reshaped = true
	if m.vm.Address != v.Address {
		m.replace()
	}
	m.vm = v
	return true
}

// drop forgets VMs that the list has lacked for long enough.
func (s *State) drop(now clock.Millis) (changed bool) {
	if s.shrunkAt != 0 && now-s.shrunkAt < outageKeep {
		return false
	}
	for id, m := range s.marked {
		if m.absent && now-max(m.absentAt, m.heardAt) >= absentKeep {
			delete(s.vms, id)
			delete(s.marked, id)
			s.reshaped = true
			changed = true
		}
	}
	return changed
}

// sweep lets suspicions and absent VMs lapse.
func (s *State) sweep() (changed bool) {
	if s.now-s.sweptAt < sweepEvery {
		return false
	}
	s.sweptAt = s.now
	changed = s.drop(s.now) || len(s.picture.leavings) != len(s.leavings())
	for id, m := range s.marked {
		changed = m.lapse(s.now) || changed
		if !m.suspected && !m.absent && !m.leaving && !m.worded {
			delete(s.marked, id)
		}
	}
	return changed
}

func (s *State) digest(e event.DigestReceived) (changed bool) {
	d := e.Digest
	if m := s.vms[d.GetVm()]; m != nil {
		changed = s.hear(e.Now, m, d.GetEpoch())
		if d.GetLeaving() {
			changed = s.leave(e.Now, m, d.GetEpoch()) || changed
		}
	}
	for _, l := range d.GetLoads() {
		changed = s.load(e.Now, l) || changed
	}
	for _, l := range d.GetLeavings() {
		m := s.vms[l.GetVm()]
		switch {
		case m == nil || l.GetVm() == s.self:
		case l.GetJoined():
			changed = s.noteWord(m, m.join(e.Now, l.GetEpoch())) || changed
		default:
			changed = s.leave(e.Now, m, l.GetEpoch()) || changed
		}
	}
	return changed
}

func (s *State) load(now clock.Millis, l *wire.Load) (changed bool) {
	m := s.vms[l.GetVm()]
	if m == nil {
		return false
	}
	changed = s.hear(now, m, l.GetEpoch())
	if !m.takeLoad(l) {
		return changed
	}
	if l.GetLeaving() {
		changed = s.leave(now, m, l.GetEpoch()) || changed
	}
	return changed
}

// use notes that requests of this process reach the VM.
func (s *State) use(e event.LoadReceived) {
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

func (s *State) leave(now clock.Millis, m *member, epoch uint64) (changed bool) {
	return s.noteWord(m, m.leave(now, epoch))
}

func (s *State) hear(now clock.Millis, m *member, epoch uint64) (changed bool) {
	known := m.epoch
	changed = m.hear(now, epoch)
	s.noteWord(m, changed && known != m.epoch)
	return changed
}

// noteWord counts a changed word on leaving, which peers are told.
func (s *State) noteWord(m *member, changed bool) bool {
	if changed {
		s.words++
		s.marked[m.vm.ID] = m
	}
	return changed
}

func (s *State) fail(e event.PeerFailed) (changed bool) {
	m := s.vms[e.VM]
	if m == nil || e.VM == s.self {
		return false
	}
	s.marked[e.VM] = m
	return m.fail(e.Now)
}

// redraw makes a new picture. It runs when a VM comes, goes, leaves or is
// suspected, never for a load report.
func (s *State) redraw() {
	if s.reshaped {
		s.order = s.order[:0]
		for id := range s.vms {
			s.order = append(s.order, id)
		}
		slices.Sort(s.order)
		s.picture = s.draw()
	}
	s.reshaped = false
	s.picture = s.mark(s.picture)
}

// Members returns the newest picture; later events do not change it, but the
// loads in it move on.
func (s *State) Members() *Members { return s.picture }

// ListedAt returns when the list last came.
func (s *State) ListedAt() clock.Millis { return s.listedAt }
