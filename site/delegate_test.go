package site

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"pgregory.net/rapid"
)

// Guards against a power failure in one zone stopping all store reads and upgrade verdicts: if
// the delegates were simply the first entries by name, all of them could be in one zone, and
// operators' changes would go unread until the other zones noticed. Delegates are spread over the
// zones, so the remaining ones continue at once.
func TestZoneOutageLeavesReadersAndJudges(t *testing.T) {
	is := is.New(t)
	const zones, perZone = 6, 60 // a site of 360 entries
	failed := "zone-0"
	is.Equal(len(delegatesOf(zones, perZone, "zone-5", "")), zones*perZone)
	before := delegatesOf(zones, perZone, "zone-5", "")[:judgeCount]
	remaining := 0
	for _, name := range before[:readerCount] {
		if zoneOf(name) != failed {
			remaining++
		}
	}
	is.True(remaining >= 1)
	after := delegatesOf(zones, perZone, "zone-5", failed)
	for _, name := range before {
		if zoneOf(name) != failed {
			is.True(name == after[0] || name == after[1]) // still a delegate, now of rank 0 or 1
		}
	}
}

// All entries compute the same list of delegates, and it begins with one entry of each zone.
func TestEntriesAgreeOnDelegates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones, perZone := rapid.IntRange(1, 8).Draw(t, "zones"), rapid.IntRange(1, 9).Draw(t, "each")
		a := delegatesOf(zones, perZone, "zone-0", "")
		b := delegatesOf(zones, perZone, fmt.Sprint("zone-", zones-1), "")
		if fmt.Sprint(a) != fmt.Sprint(b) {
			t.Fatalf("entries disagree: %v and %v", a, b)
		}
		seen := make(map[string]bool)
		for _, name := range a[:zones] {
			seen[zoneOf(name)] = true
		}
		if len(seen) != zones {
			t.Fatalf("the first %d delegates are in %d zones", zones, len(seen))
		}
	})
}

// delegatesOf returns the delegates as computed by the first entry of ownZone, two seconds after
// the last report from the entries of silentZone. No zone is silent if silentZone is empty.
func delegatesOf(zones, perZone int, ownZone, silentZone string) []string {
	name := func(z, i int) string { return fmt.Sprintf("entry-zone-%d-%02d", z, i) }
	s := NewState(Self{Name: "entry-" + ownZone + "-00", Process: "p", Zone: ownZone}, 0)
	for _, now := range []clock.Millis{1000, 3000} {
		for z := range zones {
			for i := range perZone {
				zone := fmt.Sprint("zone-", z)
				if zone == silentZone && now > 1000 {
					continue
				}
				Reduce(s, ReportReceived{Now: now, Report: &wire.EntryReport{Process: name(z, i), Name: name(z, i), Zone: zone, Address: name(z, i)}})
			}
		}
	}
	Reduce(s, Tick{Now: 3100})
	return s.delegates()
}

func zoneOf(name string) string { return name[len("entry-") : len("entry-")+len("zone-0")] }
