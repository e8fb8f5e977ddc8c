package membership

import (
	"slices"
	"strings"

	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
)

// Members is an immutable picture of the VMs for traffic. Only the loads in it
// move on.
type Members struct {
	vms       []provider.VM
	slots     map[string]*slot
	leaving   map[string]bool
	suspected map[string]bool
	byPool    map[string][]provider.VM
	byZone    map[string][]provider.VM
	leavings  []*wire.Leaving
	words     int
}

func emptyMembers() *Members { return &Members{} }

// draw makes the lasting part of a picture: who there is and where.
func (s *State) draw() *Members {
	m := &Members{
		vms:    make([]provider.VM, 0, len(s.order)),
		slots:  make(map[string]*slot, len(s.order)),
		byPool: make(map[string][]provider.VM),
		byZone: make(map[string][]provider.VM),
	}
	for _, id := range s.order {
		x := s.vms[id]
		v := x.vm
		m.vms = append(m.vms, v)
		m.slots[id] = x.slot
		m.byZone[v.Zone] = append(m.byZone[v.Zone], v)
		if v.Role == provider.EndpointRole {
			m.byPool[v.Pool] = append(m.byPool[v.Pool], v)
		}
	}
	return m
}

// mark returns a picture with the same VMs and the present marks on them.
func (s *State) mark(old *Members) *Members {
	m := *old
	m.leaving = make(map[string]bool)
	m.suspected = make(map[string]bool)
	for id, x := range s.marked {
		if x.leaving {
			m.leaving[id] = true
		}
		if x.suspected {
			m.suspected[id] = true
		}
	}
	m.leavings = s.leavings()
	m.words = s.words
	return &m
}

// maxLeavings bounds the words on leaving that one digest tells.
const maxLeavings = 32

// leavings lists the words on leaving that lately changed, the first
// maxLeavings by VM.
func (s *State) leavings() (out []*wire.Leaving) {
	for id, m := range s.marked {
		if m.worded && m.epoch != 0 && s.now-m.wordAt < wordTold {
			out = append(out, &wire.Leaving{Vm: id, Epoch: m.epoch, Joined: !m.leaving})
		}
	}
	slices.SortFunc(out, func(a, b *wire.Leaving) int { return strings.Compare(a.GetVm(), b.GetVm()) })
	return out[:min(len(out), maxLeavings)]
}

// VMs returns all VMs sorted by ID. Callers may not change it.
func (m *Members) VMs() []provider.VM { return m.vms }

// Pool returns the endpoint VMs of a pool sorted by ID, leaving ones included.
func (m *Members) Pool(name string) []provider.VM { return m.byPool[name] }

// Zone returns the VMs of an availability zone sorted by ID.
func (m *Members) Zone(name string) []provider.VM { return m.byZone[name] }

// Leaving reports whether the list or the VM itself says that it leaves.
func (m *Members) Leaving(v provider.VM) bool { return v.Leaving || m.leaving[v.ID] }

// Suspected reports whether calls to the VM failed and nothing was heard of it
// since. Suspicion lapses after a while, so that the VM is tried again.
func (m *Members) Suspected(vm string) bool { return m.suspected[vm] }

// Leavings lists the words of processes on leaving that lately changed.
func (m *Members) Leavings() []*wire.Leaving { return m.leavings }

// LeavingChanges counts the changed words on leaving that were ever heard.
func (m *Members) LeavingChanges() int { return m.words }

// Load returns the newest known load of a VM, or nil. It reads in place and
// never blocks.
func (m *Members) Load(vm string) *wire.Load {
	if s := m.slots[vm]; s != nil {
		return s.load.Load()
	}
	return nil
}

// Find returns the VM with an ID.
func (m *Members) Find(id string) (v provider.VM, ok bool) {
	i, ok := slices.BinarySearchFunc(m.vms, id, func(v provider.VM, id string) int { return strings.Compare(v.ID, id) })
	if !ok {
		return v, false
	}
	return m.vms[i], true
}
