package choice

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/platform"
	"github.com/parsleydeal/parsleydeal/table"
	"github.com/parsleydeal/parsleydeal/view"
)

// Inflight counts this process's own requests by VM.
type Inflight struct {
	mu sync.Mutex
	// counts holds only VMs with requests in flight.
	counts map[string]int
}

// NewInflight makes an empty count.
func NewInflight() *Inflight {
	return &Inflight{counts: make(map[string]int)}
}

// Add counts one request more (1) or less (-1).
func (f *Inflight) Add(vm string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[vm] += n
	if f.counts[vm] == 0 {
		delete(f.counts, vm)
	}
}

// Count returns the requests in flight to a VM.
func (f *Inflight) Count(vm string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[vm]
}

// Query asks for an endpoint.
type Query struct {
	// Pools are the names of the pools that may serve.
	Pools []string
	// Avoid holds VMs that this request has tried.
	Avoid map[string]bool
	// Seed decides between equals.
	Seed uint64
}

// Endpoint picks the less loaded of two endpoints drawn from those that may
// receive new work.
func Endpoint(v *view.View, f *Inflight, q Query) (vm platform.VM, ok bool) {
	open := candidates(v, q)
	if len(open) == 0 {
		return vm, false
	}
	n := uint64(len(open))
	a := open[q.Seed%n]
	b := open[xxhash.Sum64String(a.ID+"/"+string(rune(q.Seed%n)))%n]
	if f.Count(b.ID) < f.Count(a.ID) {
		return b, true
	}
	return a, true
}

func candidates(v *view.View, q Query) (open []platform.VM) {
	t := v.Tables()
	for _, name := range q.Pools {
		pool := t.Pools[name]
		for _, vm := range v.Members().Pool(name) {
			if usable(v, pool, vm) && !q.Avoid[vm.ID] {
				open = append(open, vm)
			}
		}
	}
	return open
}

func usable(v *view.View, pool table.Pool, vm platform.VM) bool {
	t := v.Tables()
	if t.ZoneOut(vm.Zone) || t.VMOut(vm.ID) || v.Members().Leaving(vm) || v.Members().Suspected(vm.ID) {
		return false
	}
	return pool.InZone(vm.Zone)
}
