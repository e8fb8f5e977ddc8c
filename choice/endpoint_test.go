package choice

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/membership"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/table"
	"github.com/parsleydeal/parsleydeal/view"
	"github.com/parsleydeal/parsleydeal/zone"
	"pgregory.net/rapid"
)

func vms(role string, n, zones int) (out []provider.VM) {
	for i := range n {
		out = append(out, provider.VM{ID: fmt.Sprintf("%s-%d", role, i), Role: role, Pool: "p", Zone: fmt.Sprintf("z%d", i%zones)})
	}
	return out
}

func viewOf(endpoints []provider.VM, out ...string) *view.View {
	s := membership.New("test")
	s.Reduce(event.VMsListed{VMs: endpoints})
	t := &table.Tables{Pools: map[string]table.Pool{"p": {ColdWindow: 2, FullWindow: 10}}, Zones: map[string]table.Site{}}
	for _, z := range out {
		t.Zones[z] = table.Site{State: table.Out}
	}
	return view.New(t, 0, 0, s.Members(), false)
}

// picks counts the endpoints that many requests get.
func picks(v *view.View, f *Inflight, a *Affinity, q Query) map[string]int {
	out := make(map[string]int)
	for seed := range uint64(400) {
		q.Pools, q.Seed = []string{"p"}, seed*7919
		vm, ok := SelectEndpoint(v, f, a, q)
		if ok {
			out[vm.ID]++
		}
	}
	return out
}

// A VM has vanished and the platform's list still has it. Each request that
// chooses it loses a try; after the first failure it must be left alone, yet be
// tried again later, and be used when there is no other.
func TestUnreachableEndpointIsAvoided(t *testing.T) {
	is := is.New(t)
	v := viewOf(vms(provider.EndpointRole, 4, 2))
	f := NewInflight()
	f.RecordUnreachable("endpoint-1", 0)
	is.Equal(picks(v, f, NewAffinity(), Query{Now: 1})["endpoint-1"], 0)
	is.True(picks(v, f, NewAffinity(), Query{Now: lostFirst})["endpoint-1"] > 0)
	avoid := map[string]bool{"endpoint-0": true, "endpoint-2": true, "endpoint-3": true}
	is.Equal(picks(v, f, NewAffinity(), Query{Now: 1, Avoid: avoid})["endpoint-1"], 400)
}

// A session comes back. Its home has its cache and must get it, unless the home
// is full or its zone was taken out; then any other one does.
func TestSessionStaysOnItsEndpointIfUsable(t *testing.T) {
	is := is.New(t)
	all := vms(provider.EndpointRole, 4, 4)
	f := NewInflight()
	q := Query{SessionVM: "endpoint-2"}
	is.Equal(picks(viewOf(all), f, NewAffinity(), q)["endpoint-2"], 400)
	is.Equal(picks(viewOf(all, "z2"), f, NewAffinity(), q)["endpoint-2"], 0)
	f.RecordLoad(&wire.Load{Vm: "endpoint-2", Held: 10, Window: 10}, 0)
	is.Equal(picks(viewOf(all), f, NewAffinity(), q)["endpoint-2"], 0)
}

// Many callers share a long prompt. It must go where it is cached, but not all
// to one endpoint while the others stand idle.
func TestPrefixAffinityYieldsToLoad(t *testing.T) {
	is := is.New(t)
	v := viewOf(vms(provider.EndpointRole, 4, 1))
	f, a := NewInflight(), NewAffinity()
	a.RecordUse(9, "endpoint-3", 0)
	f.RecordLoad(&wire.Load{Vm: "endpoint-3", Held: 3, Window: 10}, 0)
	is.Equal(picks(v, f, a, Query{Prefix: 9})["endpoint-3"], 400)
	f.Add("endpoint-3", 6)
	is.True(picks(v, f, a, Query{Prefix: 9})["endpoint-3"] == 0)
	a.RecordUse(9, "endpoint-3", 0)
	is.Equal(a.Find(9, prefixLife+1), "") // the engine has dropped it by then
}

// A report left an endpoint empty and arrives after this entry sent it twenty
// requests. Believing it would send the next twenty there too.
func TestLateReportDoesNotHideOwnRequests(t *testing.T) {
	is := is.New(t)
	v := viewOf(vms(provider.EndpointRole, 2, 1))
	f := NewInflight()
	f.RecordLoad(&wire.Load{Vm: "endpoint-1", Held: 3, Window: 10}, 0)
	f.Add("endpoint-0", 8)
	f.RecordLoad(&wire.Load{Vm: "endpoint-0", Held: 0, Window: 10, Sequence: 1}, 0)
	is.Equal(picks(v, f, NewAffinity(), Query{})["endpoint-0"], 0)
}

// An endpoint was full when it last answered, and since then nobody asks it. Its
// word must lose its weight, or it would never be asked again.
func TestOldLoadReportDecays(t *testing.T) {
	is := is.New(t)
	v := viewOf(vms(provider.EndpointRole, 2, 1))
	f := NewInflight()
	f.RecordLoad(&wire.Load{Vm: "endpoint-0", Held: 10, Window: 10}, 0)
	f.RecordLoad(&wire.Load{Vm: "endpoint-1", Held: 2, Window: 10}, 0)
	is.Equal(picks(v, f, NewAffinity(), Query{Now: 1})["endpoint-0"], 0)
	f.RecordLoad(&wire.Load{Vm: "endpoint-1", Held: 2, Window: 10}, 10*halfLife)
	is.True(picks(v, f, NewAffinity(), Query{Now: 10 * halfLife})["endpoint-0"] > 0)
}

