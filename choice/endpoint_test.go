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

func newView(endpoints []provider.VM, out ...string) *view.View {
	s := membership.New("test")
	s.Reduce(event.VMsListed{VMs: endpoints})
	t := &table.Tables{Pools: map[string]table.Pool{"p": {ColdWindow: 2, FullWindow: 10}}, Zones: map[string]table.Location{}}
	for _, z := range out {
		t.Zones[z] = table.Location{State: table.Out}
	}
	return view.New(t, 0, 0, s.Members(), false)
}

// countSelections counts, by endpoint, how often 400 requests select it.
func countSelections(v *view.View, f *Inflight, a *Affinity, q Query) map[string]int {
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

// A VM no longer exists, but the platform's list still has it. Each request that selects it wastes
// an attempt. After the first failure it must not be selected for a while, unless there is no
// other.
func TestUnreachableEndpointIsAvoided(t *testing.T) {
	is := is.New(t)
	v := newView(vms(provider.EndpointRole, 4, 2))
	f := NewInflight()
	f.RecordUnreachable("endpoint-1", 0)
	is.Equal(countSelections(v, f, NewAffinity(), Query{Now: 1})["endpoint-1"], 0)
	is.True(countSelections(v, f, NewAffinity(), Query{Now: minBackoff})["endpoint-1"] > 0)
	avoid := map[string]bool{"endpoint-0": true, "endpoint-2": true, "endpoint-3": true}
	is.Equal(countSelections(v, f, NewAffinity(), Query{Now: 1, Avoid: avoid})["endpoint-1"], 400)
}

// The endpoint that ran a session has its prompt cached. It must get the session's next request,
// unless it is full or its zone was taken out of service.
func TestSessionStaysOnItsEndpointIfUsable(t *testing.T) {
	is := is.New(t)
	all := vms(provider.EndpointRole, 4, 4)
	f := NewInflight()
	q := Query{SessionVM: "endpoint-2"}
	is.Equal(countSelections(newView(all), f, NewAffinity(), q)["endpoint-2"], 400)
	is.Equal(countSelections(newView(all, "z2"), f, NewAffinity(), q)["endpoint-2"], 0)
	f.RecordLoad(&wire.Load{Vm: "endpoint-2", Held: 10, Window: 10}, 0)
	is.Equal(countSelections(newView(all), f, NewAffinity(), q)["endpoint-2"], 0)
}

// Many callers share a long prompt. It must go to the endpoint that has it cached, but must not
// overload that endpoint while others are idle.
func TestPrefixAffinityYieldsToLoad(t *testing.T) {
	is := is.New(t)
	v := newView(vms(provider.EndpointRole, 4, 1))
	f, a := NewInflight(), NewAffinity()
	a.RecordUse(9, "endpoint-3", 0)
	f.RecordLoad(&wire.Load{Vm: "endpoint-3", Held: 3, Window: 10}, 0)
	is.Equal(countSelections(v, f, a, Query{Prefix: 9})["endpoint-3"], 400)
	f.Add("endpoint-3", 6)
	is.True(countSelections(v, f, a, Query{Prefix: 9})["endpoint-3"] == 0)
	a.RecordUse(9, "endpoint-3", 0)
	is.Equal(a.Find(9, prefixLifetime+1), "") // the engine has probably evicted it
}

// An idle endpoint sends a load report, which arrives after this entry has sent it many requests.
// These must still count: otherwise the entry would send as many again.
func TestLateReportDoesNotHideOwnRequests(t *testing.T) {
	is := is.New(t)
	v := newView(vms(provider.EndpointRole, 2, 1))
	f := NewInflight()
	f.RecordLoad(&wire.Load{Vm: "endpoint-1", Held: 3, Window: 10}, 0)
	f.Add("endpoint-0", 8)
	f.RecordLoad(&wire.Load{Vm: "endpoint-0", Held: 0, Window: 10, Sequence: 1}, 0)
	is.Equal(countSelections(v, f, NewAffinity(), Query{})["endpoint-0"], 0)
}

// An endpoint was full when it last answered and has received no request since. The weight of its
// report must fall over time, or the endpoint would never be selected again.
func TestOldLoadReportDecays(t *testing.T) {
	is := is.New(t)
	v := newView(vms(provider.EndpointRole, 2, 1))
	f := NewInflight()
	f.RecordLoad(&wire.Load{Vm: "endpoint-0", Held: 10, Window: 10}, 0)
	f.RecordLoad(&wire.Load{Vm: "endpoint-1", Held: 2, Window: 10}, 0)
	is.Equal(countSelections(v, f, NewAffinity(), Query{Now: 1})["endpoint-0"], 0)
	f.RecordLoad(&wire.Load{Vm: "endpoint-1", Held: 2, Window: 10}, 10*halfLife)
	is.True(countSelections(v, f, NewAffinity(), Query{Now: 10 * halfLife})["endpoint-0"] > 0)
}

// Each process computes the subsets on its own, from VM lists in any order. The results must be
// equal, load all endpoints evenly and include endpoints of another zone.
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
			sameZone := 0
			is.Equal(len(out[e.ID]), min(len(pool), subsetSize))
			for i, vm := range out[e.ID] {
				counts[vm.ID]++
				is.True(len(pool) <= subsetSize || again[e.ID][i] == vm)
				if vm.Zone == e.Zone {
					sameZone++
				}
			}
			is.True(zones == 1 || len(pool) < 40 || sameZone < subsetSize)
		}
		mean := float64(len(entries)*min(subsetSize, len(pool))) / float64(len(pool))
		for _, n := range counts {
			is.True(float64(n) <= shareSlack*mean+2)
		}
	})
}

