package site

import (
	"cmp"
	"slices"
)

// spreaderCount is the number of entries that pass on to all others what all must know. Otherwise each
// entry would send it to each other one.
const spreaderCount = 3

// spreaders returns the addresses of the entries that pass on what all must know, without this one, and
// the number of running entries before this one in their order. Unlike delegates they need not
// reach the store. An entry that has just started leaves it to others: it does not know them all.
func (s *State) spreaders() (addresses []string, rank int) {
	zones := map[string][]string{s.self.Zone: {s.self.Name}}
	for name, p := range s.peers {
		if s.now-p.lastSeenAt < peerTimeout && !p.report.GetLeaving() {
			zone := cmp.Or(p.report.GetZone(), s.self.Zone)
			zones[zone] = append(zones[zone], name)
		}
	}
	order := interleave(zones)
	for _, name := range order[:min(spreaderCount, len(order))] {
		if name != s.self.Name {
			addresses = append(addresses, s.addresses[name])
		}
	}
	rank = slices.Index(order, s.self.Name)
	if s.now-s.startedAt < peerTimeout && len(s.addresses) > 1 {
		rank = max(rank, spreaderCount)
	}
	return addresses, rank
}
