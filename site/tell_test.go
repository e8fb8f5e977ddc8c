package site

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// A site has 300 entries. When each told all others once a second that it lives,
// these reports were most of what an entry sent and received. Only those that act for
// all do so; the others tell these three each second, and all now and then.
func TestMostEntriesBroadcastRarely(t *testing.T) {
	is := is.New(t)
	const entries, span = 300, 60 * clock.Second
	for _, x := range []struct {
		index    int
		leaving  bool
		all, few int
	}{
		{index: 0, all: 60},
		{index: 2, all: 60},
		{index: 3, all: 7, few: 3 * 53},      // 2 at the start, then one in ten seconds
		{index: 200, all: 7, few: 3 * 53},    // the same wherever it stands
		{index: 200, leaving: true, all: 61}, // one more, at the stop
	} {
		all, few := toldIn(span, entries, x.index, x.leaving)
		t.Logf("entry %d: %d to all, %d to one", x.index, all, few)
		is.Equal(all, x.all)
		is.Equal(few, x.few)
	}
}

// toldIn counts an entry's reports to all and to single ones.
func toldIn(span clock.Millis, entries, index int, leaving bool) (all, few int) {
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
	for now := clock.Second; now <= span; now += clock.Second {
		for i := range judges + 1 {
			Reduce(s, ReportReceived{Now: now, Report: &wire.EntryReport{Name: name(i), Process: name(i), Address: name(i) + ":1"}})
		}
		effects = append(effects, Reduce(s, Tick{Now: now})...)
	}
	for _, f := range effects {
		if f, ok := f.(SendReport); ok && f.To == "" {
			all++
		} else if ok {
			few++
		}
	}
	return all, few
}

// Two entries of a zone start one after the other. The first one has told all before the
// second one listens, and would go on without its word on work for seconds.
func TestEntryRepliesToNewEntryInZone(t *testing.T) {
	is := is.New(t)
	s := NewState(Self{Name: "entry-1", Process: "p", Zone: "a"}, 0)
	hear := func(name, zone string) (to []string) {
		for _, f := range Reduce(s, ReportReceived{Now: 1000, Report: &wire.EntryReport{Name: name, Process: name, Zone: zone, Address: name + ":1"}}) {
			if f, ok := f.(SendReport); ok {
				to = append(to, f.To)
			}
		}
		return to
	}
	is.Equal(hear("entry-2", "a"), []string{"entry-2:1"})
	is.Equal(len(hear("entry-2", "a")), 0) // once
	is.Equal(len(hear("entry-3", "b")), 0)
}

// An entry's first report went out before it knew an address, and the next a second later.
// It left the store to entries that did not know of it, and missed what these told.
func TestEntryBroadcastsOnceAddressesAreKnown(t *testing.T) {
	is := is.New(t)
	s := NewState(Self{Name: "c", Process: "p"}, 0)
	Reduce(s, Tick{Now: 2 * clock.Second})
	tells := func(effects []Effect) (n int) {
		for _, f := range effects {
			if t, ok := f.(SendReport); ok && t.To == "" && t.Report.GetAskMillis() > 0 {
				n++
			}
		}
		return n
	}
	read := EntriesRead{Now: 2*clock.Second + 5, Addresses: map[string]string{"a": "a:1", "b": "b:1", "c": "c:1"}}
	is.Equal(tells(Reduce(s, read)), 1)
	read.Now += 10
	is.Equal(tells(Reduce(s, read)), 0)
}
