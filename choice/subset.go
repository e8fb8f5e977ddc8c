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
	// subsetSize is how many endpoints of a pool an entry works with. Smaller
	// pools are used whole.
	subsetSize = 24
	// nearPart is the part of a subset taken from the entry's own zone first;
	// the rest lies elsewhere, so that a lost zone leaves some at once.
	nearPart = 0.75
	// slack is how far above the mean an endpoint's share of entries may lie. More
	// moves less when the list changes, but loads the endpoints less evenly.
	slack = 1.0
)

// Subsets gives each entry the endpoints of a pool that it works with. Every
// process computes the same from the same VM list. Entries choose in the order
// of their hash; each takes the endpoints that its own hashes rank first, those
// of its zone before others, and passes over endpoints that have their share of
// entries already. So the load is balanced, and a VM that comes or goes moves
// little beside its own places.
func Subsets(entries, pool []provider.VM) map[string][]provider.VM {
	out := make(map[string][]provider.VM, len(entries))
	p := newPlaces(len(entries), pool)
	for i, e := range inOrder(entries) {
		out[e.ID] = p.endpoints(p.give(e, len(entries)-i))
	}
	return out
}

// inOrder sorts entries by the hash of their ID.
func inOrder(entries []provider.VM) []provider.VM {
	order := slices.Clone(entries)
	slices.SortFunc(order, func(a, b provider.VM) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), strings.Compare(a.ID, b.ID))
	})
	return order
}

// earliest is how far below its share an endpoint of a pool may end. The more,
// the fewer places are given against the order of hashes: at 1 everywhere, the
// p99 of the first token with 30 entries (bench choice) rose from 721 to 820 ms.
// In a small pool the entries' choices overlap most, and it must be 1.
func earliest(pool int) int {
	if pool < 2*subsetSize {
		return 1
	}
	return 2
}

// ranked is an endpoint by its index in the pool, with the rank that the entry
// under way gives it.
type ranked struct {
	score uint64
	at    int32
}

// places gives out the places of one pool. It works on indices and reuses its
// slices: at the two-year size a change of the VM list costs 5,000 turns.
type places struct {
	pool   []provider.VM
	hashes []uint64
	// taken counts the entries that each endpoint has, at most most but for the
	// last ones.
	taken []int
	most  int
	// in marks the endpoints of the entry under way.
	in              []bool
	near, far, rest []ranked
	out             []int32
}

func newPlaces(entries int, pool []provider.VM) *places {
	p := &places{pool: pool, hashes: make([]uint64, len(pool)), taken: make([]int, len(pool)), in: make([]bool, len(pool))}
	for i, vm := range pool {
		p.hashes[i] = xxhash.Sum64String(vm.ID)
	}
	p.most = int(math.Ceil(slack * float64(entries*subsetSize) / float64(max(len(pool), 1))))
	return p
}

// whole reports whether every entry works with the whole pool.
func (p *places) whole() bool { return len(p.pool) <= subsetSize }

func (p *places) endpoints(chosen []int32) []provider.VM {
	if p.whole() {
		return p.pool
	}
	out := make([]provider.VM, len(chosen))
	for i, at := range chosen {
		out[i] = p.pool[at]
	}
	return out
}

// give gives an entry its places; left counts the entries that have none yet,
// this one included. An endpoint that lacks more entries than are left must be
// taken by each of them. Were it passed over, the last entries would find too
// few endpoints below their share and crowd on those that have theirs. The
// result is valid until the next call.
func (p *places) give(entry provider.VM, left int) []int32 {
	if p.whole() {
		return nil
	}
	const nearest = int(subsetSize * nearPart)
	p.rank(entry)
	p.out = p.out[:0]
	due := left + earliest(len(p.pool))
	p.fill(p.near, nearest, due)
	p.fill(p.far, subsetSize, due)
	p.fill(p.near, nearest, 1)
	p.fill(p.far, subsetSize, 1)
	p.fill(p.near, subsetSize, 1)
	p.rest = append(append(p.rest[:0], p.near...), p.far...)
	slices.SortStableFunc(p.rest, func(a, b ranked) int { return cmp.Compare(p.taken[a.at], p.taken[b.at]) })
	p.fill(p.rest, subsetSize, math.MinInt)
	for _, at := range p.out {
		p.in[at] = false
	}
	return p.out
}

// rank sorts the pool for an entry, its own zone apart.
func (p *places) rank(entry provider.VM) {
	p.near, p.far = p.near[:0], p.far[:0]
	h := xxhash.Sum64String(entry.ID)
	for i, vm := range p.pool {
		r := ranked{score: mix(h ^ p.hashes[i]), at: int32(i)}
		if vm.Zone == entry.Zone {
			p.near = append(p.near, r)
		} else {
			p.far = append(p.far, r)
		}
	}
	byScore := func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(p.pool[a.at].ID, p.pool[b.at].ID))
	}
	slices.SortFunc(p.near, byScore)
	slices.SortFunc(p.far, byScore)
}

// fill takes endpoints in order that lack at least so many entries, until the
// entry has a number of places.
func (p *places) fill(from []ranked, size, lacks int) {
	for _, r := range from {
		if len(p.out) >= size {
			return
		}
		if p.in[r.at] || p.most-p.taken[r.at] < lacks {
			continue
		}
		p.in[r.at] = true
		p.taken[r.at]++
		p.out = append(p.out, r.at)
	}
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
	order := inOrder(entries)
	out := make(map[string][]provider.VM, len(pools))
	for name, pool := range pools {
		out[name] = subsetOf(self, order, pool)
	}
	return out
}

// subsetOf returns the endpoints of one entry; those before it in the order must
// have had their turn.
func subsetOf(self string, order, pool []provider.VM) []provider.VM {
	p := newPlaces(len(order), pool)
	for i, e := range order {
		chosen := p.give(e, len(order)-i)
		if e.ID == self {
			return p.endpoints(chosen)
		}
	}
	return nil
}
