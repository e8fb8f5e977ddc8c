package spread

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/membership"
	"github.com/parsleydeal/parsleydeal/provider"
)

const (
	// smallSite is the number of processes up to which all read the log.
	smallSite = 16
	// readersPerZone is how many processes of a zone read the log beyond that.
	readersPerZone = 2
	// readerEvery is how often an exchange goes to a reader of the own zone.
	readerEvery = 4
	// awayEvery is how often an exchange goes to another zone.
	awayEvery = 3
)

// RendezvousTop returns the best n VMs for a duty in rendezvous order.
func RendezvousTop(duty string, n int, vms []provider.VM) []provider.VM {
	best := make([]provider.VM, 0, n+1)
	scores := make([]uint64, 0, n+1)
	for _, v := range vms {
		score := xxhash.Sum64String(duty + "/" + v.ID)
		i, _ := slices.BinarySearchFunc(scores, score, func(a, b uint64) int { return cmp.Compare(b, a) })
		if i >= n {
			continue
		}
		best = slices.Insert(best, i, v)
		scores = slices.Insert(scores, i, score)
		if len(best) > n {
			best, scores = best[:n], scores[:n]
		}
	}
	return best
}

// fit returns the VMs that may carry a duty: neither leaving nor suspected. The
// process never suspects itself.
func fit(m *membership.Members, vms []provider.VM) (out []provider.VM) {
	for _, v := range vms {
		if !m.Leaving(v) && !m.Suspected(v.ID) {
			out = append(out, v)
		}
	}
	return out
}

// endpointsFirst leaves the entries out where there are endpoints enough: an
// entry may have versions to judge, and both duties together would take it over
// its share of the network.
func endpointsFirst(vms []provider.VM) (out []provider.VM) {
	for _, v := range vms {
		if v.Role == provider.EndpointRole {
			out = append(out, v)
		}
	}
	if len(out) < readersPerZone {
		return vms
	}
	return out
}

// readers returns the processes of this zone that read the log. Everyone in the
// zone calls them in turn, so that a reader that is gone is suspected by the
// next in rank, which then reads in its place; when it answers again, the duty
// goes back.
func (s *State) readers(m *membership.Members) []provider.VM {
	if s.ranked != m {
		s.ranked = m
		s.rank = RendezvousTop("read-config", readersPerZone, endpointsFirst(fit(m, m.Zone(s.zone))))
	}
	return s.rank
}

// follow decides whether this process reads the log.
func (s *State) follow(m *membership.Members) (effects []event.Effect) {
	on := !s.started || len(m.VMs()) <= smallSite
	if !on {
		on = slices.ContainsFunc(s.readers(m), func(v provider.VM) bool { return v.ID == s.self })
	}
	if on == s.following && s.followed {
		return nil
	}
	s.following, s.followed = on, true
	return []event.Effect{event.Follow{Stream: provider.ConfigStream, On: on}}
}

// next chooses the peer of the next exchange. While starting, other zones come
// first: a parted zone would agree with itself.
func (s *State) next(m *membership.Members) (v provider.VM, ok bool) {
	seed := s.asks
	switch {
	case !s.started && seed%2 == 1:
		return s.away(seed, m)
	case seed%readerEvery == 0 && len(m.VMs()) > smallSite:
		readers := s.readers(m)
		if len(readers) > 0 {
			v = readers[(seed/readerEvery)%uint64(len(readers))]
		}
		if v.ID != "" && v.ID != s.self {
			return v, true
		}
		return s.away(seed, m)
	case seed%awayEvery == 0:
		return s.away(seed, m)
	default:
		return s.near(seed, m)
	}
}

// near draws a peer of the own zone, or any when the zone has no other.
func (s *State) near(seed uint64, m *membership.Members) (v provider.VM, ok bool) {
	anyone := func(provider.VM) bool { return true }
	if v, ok = s.pick(seed, anyone, m.Zone(s.zone), m); ok {
		return v, true
	}
	return s.pick(seed, anyone, m.VMs(), m)
}

// away draws a peer of another zone, or any when there is none.
func (s *State) away(seed uint64, m *membership.Members) (v provider.VM, ok bool) {
	return s.pick(seed, func(v provider.VM) bool { return v.Zone != s.zone }, m.VMs(), m)
}

// pick draws a peer by hash among those wanted, trying a few times, and falls
// back on any other. A suspected peer is drawn only when there is no other, so
// that two parted halves find each other again.
func (s *State) pick(seed uint64, wanted func(provider.VM) bool, vms []provider.VM, m *membership.Members) (v provider.VM, ok bool) {
	const tries = 12
	best := 0
	for try := range uint64(tries) {
		if len(vms) == 0 {
			break
		}
		x := vms[xxhash.Sum64String(s.self+"/"+strconv.FormatUint(seed*tries+try, 10))%uint64(len(vms))]
		worth := 1
		if !m.Suspected(x.ID) {
			worth += 2
		}
		if wanted(x) {
			worth++
		}
		if x.ID != s.self && worth > best {
			v, ok, best = x, true, worth
		}
		if best == 4 {
			break
		}
	}
	return v, ok
}

// tell begins exchanges with a few peers, half of them in other zones. A
// draining process tells more: it is its last word.
func (s *State) tell(m *membership.Members) (effects []event.Effect) {
	n := fanOut
	if s.draining {
		n = 2 * fanOut
	}
	seen := map[string]bool{s.self: true}
	for i := range n {
		s.told++
		draw := s.near
		if i%2 == 1 {
			draw = s.away
		}
		v, ok := draw(1<<32+s.told, m)
		if !ok || seen[v.ID] {
			continue
		}
		seen[v.ID] = true
		effects = append(effects, event.Exchange{VM: v.ID, Address: v.Address})
	}
	return effects
}
