package choice

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/provider"
)

const (
	// subsetSize is the number of endpoints of a pool that an entry sends to. Smaller pools are
	// used in full.
	subsetSize = 24
	// ownZoneRatio is the fraction of a subset that is taken from the entry's own zone first. The
	// rest is taken from other zones, so that endpoints are left at once if a zone fails.
	ownZoneRatio = 0.75
	// shareSlack is the maximum number of entries per endpoint (maxAssigned), as a multiple of the
	// mean. With a higher value, subsets change less when the list changes, but endpoints are
	// loaded less evenly.
	shareSlack = 1.0
)

// Subsets returns, by entry ID, the endpoints of a pool that the entry sends to. Every process
// computes the same subsets from the same VM list. Entries choose one after another, in the order
// of their hashes. Each takes the endpoints that rank first by a hash of entry and endpoint, those
// of its zone before others, and skips endpoints that already have maxAssigned entries. This
// balances the load, and adding or removing a VM changes few subsets.
func Subsets(entries, pool []provider.VM) map[string][]provider.VM {
	out := make(map[string][]provider.VM, len(entries))
	p := newAssigner(len(entries), pool)
	for i, e := range sortedByHash(entries) {
		out[e.ID] = p.endpoints(p.assign(e, len(entries)-i))
	}
	return out
}

// sortedByHash returns the entries sorted by the hash of their IDs.
func sortedByHash(entries []provider.VM) []provider.VM {
	order := slices.Clone(entries)
	slices.SortFunc(order, func(a, b provider.VM) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), strings.Compare(a.ID, b.ID))
	})
	return order
}

// maxShortfall returns by how many entries the number assigned to an endpoint may fall short of
// maxAssigned. With a lower value, more endpoints are assigned against the order of hashes: with 1
// for all pools and 30 entries, the p99 time to first token rises from 721 to 820 ms. In a small
// pool it must be 1, since the entries' choices overlap most there.
func maxShortfall(pool int) int {
	if pool < 2*subsetSize {
		return 1
	}
	return 2
}

// ranked is an endpoint, by its index in the pool, with its score for the current entry.
type ranked struct {
	score uint64
	index int32
}

// assigner assigns the endpoints of one pool to entries. It works on indices and reuses its slices,
// because at 380 entries and 13 pools a change of the VM list takes about 5,000 calls of assign.
type assigner struct {
	pool   []provider.VM
	hashes []uint64
	// assigned counts, by endpoint, the entries that it is assigned to. The count exceeds
	// maxAssigned only if the last entries find too few endpoints below it.
	assigned    []int
	maxAssigned int
	// selected marks the endpoints assigned to the current entry so far.
	selected                 []bool
	ownZone, otherZones, all []ranked
	result                   []int32
}

func newAssigner(entries int, pool []provider.VM) *assigner {
	p := &assigner{pool: pool, hashes: make([]uint64, len(pool)), assigned: make([]int, len(pool)), selected: make([]bool, len(pool))}
	for i, vm := range pool {
		p.hashes[i] = xxhash.Sum64String(vm.ID)
	}
	p.maxAssigned = int(math.Ceil(shareSlack * float64(entries*subsetSize) / float64(max(len(pool), 1))))
	return p
}

// usesWholePool reports whether every entry sends to the whole pool.
func (p *assigner) usesWholePool() bool { return len(p.pool) <= subsetSize }

func (p *assigner) endpoints(chosen []int32) []provider.VM {
	if p.usesWholePool() {
		return p.pool
	}
	out := make([]provider.VM, len(chosen))
	for i, index := range chosen {
		out[i] = p.pool[index]
	}
	return out
}

// assign returns the endpoints of an entry as indices into the pool; nil if it uses the whole
// pool. remaining is the number of entries without endpoints, including this one. The entry first
// takes endpoints that would otherwise end up more than maxShortfall entries below maxAssigned,
// even if all entries after it took them. Without this, the last entries would find too few
// endpoints below maxAssigned and overload the others. The result is valid until the next call.
func (p *assigner) assign(entry provider.VM, remaining int) []int32 {
	if p.usesWholePool() {
		return nil
	}
	const ownZoneSize = int(subsetSize * ownZoneRatio)
	p.rank(entry)
	p.result = p.result[:0]
	required := remaining + maxShortfall(len(p.pool))
	p.fill(p.ownZone, ownZoneSize, required)
	p.fill(p.otherZones, subsetSize, required)
	p.fill(p.ownZone, ownZoneSize, 1)
	p.fill(p.otherZones, subsetSize, 1)
	p.fill(p.ownZone, subsetSize, 1)
	p.all = append(append(p.all[:0], p.ownZone...), p.otherZones...)
	slices.SortStableFunc(p.all, func(a, b ranked) int { return cmp.Compare(p.assigned[a.index], p.assigned[b.index]) })
	p.fill(p.all, subsetSize, math.MinInt)
	for _, index := range p.result {
		p.selected[index] = false
	}
	return p.result
}

// rank sorts the pool into ownZone and otherZones, each ordered by score for the entry.
func (p *assigner) rank(entry provider.VM) {
	p.ownZone, p.otherZones = p.ownZone[:0], p.otherZones[:0]
	h := xxhash.Sum64String(entry.ID)
	for i, vm := range p.pool {
		r := ranked{score: mix(h ^ p.hashes[i]), index: int32(i)}
		if vm.Zone == entry.Zone {
			p.ownZone = append(p.ownZone, r)
		} else {
			p.otherZones = append(p.otherZones, r)
		}
	}
	byScore := func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(p.pool[a.index].ID, p.pool[b.index].ID))
	}
	slices.SortFunc(p.ownZone, byScore)
	slices.SortFunc(p.otherZones, byScore)
}

// fill assigns endpoints of the list from, in order, until the entry has size of them. It skips
// endpoints that have more than maxAssigned-missing entries.
func (p *assigner) fill(from []ranked, size, missing int) {
	for _, r := range from {
		if len(p.result) >= size {
			return
		}
		if p.selected[r.index] || p.maxAssigned-p.assigned[r.index] < missing {
			continue
		}
		p.selected[r.index] = true
		p.assigned[r.index]++
		p.result = append(p.result, r.index)
	}
}

// mix is the 64-bit finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// SubsetsOf returns, by pool name, the subsets of the entry on VM self; nil if the list has no
// such entry.
func SubsetsOf(self string, vms []provider.VM) map[string][]provider.VM {
	var entries []provider.VM
	pools := make(map[string][]provider.VM)
	for _, vm := range vms {
		if vm.Role == provider.EntryRole {
			entries = append(entries, vm)
		} else {
			pools[vm.Pool] = append(pools[vm.Pool], vm)
		}
	}
	if !slices.ContainsFunc(entries, func(v provider.VM) bool { return v.ID == self }) {
		return nil
	}
	order := sortedByHash(entries)
	out := make(map[string][]provider.VM, len(pools))
	for name, pool := range pools {
		out[name] = subsetOf(self, order, pool)
	}
	return out
}

// subsetOf returns the endpoints of one entry. It must first assign those of all entries that come
// earlier in order, since the result depends on them.
func subsetOf(self string, order, pool []provider.VM) []provider.VM {
	p := newAssigner(len(order), pool)
	for i, e := range order {
		chosen := p.assign(e, len(order)-i)
		if e.ID == self {
			return p.endpoints(chosen)
		}
	}
	return nil
}
