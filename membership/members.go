package membership

import (
	"slices"
	"strings"

	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
)

// Members is an immutable snapshot of the VMs for request handling, except that Load returns the
// newest loads. Callers must not change the slices that its methods return.
type Members struct {
	vms                  []provider.VM
	sharedLoads          map[string]*sharedLoad
	leaving              map[string]bool
	suspected            map[string]bool
	byPool               map[string][]provider.VM
	byZone               map[string][]provider.VM
	recentLeavingChanges []*wire.Leaving
	leavingChanges       int
}

func emptyMembers() *Members { return &Members{} }

// newSnapshot returns a snapshot of the VMs by pool and zone. No VM is marked as leaving or
// suspected in it yet; withFlags sets these marks.
func (s *State) newSnapshot() *Members {
	m := &Members{
		vms:         make([]provider.VM, 0, len(s.order)),
		sharedLoads: make(map[string]*sharedLoad, len(s.order)),
		byPool:      make(map[string][]provider.VM),
		byZone:      make(map[string][]provider.VM),
	}
	for _, id := range s.order {
		x := s.vms[id]
		v := x.vm
		m.vms = append(m.vms, v)
		m.sharedLoads[id] = x.sharedLoad
		m.byZone[v.Zone] = append(m.byZone[v.Zone], v)
		if v.Role == provider.EndpointRole {
			m.byPool[v.Pool] = append(m.byPool[v.Pool], v)
		}
	}
	return m
}

// withFlags returns a copy of a snapshot with the VMs marked that are leaving or suspected now.
func (s *State) withFlags(old *Members) *Members {
	m := *old
	m.leaving = make(map[string]bool)
	m.suspected = make(map[string]bool)
	for id, x := range s.flagged {
		if x.leaving {
			m.leaving[id] = true
		}
		if x.suspected {
			m.suspected[id] = true
		}
	}
	m.recentLeavingChanges = s.recentLeavingChanges()
	m.leavingChanges = s.leavingChanges
	return &m
}

// maxLeavingChanges bounds the leaving changes in one digest.
const maxLeavingChanges = 32

// recentLeavingChanges lists the recent leaving changes, sorted by VM ID and at most
// maxLeavingChanges of them.
func (s *State) recentLeavingChanges() (out []*wire.Leaving) {
	for id, m := range s.flagged {
		if m.leavingChanged && m.epoch != 0 && s.now-m.leavingChangedAt < leavingReportDuration {
			out = append(out, &wire.Leaving{Vm: id, Epoch: m.epoch, Joined: !m.leaving})
		}
	}
	slices.SortFunc(out, func(a, b *wire.Leaving) int { return strings.Compare(a.GetVm(), b.GetVm()) })
	return out[:min(len(out), maxLeavingChanges)]
}

// VMs returns all VMs sorted by ID. Callers must not change the slice.
func (m *Members) VMs() []provider.VM { return m.vms }

// Pool returns the endpoint VMs of a pool sorted by ID, including those that are leaving.
func (m *Members) Pool(name string) []provider.VM { return m.byPool[name] }

// Zone returns the VMs of an availability zone sorted by ID.
func (m *Members) Zone(name string) []provider.VM { return m.byZone[name] }

// Leaving reports whether the VM is leaving, according to the platform's list or to the process on
// the VM.
func (m *Members) Leaving(v provider.VM) bool { return v.Leaving || m.leaving[v.ID] }

// Suspected reports whether recent calls to the VM failed and no message from it has arrived
// since. Suspicion expires, so that the VM is tried again.
func (m *Members) Suspected(vm string) bool { return m.suspected[vm] }

// RecentLeavingChanges lists the recent leaving changes: processes that are leaving, and new ones
// that have taken the place of such a process.
func (m *Members) RecentLeavingChanges() []*wire.Leaving { return m.recentLeavingChanges }

// LeavingChanges returns the number of leaving changes since this process started.
func (m *Members) LeavingChanges() int { return m.leavingChanges }

// Load returns the newest known load of a VM, or nil. It does not block. Unlike the other methods,
// it may return another value when called again.
func (m *Members) Load(vm string) *wire.Load {
	if s := m.sharedLoads[vm]; s != nil {
		return s.load.Load()
	}
	return nil
}

// Find returns the VM with an ID; ok is false if there is none.
func (m *Members) Find(id string) (v provider.VM, ok bool) {
	i, ok := slices.BinarySearchFunc(m.vms, id, func(v provider.VM, id string) int { return strings.Compare(v.ID, id) })
	if !ok {
		return v, false
	}
	return m.vms[i], true
}
