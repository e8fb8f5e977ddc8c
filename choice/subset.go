package choice

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/platform"
)

const (
	// subsetSize is how many endpoints of a pool an entry works with. Smaller
	// pools are used whole.
	subsetSize = 24
	// nearPart is the part of a subset taken from the entry's own zone first;
	// the rest lies elsewhere, so that a lost zone leaves some at once.
	nearPart = 0.75
	// slack is how far above the mean an endpoint's share of entries may lie. More
	// moves less when the list changes, but loads the endpoints less evenly, and
	// that measured worse.
	slack = 1.0
)

// Subsets gives each entry the endpoints of a pool that it works with. Every
// process computes the same from the same VM list. Entries choose in the order
// of their hash; each takes the endpoints that its own hashes rank first, those
// of its zone before others, and passes over endpoints that have their share of
// entries already. So the load is balanced, and a VM that comes or goes moves
// little beside its own places.
func Subsets(entries, pool []platform.VM) map[string][]platform.VM {
	out := make(map[string][]platform.VM, len(entries))
	if len(pool) <= subsetSize {
		for _, e := range entries {
			out[e.ID] = pool
		}
		return out
	}
	order := slices.Clone(entries)
	slices.SortFunc(order, func(a, b platform.VM) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), strings.Compare(a.ID, b.ID))
	})
	most := int(math.Ceil(slack * float64(len(entries)*subsetSize) / float64(len(pool))))
	taken := make(map[string]int, len(pool))
	for i, e := range order {
		out[e.ID] = take(e, pool, taken, most, len(order)-i)
	}
	return out
}

// earliest is how far below its share an endpoint of a pool may end. The more,
// the fewer places are given against the order of hashes: at 1 everywhere, the
// p99 of the first token with 30 entries (bench choice) rose from 721 to
// 820 ms. In a small pool the entries' choices overlap most, and it must be 1.
func earliest(pool int) int {
	if pool < 2*subsetSize {
		return 1
	}
	return 2
}

type ranked struct {
	vm    platform.VM
	score uint64
}

// take gives an entry its subset; left counts the entries that have none yet,
// this one included. An endpoint that lacks more entries than are left must be
// taken by each of them. Were it passed over, the last entries would find too
// few endpoints below their share and crowd on those that have theirs.
func take(entry platform.VM, pool []platform.VM, taken map[string]int, most, left int) (out []platform.VM) {
	var near, far []ranked
	h := xxhash.Sum64String(entry.ID)
	for _, vm := range pool {
		r := ranked{vm, mix(h ^ xxhash.Sum64String(vm.ID))}
		if vm.Zone == entry.Zone {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	byScore := func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.vm.ID, b.vm.ID))
	}
	slices.SortFunc(near, byScore)
	slices.SortFunc(far, byScore)
	const nearest = int(subsetSize * nearPart)
	early := earliest(len(pool))
	notDue := func(r ranked) bool { return most-early-taken[r.vm.ID] < left }
	out = fill(out, slices.DeleteFunc(slices.Clone(near), notDue), nearest, taken, most)
	out = fill(out, slices.DeleteFunc(slices.Clone(far), notDue), subsetSize, taken, most)
	out = fill(out, near, nearest, taken, most)
	out = fill(out, far, subsetSize, taken, most)
	out = fill(out, near, subsetSize, taken, most)
	rest := append(slices.Clone(near), far...)
	slices.SortStableFunc(rest, func(a, b ranked) int { return cmp.Compare(taken[a.vm.ID], taken[b.vm.ID]) })
	return fill(out, rest, subsetSize, taken, len(pool)*subsetSize)
}

// fill takes endpoints in order until the subset has a size.
func fill(out []platform.VM, from []ranked, size int, taken map[string]int, most int) []platform.VM {
	for _, r := range from {
		if len(out) >= size {
			break
		}
		if taken[r.vm.ID] >= most || slices.ContainsFunc(out, func(v platform.VM) bool { return v.ID == r.vm.ID }) {
			continue
		}
		taken[r.vm.ID]++
		out = append(out, r.vm)
	}
	return out
}

// mix spreads the bits of a number.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// SubsetsOf returns the subsets of one entry by pool; nil when the VM is no
// entry of the list.
func SubsetsOf(self string, vms []platform.VM) map[string][]platform.VM {
	var entries []platform.VM
	pools := make(map[string][]platform.VM)
	for _, vm := range vms {
		if vm.Role == platform.EntryRole {
			entries = append(entries, vm)
		} else {
			pools[vm.Pool] = append(pools[vm.Pool], vm)
		}
	}
	if !slices.ContainsFunc(entries, func(v platform.VM) bool { return v.ID == self }) {
		return nil
	}
	out := make(map[string][]platform.VM, len(pools))
	for name, pool := range pools {
		out[name] = Subsets(entries, pool)[self]
	}
	return out
}
