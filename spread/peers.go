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
	// maxDirectReaders is the maximum number of processes in a site where all of them read the
	// log.
	maxDirectReaders = 16
	// readersPerZone is how many processes of each zone read the log in larger sites.
	readersPerZone = 2
	// readerInterval is the number of exchanges of which one is with a log reader of the own zone.
	readerInterval = 4
	// otherZoneInterval is the number of exchanges of which one is with a peer in another zone.
	otherZoneInterval = 3
)

// RendezvousTop returns the n VMs with the highest rendezvous hash for a duty, highest first, or
// all VMs if there are fewer. All processes get the same result from the same VMs.
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

// eligible returns the VMs that may take on a duty: those that are neither leaving nor suspected.
// A process never suspects itself.
func eligible(m *membership.Members, vms []provider.VM) (out []provider.VM) {
	for _, v := range vms {
		if !m.Leaving(v) && !m.Suspected(v.ID) {
			out = append(out, v)
		}
	}
	return out
}

// preferEndpoints returns only the endpoints if there are at least readersPerZone of them, and all
// VMs otherwise. An entry may also be a judge, and both duties together would exceed its share of
// the network.
func preferEndpoints(vms []provider.VM) (out []provider.VM) {
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

// readers returns the processes of this zone that read the log. All processes of the zone exchange
// messages with them regularly. If a reader is unreachable, the process that ranks next therefore
// suspects it too, counts itself among the readers and reads the log until the reader replies
// again.
func (s *State) readers(m *membership.Members) []provider.VM {
	if s.readersOf != m {
		s.readersOf = m
		s.readerVMs = RendezvousTop("read-config", readersPerZone, preferEndpoints(eligible(m, m.Zone(s.zone))))
	}
	return s.readerVMs
}

// follow returns an effect if this process must start or stop reading the log.
func (s *State) follow(m *membership.Members) (effects []event.Effect) {
	on := !s.started || len(m.VMs()) <= maxDirectReaders
	if !on {
		on = slices.ContainsFunc(s.readers(m), func(v provider.VM) bool { return v.ID == s.self })
	}
	if on == s.following && s.followSent {
		return nil
	}
	s.following, s.followSent = on, true
	return []event.Effect{event.Follow{Stream: provider.ConfigStream, On: on}}
}

// nextPeer selects the peer of the next exchange. A starting process takes every other peer from
// another zone: in a partitioned zone, processes would otherwise only confirm each other's state.
func (s *State) nextPeer(m *membership.Members) (v provider.VM, ok bool) {
	seed := s.exchanges
	switch {
	case !s.started && seed%2 == 1:
		return s.otherZonePeer(seed, m)
	case seed%readerInterval == 0 && len(m.VMs()) > maxDirectReaders:
		readers := s.readers(m)
		if len(readers) > 0 {
			v = readers[(seed/readerInterval)%uint64(len(readers))]
		}
		if v.ID != "" && v.ID != s.self {
			return v, true
		}
		return s.otherZonePeer(seed, m)
	case seed%otherZoneInterval == 0:
		return s.otherZonePeer(seed, m)
	default:
		return s.sameZonePeer(seed, m)
	}
}

// sameZonePeer draws a peer of this process's zone, or any peer if the zone has no other process.
func (s *State) sameZonePeer(seed uint64, m *membership.Members) (v provider.VM, ok bool) {
	anyVM := func(provider.VM) bool { return true }
	if v, ok = s.drawPeer(seed, anyVM, m.Zone(s.zone), m); ok {
		return v, true
	}
	return s.drawPeer(seed, anyVM, m.VMs(), m)
}

// otherZonePeer draws a peer of another zone, or any peer if there is none.
func (s *State) otherZonePeer(seed uint64, m *membership.Members) (v provider.VM, ok bool) {
	return s.drawPeer(seed, func(v provider.VM) bool { return v.Zone != s.zone }, m.VMs(), m)
}

// drawPeer draws a few VMs by hash and returns the best one. Peers that are not suspected come
// before suspected ones, and preferred ones before others. Suspected peers are not excluded, so
// that the two sides of a network partition find each other again.
func (s *State) drawPeer(seed uint64, preferred func(provider.VM) bool, vms []provider.VM, m *membership.Members) (v provider.VM, ok bool) {
	const tries = 12
	best := 0
	for try := range uint64(tries) {
		if len(vms) == 0 {
			break
		}
		x := vms[xxhash.Sum64String(s.self+"/"+strconv.FormatUint(seed*tries+try, 10))%uint64(len(vms))]
		score := 1
		if !m.Suspected(x.ID) {
			score += 2
		}
		if preferred(x) {
			score++
		}
		if x.ID != s.self && score > best {
			v, ok, best = x, true, score
		}
		if best == 4 {
			break
		}
	}
	return v, ok
}

// notifyPeers starts exchanges with a few peers, half of them in other zones. A draining process
// notifies twice as many, since it has no later chance to do so.
func (s *State) notifyPeers(m *membership.Members) (effects []event.Effect) {
	n := fanOut
	if s.draining {
		n = 2 * fanOut
	}
	seen := map[string]bool{s.self: true}
	for i := range n {
		s.notifications++
		draw := s.sameZonePeer
		if i%2 == 1 {
			draw = s.otherZonePeer
		}
		v, ok := draw(1<<32+s.notifications, m)
		if !ok || seen[v.ID] {
			continue
		}
		seen[v.ID] = true
		effects = append(effects, event.Exchange{VM: v.ID, Address: v.Address})
	}
	return effects
}
