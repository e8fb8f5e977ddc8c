package main

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/parsleydeal/parsleydeal/choice"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/limit"
	"github.com/parsleydeal/parsleydeal/membership"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/table"
	"github.com/parsleydeal/parsleydeal/view"
	"github.com/parsleydeal/parsleydeal/zone"
)

const (
	zoneEntries   = 6
	zoneReplicas  = 30
	zoneCount     = 3
	zonePlaces    = 16
	zoneCold      = 2   // places of a cold engine's gate
	zoneUse       = 0.5 // part of all places in use on average
	zoneFlapUse   = 0.3 // the same while two of three zones flap
	zoneService   = 1500 * clock.Millis(1)
	zoneColdToken = 900 * clock.Millis(1) // first token of a cold engine
	zoneWarmToken = 100 * clock.Millis(1)
	warmAfter     = 12 // requests served until an engine is warm
	zoneHear      = 2 * clock.Second
	zoneDeadline  = 20 * clock.Second
)

// coldReplica is an engine behind a gate whose window opens by one for each
// request served.
type coldReplica struct {
	vm     provider.VM
	held   int
	window int
	served int
}

func (r *coldReplica) chill() { r.window, r.served = zoneCold, 0 }

type zoneEntry struct {
	zones    zone.State
	view     *view.View
	inflight *choice.Inflight
	affinity *choice.Affinity
	retries  *limit.RetryBudget
	core     *limit.Admission
	waiting  map[string]zoneRequest
}

type zoneRequest struct {
	item limit.Item
	at   clock.Millis
	seed uint64
}

// zoneRun moves zones out and in under load.
type zoneRun struct {
	agenda
	rng      *rand.Rand
	ramp     bool
	use      float64
	entries  []*zoneEntry
	replicas []*coldReplica
	byVM     map[string]*coldReplica
	members  membership.State
	out      map[string]bool
	asked    int
	// measuring begins with the first move.
	measuring bool
	refused   int
	firsts    []clock.Millis
	served    map[string]int
}

func newZoneRun(ramp bool, use float64) *zoneRun {
	r := &zoneRun{
		rng: rand.New(rand.NewPCG(12, 13)), ramp: ramp, use: use, byVM: map[string]*coldReplica{}, out: map[string]bool{},
		served: map[string]int{}, members: membership.New("entry"),
	}
	var vms []provider.VM
	for i := range zoneReplicas {
		vm := provider.VM{ID: fmt.Sprintf("replica-%02d", i), Role: provider.EndpointRole, Pool: choicePool, Zone: fmt.Sprintf("zone-%d", i%zoneCount)}
		x := &coldReplica{vm: vm, window: zonePlaces, served: warmAfter}
		r.replicas = append(r.replicas, x)
		r.byVM[vm.ID] = x
		vms = append(vms, vm)
	}
	r.members.Reduce(event.VMsListed{VMs: vms})
	for range zoneEntries {
		e := &zoneEntry{
			zones: zone.NewState(), inflight: choice.NewInflight(), affinity: choice.NewAffinity(),
			retries: limit.NewRetryBudget(), core: limit.NewAdmission(), waiting: map[string]zoneRequest{},
		}
		r.entries = append(r.entries, e)
		r.see(e)
	}
	return r
}

// see gives an entry the tables in force now.
func (r *zoneRun) see(e *zoneEntry) {
	t := &table.Tables{Pools: map[string]table.Pool{choicePool: {ColdWindow: zoneCold, FullWindow: zonePlaces}}, Zones: map[string]table.Location{}}
	for name, out := range r.out {
		if out {
			t.Zones[name] = table.Location{State: table.Out}
		}
	}
	m := r.members.Members()
	e.zones.Reduce(r.now, t, m)
	v := view.New(t, 0, 0, m, false)
	if r.ramp {
		v = v.WithZones(e.zones.Ramps())
	}
	e.view = v
}

// move publishes a zone's state; each entry hears of it within zoneHear. An
// engine that comes back is cold.
func (r *zoneRun) move(name string, out bool) {
	r.out[name] = out
	for _, e := range r.entries {
		r.after(clock.Millis(r.rng.IntN(int(zoneHear))), func() { r.see(e) })
	}
	for _, x := range r.replicas {
		if x.vm.Zone == name && !out {
			x.chill()
		}
	}
}

func (r *zoneRun) load() {
	perMilli := r.use * zoneReplicas * zonePlaces / float64(zoneService+zoneWarmToken)
	for range poisson(r.rng, perMilli) {
		r.arrive(r.entries[r.rng.IntN(len(r.entries))])
	}
	r.after(1, r.load)
}

func (r *zoneRun) arrive(e *zoneEntry) {
	r.asked++
	q := zoneRequest{item: limit.Item{ID: fmt.Sprint(r.asked), Weight: 1, Deadline: r.now + zoneDeadline}, at: r.now, seed: r.rng.Uint64()}
	e.retries.RecordRequest()
	v, _, dropped := e.core.Arrive(r.now, q.item)
	r.refuse(e, dropped)
	switch v {
	case limit.Start:
		r.try(e, q, map[string]bool{})
	case limit.Wait:
		e.waiting[q.item.ID] = q
	default:
		r.count(1)
	}
}

