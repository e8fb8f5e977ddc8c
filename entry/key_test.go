package entry

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/choice"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/membership"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/table"
	"github.com/parsleydeal/parsleydeal/view"
)

// A caller's entry fails, and the caller retries at an entry that uses a different subset of a
// large pool. If the retry went to an endpoint of that subset, the request would run a second time
// in parallel. Both entries must derive the same endpoint, and different keys must spread over the
// pool.
func TestKeyedRequestHasOnePreferredEndpoint(t *testing.T) {
	is := is.New(t)
	var vms []provider.VM
	for i := range 100 {
		vms = append(vms, provider.VM{ID: fmt.Sprintf("endpoint-%d", i), Role: provider.EndpointRole, Pool: "p", Zone: "a"})
	}
	tables := &table.Tables{
		Versions: map[string]table.Version{"m@1": {}},
		Pools:    map[string]table.Pool{"p": {Versions: []string{"m@1"}, ColdWindow: 4, FullWindow: 8}},
	}
	endpointFor := func(subset []provider.VM, key string) string {
		s := membership.New("entry")
		s.Reduce(event.VMsListed{VMs: vms})
		v := view.New(tables, 0, 0, s.Members(), false).WithSubsets(map[string][]provider.VM{"p": subset})
		req := &requestState{id: keyedRequestID("desk", "quick", key, []byte("body")), key: key, version: "m@1", view: v}
		vm, ok := choice.SelectEndpoint(v, choice.NewInflight(), choice.NewAffinity(), choice.Query{Pools: req.pools(), SessionVM: req.preferredEndpoint()})
		is.True(ok)
		return vm.ID
	}
	selected := map[string]bool{}
	for i := range 40 {
		key := fmt.Sprint("key-", i)
		vmID := endpointFor(vms[:24], key)
		is.Equal(endpointFor(vms[50:74], key), vmID)
		selected[vmID] = true
	}
	is.True(len(selected) > 20)
	is.True(keyedRequestID("desk", "quick", "k", []byte("a")) != keyedRequestID("court", "quick", "k", []byte("a"))) // keys are scoped to an organisation
	is.True(keyedRequestID("desk", "quick", "k", []byte("a")) != keyedRequestID("desk", "quick", "k", []byte("b")))
}
