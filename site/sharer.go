package site

import (
	"slices"
	"strings"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/placement"
)

const (
	// assumedEntries is how many entries are assumed to share the site's limits until the
	// registered ones were read. With too many assumed, a request is occasionally refused; with
	// too few, an endpoint in cold start is overloaded.
	assumedEntries = 8
	// leavingShareFactor divides the share of an entry that is leaving: it accepts no new
	// connections and only finishes its current requests.
	leavingShareFactor = 4
	// localFraction is the fraction of an endpoint's limit that the entries of its zone share.
	// With an even division, an entry could send less to the endpoints of its own zone than its
	// callers asked for, and half of its requests went to other zones, to which traffic is
	// expensive, while the endpoints of its own zone were half idle. With a much larger fraction,
	// an entry whose few local endpoints fail has too little capacity in other zones.
	localFraction = 0.5
)

// sharer is an entry that shares the site's limits. Its zone is empty until a report from it
// arrives.
type sharer struct {
	name string
	zone string
}

// sharers returns the entries that share the site's limits, sorted by name. An entry that is
// leaving gives its share to those that take over its callers: during a rolling restart a single
// entry may have nearly all of them.
func (s *State) sharers() (all []sharer) {
	all = []sharer{{s.self.Name, s.self.Zone}}
	if !s.loaded[EntryStream] {
		for len(all) < assumedEntries {
			all = append(all, sharer{name: "unknown"})
		}
		return all
	}
	for name := range s.addresses {
		p := s.peers[name]
		switch {
		case name == s.self.Name, p != nil && p.report.GetLeaving():
		case p != nil && s.now-p.lastSeenAt < peerExpiry:
			all = append(all, sharer{name, p.report.GetZone()})
		case p == nil && s.now-max(s.startedAt, s.listed[name].at) < startupGrace:
			all = append(all, sharer{name, s.listed[name].zone})
		}
	}
	slices.SortFunc(all, func(a, b sharer) int { return strings.Compare(a.name, b.name) })
	return all
}

// entryCount is the number of entries that share the site's limits, as counted at the time at.
type entryCount struct {
	at clock.Millis
	n  int
}

// entryCountTTL is how long the number of entries is cached. A reader states it in each reply, and
// all entries ask it once a second.
const entryCountTTL = 100 * clock.Millis(1)

// entryCount returns the number of entries that share the site's limits, at most entryCountTTL old.
func (s *State) entryCount() int {
	if s.now-s.counted.at >= entryCountTTL {
		s.counted = entryCount{s.now, len(s.sharers())}
	}
	return s.counted.n
}

// shares returns this entry's share of the endpoints' limits, by zone of the endpoints.
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

// shareOf returns this entry's share of the limits of endpoints in one zone. The entries of that
// zone, called local, divide localFraction of a limit among themselves, and the remote entries
// divide the rest. An entry whose own zone has no usable endpoints is local to every zone, since
// its callers' requests have to go to other zones. An entry whose zone is unknown counts in both
// groups, so that the sum of all shares never exceeds the limit.
func (s *State) shareOf(all []sharer, zone string, inUse map[string]bool) placement.Share {
	isLocal := func(peerZone string) bool { return peerZone == zone || peerZone != "" && !inUse[peerZone] }
	local, remote := placement.Share{Fraction: localFraction}, placement.Share{Fraction: 1 - localFraction}
	for _, x := range all {
		if isLocal(x.zone) || x.zone == "" {
			addEntry(&local, x.name < s.self.Name)
		}
		if !isLocal(x.zone) {
			addEntry(&remote, x.name < s.self.Name)
		}
	}
	share := remote
	switch {
	case local.Entries == 0:
		share.Fraction = 1
	case isLocal(s.self.Zone):
		share = local
		if remote.Entries == 0 {
			share.Fraction = 1
		}
	}
	if s.leaving {
		share.Entries *= leavingShareFactor
	}
	return share
}

// addEntry counts an entry among those that divide a share. precedes is true if the entry comes
// before this one in the order of names; it then moves this entry's index up by one.
func addEntry(s *placement.Share, precedes bool) {
	s.Entries++
	if precedes {
		s.Index++
	}
}