func (r *zoneRun) refuse(e *zoneEntry, items []limit.Item) {
	for _, it := range items {
		delete(e.waiting, it.ID)
		r.count(1)
	}
}

func (r *zoneRun) count(refused int) {
	if r.measuring {
		r.refused += refused
	}
}

// try is the entry's loop of attempts.
func (r *zoneRun) try(e *zoneEntry, q zoneRequest, avoid map[string]bool) {
	vm, ok := choice.SelectEndpoint(e.view, e.inflight, e.affinity, choice.Query{Pools: []string{choicePool}, Avoid: avoid, Seed: q.seed, Now: r.now})
	if !ok || len(avoid) == choiceTries+1 || len(avoid) > 0 && !e.retries.TryRetry() {
		r.count(1)
		r.end(e, limit.Refused)
		return
	}
	x := r.byVM[vm.ID]
	e.inflight.Add(vm.ID, 1)
	r.after(choiceHopMillis, func() {
		if x.held < x.window && !r.out[x.vm.Zone] {
			r.start(e, q, x)
			return
		}
		r.after(choiceHopMillis, func() {
			e.inflight.Add(vm.ID, -1)
			r.report(e, x)
			avoid[vm.ID] = true
			r.try(e, q, avoid)
		})
	})
}

func (r *zoneRun) start(e *zoneEntry, q zoneRequest, x *coldReplica) {
	x.held++
	r.pass(e, e.core.Accepted)
	span := zoneWarmToken
	if x.served < warmAfter {
		span = zoneColdToken
	}
	if r.measuring {
		r.firsts = append(r.firsts, r.now+span-q.at)
		r.served[x.vm.Zone]++
	}
	r.after(span+zoneService, func() {
		x.held--
		x.served++
		x.window = min(x.window+1, zonePlaces)
		e.inflight.Add(x.vm.ID, -1)
		r.report(e, x)
		r.end(e, limit.Served)
	})
}

func (r *zoneRun) report(e *zoneEntry, x *coldReplica) {
	l := &wire.Load{Vm: x.vm.ID, Held: int32(x.held), Window: int32(x.window)}
	e.inflight.RecordLoad(l, r.now)
}

func (r *zoneRun) end(e *zoneEntry, o limit.Outcome) {
	r.pass(e, func(now clock.Millis) (started, expired []limit.Item) { return e.core.Release(now, o) })
}

func (r *zoneRun) pass(e *zoneEntry, step func(clock.Millis) (started, expired []limit.Item)) {
	started, expired := step(r.now)
	r.refuse(e, expired)
	for _, it := range started {
		q := e.waiting[it.ID]
		delete(e.waiting, it.ID)
		r.try(e, q, map[string]bool{})
	}
}

// steady is how long after an instant the returning zone gets nine tenths of
// its even share over a second.
func (r *zoneRun) steady(name string, from, until clock.Millis) clock.Millis {
	const part = 0.9
	for at := from; at < until; at += clock.Second {
		before := r.counts()
		r.run(at + clock.Second)
		all, own := 0, r.served[name]-before[name]
		for z, n := range r.served {
			all += n - before[z]
		}
		if float64(own) >= part*float64(all)/zoneCount {
			r.run(until)
			return at + clock.Second - from
		}
	}
	return until - from
}

func (r *zoneRun) counts() map[string]int {
	out := make(map[string]int)
	for z, n := range r.served {
		out[z] = n
	}
	return out
}

func (r *zoneRun) reset() {
	r.measuring = true
	r.refused = 0
	r.firsts = nil
}

func (r *zoneRun) figures(prefix string) []Figure {
	slices.Sort(r.firsts)
	return []Figure{
		{prefix + "refused", float64(r.refused)},
		{prefix + "first-token-p95-ms", float64(percentile(r.firsts, 0.95))},
		{prefix + "first-token-p99-ms", float64(percentile(r.firsts, 0.99))},
	}
}

// benchZone measures refusals, first tokens and the time to steady state when a
// zone leaves and returns, and when two zones flap.
func benchZone() (out []Figure) {
	for _, ramp := range []bool{true, false} {
		name := map[bool]string{true: "ours", false: "no-ramp"}[ramp]
		r := newZoneRun(ramp, zoneUse)
		r.load()
		r.run(15 * clock.Second)
		r.reset()
		r.move("zone-0", true)
		r.run(35 * clock.Second)
		out = append(out, r.figures("zone/leave/"+name+"/")...)
		r.reset()
		r.move("zone-0", false)
		steady := r.steady("zone-0", r.now, r.now+40*clock.Second)
		out = append(out, r.figures("zone/return/"+name+"/")...)
		out = append(out, Figure{"zone/return/" + name + "/steady-after-ms", float64(steady)})
		f := newZoneRun(ramp, zoneFlapUse)
		f.load()
		f.run(15 * clock.Second)
		f.reset()
		for i := range 6 {
			flapping := fmt.Sprintf("zone-%d", i%2)
			f.move(flapping, true)
			f.run(f.now + 5*clock.Second)
			f.move(flapping, false)
			f.run(f.now + 5*clock.Second)
		}
		out = append(out, f.figures("zone/flap/"+name+"/")...)
	}
	return out
}
