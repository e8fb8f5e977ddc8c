package main

import (
	"container/list"
	"fmt"
	"maps"
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
)

const (
	replicaPlaces   = 16
	replicaCache    = 48 // prefixes an engine keeps
	prefillCold     = 250 * clock.Millis(1)
	prefillCached   = 40 * clock.Millis(1)
	decodeSpan      = 1800 * clock.Millis(1)
	choiceUse       = 0.7 // part of all places in use on average
	sessionsAPlace  = 2
	choiceZones     = 4
	choicePool      = "pool"
	choiceHopMillis = 1
	replicaQueue    = 2 // requests that may wait at a gate
	choiceTries     = 3 // tries after the first
)

// choicePolicy picks the replica of a request at an entry.
type choicePolicy int

const (
	oursPolicy choicePolicy = iota
	randomPolicy
	roundRobinPolicy
	leastReportedPolicy
)

func (p choicePolicy) String() string {
	return [...]string{"ours", "random", "round-robin", "least-reported"}[p]
}

func (p choicePolicy) usesReports() bool { return p == oursPolicy || p == leastReportedPolicy }

// replica is one engine with its batch and its cache of prefixes.
type replica struct {
	vm      provider.VM
	held    int
	queue   []func()
	order   *list.List
	prefix  map[int]*list.Element
	served  int
	reports uint64
}

func (r *replica) touch(prefix int) (hit bool) {
	e, hit := r.prefix[prefix]
	if hit {
		r.order.MoveToFront(e)
		return true
	}
	r.prefix[prefix] = r.order.PushFront(prefix)
	if r.order.Len() > replicaCache {
		last := r.order.Back()
		r.order.Remove(last)
		delete(r.prefix, last.Value.(int))
	}
	return false
}

// choiceEntry is one entry with what it knows.
type choiceEntry struct {
	view     *view.View
	inflight *choice.Inflight
	affinity *choice.Affinity
	retries  *limit.RetryBudget
	turn     int
	// reported serves the baseline only.
	reported map[string]int
}

type choiceRun struct {
	agenda
	rng      *rand.Rand
	policy   choicePolicy
	late     clock.Millis
	entries  []*choiceEntry
	replicas []*replica
	byVM     map[string]*replica
	// homes are the sessions' last replicas, which the callers' tokens tell.
	homes  []string
	firsts []clock.Millis
	hits   int
	asked  int
	from   clock.Millis
	most   int
}

func vmsOf(entries, replicas int) (vms []provider.VM) {
	zone := func(i int) string { return fmt.Sprintf("zone-%d", i%choiceZones) }
	for i := range entries {
		vms = append(vms, provider.VM{ID: fmt.Sprintf("entry-%03d", i), Role: provider.EntryRole, Zone: zone(i)})
	}
	for i := range replicas {
		vms = append(vms, provider.VM{ID: fmt.Sprintf("replica-%04d", i), Role: provider.EndpointRole, Pool: choicePool, Zone: zone(i)})
	}
	return vms
}

func membersOf(vms []provider.VM) *membership.Members {
	s := membership.New("test")
	s.Reduce(event.VMsListed{VMs: vms})
	return s.Members()
}

func newChoiceRun(p choicePolicy, entries, replicas int, late clock.Millis) *choiceRun {
	r := &choiceRun{rng: rand.New(rand.NewPCG(8, uint64(entries))), policy: p, late: late, byVM: map[string]*replica{}}
	vms := vmsOf(entries, replicas)
	members := membersOf(vms)
	tables := &table.Tables{Pools: map[string]table.Pool{choicePool: {ColdWindow: replicaPlaces, FullWindow: replicaPlaces}}}
	subsets := choice.Subsets(vms[:entries], vms[entries:])
	for _, vm := range vms[:entries] {
		v := view.New(tables, 0, 0, members, false).WithSubsets(map[string][]provider.VM{choicePool: subsets[vm.ID]})
		r.entries = append(r.entries, &choiceEntry{view: v, inflight: choice.NewInflight(), affinity: choice.NewAffinity(), retries: limit.NewRetryBudget(), reported: map[string]int{}})
	}
	for _, vm := range vms[entries:] {
		x := &replica{vm: vm, order: list.New(), prefix: map[int]*list.Element{}}
		r.replicas = append(r.replicas, x)
		r.byVM[vm.ID] = x
	}
	r.homes = make([]string, replicas*replicaPlaces*sessionsAPlace)
	return r
}

