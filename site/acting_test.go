package site

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"pgregory.net/rapid"
)

// A zone loses its power with all its entries. The readers of the store and the judges
// of upgrades were the first by name, which stand in one zone: until the others had
// noticed, nobody read what operators published. Now each of the first ones stands in a
// zone of its own, and those of the other zones go on at once.
func TestZoneOutageLeavesReadersAndJudges(t *testing.T) {
	is := is.New(t)
	const zones, each = 6, 60 // a site of 360 entries
	lost := "zone-0"
	is.Equal(len(actingOf(zones, each, "zone-5", "")), zones*each)
	before := actingOf(zones, each, "zone-5", "")[:judges]
	left := 0
	for _, name := range before[:readers] {
		if zoneOf(name) != lost {
			left++
		}
	}
	is.True(left >= 1)
	after := actingOf(zones, each, "zone-5", lost)
	for _, name := range before {
		if zoneOf(name) != lost {
			is.True(name == after[0] || name == after[1]) // it goes on, and moves up
		}
	}
}

// Whatever entries there are, all of them agree on who acts, and the first ones stand in
// as many zones as there are.
func TestEntriesAgreeOnDelegates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones, each := rapid.IntRange(1, 8).Draw(t, "zones"), rapid.IntRange(1, 9).Draw(t, "each")
		a := actingOf(zones, each, "zone-0", "")
		b := actingOf(zones, each, fmt.Sprint("zone-", zones-1), "")
		if fmt.Sprint(a) != fmt.Sprint(b) {
			t.Fatalf("%v and %v", a, b)
		}
		seen := make(map[string]bool)
		for _, name := range a[:zones] {
			seen[zoneOf(name)] = true
		}
		if len(seen) != zones {
			t.Fatalf("the first %d stand in %d zones", zones, len(seen))
		}
	})
}

// actingOf is the order of entries at the first entry of a zone, two seconds after all
// of one zone fell silent.
func actingOf(zones, each int, at, silent string) []string {
	name := func(z, i int) string { return fmt.Sprintf("entry-zone-%d-%02d", z, i) }
	s := NewState(Self{Name: "entry-" + at + "-00", Process: "p", Zone: at}, 0)
	for _, now := range []clock.Millis{1000, 3000} {
		for z := range zones {
			for i := range each {
				zone := fmt.Sprint("zone-", z)
				if zone == silent && now > 1000 {
					continue
				}
				Reduce(s, ReportReceived{Now: now, Report: &wire.EntryReport{Process: name(z, i), Name: name(z, i), Zone: zone, Address: name(z, i)}})
			}
		}
	}
	Reduce(s, Tick{Now: 3100})
	return s.acting()
}

func zoneOf(name string) string { return name[len("entry-") : len("entry-")+len("zone-0")] }
