package evidence

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/table"
)

// JudgeCount is the number of judges of a version, which are the processes that sum its outcome
// counts. One of them decides on holds; the others take over if it is unreachable.
const JudgeCount = 3

// Judges returns the IDs of the VMs whose processes judge a version, in the order in which they
// take over from each other. All versions of a model have the same judges, since they are compared
// with each other. Every process derives the same judges from the same VM list. While lists
// differ, more processes judge a version, which is harmless.
func Judges(vms []provider.VM, version string) (out []string) {
	model, _, _ := table.SplitVersion(version)
	type ranked struct {
		id    string
		score uint64
	}
	var all []ranked
	for _, vm := range vms {
		if vm.Role == provider.EntryRole && !vm.Leaving {
			all = append(all, ranked{vm.ID, xxhash.Sum64String(vm.ID + "/" + model)})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.id, b.id))
	})
	for _, r := range all[:min(JudgeCount, len(all))] {
		out = append(out, r.id)
	}
	return out
}