// go lets requests arrive for a span and measures the second half.
func (r *choiceRun) measure(span clock.Millis) {
	r.from = span / 2
	perMilli := choiceUse * float64(len(r.replicas)*replicaPlaces) / float64(decodeSpan+prefillCached)
	var step func()
	step = func() {
		for range poisson(r.rng, perMilli) {
			r.arrive()
		}
		r.after(1, step)
	}
	step()
	r.run(span)
}

func (r *choiceRun) arrive() {
	e := r.entries[r.rng.IntN(len(r.entries))]
	e.retries.RecordRequest()
	r.try(e, r.rng.IntN(len(r.homes)), r.now, nil)
}

// try sends a request. A gate that holds what its engine bears, and as much as
// may wait briefly, refuses; the entry's one retry budget bounds the tries.
func (r *choiceRun) try(e *choiceEntry, session int, asked clock.Millis, avoid map[string]bool) {
	x := r.byVM[r.pick(e, session, avoid)]
	r.homes[session] = x.vm.ID
	e.inflight.Add(x.vm.ID, 1)
	r.after(choiceHopMillis, func() {
		if len(x.queue) < replicaQueue || len(avoid) == choiceTries || !e.retries.TryRetry() {
			r.enqueue(e, x, session, asked)
			return
		}
		r.after(choiceHopMillis, func() {
			e.inflight.Add(x.vm.ID, -1)
			e.inflight.RecordLoad(&wire.Load{Vm: x.vm.ID, Held: int32(x.held + len(x.queue)), Window: replicaPlaces}, r.now)
			next := maps.Clone(avoid)
			if next == nil {
				next = make(map[string]bool)
			}
			next[x.vm.ID] = true
			r.try(e, session, asked, next)
		})
	})
}

func (r *choiceRun) pick(e *choiceEntry, session int, avoid map[string]bool) string {
	switch r.policy {
	case randomPolicy:
		return r.replicas[r.rng.IntN(len(r.replicas))].vm.ID
	case roundRobinPolicy:
		e.turn++
		return r.replicas[e.turn%len(r.replicas)].vm.ID
	case leastReportedPolicy:
		return r.leastReported(e)
	}
	vm, _ := choice.SelectEndpoint(e.view, e.inflight, e.affinity, choice.Query{
		Pools: []string{choicePool}, Seed: r.rng.Uint64(), Now: r.now, Avoid: avoid, SessionVM: r.homes[session], Prefix: uint64(session) + 1,
	})
	return vm.ID
}

func (r *choiceRun) leastReported(e *choiceEntry) string {
	best := r.replicas[0]
	from := r.rng.IntN(len(r.replicas))
	least := 1 << 30
	for i := range r.replicas {
		x := r.replicas[(from+i)%len(r.replicas)]
		if n := e.reported[x.vm.ID]; n < least {
			least, best = n, x
		}
	}
	return best.vm.ID
}

func (r *choiceRun) enqueue(e *choiceEntry, x *replica, session int, asked clock.Millis) {
	start := func() { r.start(e, x, session, asked) }
	if x.held < replicaPlaces {
		x.held++
		start()
		return
	}
	x.queue = append(x.queue, start)
}

func (r *choiceRun) start(e *choiceEntry, x *replica, session int, asked clock.Millis) {
	span := prefillCold
	hit := x.touch(session)
	if hit {
		span = prefillCached
	}
	// A fuller batch makes each step longer.
	span += span * clock.Millis(x.held) / replicaPlaces
	r.after(span, func() { r.first(x, hit, asked) })
	r.after(span+decodeSpan, func() { r.end(e, x) })
}

func (r *choiceRun) first(x *replica, hit bool, asked clock.Millis) {
	if asked < r.from {
		return
	}
	r.asked++
	x.served++
	if hit {
		r.hits++
	}
	r.firsts = append(r.firsts, r.now+choiceHopMillis-asked)
}

