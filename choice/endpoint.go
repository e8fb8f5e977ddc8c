package choice

import (
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/table"
	"github.com/parsleydeal/parsleydeal/view"
)

// affinitySlack is by how much the load of an endpoint that is preferred for its cached session or
// prefix may exceed the load of the endpoint selected otherwise. Loads are fractions of an
// endpoint's window, its number of slots.
const affinitySlack = 0.5

// Query describes the request that SelectEndpoint selects an endpoint for.
type Query struct {
	// Pools are the names of the pools that may serve the request.
	Pools []string
	// Avoid holds the IDs of VMs that this request has already tried.
	Avoid map[string]bool
	// Seed is a random number by which the endpoints to compare are drawn, and which decides
	// whether the request may go to a zone that is ramping up.
	Seed uint64
	Now  clock.Millis
	// SessionVM is the ID of the VM that last served the session, and Prefix the hash of the
	// prompt's prefix; "" and 0 if there is none.
	SessionVM string
	Prefix    uint64
}

// candidate is an endpoint that may receive new work.
type candidate struct {
	vm provider.VM
	// coldWindow is the window assumed for an endpoint that has not reported one.
	coldWindow int
	// controlLoad is the last load report that control received, or nil.
	controlLoad *wire.Load
	// suspected is true if recent calls to the VM failed.
	suspected bool
}

func newCandidate(v *view.View, pool table.Pool, vm provider.VM) candidate {
	return candidate{vm: vm, coldWindow: pool.ColdWindow, controlLoad: v.Members().Load(vm.ID), suspected: v.Members().Suspected(vm.ID)}
}

// SelectEndpoint selects the endpoint of a request; ok is false if there is none. It draws two
// endpoints at random and takes the less loaded one. If that one is full, it takes the least
// loaded endpoint of all, including those of zones that are ramping up. The endpoint that last
// served the session, or else the one that last ran the prefix, takes precedence unless it is full
// or its load is higher by more than affinitySlack. Only two endpoints are compared because loads
// are known with a delay: comparing all, every entry would send to the same least loaded endpoint
// at once.
func SelectEndpoint(v *view.View, f *Inflight, a *Affinity, q Query) (vm provider.VM, ok bool) {
	all := candidates(v, q)
	if len(all) == 0 {
		return vm, false
	}
	best, load := lessLoadedOfTwo(all, f, q)
	if load >= 1 {
		best, load = leastLoaded(append(all, rampingCandidates(v, q)...), f, q.Now)
	}
	for _, id := range [...]string{q.SessionVM, a.findPrefix(q)} {
		preferred, found := findCandidate(v, q, id)
		if !found {
			continue
		}
		if preferredLoad := comparedLoad(preferred, f, q.Now); preferredLoad < 1 && preferredLoad <= load+affinitySlack {
			best = preferred
			break
		}
	}
	if q.Prefix != 0 {
		a.RecordUse(q.Prefix, best.vm.ID, q.Now)
	}
	return best.vm, true
}

func (a *Affinity) findPrefix(q Query) string {
	if q.Prefix == 0 {
		return ""
	}
	return a.Find(q.Prefix, q.Now)
}

// comparedLoad returns the load by which candidates are compared; 1 is full. It is infinite for an
// endpoint that could not be reached recently, so that all others come before it.
func comparedLoad(c candidate, f *Inflight, now clock.Millis) float64 {
	if c.suspected {
		return math.Inf(1)
	}
	load, ok := f.load(c.vm.ID, c.coldWindow, c.controlLoad, now)
	if !ok {
		return math.Inf(1)
	}
	return load
}

func lessLoadedOfTwo(all []candidate, f *Inflight, q Query) (best candidate, load float64) {
	n := uint64(len(all))
	first := mix(q.Seed) % n
	second := (first + 1 + mix(q.Seed+1)%max(n-1, 1)) % n
	a, b := all[first], all[second]
	la, lb := comparedLoad(a, f, q.Now), comparedLoad(b, f, q.Now)
	if lb < la {
		return b, lb
	}
	return a, la
}

