package batch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// entriesPerAppender is how many entries of a zone one appender serves.
	entriesPerAppender = 24
	// appenderRate and otherRate are the appends a second that all appenders
	// and all other processes share on the stream of bills. Together with the
	// claims they stay well under the several hundred that the log takes.
	appenderRate = 150.0
	otherRate    = 50.0
	// ClaimAppendsPerSecond is what all processes share on the streams of claims.
	ClaimAppendsPerSecond = 100.0
)

// Member is a process that may hold bills and append.
type Member struct {
	ID      string
	Zone    string
	Region  string
	Address string
	// Entry is true for an entry; endpoints hold only when entries cannot.
	Entry bool
}

// Assignment says who appends and who holds, from the members that one process
// knows. Two processes with other lists may choose differently, which costs an
// append more and nothing else.
type Assignment struct {
	self    Member
	members []Member
	byID    map[string]Member
	// appenders are those of all regions, a few in each zone.
	appenders []Member
}

// NewAssignment places the live members that are not leaving, self among them or
// not.
func NewAssignment(self Member, members []Member) *Assignment {
	p := &Assignment{self: self, members: members, byID: make(map[string]Member, len(members))}
	byZone := make(map[string][]Member)
	for _, m := range members {
		p.byID[m.ID] = m
		if m.Entry {
			byZone[m.Zone] = append(byZone[m.Zone], m)
		}
	}
	for zone, list := range byZone {
		n := (len(list) + entriesPerAppender - 1) / entriesPerAppender
		p.appenders = append(p.appenders, rank("appender/"+zone, list)[:n]...)
	}
	slices.SortFunc(p.appenders, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return p
}

// rank orders members by rendezvous hashing: a member that goes moves only the
// keys it held.
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

// Holder returns the process that shall hold the other copy of a key and
// append it: the best appender outside the zones, or else any other process.
func (p *Assignment) Holder(key string, zones, not []string) (m Member, ok bool) {
	if m, ok = p.pick(key, zones, not, p.appenders, p.tier); ok {
		return m, true
	}
	return p.FallbackHolder(key, zones, not)
}

// FallbackHolder returns a process that can hold a copy when the appenders are full, as
// they are early in an outage of the log: all processes of the region share
// the load, then those of other regions.
func (p *Assignment) FallbackHolder(key string, zones, not []string) (m Member, ok bool) {
	return p.pick(key, zones, not, p.members, func(m Member) int { return p.tier(m) &^ 1 })
}

// pick takes the member of the lowest tier that ranks first for the key.
func (p *Assignment) pick(key string, zones, not []string, from []Member, tier func(Member) int) (best Member, ok bool) {
	var lowest int
	var first uint64
	for _, m := range from {
		if m.ID == p.self.ID || slices.Contains(zones, m.Zone) || slices.Contains(not, m.ID) {
			continue
		}
		t, h := tier(m), xxhash.Sum64String(key+"/"+m.ID)
		if !ok || t < lowest || t == lowest && h < first {
			best, lowest, first, ok = m, t, h, true
		}
	}
	return best, ok
}

// tier is lower for better holders: two for another region, one for an
// endpoint.
func (p *Assignment) tier(m Member) (t int) {
	if m.Region != p.self.Region {
		t += 2
	}
	if !m.Entry {
		t++
	}
	return t
}

// AppendRate returns this process's share of the appends a second on the stream of
// bills.
func (p *Assignment) AppendRate() float64 {
	if slices.ContainsFunc(p.appenders, func(m Member) bool { return m.ID == p.self.ID }) {
		return appenderRate / float64(len(p.appenders))
	}
	return otherRate / float64(max(len(p.members), 1))
}

// AppenderCount returns how many processes append for all.
func (p *Assignment) AppenderCount() int { return len(p.appenders) }

// Writer returns the entry that appends for a stream; ok is false when there
// is none.
func (p *Assignment) Writer(stream string) (m Member, ok bool) {
	var entries []Member
	for _, m := range p.members {
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
func (p *Assignment) Find(id string) (m Member, ok bool) {
	m, ok = p.byID[id]
	return m, ok
}
