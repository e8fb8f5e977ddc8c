package placement

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
)

// The endpoint that has a shared block of 13,000 tokens cached is busier than the others. The
// prompt must go there while the wait is shorter than the prefill that it saves.
func TestPromptsGoWhereTheirBlocksAreCached(t *testing.T) {
	is := is.New(t)
	s := fleetOf(3, nil)
	sel := NewSelector()
	sel.estimates.millisPerToken["m"] = 0.005
	blocks := []Block{{"case", 13000}, {"own", 500}}
	q := Query{Service: "s", Version: "v1", Zone: "a", Model: "m", FirstByteBudget: 4 * clock.Second, Blocks: blocks}
	sel.Begin(s.Find("e1"), q).End()
	sel.Begin(s.Find("e1"), Query{Model: "m", Blocks: []Block{{"long", 30000}}}) // 150 ms of prefill
	e, _ := sel.Select(s, q)
	is.Equal(e.ID, "e1")
	sel.Begin(s.Find("e1"), Query{Model: "m", Blocks: []Block{{"longer", 300000}}}) // 1.5 s more of prefill
	e, _ = sel.Select(s, q)
	is.True(e.ID != "e1")
}

// threeZones returns a fleet with two endpoints in each of three zones.
func threeZones() *fleet.Snapshot {
	return fleetOf(6, func(i int, e *fleet.Endpoint) { e.Zone = [...]string{"a", "b", "c"}[i%3] })
}

func allZonesSelector() *Selector { return NewSelectorWith(strategiesOf("affinity", "everywhere")) }

// Entries of several zones, which get no reports from each other, must send all prompts with the
// same long shared block to the same endpoint. Otherwise one endpoint after another prefills the
// block again.
func TestAllZonesAgreeOnEndpointForSharedBlock(t *testing.T) {
	is := is.New(t)
	s := threeZones()
	for _, block := range []string{"one", "two", "three", "four", "five"} {
		preferred := make(map[string]bool)
		for _, zone := range []string{"a", "b", "c"} {
			q := Query{Service: "s", Version: "v1", Zone: zone, Model: "m", Blocks: []Block{{block, 6000}, {"own-" + zone, 500}}}
			e, _ := allZonesSelector().Select(s, q)
			preferred[e.ID] = true
		}
		is.Equal(len(preferred), 1)
	}
}

// A short shared block is not worth the transfer of the prompt to another zone. An endpoint that
// has a hot shared block cached must not get more prompts with that block than it could accept if
// it turned cold without advertising it.
func TestAffinityIgnoresShortBlocksAndExceededShare(t *testing.T) {
	is := is.New(t)
	s := threeZones()
	short := Query{Service: "s", Version: "v1", Zone: "a", Model: "m", Blocks: []Block{{"short", affinityMinTokens - 1}, {"own", 500}}}
	e, _ := allZonesSelector().Select(s, short)
	is.Equal(e.Zone, "a")
	hot := Query{Service: "s", Version: "v1", Zone: "a", Model: "m", Blocks: []Block{{"hot", 6000}, {"own", 500}}, Bounds: Bounds{Warm: 30, Shares: map[string]Share{
		"a": {Fraction: 1, Entries: 10}, "b": {Fraction: 1, Entries: 10}, "c": {Fraction: 1, Entries: 10},
	}}}
	sel := allZonesSelector()
	sends := make(map[string]int)
	for range 20 {
		e, _ = sel.Select(s, hot)
		sends[e.ID]++
		sel.Begin(e, hot).End()
	}
	preferred, _ := allZonesSelector().Select(s, hot)
	is.True(preferred.Zone != "a") // in zone a it would be the cheapest endpoint even beyond its share
	is.True(sends[preferred.ID] <= 3)
}

// Guards against repeated prefill after an entry has started: without a snapshot it does not know
// which endpoints have blocks cached.
func TestSnapshotListsCachedBlocks(t *testing.T) {
	is := is.New(t)
	s := fleetOf(8, nil)
	q := Query{Service: "s", Version: "v1", Zone: "a", Model: "m", Blocks: []Block{{"case", 1900}, {"own", 500}}}
	old, started := NewSelector(), NewSelector()
	e, _ := old.Select(s, q)
	old.Begin(e, q).FirstByte(60, 0)
	old.Begin(s.Find("e3"), Query{Model: "m", Blocks: []Block{{"stale", 1900}, {"own", 9}}, Now: -prefixTTL}).End()
	reports, speeds := old.Snapshot(100)
	is.Equal(len(reports), 1) // stale blocks are omitted
	for id := range s.All() {
		started.stateOf(id)
	}
	started.ApplySnapshot(reports, speeds, 100)
	is.Equal(started.uncachedTokens(started.stateOf(e.ID), q.hashed()), 0)
	is.Equal(started.estimates.millisPerToken["m"], old.estimates.millisPerToken["m"])
	started.estimates.millisPerToken["m"], started.estimates.samples["m"] = 1, 99
	started.ApplySnapshot(nil, speeds, 100)
	is.Equal(started.estimates.millisPerToken["m"], 1.0) // a snapshot with fewer samples does not replace the entry's own estimate
}
