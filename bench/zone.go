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
	zoneEntries       = 6
	zoneReplicas      = 30
	zoneCount         = 3
	zoneSlots         = 16
	coldSlots         = 2   // slots of a cold engine's gate
	zoneLoadRatio     = 0.5 // fraction of all slots in use on average
	flapLoadRatio     = 0.3 // zoneLoadRatio while zones flap, see benchZone
	zoneServiceTime   = 1500 * clock.Millis(1)
	coldFirstToken    = 900 * clock.Millis(1) // time to the first token of a cold engine
	warmFirstToken    = 100 * clock.Millis(1)
	requestsUntilWarm = 12               // requests that a cold engine serves before it is warm
	maxTableDelay     = 2 * clock.Second // until every entry has applied new tables
	zoneTimeout       = 20 * clock.Second
)

// warmingReplica is an engine behind a gate whose slots grow by one with each served request.
type warmingReplica struct {
	vm      provider.VM
	running int
	slots   int
	served  int
}

func (r *warmingReplica) makeCold() { r.slots, r.served = coldSlots, 0 }

type zoneEntry struct {
	zones     zone.State
	view      *view.View
	inflight  *choice.Inflight
	affinity  *choice.Affinity
	retries   *limit.RetryBudget
	admission *limit.Admission
	waiting   map[string]zoneRequest
}

type zoneRequest struct {
	item      limit.Item
	arrivedAt clock.Millis
	seed      uint64
}

// zoneRun simulates taking zones out and putting them back in under load.
type zoneRun struct {
	scheduler
	rng       *rand.Rand
	ramp      bool
	loadRatio float64
	entries   []*zoneEntry
	replicas  []*warmingReplica
	byVM      map[string]*warmingReplica
	members   membership.State
	zonesOut  map[string]bool
	requests  int
	// measuring is true once the figures of a scenario are being recorded.
	measuring       bool
	refused         int
	firstTokenTimes []clock.Millis
	servedByZone    map[string]int
}

func newZoneRun(ramp bool, loadRatio float64) *zoneRun {
	r := &zoneRun{
		rng: rand.New(rand.NewPCG(12, 13)), ramp: ramp, loadRatio: loadRatio, byVM: map[string]*warmingReplica{}, zonesOut: map[string]bool{},
		servedByZone: map[string]int{}, members: membership.New("entry"),
	}
	var vms []provider.VM
	for i := range zoneReplicas {
		vm := provider.VM{ID: fmt.Sprintf("replica-%02d", i), Role: provider.EndpointRole, Pool: choicePool, Zone: fmt.Sprintf("zone-%d", i%zoneCount)}
		x := &warmingReplica{vm: vm, slots: zoneSlots, served: requestsUntilWarm}
		r.replicas = append(r.replicas, x)
		r.byVM[vm.ID] = x
		vms = append(vms, vm)
	}
	r.members.Reduce(event.VMsListed{VMs: vms})
	for range zoneEntries {
		e := &zoneEntry{
			zones: zone.NewState(), inflight: choice.NewInflight(), affinity: choice.NewAffinity(),
			retries: limit.NewRetryBudget(), admission: limit.NewAdmission(), waiting: map[string]zoneRequest{},
		}
		r.entries = append(r.entries, e)
		r.updateView(e)
	}
	return r
}