// One endpoint of many is removed from the list. Few other endpoints of the subsets may change:
// each change closes connections and discards known loads.
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

// An endpoint has not answered this entry for a while, but control has received the endpoint's load.
// The selection must use control's load, but not in place of a newer load from an answer.
func TestControlLoadUsedWhenAnswersAreOld(t *testing.T) {
	is := is.New(t)
	f := NewInflight()
	controlLoad := &wire.Load{Vm: "e", Held: 9, Window: 10, Sequence: 5}
	load, _ := f.load("e", 2, controlLoad, 0)
	is.Equal(load, 0.9)
	f.RecordLoad(&wire.Load{Vm: "e", Held: 0, Window: 10, Sequence: 6}, 10*clock.Second)
	load, _ = f.load("e", 2, controlLoad, 10*clock.Second+1)
	is.Equal(load, 0.0)
}

// A zone has just returned to service and its endpoints are the least loaded. Only part of its
// share of new work may go there. If the endpoints of the other zones are full, this limit must
// not apply, or those zones would be overloaded; the gates of the returning endpoints limit what
// they accept.
func TestReturningZoneGetsPartOfItsShare(t *testing.T) {
	is := is.New(t)
	s := membership.New("test")
	s.Reduce(event.VMsListed{VMs: vms(provider.EndpointRole, 4, 2)})
	in := &table.Tables{Pools: map[string]table.Pool{"p": {ColdWindow: 2, FullWindow: 10}}}
	out := &table.Tables{Pools: in.Pools, Zones: map[string]table.Location{"z1": {State: table.Out}}}
	zones := zone.NewState()
	zones.Reduce(0, out, s.Members())
	zones.Reduce(1, in, s.Members())
	v := view.New(in, 0, 0, s.Members(), false).WithZones(zones.Ramps())
	f := NewInflight()
	got := countSelections(v, f, NewAffinity(), Query{Now: 1})
	is.True(got["endpoint-1"]+got["endpoint-3"] < 60)
	f.RecordLoad(&wire.Load{Vm: "endpoint-0", Held: 10, Window: 10}, 1)
	f.RecordLoad(&wire.Load{Vm: "endpoint-2", Held: 10, Window: 10}, 1)
	got = countSelections(v, f, NewAffinity(), Query{Now: 1})
	is.Equal(got["endpoint-1"]+got["endpoint-3"], 400)
}

// The entry's own network stalls for a second, which makes all endpoints suspected at once.
// Requests must not be refused until the suspicion expires.
func TestSuspectedEndpointsAreUsedAsLastResort(t *testing.T) {
	is := is.New(t)
	s := membership.New("test")
	s.Reduce(event.VMsListed{VMs: vms(provider.EndpointRole, 2, 2)})
	tables := &table.Tables{Pools: map[string]table.Pool{"p": {ColdWindow: 2, FullWindow: 10}}}
	s.Reduce(event.PeerFailed{Now: 1, VM: "endpoint-0"})
	got := countSelections(view.New(tables, 0, 0, s.Members(), false), NewInflight(), NewAffinity(), Query{Now: 1})
	is.Equal(got["endpoint-0"], 0)
	s.Reduce(event.PeerFailed{Now: 1, VM: "endpoint-1"})
	f := NewInflight()
	f.RecordUnreachable("endpoint-0", 1)
	f.RecordUnreachable("endpoint-1", 1)
	got = countSelections(view.New(tables, 0, 0, s.Members(), false), f, NewAffinity(), Query{Now: 1})
	is.Equal(got["endpoint-0"]+got["endpoint-1"], 400)
}

// BenchmarkSubsetsOf measures how long one entry takes to compute its subsets when the VM list of
// a large site changes: 380 entries and 1,000 endpoints in 13 pools.
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
