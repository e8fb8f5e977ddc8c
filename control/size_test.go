package control

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/table"
)

const (
	sizeVMs       = 1380
	sizeVersions  = 13
	sizeRoutes    = 20
	sizeOrgs      = 40
	sizeRequests  = 17 // per second: 6,600 requests/s over 380 entries
	sizeEntries   = 380
	sizeJudgeKeys = 60
)

// newSizedState returns an entry's state at the size that the system must reach, which the size
// constants define: 380 entries, 1,000 endpoints and 6,600 requests/s. All VMs are listed and the
// tables are in force.
func newSizedState(tb testing.TB) *State {
	tb.Helper()
	s := NewStateAt("vm-0000", "zone-0", 1)
	vms := newCluster(sizeVMs, 12).listed
	for i := range vms {
		vms[i].Role = provider.EndpointRole
		if i%sizeVMs < sizeEntries {
			vms[i].Role = provider.EntryRole
		}
	}
	Reduce(s, event.VMsListed{Now: 1, VMs: vms})
	data, err := newSizedTables().Encode()
	if err != nil {
		tb.Fatal(err)
	}
	Reduce(s, event.LogRead{Now: 1, Stream: provider.ConfigStream, Page: provider.Page{Head: 1, Records: []provider.Record{{Data: data}}}})
	if !s.View().Ready() {
		tb.Fatal("the tables were rejected")
	}
	return s
}

func newSizedTables() *table.Change {
	c := &table.Change{ID: "size", Author: "t", Kind: table.Whole, Base: -1}
	c.Tables = table.Tables{Organisations: map[string]table.Organisation{}, Versions: map[string]table.Version{}, Pools: map[string]table.Pool{}, Routes: map[string]table.Route{}}
	var orgs []string
	for i := range sizeOrgs {
		name := fmt.Sprint("org-", i)
		orgs = append(orgs, name)
		c.Tables.Organisations[name] = table.Organisation{KeyHashes: []string{fmt.Sprintf("%064x", i)}, Weight: 1}
	}
	models := []table.RouteModel{}
	for i := range sizeVersions {
		version := fmt.Sprintf("m%d@1", i)
		c.Tables.Versions[version] = table.Version{InputCost: 100, OutputCost: 300, Quality: 0.9}
		c.Tables.Pools[fmt.Sprint("pool-", i)] = table.Pool{Versions: []string{version}, ColdWindow: 2, FullWindow: 32}
		models = append(models, table.RouteModel{Model: fmt.Sprint("m", i), Shares: map[string]float64{"1": 1}})
	}
	for i := range sizeRoutes {
		c.Tables.Routes[fmt.Sprint("route-", i)] = table.Route{Organisations: orgs, Models: models, QualityTarget: 0.8, WhenStale: table.ServeWhenStale}
	}
	return c
}

// reduceSecond applies the events that an entry gets in one second at the size of newSizedState.
func reduceSecond(s *State, n int) (effects int) {
	now := clock.Millis(n) * clock.Second
	reduce := func(e event.Event) {
		_, reduced := Reduce(s, e)
		effects += len(reduced)
		for _, f := range reduced {
			if _, ok := f.(event.Publish); ok {
				s.View()
			}
		}
	}
	for i := range 5 {
		reduce(event.Tick{Now: now + clock.Millis(i)*testTick})
	}
	for i := range sizeRequests {
		x := n*sizeRequests + i
		route, version, org := fmt.Sprint("route-", x%sizeRoutes), fmt.Sprintf("m%d@1", x%sizeVersions), fmt.Sprint("org-", x%sizeOrgs)
		vm := fmt.Sprintf("vm-%04d", sizeEntries+x*31%(sizeVMs-sizeEntries))
		reduce(event.AnswerStarted{Now: now, Route: route, Version: version, Organisation: org})
		reduce(event.AttemptEnded{Now: now, Route: route, Version: version, Organisation: org, VM: vm})
		reduce(event.LoadReceived{Now: now, Load: &wire.Load{Vm: vm, Epoch: 2, Sequence: uint64(x)}})
	}
	for i := range 3 {
		reduce(event.DigestReceived{Now: now, Reply: i == 0, Sent: now, Digest: &wire.Digest{Vm: fmt.Sprintf("vm-%04d", (n*3+i)%sizeVMs), Zone: "zone-1", Epoch: 3, Offset: 1, Started: true}})
	}
	return effects
}

// reduceJudgeEvidence applies the outcome counts that a judge (a process that sums the counts of a
// version) gets in one second: each entry reports six counts to it every 18 s.
func reduceJudgeEvidence(s *State, n int) {
	const every, counts = 18, 6
	now := clock.Millis(n) * clock.Second
	for i := range sizeEntries {
		if i%every != n%every {
			continue
		}
		d := &wire.Digest{Vm: fmt.Sprintf("vm-%04d", i), Epoch: 4, Offset: 1, Started: true}
		for k := range counts {
			key := (n/every*counts + k) % sizeJudgeKeys
			d.Counts = append(d.Counts, &wire.Count{
				Vm: d.GetVm(), Epoch: 4, Route: fmt.Sprint("route-", key%sizeRoutes), Version: fmt.Sprintf("m%d@1", key%sizeVersions),
				Organisation: fmt.Sprint("org-", key%sizeOrgs), Started: int64(n), Good: int64(n),
			})
		}
		Reduce(s, event.DigestReceived{Now: now, Digest: d})
	}
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// A state that grew with every message of callers or peers would exhaust an entry VM's memory
// within a day, and a new view for every load report would exhaust its CPU.
func TestEntryStateSize(t *testing.T) {
	const seconds, maxHeap, maxEffects = 600, 24 << 20, 40
	is := is.New(t)
	before := heapBytes()
	s := newSizedState(t)
	empty := heapBytes() - before
	effects := 0
	for n := 1; n <= seconds; n++ {
		effects += reduceSecond(s, n)
		reduceJudgeEvidence(s, n)
	}
	full := heapBytes() - before
	t.Logf("heap: %d bytes with tables and VMs, %d after %d s as a judge; %d effects a second", empty, full, seconds, effects/seconds)
	is.True(full < maxHeap)
	is.True(effects/seconds <= maxEffects)
	runtime.KeepAlive(s)
}

// BenchmarkSecond measures one second of an entry's events at the size of newSizedState, without
// and with the outcome counts that a judge gets.
func BenchmarkSecond(b *testing.B) {
	for name, reduceMore := range map[string]func(*State, int){"entry": func(*State, int) {}, "judge": reduceJudgeEvidence} {
		b.Run(name, func(b *testing.B) {
			s := newSizedState(b)
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				n++
				reduceSecond(s, n)
				reduceMore(s, n)
			}
		})
	}
}

func BenchmarkView(b *testing.B) {
	s := newSizedState(b)
	b.ReportAllocs()
	for b.Loop() {
		s.View()
	}
}
