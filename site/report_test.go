package site

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// Guards against broadcasts dominating the traffic of a site of 300 entries, as they did when each
// entry sent one every second. Only the judges, which are the first three delegates, broadcast every
// second; each other entry sends them a report every second and broadcasts occasionally.
func TestMostEntriesBroadcastRarely(t *testing.T) {
	is := is.New(t)
	const entries, duration = 300, 60 * clock.Second
	for _, x := range []struct {
		index              int
		leaving            bool
		broadcasts, direct int
	}{
		{index: 0, broadcasts: 60},
		{index: 2, broadcasts: 60},
		{index: 3, broadcasts: 7, direct: 3 * 53},   // 2 at the start, then one every 10 s
		{index: 200, broadcasts: 7, direct: 3 * 53}, // independent of the rank
		{index: 200, leaving: true, broadcasts: 61}, // one more because it is leaving
	} {
		broadcasts, direct := countReports(duration, entries, x.index, x.leaving)
		t.Logf("entry %d: %d broadcasts, %d direct reports", x.index, broadcasts, direct)
		is.Equal(broadcasts, x.broadcasts)
		is.Equal(direct, x.direct)
	}
}

// countReports counts an entry's broadcasts and its reports to single entries.
func countReports(duration clock.Millis, entries, index int, leaving bool) (broadcasts, direct int) {
	name := func(i int) string { return fmt.Sprintf("entry-%03d", i) }
	s := NewState(Self{Name: name(index), Process: "p"}, 0)
	addresses := make(map[string]string)
	for i := range entries {
		addresses[name(i)] = name(i) + ":1"
	}
	effects := Reduce(s, EntriesRead{Now: 1, Addresses: addresses})
	if leaving {
		effects = append(effects, Reduce(s, Leave{})...)
	}
	for now := clock.Second; now <= duration; now += clock.Second {
		for i := range judgeCount + 1 {
			Reduce(s, ReportReceived{Now: now, Report: &wire.EntryReport{Name: name(i), Process: name(i), Address: name(i) + ":1"}})
		}
		effects = append(effects, Reduce(s, Tick{Now: now})...)
	}
	for _, f := range effects {
		if f, ok := f.(SendReport); ok && f.To == "" {
			broadcasts++
		} else if ok {
			direct++
		}
	}
	return broadcasts, direct
}

// Guards against two entries of a zone that start one after the other missing each other's work
// for seconds: the first one's broadcast is sent before the second one listens.
func TestEntryRepliesToNewEntryInZone(t *testing.T) {
	is := is.New(t)
	s := NewState(Self{Name: "entry-1", Process: "p", Zone: "a"}, 0)
	receive := func(name, zone string) (to []string) {
		for _, f := range Reduce(s, ReportReceived{Now: 1000, Report: &wire.EntryReport{Name: name, Process: name, Zone: zone, Address: name + ":1"}}) {
			if f, ok := f.(SendReport); ok {
				to = append(to, f.To)
			}
		}
		return to
	}
	is.Equal(receive("entry-2", "a"), []string{"entry-2:1"})
	is.Equal(len(receive("entry-2", "a")), 0) // only once
	is.Equal(len(receive("entry-3", "b")), 0)
}

// Guards against a starting entry sending its first report before it has the address of any other
// entry, and the next report only a second later: until then the readers of the store would not
// know of this entry and would send it no updates.
func TestEntryBroadcastsOnceAddressesAreKnown(t *testing.T) {
	is := is.New(t)
	s := NewState(Self{Name: "c", Process: "p"}, 0)
	Reduce(s, Tick{Now: 2 * clock.Second})
	broadcasts := func(effects []Effect) (n int) {
		for _, f := range effects {
			if t, ok := f.(SendReport); ok && t.To == "" && t.Report.GetAskMillis() > 0 {
				n++
			}
		}
		return n
	}
	read := EntriesRead{Now: 2*clock.Second + 5, Addresses: map[string]string{"a": "a:1", "b": "b:1", "c": "c:1"}}
	is.Equal(broadcasts(Reduce(s, read)), 1)
	read.Now += 10
	is.Equal(broadcasts(Reduce(s, read)), 0)
}

// Guards against a start that writes a log line for every entry of a large site.
func TestHeardEntriesAreLoggedByNumber(t *testing.T) {
	is := is.New(t)
	s := stateWithPeers(0)
	lines := 0
	count := func(effects []Effect) {
		for _, e := range effects {
			if l, ok := e.(LogLine); ok && (l.Message == "Entry heard" || l.Message == "Entries heard") {
				lines++
			}
		}
	}
	for i := range 710 {
		name := fmt.Sprintf("entry-a%03d", i)
		count(Reduce(s, ReportReceived{Now: clock.Millis(20 + i), Report: &wire.EntryReport{Process: name, Name: name, Address: name, OperatorNext: 5}}))
	}
	count(Reduce(s, Tick{Now: 2000}))
	count(Reduce(s, Tick{Now: 2100}))
	is.Equal(lines, maxHeardLines+1)
	is.Equal(s.heardUnlogged, 0)
}

// Guards against replies whose cost grows with entries times entries: all entries ask a reader once
// a second, and it must not go through all entries for each of them. The time of a reply may not
// grow with the number of entries.
func TestReplyDoesNotCountEntriesEachTime(t *testing.T) {
	is := is.New(t)
	counts := 0
	for _, entries := range []int{355, 710} {
		s := stateWithPeers(0)
		Reduce(s, EntriesRead{Now: 20})
		for i := range entries {
			name := fmt.Sprintf("entry-z%03d", i)
			Reduce(s, ReportReceived{Now: 30, Report: &wire.EntryReport{Process: name, Name: name, Address: name, OperatorNext: 5}})
		}
		counted := s.counted.at
		for i := range entries {
			now := clock.Millis(1000 + i*1000/entries)
			name := fmt.Sprintf("entry-z%03d", i)
			effects := Reduce(s, ReportReceived{Now: now, Report: &wire.EntryReport{Process: name, Name: name, Address: name, OperatorNext: 5, AskMillis: 1}})
			reply := effects[len(effects)-1].(SendReport).Report
			is.Equal(int(reply.GetEntries()), entries+1)
			if s.counted.at != counted {
				counts, counted = counts+1, s.counted.at
			}
		}
	}
	is.True(counts <= 2*int(clock.Second/entryCountTTL))
}