// updateView applies the tables that are in force now to an entry.
func (r *zoneRun) updateView(e *zoneEntry) {
	t := &table.Tables{Pools: map[string]table.Pool{choicePool: {ColdWindow: coldSlots, FullWindow: zoneSlots}}, Zones: map[string]table.Location{}}
	for name, out := range r.zonesOut {
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

// setZoneOut publishes whether a zone is out; each entry applies the change within maxTableDelay.
// If the zone is put back, its engines are cold.
func (r *zoneRun) setZoneOut(name string, out bool) {
	r.zonesOut[name] = out
	for _, e := range r.entries {
		r.after(clock.Millis(r.rng.IntN(int(maxTableDelay))), func() { r.updateView(e) })
	}
	for _, x := range r.replicas {
		if x.vm.Zone == name && !out {
			x.makeCold()
		}
	}
}

func (r *zoneRun) generateRequests() {
	perMilli := r.loadRatio * zoneReplicas * zoneSlots / float64(zoneServiceTime+warmFirstToken)
	for range poisson(r.rng, perMilli) {
		r.arrive(r.entries[r.rng.IntN(len(r.entries))])
	}
	r.after(1, r.generateRequests)
}

func (r *zoneRun) arrive(e *zoneEntry) {
	r.requests++
	q := zoneRequest{item: limit.Item{ID: fmt.Sprint(r.requests), Weight: 1, Deadline: r.now + zoneTimeout}, arrivedAt: r.now, seed: r.rng.Uint64()}
	e.retries.RecordRequest()
	v, _, dropped := e.admission.Arrive(r.now, q.item)
	r.dropWaiting(e, dropped)
	switch v {
	case limit.Start:
		r.try(e, q, map[string]bool{})
	case limit.Wait:
		e.waiting[q.item.ID] = q
	default:
		r.countRefused(1)
	}
}

func (r *zoneRun) dropWaiting(e *zoneEntry, items []limit.Item) {
	for _, it := range items {
		delete(e.waiting, it.ID)
		r.countRefused(1)
	}
}

func (r *zoneRun) countRefused(refused int) {
	if r.measuring {
		r.refused += refused
	}
}

// try makes an attempt and retries it if it is refused, as the entry does.
func (r *zoneRun) try(e *zoneEntry, q zoneRequest, avoid map[string]bool) {
	vm, ok := choice.SelectEndpoint(e.view, e.inflight, e.affinity, choice.Query{Pools: []string{choicePool}, Avoid: avoid, Seed: q.seed, Now: r.now})
	if !ok || len(avoid) == maxRetries+1 || len(avoid) > 0 && !e.retries.TryRetry() {
		r.countRefused(1)
		r.release(e, limit.Refused)
		return
	}
	x := r.byVM[vm.ID]
	e.inflight.Add(vm.ID, 1)
	r.after(hopDelayMillis, func() {
		if x.running < x.slots && !r.zonesOut[x.vm.Zone] {
			r.start(e, q, x)
			return
		}
		r.after(hopDelayMillis, func() {
			e.inflight.Add(vm.ID, -1)
			r.report(e, x)
			avoid[vm.ID] = true
			r.try(e, q, avoid)
		})
	})
}

func (r *zoneRun) start(e *zoneEntry, q zoneRequest, x *warmingReplica) {
	x.running++
	r.startWaiting(e, e.admission.Accepted)
	firstToken := warmFirstToken
	if x.served < requestsUntilWarm {
		firstToken = coldFirstToken
	}
	if r.measuring {
		r.firstTokenTimes = append(r.firstTokenTimes, r.now+firstToken-q.arrivedAt)
		r.servedByZone[x.vm.Zone]++
	}
	r.after(firstToken+zoneServiceTime, func() {
		x.running--
		x.served++
		x.slots = min(x.slots+1, zoneSlots)
		e.inflight.Add(x.vm.ID, -1)
		r.report(e, x)
		r.release(e, limit.Served)
	})
}

func (r *zoneRun) report(e *zoneEntry, x *warmingReplica) {
	l := &wire.Load{Vm: x.vm.ID, Held: int32(x.running), Window: int32(x.slots)}
	e.inflight.RecordLoad(l, r.now)
}

func (r *zoneRun) release(e *zoneEntry, o limit.Outcome) {
	r.startWaiting(e, func(now clock.Millis) (started, expired []limit.Item) { return e.admission.Release(now, o) })
}

func (r *zoneRun) startWaiting(e *zoneEntry, update func(clock.Millis) (started, expired []limit.Item)) {
	started, expired := update(r.now)
	r.dropWaiting(e, expired)
	for _, it := range started {
		q := e.waiting[it.ID]
		delete(e.waiting, it.ID)
		r.try(e, q, map[string]bool{})
	}
}

// timeToSteady simulates until endAt. It returns the time from startAt to the end of the first
// second in which the zone got at least 90% of its even share of the requests, or endAt-startAt if
// there is no such second.
func (r *zoneRun) timeToSteady(name string, startAt, endAt clock.Millis) clock.Millis {
	const minShareRatio = 0.9
	for at := startAt; at < endAt; at += clock.Second {
		before := r.servedCounts()
		r.runUntil(at + clock.Second)
		total, zoneTotal := 0, r.servedByZone[name]-before[name]
		for z, n := range r.servedByZone {
			total += n - before[z]
		}
		if float64(zoneTotal) >= minShareRatio*float64(total)/zoneCount {
			r.runUntil(endAt)
			return at + clock.Second - startAt
		}
	}
	return endAt - startAt
}

func (r *zoneRun) servedCounts() map[string]int {
	totals := make(map[string]int)
	for z, n := range r.servedByZone {
		totals[z] = n
	}
	return totals
}

func (r *zoneRun) startMeasuring() {
	r.measuring = true
	r.refused = 0
	r.firstTokenTimes = nil
}

func (r *zoneRun) figures(prefix string) []Figure {
	slices.Sort(r.firstTokenTimes)
	return []Figure{
		{prefix + "refused", float64(r.refused)},
		{prefix + "first-token-p95-ms", float64(quantile(r.firstTokenTimes, 0.95))},
		{prefix + "first-token-p99-ms", float64(quantile(r.firstTokenTimes, 0.99))},
	}
}

// benchZone measures refusals and the time to the first token when a zone is taken out, when it is
// put back, and when two of the three zones flap, that is, are taken out and put back again and
// again. It also measures the time until a zone that was put back has its share of the requests.
func benchZone() (out []Figure) {
	for _, ramp := range []bool{true, false} {
		name := map[bool]string{true: "ours", false: "no-ramp"}[ramp]
		r := newZoneRun(ramp, zoneLoadRatio)
		r.generateRequests()
		r.runUntil(15 * clock.Second)
		r.startMeasuring()
		r.setZoneOut("zone-0", true)
		r.runUntil(35 * clock.Second)
		out = append(out, r.figures("zone/leave/"+name+"/")...)
		r.startMeasuring()
		r.setZoneOut("zone-0", false)
		steady := r.timeToSteady("zone-0", r.now, r.now+40*clock.Second)
		out = append(out, r.figures("zone/return/"+name+"/")...)
		out = append(out, Figure{"zone/return/" + name + "/steady-after-ms", float64(steady)})
		f := newZoneRun(ramp, flapLoadRatio)
		f.generateRequests()
		f.runUntil(15 * clock.Second)
		f.startMeasuring()
		for i := range 6 {
			flapping := fmt.Sprintf("zone-%d", i%2)
			f.setZoneOut(flapping, true)
			f.runUntil(f.now + 5*clock.Second)
			f.setZoneOut(flapping, false)
			f.runUntil(f.now + 5*clock.Second)
		}
		out = append(out, f.figures("zone/flap/"+name+"/")...)
	}
	return out
}