func (r *choiceRun) end(e *choiceEntry, x *replica) {
	x.reports++
	l := &wire.Load{Vm: x.vm.ID, Held: int32(x.held + len(x.queue)), Window: replicaPlaces, Sequence: x.reports}
	r.most = max(r.most, x.held+len(x.queue))
	x.held--
	if len(x.queue) > 0 {
		next := x.queue[0]
		x.queue = x.queue[1:]
		x.held++
		next()
	}
	r.after(choiceHopMillis, func() { e.inflight.Add(x.vm.ID, -1) })
	r.after(r.late, func() {
		e.inflight.RecordLoad(l, r.now)
		e.reported[x.vm.ID] = int(l.GetHeld())
	})
}

// figures gives the spans to the first token, the hit rate and the balance: the
// busiest replica's requests against the mean.
func (r *choiceRun) figures(prefix string) []Figure {
	most := 0
	for _, x := range r.replicas {
		most = max(most, x.served)
	}
	mean := float64(r.asked) / float64(len(r.replicas))
	slices.Sort(r.firsts)
	return []Figure{
		{prefix + "first-token-p50-ms", float64(percentile(r.firsts, 0.5))},
		{prefix + "first-token-p95-ms", float64(percentile(r.firsts, 0.95))},
		{prefix + "first-token-p99-ms", float64(percentile(r.firsts, 0.99))},
		{prefix + "hit-rate", float64(r.hits) / float64(max(r.asked, 1))},
		{prefix + "balance", float64(most) / mean},
		{prefix + "held-most", float64(r.most)},
	}
}

// benchChoice measures endpoint choice, and the balance and movement of subsets.
func benchChoice() (out []Figure) {
	sizes := []struct {
		entries, replicas int
		span              clock.Millis
	}{{3, 20, 20 * clock.Second}, {30, 100, 10 * clock.Second}, {380, 1000, 5 * clock.Second}}
	for _, size := range sizes {
		for _, late := range []clock.Millis{100, 1000, 5000} {
			for p := oursPolicy; p <= leastReportedPolicy; p++ {
				if !p.usesReports() && late != 1000 || size.entries == 380 && (late == 100 || late == 5000 && p != oursPolicy || p == roundRobinPolicy) {
					continue
				}
				r := newChoiceRun(p, size.entries, size.replicas, late)
				r.measure(size.span)
				out = append(out, r.figures(fmt.Sprintf("choice/%s/%d/late-%d/", p, size.entries, late))...)
			}
		}
	}
	return append(out, benchSubsets()...)
}

// benchSubsets measures how evenly subsets load the replicas and how many
// places move when one replica or one entry comes.
func benchSubsets() (out []Figure) {
	const entries, replicas = 380, 1000
	vms := vmsOf(entries, replicas)
	before := choice.Subsets(vms[:entries], vms[entries:])
	counts := make(map[string]int)
	near := 0
	for _, e := range vms[:entries] {
		for _, x := range before[e.ID] {
			counts[x.ID]++
			if x.Zone == e.Zone {
				near++
			}
		}
	}
	most, places := 0, 0
	for _, n := range counts {
		most = max(most, n)
		places += n
	}
	out = append(
		out,
		Figure{"choice/subset/busiest-against-mean", float64(most) * replicas / float64(places)},
		Figure{"choice/subset/unused-replicas", float64(replicas - len(counts))},
		Figure{"choice/subset/near-part", float64(near) / float64(places)},
	)
	more := slices.Clone(vms)
	more = append(more, provider.VM{ID: "replica-new", Role: provider.EndpointRole, Pool: choicePool, Zone: "zone-0"})
	out = append(out, Figure{"choice/subset/moved-by-a-replica-part", moved(before, choice.Subsets(more[:entries], more[entries:]))})
	fewer := slices.Delete(slices.Clone(vms), 7, 8)
	return append(out, Figure{"choice/subset/moved-by-an-entry-part", moved(before, choice.Subsets(fewer[:entries-1], fewer[entries-1:]))})
}

func moved(before, after map[string][]provider.VM) float64 {
	changed, places := 0, 0
	for id, now := range after {
		for _, vm := range now {
			places++
			if !slices.Contains(before[id], vm) {
				changed++
			}
		}
	}
	return float64(changed) / float64(places)
}
