package site

import (
	"slices"
	"strings"

	"github.com/parsleydeal/parsleydeal/placement"
)

const (
	// unknownEntries is how many entries are taken to share the bounds of the site
	// before the registered ones were read. Too many refuses a request now and then;
	// too few overruns an endpoint in cold start.
	unknownEntries = 8
	// leavingShare is how much smaller the share of an entry is that leaves: it gets
	// no new connections and only ends what it has.
	leavingShare = 4
	// homePart is the part of what an endpoint may get that the entries of its own
	// zone share. Divided evenly among all, an entry could send to the endpoints of
	// its zone less than its callers ask, and half of its requests went to other
	// zones, where bytes are dear, while those of its own were half idle. With most of it
	// at home an entry whose few neighbours fail finds too little elsewhere.
	homePart = 0.5
)

// sharer is an entry that shares the bounds of the site. Its zone is empty while
// it was not heard.
type sharer struct {
	name string
	zone string
}

// sharers lists the entries that share the bounds of the site, in the order of
// their names. One that leaves hands its share to those that take its callers
// over: at a stop in turn a single entry may have nearly all of them.
func (s *State) sharers() (all []sharer) {
	all = []sharer{{s.self.Name, s.self.Zone}}
	if !s.known[EntryStream] {
		for len(all) < unknownEntries {
			all = append(all, sharer{name: "unknown"})
		}
		return all
	}
	for name := range s.addresses {
		p := s.peers[name]
		switch {
		case name == s.self.Name, p != nil && p.report.GetLeaving():
		case p != nil && s.now-p.heardAt < peerGone:
			all = append(all, sharer{name, p.report.GetZone()})
		case p == nil && s.now-s.startedAt < hearing:
			all = append(all, sharer{name: name})
		}
	}
	slices.SortFunc(all, func(a, b sharer) int { return strings.Compare(a.name, b.name) })
	return all
}

// shares returns this entry's share of the bounds by the endpoints' zones.
func (s *State) shares(all []sharer) map[string]placement.Share {
	out := make(map[string]placement.Share)
	fleet := s.fleet.Snapshot()
	inUse := make(map[string]bool)
	for _, e := range fleet.All() {
		if fleet.Usable(e) {
			inUse[e.Zone] = true
		}
	}
	for _, e := range fleet.All() {
		if _, ok := out[e.Zone]; !ok {
			out[e.Zone] = s.shareOf(all, e.Zone, inUse)
		}
	}
	return out
}

// shareOf is this entry's share at the endpoints of one zone. An entry of a zone
// without endpoints in use is at home in all others: its callers' requests have
// nowhere else to go. One whose zone is not known counts in both groups, so that
// these never share too much.
func (s *State) shareOf(all []sharer, zone string, inUse map[string]bool) placement.Share {
	atHome := func(of string) bool { return of == zone || of != "" && !inUse[of] }
	home, away := placement.Share{Fraction: homePart}, placement.Share{Fraction: 1 - homePart}
	for _, x := range all {
		if atHome(x.zone) || x.zone == "" {
			count(&home, x.name < s.self.Name)
		}
		if !atHome(x.zone) {
			count(&away, x.name < s.self.Name)
		}
	}
	share := away
	switch {
	case home.Entries == 0:
		share.Fraction = 1
	case atHome(s.self.Zone):
		share = home
		if away.Entries == 0 {
			share.Fraction = 1
		}
	}
	if s.leaving {
		share.Entries *= leavingShare
	}
	return share
}

func count(s *placement.Share, before bool) {
	s.Entries++
	if before {
		s.Index++
	}
}