// Each process computes the subsets by itself, from lists in any order. They
// must agree, load all endpoints evenly and keep a foot in another zone.
func TestSubsetsAgreeAndBalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		entries := vms(provider.EntryRole, rapid.IntRange(1, 30).Draw(t, "entries"), zones)
		pool := vms(provider.EndpointRole, rapid.IntRange(1, 90).Draw(t, "endpoints"), zones)
		out := Subsets(entries, pool)
		again := Subsets(rapid.Permutation(entries).Draw(t, "order"), rapid.Permutation(pool).Draw(t, "order"))
		counts := map[string]int{}
		for _, e := range entries {
			near := 0
			is.Equal(len(out[e.ID]), min(len(pool), subsetSize))
			for i, vm := range out[e.ID] {
				counts[vm.ID]++
				is.True(len(pool) <= subsetSize || again[e.ID][i] == vm)
				if vm.Zone == e.Zone {
					near++
				}
			}
			is.True(zones == 1 || len(pool) < 40 || near < subsetSize)
		}
		mean := float64(len(entries)*min(subsetSize, len(pool))) / float64(len(pool))
		for _, n := range counts {
			is.True(float64(n) <= slack*mean+2)
		}
	})
}

// The list loses one endpoint of many. Only its own places may be filled anew,
// beside a few that these push on; otherwise every change of the list would
// close connections and forget loads everywhere.
func TestSubsetsChangeLittleWhenEndpointIsRemoved(t *testing.T) {
	is := is.New(t)
	entries, pool := vms(provider.EntryRole, 100, 4), vms(provider.EndpointRole, 310, 4)
	before, after := Subsets(entries, pool), Subsets(entries, pool[1:])
	changed := 0
	for id, now := range after {
		old := map[string]bool{}
		for _, vm := range before[id] {
			old[vm.ID] = true
		}
		for _, vm := range now {
			if !old[vm.ID] {
				changed++
			}
		}
	}
	is.True(changed < 100*subsetSize/50)
}

// Control heard an endpoint's load by another way, since no answer came from it
// for long. It must count, but never against a newer word of its own.
func TestControlLoadUsedWhenAnswersAreOld(t *testing.T) {
	is := is.New(t)
	f := NewInflight()
	heard := &wire.Load{Vm: "e", Held: 9, Window: 10, Sequence: 5}
	part, _ := f.load("e", 2, heard, 0)
	is.Equal(part, 0.9)
	f.RecordLoad(&wire.Load{Vm: "e", Held: 0, Window: 10, Sequence: 6}, 10*clock.Second)
	part, _ = f.load("e", 2, heard, 10*clock.Second+1)
	is.Equal(part, 0.0)
}

// A zone came back a moment ago. New work must go there only in part, though its
// endpoints look emptiest; yet when the others are full its gates decide, or the
// zones that stayed would be overrun.
func TestReturningZoneGetsPartOfItsShare(t *testing.T) {
	is := is.New(t)
	s := membership.New("test")
	s.Reduce(event.VMsListed{VMs: vms(provider.EndpointRole, 4, 2)})
	in := &table.Tables{Pools: map[string]table.Pool{"p": {ColdWindow: 2, FullWindow: 10}}}
	out := &table.Tables{Pools: in.Pools, Zones: map[string]table.Site{"z1": {State: table.Out}}}
	zones := zone.NewState()
	zones.Reduce(0, out, s.Members())
	zones.Reduce(1, in, s.Members())
	v := view.New(in, 0, 0, s.Members(), false).WithZones(zones.Ramps())
	f := NewInflight()
	got := picks(v, f, NewAffinity(), Query{Now: 1})
	is.True(got["endpoint-1"]+got["endpoint-3"] < 60)
	f.RecordLoad(&wire.Load{Vm: "endpoint-0", Held: 10, Window: 10}, 1)
	f.RecordLoad(&wire.Load{Vm: "endpoint-2", Held: 10, Window: 10}, 1)
	got = picks(v, f, NewAffinity(), Query{Now: 1})
	is.Equal(got["endpoint-1"]+got["endpoint-3"], 400)
}

// The entry's own network stalls for a second, and all endpoints are suspected at
// once. Callers must not be refused for as long as the suspicion lasts.
func TestSuspectedEndpointsAreUsedAsLastResort(t *testing.T) {
	is := is.New(t)
	s := membership.New("test")
	s.Reduce(event.VMsListed{VMs: vms(provider.EndpointRole, 2, 2)})
	tables := &table.Tables{Pools: map[string]table.Pool{"p": {ColdWindow: 2, FullWindow: 10}}}
	s.Reduce(event.PeerFailed{Now: 1, VM: "endpoint-0"})
	got := picks(view.New(tables, 0, 0, s.Members(), false), NewInflight(), NewAffinity(), Query{Now: 1})
	is.Equal(got["endpoint-0"], 0)
	s.Reduce(event.PeerFailed{Now: 1, VM: "endpoint-1"})
	f := NewInflight()
	f.RecordUnreachable("endpoint-0", 1)
	f.RecordUnreachable("endpoint-1", 1)
	got = picks(view.New(tables, 0, 0, s.Members(), false), f, NewAffinity(), Query{Now: 1})
	is.Equal(got["endpoint-0"]+got["endpoint-1"], 400)
}

// BenchmarkSubsetsOf is what one entry computes when the list of the two-year
// size changes: 380 entries before 1,000 endpoints in 13 pools.
func BenchmarkSubsetsOf(b *testing.B) {
	all := vms(provider.EntryRole, 380, 12)
	for i, vm := range vms(provider.EndpointRole, 1000, 12) {
		vm.Pool = fmt.Sprintf("pool-%d", i%13)
		all = append(all, vm)
	}
	for b.Loop() {
		SubsetsOf("entry-7", all)
	}
}