func leastLoaded(all []candidate, f *Inflight, now clock.Millis) (best candidate, load float64) {
	best, load = all[0], math.Inf(1)
	for _, c := range all {
		if l := comparedLoad(c, f, now); l < load {
			best, load = c, l
		}
	}
	return best, load
}

// findCandidate returns the endpoint on a VM if it is usable. The endpoint may be outside this
// entry's subsets, since the load balancer may move a session from another entry to this one.
func findCandidate(v *view.View, q Query, id string) (c candidate, found bool) {
	if id == "" || q.Avoid[id] {
		return c, false
	}
	for _, name := range q.Pools {
		pool := v.Tables().Pools[name]
		for _, vm := range v.Members().Pool(name) {
			if vm.ID == id {
				return newCandidate(v, pool, vm), usable(v, pool, vm) && !v.Members().Suspected(id) && inZoneShare(v, vm.Zone, q)
			}
		}
	}
	return c, false
}

// candidates lists the endpoints of the entry's subsets that may receive new work. If there are
// none, it widens the search, first to the full pools, then to zones that are ramping up even if
// the request is not within their share.
//
// Suspected endpoints are included only if nothing else is left. A stall of this process or its
// network makes all endpoints suspected at once, and refusing every request until the suspicion
// expires would turn a short stall into an outage.
func candidates(v *view.View, q Query) (all []candidate) {
	for _, scope := range [...]searchScope{{}, {wholePool: true}, {wholePool: true, rampingZones: true}, {wholePool: true, rampingZones: true, suspectedVMs: true}} {
		for _, name := range q.Pools {
			all = appendCandidates(all, v, name, q, scope)
		}
		if len(all) > 0 {
			break
		}
	}
	return all
}

// searchScope limits the search for endpoints. The zero value is the narrowest.
type searchScope struct {
	// wholePool includes endpoints outside the entry's subsets.
	wholePool bool
	// rampingZones includes zones that are ramping up even if the request is not within their
	// share.
	rampingZones bool
	// suspectedVMs includes endpoints to which recent calls failed.
	suspectedVMs bool
}

// rampingCandidates lists the endpoints of the subsets in all zones, including zones that are
// ramping up. It is used if the drawn endpoints are full: limiting the share of a ramping zone
// would then overload the other zones, and the gates of the ramping endpoints limit what they
// accept.
func rampingCandidates(v *view.View, q Query) (all []candidate) {
	for _, name := range q.Pools {
		all = appendCandidates(all, v, name, q, searchScope{rampingZones: true})
	}
	return all
}

// inZoneShare reports whether a request may go to a zone. While the zone is ramping up, only a
// fraction of the requests may; a hash of the request's seed decides.
func inZoneShare(v *view.View, zone string, q Query) bool {
	const resolution = 1 << 53
	draw := float64(mix(q.Seed^xxhash.Sum64String(zone))>>11) / resolution
	return draw < v.Zones().Fraction(zone, q.Now)
}

// appendCandidates appends the endpoints of a pool that are within the scope. Only the first
// attempt of a request is limited by the share of a ramping zone.
func appendCandidates(all []candidate, v *view.View, name string, q Query, scope searchScope) []candidate {
	pool := v.Tables().Pools[name]
	for _, vm := range v.Subset(name, scope.wholePool) {
		switch {
		case q.Avoid[vm.ID], !usable(v, pool, vm):
		case !scope.suspectedVMs && v.Members().Suspected(vm.ID):
		case !scope.rampingZones && len(q.Avoid) == 0 && !inZoneShare(v, vm.Zone, q):
		default:
			all = append(all, newCandidate(v, pool, vm))
		}
	}
	return all
}

func usable(v *view.View, pool table.Pool, vm provider.VM) bool {
	t := v.Tables()
	if t.ZoneOut(vm.Zone) || t.VMOut(vm.ID) || v.Members().Leaving(vm) {
		return false
	}
	return pool.InZone(vm.Zone)
}
