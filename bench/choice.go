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
	replicaSlots      = 16
	replicaCacheSize  = 48 // prefixes that an engine caches
	uncachedPrefill   = 250 * clock.Millis(1)
	cachedPrefill     = 40 * clock.Millis(1)
	decodeDuration    = 1800 * clock.Millis(1)
	choiceLoadRatio   = 0.7 // fraction of all slots in use on average
	sessionsPerSlot   = 2
	choiceZones       = 4
	choicePool        = "pool"
	hopDelayMillis    = 1
	replicaQueueLimit = 2 // requests that may wait at a gate for a slot
	maxRetries        = 3 // attempts per request after the first
)

// choicePolicy is the rule by which an entry selects the replica for a request.
type choicePolicy int

const (
	productionPolicy choicePolicy = iota
	randomPolicy
	roundRobinPolicy
	leastReportedPolicy
)

func (p choicePolicy) String() string {
	return [...]string{"ours", "random", "round-robin", "least-reported"}[p]
}

func (p choicePolicy) usesReports() bool { return p == productionPolicy || p == leastReportedPolicy }

// replica is one engine with its batch and its prefix cache.
type replica struct {
	vm        provider.VM
	running   int
	queue     []func()
	lru       *list.List
	prefixes  map[int]*list.Element
	served    int
	reportSeq uint64
}

// usePrefix marks prefix as the most recently used, caches it if needed and reports a cache hit.
func (r *replica) usePrefix(prefix int) (hit bool) {
	e, hit := r.prefixes[prefix]
	if hit {
		r.lru.MoveToFront(e)
		return true
	}
	r.prefixes[prefix] = r.lru.PushFront(prefix)
	if r.lru.Len() > replicaCacheSize {
		last := r.lru.Back()
		r.lru.Remove(last)
		delete(r.prefixes, last.Value.(int))
	}
	return false
}

// choiceEntry is one entry with the state from which it selects replicas.
type choiceEntry struct {
	view        *view.View
	inflight    *choice.Inflight
	affinity    *choice.Affinity
	retries     *limit.RetryBudget
	nextReplica int
	// reportedLoads holds the last reported load by replica; only leastReportedPolicy uses it.
	reportedLoads map[string]int
}

