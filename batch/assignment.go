package batch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// entriesPerAppender is the number of entry processes for each appender of a zone. The number
	// of appenders is rounded up.
	entriesPerAppender = 24
	// appenderAppendsPerSecond and otherAppendsPerSecond are the limits on the stream of bills, the
	// first shared by all appenders and the second by all other processes. Together with the claims
	// they stay well below the several hundred appends per second that the log accepts.
	appenderAppendsPerSecond = 150.0
	otherAppendsPerSecond    = 50.0
	// ClaimAppendsPerSecond is the limit that all processes share on the streams of claims.
	ClaimAppendsPerSecond = 100.0
)

// Member is a process that may hold copies of bills and append them.
type Member struct {
	ID      string
	Zone    string
	Region  string
	Address string
	// Entry is true for an entry process, false for an endpoint. Endpoints hold copies only if no
	// entry can.
	Entry bool
}

// Assignment decides which processes append bills and which hold copies of them, from the list of
// members that one process has. Processes with different lists may decide differently; this only
// costs an extra append. An Assignment is immutable.
type Assignment struct {
	self    Member
	members []Member
	byID    map[string]Member
	// appenders are a few entry processes of each zone, of all regions, sorted by ID.
	appenders []Member
}

// NewAssignment returns the assignment for a list of members, which must be live and not leaving.
// It may include self.
func NewAssignment(self Member, members []Member) *Assignment {
	assignment := &Assignment{self: self, members: members, byID: make(map[string]Member, len(members))}
	byZone := make(map[string][]Member)
	for _, m := range members {
		assignment.byID[m.ID] = m
		if m.Entry {
			byZone[m.Zone] = append(byZone[m.Zone], m)
		}
	}
	for zone, list := range byZone {
		n := (len(list) + entriesPerAppender - 1) / entriesPerAppender
		assignment.appenders = append(assignment.appenders, rank("appender/"+zone, list)[:n]...)
	}
	slices.SortFunc(assignment.appenders, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return assignment
}

// rank sorts members by rendezvous hashing: when a member is removed, only its own keys move.
func rank(key string, members []Member) []Member {
	type scored struct {
		m Member
		h uint64
	}
	list := make([]scored, len(members))
	for i, m := range members {
		list[i] = scored{m, xxhash.Sum64String(key + "/" + m.ID)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.h != b.h {
			return cmp.Compare(a.h, b.h)
		}
		return cmp.Compare(a.m.ID, b.m.ID)
	})
	out := make([]Member, len(list))
	for i, s := range list {
		out[i] = s.m
	}
	return out
}

// Holder returns the process that holds the other copy of the bill with a key and appends it: the
// best appender outside the listed zones or, if there is none, the result of FallbackHolder. Self
// and the processes in exclude are not selected. Ok is false if no process is left.
func (a *Assignment) Holder(key string, zones, exclude []string) (m Member, ok bool) {
	if m, ok = a.selectMember(key, zones, exclude, a.appenders, a.tier); ok {
		return m, true
	}
	return a.FallbackHolder(key, zones, exclude)
}

// FallbackHolder returns a process that can hold a copy when the appenders are full, which happens
// early in an outage of the log. As with Holder, processes in the listed zones or in exclude are
// not selected. The load is spread over all processes of the region and, if there are none, over
// those of other regions.
func (a *Assignment) FallbackHolder(key string, zones, exclude []string) (m Member, ok bool) {
	return a.selectMember(key, zones, exclude, a.members, func(m Member) int { return a.tier(m) &^ 1 })
}

// selectMember returns, of the members in the lowest tier, the one that ranks first for the key by
// rendezvous hashing.
func (a *Assignment) selectMember(key string, zones, exclude []string, from []Member, tier func(Member) int) (best Member, ok bool) {
	var lowest int
	var first uint64
	for _, m := range from {
		if m.ID == a.self.ID || slices.Contains(zones, m.Zone) || slices.Contains(exclude, m.ID) {
			continue
		}
		t, h := tier(m), xxhash.Sum64String(key+"/"+m.ID)
		if !ok || t < lowest || t == lowest && h < first {
			best, lowest, first, ok = m, t, h, true
		}
	}
	return best, ok
}

// tier is lower for better holders: it adds 2 for another region and 1 for an endpoint.
func (a *Assignment) tier(m Member) (t int) {
	if m.Region != a.self.Region {
		t += 2
	}
	if !m.Entry {
		t++
	}
	return t
}

// AppendRate returns this process's share of the appends per second on the stream of bills.
func (a *Assignment) AppendRate() float64 {
	if slices.ContainsFunc(a.appenders, func(m Member) bool { return m.ID == a.self.ID }) {
		return appenderAppendsPerSecond / float64(len(a.appenders))
	}
	return otherAppendsPerSecond / float64(max(len(a.members), 1))
}

// AppenderCount returns the number of appenders, the processes that append the bills of all others
// too.
func (a *Assignment) AppenderCount() int { return len(a.appenders) }

// Writer returns the entry process that makes all appends to a stream. Ok is false if there are no
// entry processes.
func (a *Assignment) Writer(stream string) (m Member, ok bool) {
	var entries []Member
	for _, m := range a.members {
		if m.Entry {
			entries = append(entries, m)
		}
	}
	if len(entries) == 0 {
		return m, false
	}
	return rank("writer/"+stream, entries)[0], true
}

// Find returns a live member by ID.
func (a *Assignment) Find(id string) (m Member, ok bool) {
	m, ok = a.byID[id]
	return m, ok
}
