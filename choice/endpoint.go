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

// affinitySlack is how much fuller, in parts of its window, an endpoint may be
// that probably has the prompt's prefix in its cache.
const affinitySlack = 0.5

// Query asks for an endpoint.
type Query struct {
	// Pools are the names of the pools that may serve.
	Pools []string
	// Avoid holds VMs that this request has tried.
	Avoid map[string]bool
	// Seed draws the endpoints that are compared.
	Seed uint64
	Now  clock.Millis
	// SessionVM is the VM that ran the session before, and Prefix names the prompt's
	// prefix; "" and 0 when there is none.
	SessionVM string
	Prefix    uint64
}

// open is an endpoint that may receive new work.
type open struct {
	vm provider.VM
	// window is what an endpoint is taken to hold before its own word came.
	window int
	// heard is its word by way of control, or nil.
	heard *wire.Load
	// suspected says that control could not reach it lately.
	suspected bool
}

func openOf(v *view.View, pool table.Pool, vm provider.VM) open {
	return open{vm: vm, window: pool.ColdWindow, heard: v.Members().Load(vm.ID), suspected: v.Members().Suspected(vm.ID)}
}

// SelectEndpoint picks the endpoint of a request: its session's home, or the one that
// ran its prefix last, unless that is much fuller than the emptier of two drawn
// by the seed; else that one. Two drawn ones are compared rather than all, since
// loads are known late: all entries would rush to the same emptiest endpoint.
func SelectEndpoint(v *view.View, f *Inflight, a *Affinity, q Query) (vm provider.VM, ok bool) {
	all := candidates(v, q)
	if len(all) == 0 {
		return vm, false
	}
	best, load := drawTwo(all, f, q)
	if load >= 1 {
		best, load = emptiest(append(all, reachable(v, q)...), f, q.Now)
	}
	for _, id := range [...]string{q.SessionVM, a.find(q)} {
		kept, found := find(v, q, id)
		if !found {
			continue
		}
		if part := loadOf(kept, f, q.Now); part < 1 && part <= load+affinitySlack {
			best = kept
			break
		}
	}
	if q.Prefix != 0 {
		a.RecordUse(q.Prefix, best.vm.ID, q.Now)
	}
	return best.vm, true
}

func (a *Affinity) find(q Query) string {
	if q.Prefix == 0 {
		return ""
	}
	return a.Find(q.Prefix, q.Now)
}

// loadOf is the load by which endpoints are compared; one that could not be
// reached lately comes after all others.
func loadOf(o open, f *Inflight, now clock.Millis) float64 {
	if o.suspected {
		return math.Inf(1)
	}
	part, ok := f.load(o.vm.ID, o.window, o.heard, now)
	if !ok {
		return math.Inf(1)
	}
	return part
}

func drawTwo(all []open, f *Inflight, q Query) (best open, load float64) {
	n := uint64(len(all))
	first := mix(q.Seed) % n
	second := (first + 1 + mix(q.Seed+1)%max(n-1, 1)) % n
	a, b := all[first], all[second]
	la, lb := loadOf(a, f, q.Now), loadOf(b, f, q.Now)
	if lb < la {
		return b, lb
	}
	return a, la
}

func emptiest(all []open, f *Inflight, now clock.Millis) (best open, load float64) {
	best, load = all[0], math.Inf(1)
	for _, o := range all {
		if part := loadOf(o, f, now); part < load {
			best, load = o, part
		}
	}
	return best, load
}

// find returns a usable endpoint by its VM, also one outside the subset: the
// balancer may hand a session from entry to entry.
func find(v *view.View, q Query, id string) (o open, found bool) {
	if id == "" || q.Avoid[id] {
		return o, false
	}
	for _, name := range q.Pools {
		pool := v.Tables().Pools[name]
		for _, vm := range v.Members().Pool(name) {
			if vm.ID == id {
				return openOf(v, pool, vm), usable(v, pool, vm) && !v.Members().Suspected(id) && inShare(v, vm.Zone, q)
			}
		}
	}
	return o, false
}

// candidates lists the endpoints of the entry's subsets that may receive new
// work; when there are none, those of the whole pools, and then also those of
// zones that came back and whose share the request is not in.
//
// Endpoints that could not be reached lately come last of all. When nothing else
// is left they are asked all the same: a stall of this process or its network
// makes all of them suspected at once, and refusing every request until the
// suspicion lapses would turn a moment's stall into an outage.
func candidates(v *view.View, q Query) (all []open) {
	for _, r := range [...]reach{{}, {whole: true}, {whole: true, ramping: true}, {whole: true, ramping: true, suspected: true}} {
		for _, name := range q.Pools {
			all = usables(all, v, name, q, r)
		}
		if len(all) > 0 {
			break
		}
	}
	return all
}

// reach says how far to look for endpoints.
type reach struct {
	// whole looks beyond the entry's subsets.
	whole bool
	// ramping takes zones that came back in which the request has no share.
	ramping bool
	// suspected takes endpoints that could not be reached lately.
	suspected bool
}

// reachable lists the endpoints of the subsets in all zones. When the drawn ones
// are full, holding work back from a zone that came back would overrun those
// that stayed; its gates say what it can take.
func reachable(v *view.View, q Query) (all []open) {
	for _, name := range q.Pools {
		all = usables(all, v, name, q, reach{ramping: true})
	}
	return all
}

// inShare reports whether a request may go to a zone that came back: it does
// when its draw for that zone lies within the part the zone gets by now.
func inShare(v *view.View, zone string, q Query) bool {
	const fraction = 1 << 53
	draw := float64(mix(q.Seed^xxhash.Sum64String(zone))>>11) / fraction
	return draw < v.Zones().Fraction(zone, q.Now)
}

func usables(all []open, v *view.View, name string, q Query, r reach) []open {
	pool := v.Tables().Pools[name]
	for _, vm := range v.Subset(name, r.whole) {
		switch {
		case q.Avoid[vm.ID], !usable(v, pool, vm):
		case !r.suspected && v.Members().Suspected(vm.ID):
		case !r.ramping && len(q.Avoid) == 0 && !inShare(v, vm.Zone, q):
		default:
			all = append(all, openOf(v, pool, vm))
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
