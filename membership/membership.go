// Package membership knows which VMs there are and which of them may receive
// new work, from the platform's lagging list and from the processes' own word.
package membership

import (
	"slices"
	"strings"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/platform"
)

// State reduces what is known of the VMs.
type State struct {
	// vms is the last list, sorted by ID; it is replaced whole.
	vms []platform.VM
	// leaving holds VMs that said themselves that they leave; an entry goes
	// when the list no longer has the VM.
	leaving map[string]bool
	// loads holds the newest load by VM; entries go with the VM.
	loads map[string]*wire.Load
	// listedAt is when the list last came.
	listedAt clock.Millis
}

// Reduce takes one event and reports whether the members changed.
func (s *State) Reduce(e event.Event) (changed bool) {
	switch e := e.(type) {
	case event.VMsListed:
		return s.list(e)
	case event.DigestReceived:
		return s.digest(e.Digest)
	case event.LoadReceived:
		return s.load(e.Load)
	}
	return false
}

func (s *State) list(e event.VMsListed) (changed bool) {
	s.listedAt = e.Now
	vms := slices.Clone(e.VMs)
	slices.SortFunc(vms, func(a, b platform.VM) int { return strings.Compare(a.ID, b.ID) })
	if slices.Equal(vms, s.vms) {
		return false
	}
	s.vms = vms
	s.forget()
	return true
}

// forget drops what is known of VMs that the list no longer has, so that no
// map outgrows the list.
func (s *State) forget() {
	for id := range s.leaving {
		if !s.has(id) {
			delete(s.leaving, id)
		}
	}
	for id := range s.loads {
		if !s.has(id) {
			delete(s.loads, id)
		}
	}
}

func (s *State) has(id string) bool {
	_, found := slices.BinarySearchFunc(s.vms, id, func(v platform.VM, id string) int { return strings.Compare(v.ID, id) })
	return found
}

func (s *State) digest(d *wire.Digest) (changed bool) {
	for _, l := range d.GetLoads() {
		changed = s.load(l) || changed
	}
	if d.GetLeaving() {
		changed = s.leave(d.GetVm()) || changed
	}
	for _, vm := range d.GetLeavingVms() {
		changed = s.leave(vm) || changed
	}
	return changed
}

func (s *State) leave(vm string) (changed bool) {
	if s.leaving[vm] || !s.has(vm) {
		return false
	}
	if s.leaving == nil {
		s.leaving = make(map[string]bool)
	}
	s.leaving[vm] = true
	return true
}

func (s *State) load(l *wire.Load) (changed bool) {
	old := s.loads[l.GetVm()]
	if old != nil && old.GetGeneration() == l.GetGeneration() && old.GetSequence() >= l.GetSequence() {
		return false
	}
	if s.loads == nil {
		s.loads = make(map[string]*wire.Load)
	}
	s.loads[l.GetVm()] = l
	if l.GetLeaving() {
		s.leave(l.GetVm())
	}
	return true
}

// VMs returns the last list, sorted by ID. Callers may not change it.
func (s *State) VMs() []platform.VM { return s.vms }

// Members is an immutable picture of the VMs for traffic.
type Members struct {
	vms     []platform.VM
	leaving map[string]bool
	loads   map[string]*wire.Load
	byPool  map[string][]platform.VM
}

// Members returns a picture that later events do not change.
func (s *State) Members() *Members {
	m := &Members{
		vms:     s.vms,
		leaving: make(map[string]bool, len(s.leaving)),
		loads:   make(map[string]*wire.Load, len(s.loads)),
		byPool:  make(map[string][]platform.VM),
	}
	for id := range s.leaving {
		m.leaving[id] = true
	}
	for id, l := range s.loads {
		m.loads[id] = l
	}
	for _, v := range s.vms {
		if v.Role == platform.EndpointRole {
			m.byPool[v.Pool] = append(m.byPool[v.Pool], v)
		}
	}
	return m
}

// VMs returns all VMs sorted by ID. Callers may not change it.
func (m *Members) VMs() []platform.VM { return m.vms }

// Pool returns the endpoint VMs of a pool sorted by ID, leaving ones included.
func (m *Members) Pool(name string) []platform.VM { return m.byPool[name] }

// Leaving reports whether the list or the VM itself says that it leaves.
func (m *Members) Leaving(v platform.VM) bool { return v.Leaving || m.leaving[v.ID] }

// Load returns the newest known load of a VM, or nil.
func (m *Members) Load(vm string) *wire.Load { return m.loads[vm] }

// Find returns the VM with an ID.
func (m *Members) Find(id string) (v platform.VM, ok bool) {
	for _, v := range m.vms {
		if v.ID == id {
			return v, true
		}
	}
	return v, false
}
