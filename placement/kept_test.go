package placement

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
)

// All endpoints hold some prompts, and the one with the subject's part is a little
// busier than the others. A shared part of 13,000 tokens is worth a short wait: it goes
// where it need not be read.
func TestPromptsGoWhereTheirBlocksAreCached(t *testing.T) {
	is := is.New(t)
	s := fleetOf(3, nil)
	b := NewSelector()
	b.speed.tokens["m"] = 0.005
	parts := []Block{{"case", 13000}, {"own", 500}}
	q := Query{Service: "s", Version: "v1", Zone: "a", Model: "m", FirstByteBudget: 4 * clock.Second, Blocks: parts}
	b.Begin(s.Find("e1"), q).End()
	b.Begin(s.Find("e1"), Query{Model: "m", Blocks: []Block{{"long", 30000}}}) // 150 ms of reading
	e, _ := b.Select(s, q)
	is.Equal(e.ID, "e1")
	b.Begin(s.Find("e1"), Query{Model: "m", Blocks: []Block{{"longer", 300000}}}) // 1.5 s more
	e, _ = b.Select(s, q)
	is.True(e.ID != "e1")
}

// threeZones has two endpoints in each of three zones.
func threeZones() *fleet.Snapshot {
	return fleetOf(6, func(i int, e *fleet.Endpoint) { e.Zone = [...]string{"a", "b", "c"}[i%3] })
}

func everywhere() *Selector { return NewSelectorWith(waysOf("affinity", "everywhere")) }

// Entries of several zones that know nothing of one another read a long shared part at
// endpoint after endpoint.
func TestAllZonesAgreeOnEndpointForSharedBlock(t *testing.T) {
	is := is.New(t)
	s := threeZones()
	for _, subject := range []string{"one", "two", "three", "four", "five"} {
		preferred := make(map[string]bool)
		for _, zone := range []string{"a", "b", "c"} {
			q := Query{Service: "s", Version: "v1", Zone: zone, Model: "m", Blocks: []Block{{subject, 6000}, {"own-" + zone, 500}}}
			e, _ := everywhere().Select(s, q)
			preferred[e.ID] = true
		}
		is.Equal(len(preferred), 1)
	}
}

// A short shared part is not worth the bytes of its prompt between zones, and a hot subject
// must not bring one endpoint more than it would bear in a cold start nobody announced.
func TestAffinityIgnoresShortBlocksAndExceededShare(t *testing.T) {
	is := is.New(t)
	s := threeZones()
	short := Query{Service: "s", Version: "v1", Zone: "a", Model: "m", Blocks: []Block{{"short", affinityLeast - 1}, {"own", 500}}}
	e, _ := everywhere().Select(s, short)
	is.Equal(e.Zone, "a")
	hot := Query{Service: "s", Version: "v1", Zone: "a", Model: "m", Blocks: []Block{{"hot", 6000}, {"own", 500}}, Bounds: Bounds{Warm: 30, Shares: map[string]Share{
		"a": {Fraction: 1, Entries: 10}, "b": {Fraction: 1, Entries: 10}, "c": {Fraction: 1, Entries: 10},
	}}}
	b := everywhere()
	sends := make(map[string]int)
	for range 20 {
		e, _ = b.Select(s, hot)
		sends[e.ID]++
		b.Begin(e, hot).End()
	}
	preferred, _ := everywhere().Select(s, hot)
	is.True(preferred.Zone != "a") // or the bound below would not be met
	is.True(sends[preferred.ID] <= 3)
}

// An entry that starts anew knows nothing, and has parts read again that its neighbours
// know where to send.
func TestSnapshotListsCachedBlocks(t *testing.T) {
	is := is.New(t)
	s := fleetOf(8, nil)
	q := Query{Service: "s", Version: "v1", Zone: "a", Model: "m", Blocks: []Block{{"case", 1900}, {"own", 500}}}
	old, started := NewSelector(), NewSelector()
	e, _ := old.Select(s, q)
	old.Begin(e, q).FirstByte(60)
	old.Begin(s.Find("e3"), Query{Model: "m", Blocks: []Block{{"stale", 1900}, {"own", 9}}, Now: -keptFor}).End()
	parts, speeds := old.Snapshot(100)
	is.Equal(len(parts), 1) // nothing of what is as good as forgotten
	for id := range s.All() {
		started.mark(id)
	}
	started.ApplySnapshot(parts, speeds, 100)
	is.Equal(started.unread(started.mark(e.ID), q.hashed()), 0)
	is.Equal(started.speed.tokens["m"], old.speed.tokens["m"])
	started.speed.tokens["m"], started.speed.measured["m"] = 1, 99
	started.ApplySnapshot(nil, speeds, 100)
	is.Equal(started.speed.tokens["m"], 1.0) // own measurements are not given up for fewer
}
