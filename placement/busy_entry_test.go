package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"pgregory.net/rapid"
)

// zonedSite is a site of several zones, whose entries and endpoints are spread evenly over them.
type zonedSite struct {
	fleet     *fleet.Snapshot
	zones     int
	selectors []*Selector
	shares    []map[string]Share
	bound     float64
}

func zoneName(i int) string { return fmt.Sprint("z", i) }

func newZonedSite(zones, entries, endpoints int, bound float64) *zonedSite {
	s := &zonedSite{zones: zones, bound: bound, fleet: fleetOf(endpoints, func(i int, e *fleet.Endpoint) { e.Zone = zoneName(i % zones) })}
	inZone := func(zone int) int { return (entries + zones - 1 - zone) / zones }
	for i := range entries {
		shares := make(map[string]Share)
		for z := range zones {
			local, others := inZone(z), entries-inZone(z)
			switch {
			case others == 0:
				shares[zoneName(z)] = Share{1, local, i}
			case local == 0:
				shares[zoneName(z)] = Share{1, others, i}
			case i%zones == z:
				shares[zoneName(z)] = Share{0.5, local, i / zones}
			default:
				// The entries of the other zones in the order of their numbers.
				index := i - i/zones
				if i%zones > z {
					index--
				}
				shares[zoneName(z)] = Share{0.5, others, index}
			}
		}
		s.selectors, s.shares = append(s.selectors, NewSelector()), append(s.shares, shares)
	}
	return s
}

func (s *zonedSite) choose(entry int, now clock.Millis) (e *fleet.Endpoint, reason Reason) {
	return s.selectors[entry].Select(s.fleet, Query{Service: "s", Version: "v1", Zone: zoneName(entry % s.zones), Now: now, Bounds: Bounds{Warm: s.bound, Shares: s.shares[entry]}})
}

// Most new connections of a region go to one entry, then at once to another. Guards against an entry that refuses
// requests at its even share of warm endpoints while these are hardly used.
func TestBusyEntryUsesWarmEndpoints(t *testing.T) {
	for _, site := range []struct {
		name                                    string
		zones, entries, endpoints, bound, total int
	}{
		{"few-entries", 3, 5, 12, 26, 150},
		{"grown", 4, 31, 56, 26, 320},
		{"grown-with-escalations", 4, 31, 56, 26, 420},
		{"fleet", 12, 330, 642, 20, 600},
		{"few-endpoints", 4, 31, 4, 26, 60},
		{"one-entry", 1, 1, 8, 26, 150},
	} {
		t.Run(site.name, func(t *testing.T) {
			is := is.New(t)
			rnd := rand.New(rand.NewPCG(1, 1))
			s := newZonedSite(site.zones, site.entries, site.endpoints, float64(site.bound))
			asked, served := 0, 0
			for now := clock.Millis(1); now < 12*clock.Second; now++ {
				for k := 0; k < site.total; k++ {
					if rnd.IntN(int(clock.Second)) > 0 {
						continue
					}
					busy := int(now/(4*clock.Second)) % site.entries
					entry := busy
					if rnd.Float64() >= 0.8 {
						entry = rnd.IntN(site.entries)
					}
					e, reason := s.choose(entry, now)
					if entry == busy {
						asked++
						if reason == Selected {
							served++
						}
					}
					if e != nil {
						s.selectors[entry].Begin(e, Query{Now: now}).End()
					}
				}
			}
			t.Logf("%d of %d requests at the busy entry served", served, asked)
			is.True(served*4 >= asked*3)
		})
	}
}

// One endpoint always looks cheapest, as one that turned cold without telling. Guards against entries that
// together send it more than their shares and its part of the traffic, however the traffic moves between them.
func TestCheapestEndpointGetsBoundedPartProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries, endpoints := rapid.IntRange(1, 40).Draw(t, "entries"), rapid.IntRange(1, 40).Draw(t, "endpoints")
		perMilli, bound := rapid.IntRange(1, 3).Draw(t, "per-milli"), float64(rapid.IntRange(1, 40).Draw(t, "bound"))
		s := newZonedSite(rapid.IntRange(1, 4).Draw(t, "zones"), entries, endpoints, bound)
		cheap := s.fleet.Endpoints("s")[0].ID
		for _, sel := range s.selectors {
			for _, e := range s.fleet.Endpoints("s")[1:] {
				sel.RecordLoad(e.ID, 60, 64, 0)
			}
		}
		var asked, sends []clock.Millis
		busy, fraction := 0, 0.0
		for now := clock.Millis(1); now < 4*clock.Second; now++ {
			if now%700 == 1 {
				busy, fraction = rapid.IntRange(0, entries-1).Draw(t, "busy"), rapid.Float64Range(0, 1).Draw(t, "fraction")
			}
			for k := range perMilli {
				entry := int(now*7+clock.Millis(k)) % entries
				if float64((int(now)*13+k)%100) < 100*fraction {
					entry = busy
				}
				asked = append(asked, now)
				if e, _ := s.choose(entry, now); e != nil && e.ID == cheap {
					sends = append(sends, now)
				}
			}
		}
		// What an entry sent before its last requests there counts for it although the traffic has moved on since.
		traffic := float64(mostWithin(asked, 2*SendWindow)+entries) / float64(endpoints)
		if n, allowed := mostWithin(sends, SendWindow), warmShareFactor*bound+meanShareFactor*traffic; float64(n) > allowed+roundingSlack {
			t.Fatalf("%d requests in %s, %.1f allowed", n, SendWindow, allowed)
		}
	})
}

// roundingSlack is by how much the rounded shares of all entries may exceed their sum.
const roundingSlack = 3

// mostWithin returns the largest number of times, which are in order, within any window.
func mostWithin(at []clock.Millis, window clock.Millis) (most int) {
	first := 0
	for i := range at {
		for at[i]-at[first] >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