type choiceRun struct {
	scheduler
	rng       *rand.Rand
	policy    choicePolicy
	loadDelay clock.Millis
	entries   []*choiceEntry
	replicas  []*replica
	byVM      map[string]*replica
	// sessionVMs holds the last replica of each session, as carried in the callers' session tokens.
	sessionVMs      []string
	firstTokenTimes []clock.Millis
	cacheHits       int
	requests        int
	measureFrom     clock.Millis
	maxOutstanding  int
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

func newChoiceRun(p choicePolicy, entries, replicas int, loadDelay clock.Millis) *choiceRun {
	r := &choiceRun{rng: rand.New(rand.NewPCG(8, uint64(entries))), policy: p, loadDelay: loadDelay, byVM: map[string]*replica{}}
	vms := vmsOf(entries, replicas)
	members := membersOf(vms)
	tables := &table.Tables{Pools: map[string]table.Pool{choicePool: {ColdWindow: replicaSlots, FullWindow: replicaSlots}}}
	subsets := choice.Subsets(vms[:entries], vms[entries:])
	for _, vm := range vms[:entries] {
		v := view.New(tables, 0, 0, members, false).WithSubsets(map[string][]provider.VM{choicePool: subsets[vm.ID]})
		r.entries = append(r.entries, &choiceEntry{view: v, inflight: choice.NewInflight(), affinity: choice.NewAffinity(), retries: limit.NewRetryBudget(), reportedLoads: map[string]int{}})
	}
	for _, vm := range vms[entries:] {
		x := &replica{vm: vm, lru: list.New(), prefixes: map[int]*list.Element{}}
		r.replicas = append(r.replicas, x)
		r.byVM[vm.ID] = x
	}
	r.sessionVMs = make([]string, replicas*replicaSlots*sessionsPerSlot)
	return r
}

// measure simulates arriving requests for the given duration and measures only the requests of the
// second half.
func (r *choiceRun) measure(duration clock.Millis) {
	r.measureFrom = duration / 2
	perMilli := choiceLoadRatio * float64(len(r.replicas)*replicaSlots) / float64(decodeDuration+cachedPrefill)
	var step func()
	step = func() {
		for range poisson(r.rng, perMilli) {
			r.arrive()
		}
		r.after(1, step)
	}
	step()
	r.runUntil(duration)
}

func (r *choiceRun) arrive() {
	e := r.entries[r.rng.IntN(len(r.entries))]
	e.retries.RecordRequest()
	r.try(e, r.rng.IntN(len(r.sessionVMs)), r.now, nil)
}

// try sends a request to a replica. The gate of a replica refuses it if all slots and the short
// queue are taken, and the entry retries at another replica. If maxRetries or the entry's retry
// budget is used up, the gate queues the request instead.
func (r *choiceRun) try(e *choiceEntry, session int, arrivedAt clock.Millis, avoid map[string]bool) {
	x := r.byVM[r.selectReplica(e, session, avoid)]
	r.sessionVMs[session] = x.vm.ID
	e.inflight.Add(x.vm.ID, 1)
	r.after(hopDelayMillis, func() {
		if len(x.queue) < replicaQueueLimit || len(avoid) == maxRetries || !e.retries.TryRetry() {
			r.enqueue(e, x, session, arrivedAt)
			return
		}
		r.after(hopDelayMillis, func() {
			e.inflight.Add(x.vm.ID, -1)
			e.inflight.RecordLoad(&wire.Load{Vm: x.vm.ID, Held: int32(x.running + len(x.queue)), Window: replicaSlots}, r.now)
			next := maps.Clone(avoid)
			if next == nil {
				next = make(map[string]bool)
			}
			next[x.vm.ID] = true
			r.try(e, session, arrivedAt, next)
		})
	})
}

func (r *choiceRun) selectReplica(e *choiceEntry, session int, avoid map[string]bool) string {
	switch r.policy {
	case randomPolicy:
		return r.replicas[r.rng.IntN(len(r.replicas))].vm.ID
	case roundRobinPolicy:
		e.nextReplica++
		return r.replicas[e.nextReplica%len(r.replicas)].vm.ID
	case leastReportedPolicy:
		return r.leastReported(e)
	}
	vm, _ := choice.SelectEndpoint(e.view, e.inflight, e.affinity, choice.Query{
		Pools: []string{choicePool}, Seed: r.rng.Uint64(), Now: r.now, Avoid: avoid, SessionVM: r.sessionVMs[session], Prefix: uint64(session) + 1,
	})
	return vm.ID
}

func (r *choiceRun) leastReported(e *choiceEntry) string {
	best := r.replicas[0]
	offset := r.rng.IntN(len(r.replicas))
	minLoad := 1 << 30
	for i := range r.replicas {
		x := r.replicas[(offset+i)%len(r.replicas)]
		if n := e.reportedLoads[x.vm.ID]; n < minLoad {
			minLoad, best = n, x
		}
	}
	return best.vm.ID
}

func (r *choiceRun) enqueue(e *choiceEntry, x *replica, session int, arrivedAt clock.Millis) {
	start := func() { r.start(e, x, session, arrivedAt) }
	if x.running < replicaSlots {
		x.running++
		start()
		return
	}
	x.queue = append(x.queue, start)
}

func (r *choiceRun) start(e *choiceEntry, x *replica, session int, arrivedAt clock.Millis) {
	prefill := uncachedPrefill
	hit := x.usePrefix(session)
	if hit {
		prefill = cachedPrefill
	}
	// Each step takes longer with more requests in the batch.
	prefill += prefill * clock.Millis(x.running) / replicaSlots
	r.after(prefill, func() { r.recordFirstToken(x, hit, arrivedAt) })
	r.after(prefill+decodeDuration, func() { r.finish(e, x) })
}

func (r *choiceRun) recordFirstToken(x *replica, hit bool, arrivedAt clock.Millis) {
	if arrivedAt < r.measureFrom {
		return
	}
	r.requests++
	x.served++
	if hit {
		r.cacheHits++
	}
	r.firstTokenTimes = append(r.firstTokenTimes, r.now+hopDelayMillis-arrivedAt)
}

func (r *choiceRun) finish(e *choiceEntry, x *replica) {
	x.reportSeq++
	l := &wire.Load{Vm: x.vm.ID, Held: int32(x.running + len(x.queue)), Window: replicaSlots, Sequence: x.reportSeq}
	r.maxOutstanding = max(r.maxOutstanding, x.running+len(x.queue))
	x.running--
	if len(x.queue) > 0 {
		next := x.queue[0]
		x.queue = x.queue[1:]
		x.running++
		next()
	}
	r.after(hopDelayMillis, func() { e.inflight.Add(x.vm.ID, -1) })
	r.after(r.loadDelay, func() {
		e.inflight.RecordLoad(l, r.now)
		e.reportedLoads[x.vm.ID] = int(l.GetHeld())
	})
}

// figures returns the percentiles of the time to the first token, the cache hit rate, the balance (the
// requests of the busiest replica divided by the mean) and the largest number of outstanding requests
// at one replica.
func (r *choiceRun) figures(prefix string) []Figure {
	maxServed := 0
	for _, x := range r.replicas {
		maxServed = max(maxServed, x.served)
	}
	mean := float64(r.requests) / float64(len(r.replicas))
	slices.Sort(r.firstTokenTimes)
	return []Figure{
		{prefix + "first-token-p50-ms", float64(quantile(r.firstTokenTimes, 0.5))},
		{prefix + "first-token-p95-ms", float64(quantile(r.firstTokenTimes, 0.95))},
		{prefix + "first-token-p99-ms", float64(quantile(r.firstTokenTimes, 0.99))},
		{prefix + "hit-rate", float64(r.cacheHits) / float64(max(r.requests, 1))},
		{prefix + "balance", float64(maxServed) / mean},
		{prefix + "held-most", float64(r.maxOutstanding)},
	}
}

// benchChoice measures the selection of endpoints, and the balance and stability of subsets.
func benchChoice() (out []Figure) {
	sizes := []struct {
		entries, replicas int
		duration          clock.Millis
	}{{3, 20, 20 * clock.Second}, {30, 100, 10 * clock.Second}, {380, 1000, 5 * clock.Second}}
	for _, size := range sizes {
		for _, loadDelay := range []clock.Millis{100, 1000, 5000} {
			for p := productionPolicy; p <= leastReportedPolicy; p++ {
				if !p.usesReports() && loadDelay != 1000 || size.entries == 380 && (loadDelay == 100 || loadDelay == 5000 && p != productionPolicy || p == roundRobinPolicy) {
					continue
				}
				r := newChoiceRun(p, size.entries, size.replicas, loadDelay)
				r.measure(size.duration)
				out = append(out, r.figures(fmt.Sprintf("choice/%s/%d/late-%d/", p, size.entries, loadDelay))...)
			}
		}
	}
	return append(out, benchSubsets()...)
}

// benchSubsets measures how evenly the subsets cover the replicas, and which fraction of their members
// changes when one replica is added or one entry is removed.
func benchSubsets() (out []Figure) {
	const entries, replicas = 380, 1000
	vms := vmsOf(entries, replicas)
	before := choice.Subsets(vms[:entries], vms[entries:])
	counts := make(map[string]int)
	sameZone := 0
	for _, e := range vms[:entries] {
		for _, x := range before[e.ID] {
			counts[x.ID]++
			if x.Zone == e.Zone {
				sameZone++
			}
		}
	}
	maxCount, total := 0, 0
	for _, n := range counts {
		maxCount = max(maxCount, n)
		total += n
	}
	out = append(
		out,
		Figure{"choice/subset/busiest-against-mean", float64(maxCount) * replicas / float64(total)},
		Figure{"choice/subset/unused-replicas", float64(replicas - len(counts))},
		Figure{"choice/subset/near-part", float64(sameZone) / float64(total)},
	)
	more := slices.Clone(vms)
	more = append(more, provider.VM{ID: "replica-new", Role: provider.EndpointRole, Pool: choicePool, Zone: "zone-0"})
	out = append(out, Figure{"choice/subset/moved-by-a-replica-part", movedFraction(before, choice.Subsets(more[:entries], more[entries:]))})
	fewer := slices.Delete(slices.Clone(vms), 7, 8)
	return append(out, Figure{"choice/subset/moved-by-an-entry-part", movedFraction(before, choice.Subsets(fewer[:entries-1], fewer[entries-1:]))})
}

// movedFraction compares the subset of each entry in after with the same entry's subset in before.
// It returns the fraction of the members in after that are new.
func movedFraction(before, after map[string][]provider.VM) float64 {
	changed, total := 0, 0
	for id, now := range after {
		for _, vm := range now {
			total++
			if !slices.Contains(before[id], vm) {
				changed++
			}
		}
	}
	return float64(changed) / float64(total)
}
