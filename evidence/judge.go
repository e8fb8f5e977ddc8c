package evidence

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/table"
)

// JudgeCount is how many processes sum the evidence on a version: one judges,
// the others step in when it is gone.
const JudgeCount = 3

// Judges names the VMs to which counts on a version go, in the order in which
// they act. All versions of a model have the same ones, since they are compared
// with each other. Every process computes the same ones from the same VM list; with
// lists that differ for a while more processes judge, which does no harm.
func Judges(vms []provider.VM, version string) (out []string) {
	model, _, _ := table.SplitVersion(version)
	type ranked struct {
		id    string
		score uint64
	}
	var all []ranked
	for _, v := range vms {
		if v.Role == provider.EntryRole && !v.Leaving {
			all = append(all, ranked{v.ID, xxhash.Sum64String(v.ID + "/" + model)})
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
