// Package placement picks the endpoint of a request. It weighs what a request
// would cost at each endpoint, in milliseconds: its wait, the prompt parts that
// must be read there, the way to another zone, and how often the endpoint failed
// lately. It does no I/O.
package placement

import (
	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// Block is a part of a prompt, which requests share.
type Block struct {
	ID     string
	Tokens int
}

// Query asks for an endpoint.
type Query struct {
	Service string
	// Version is the version wanted; Rule says which others may stand in.
	Version string
	Rule    upgrade.Rule
	Zone    string
	// Avoid holds endpoints that this request has tried.
	Avoid map[string]bool
	// ReachableOnly leaves out endpoints that were lost lately, also where there is no other.
	ReachableOnly bool
	Model         string
	Blocks        []Block
	// Bytes is the size of what is sent.
	Bytes int
	// FullMesh says that the entries of all zones tell this one of their work, and not
	// only those of its own zone.
	FullMesh bool
	// Bounds limit how much one entry sends.
	Bounds Bounds
	// FirstByteBudget is how long the prompt may take to be read, its wait included; 0
	// for any time.
	FirstByteBudget clock.Millis
	Now             clock.Millis

	// hashes holds those of the parts for the model once they were needed.
	hashes []uint32
}

// hashed returns the query with the hashes of its parts.
func (q Query) hashed() Query {
	if len(q.hashes) == len(q.Blocks) {
		return q
	}
	q.hashes = make([]uint32, len(q.Blocks))
	for i, p := range q.Blocks {
		q.hashes[i] = p.hashOf(q.Model)
	}
	return q
}

// Bounds limit what all entries together send to one endpoint in a second.
type Bounds struct {
	// Cold holds for endpoints that are or may be in cold start, by even shares. Warm
	// holds for all others, a multiple of an even share for each entry (warmFactor).
	// 0 stands for no bound.
	Cold float64
	Warm float64
	// Shares holds this entry's share of these, and of the rates that endpoints name, by
	// the endpoint's zone.
	Shares map[string]Share
}

// Share is an entry's share of a bound.
type Share struct {
	// Fraction is the part of the bound that is shared, Entries how many entries share
	// it, and Index this one's number among them from 0.
	Fraction float64
	Entries  int
	Index    int
}

// Quota is what this entry may send to an endpoint in a second; 0 for nothing. What
// does not divide evenly goes to some of the entries, others at each endpoint.
// Where there are more entries than the bound allows requests, the rest may send
// it nothing: if all might, they could do so in the same second.
func (s Share) Quota(total float64, id string) int {
	n, whole := s.entries(), uint64(total*s.Fraction)
	share := whole / n
	if s.turn(id) < whole%n {
		share++
	}
	return int(share)
}

// without counts the entries that may send an endpoint nothing, where this is one of them,
// and tells its place among these from 1.
func (s Share) without(total float64, id string) (place, entries clock.Millis) {
	whole := uint64(total * s.Fraction)
	return clock.Millis(s.turn(id)-whole) + 1, clock.Millis(s.entries() - whole)
}

// turn is this entry's number at an endpoint, from 0: another one at each.
func (s Share) turn(id string) uint64 {
	return (uint64(s.Index) + xxhash.Sum64String(id)) % s.entries()
}

func (s Share) entries() uint64 { return uint64(max(s.Entries, 1)) }

// FirstByteBudget is how long the first byte of a request may take that was to come within an
// aim and has waited for some of it. A prompt that would be late holds up those behind
// it, which are late then too; turned away at once, its caller may come back in time.
// One that is nearly late already still gets a part of its aim.
func FirstByteBudget(aim, waited clock.Millis) clock.Millis { return max(aim-waited, aim/4) }

// Reason says why no endpoint was picked.
type Reason int

// The reasons.
const (
	// Selected means that there is one.
	Selected Reason = iota
	// None means that no endpoint may get the request.
	None
	// Full means that all that may get it are full or at their bound.
	Full
)

// String names the reason for logs.
func (r Reason) String() string { return [...]string{"picked", "none", "full"}[r] }

// Weights of the cost, in milliseconds.
const (
	// loadCost is what a full endpoint costs: about how much longer a stream of
	// fifty events takes among 64 others than alone, at 0.1 ms a token and
	// request.
	loadCost = 600.0
	// awayCost and awayByteCost are what another zone costs. Bytes between zones
	// are paid for; a kilobyte weighs as much as a hundredth of an endpoint's load.
	awayCost     = 15.0
	awayByteCost = 0.008
	// blindCost is what an endpoint costs whose callers' entries do not tell this one of
	// their work: about a long prompt of a large model, which may have been sent there a
	// moment ago. Entries that choose among endpoints they know little of take those for
	// idle that others have just filled, and theirs are filled by others in turn.
	blindCost = 600.0
	// affinityCost spreads prompts over endpoints by their hashes, so that entries
	// that know nothing of one another send a prompt's parts to the same place.
	affinityCost = 60.0
	// affinityLeast is how many tokens prompts must share to be sent to another zone for them:
	// spared once, they outweigh the bytes of the prompt on the way there.
	affinityLeast = 2000
	// readCost is what a token spares that need not be read, beyond the time that reading
	// takes: it holds up all streams that run there, and reading a shared part again is
	// charged for. It falls to nothing as the endpoint's load nears easyLoad, from where
	// its streams gain more by going elsewhere.
	readCost = 0.05
	easyLoad = 0.25
	// failCost is what an endpoint costs that fails every time.
	failCost = 2500.0
	// fullAt is the load from which an endpoint gets no more: a queue half as long
	// as its slots, in which a request would wait about as long as it runs.
	fullAt = 1.5
)

// Select returns the endpoint at which the request costs least. Another version
// stands in only when there is no endpoint of the one wanted: an unproven version
// that took what does not fit on a full one would get the most at the worst time.
func (b *Selector) Select(s *fleet.Snapshot, q Query) (e *fleet.Endpoint, why Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e, why = b.choose(s, q); e != nil {
		b.sent(e.ID, q.Now)
		b.mark(e.ID).tries(e, q)
	}
	return e, why
}

// HasCapacity reports whether Pick would find an endpoint that was not lost lately.
func (b *Selector) HasCapacity(s *fleet.Snapshot, q Query) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	q.ReachableOnly = true
	e, _ := b.choose(s, q)
	return e != nil
}

// Expectation is what a request is expected to meet at an endpoint.
type Expectation struct {
	// FirstByte is how long its first byte takes, Wait the part of it in which prompts
	// before it are read.
	FirstByte clock.Millis
	Wait      clock.Millis
}

// Expect tells what a request would meet at the endpoint that Pick would find; not ok
// where it would find none, or only such that were lost lately.
func (b *Selector) Expect(s *fleet.Snapshot, q Query) (x Expectation, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	q.ReachableOnly = true
	e, _ := b.choose(s, q)
	if e == nil {
		return x, false
	}
	m, q := b.mark(e.ID), q.hashed()
	wait := b.waiting(e, m, q)
	return Expectation{FirstByte: b.speed.first(q.Model, wait+b.speed.millis(q.Model, b.unread(m, q))), Wait: clock.Millis(wait)}, true
}

func (b *Selector) choose(s *fleet.Snapshot, q Query) (e *fleet.Endpoint, why Reason) {
	all := b.candidates(s, q)
	if len(all) == 0 {
		return nil, None
	}
	return b.cheapest(s, all, q.hashed())
}

// candidates lists the endpoints that may get the request.
func (b *Selector) candidates(s *fleet.Snapshot, q Query) (all []*fleet.Endpoint) {
	for _, match := range q.passes() {
		for _, at := range s.Endpoints(q.Service) {
			if s.Usable(at) && !q.Avoid[at.ID] && match(at) && !b.mark(at.ID).leaves(at, q.Now) {
				all = append(all, at)
			}
		}
		if len(all) > 0 {
			return all
		}
	}
	return nil
}

// cheapest picks among endpoints that may all get the request. Those that were
// lost lately come last: a stall of this VM's own link makes all of them lost at
// once, and refusing every request until that lapses would turn the stall into an
// outage.
func (b *Selector) cheapest(s *fleet.Snapshot, all []*fleet.Endpoint, q Query) (e *fleet.Endpoint, why Reason) {
	preferred := b.preferred(all, q)
	for _, last := range [...]obstacle{unhindered, lost} {
		best := 0.0
		for _, at := range all {
			cost, o := b.cost(s, at, q, at == preferred)
			if o <= last && (e == nil || cost < best) && (o != lost || !q.ReachableOnly) {
				e, best = at, cost
			}
		}
		if e != nil {
			return e, Selected
		}
	}
	return nil, Full
}

// passes lists which endpoints are looked at first and which after them. Another
// version stands in only where the rule allows it.
func (q Query) passes() []func(e *fleet.Endpoint) bool {
	return []func(e *fleet.Endpoint) bool{
		func(e *fleet.Endpoint) bool {
			return (q.Version == "" || e.Version == q.Version) && q.Rule.Allows(e.Version)
		},
		func(e *fleet.Endpoint) bool { return e.Version != q.Version && q.Rule.Allows(e.Version) },
	}
}

// preferred is the endpoint to which all entries send the prompts of a subject while they know
// of none that keeps its parts; nil when this one does, and for prompts with little to
// keep.
func (b *Selector) preferred(all []*fleet.Endpoint, q Query) (e *fleet.Endpoint) {
	if !b.hasAffinity(q) {
		return nil
	}
	part := q.hashes[len(q.Blocks)-2]
	least, subject := 0.0, q.Model+"/"+subject(q.Blocks)
	for _, at := range all {
		if b.kept.holds(b.mark(at.ID).hash, part, q.Now) {
			return nil
		}
		if f := hashScore(at.ID, subject); e == nil || f < least {
			e, least = at, f
		}
	}
	return e
}

// hasAffinity reports whether a prompt shares so much that it is worth the way to another zone.
// Where all entries tell one another what they sent, each knows where parts are.
func (b *Selector) hasAffinity(q Query) bool {
	return b.affinity == decision.AllZones && !q.FullMesh && len(q.Blocks) > 1 && q.shared() >= affinityLeast
}

// shared counts the tokens of a prompt that other requests share.
func (q Query) shared() int { return tokensOf(q.Blocks[:len(q.Blocks)-1]) }

// cost is what the request costs at an endpoint, which may be the one preferred for its parts, and
// what speaks against sending it there at all.
func (b *Selector) cost(s *fleet.Snapshot, e *fleet.Endpoint, q Query, preferred bool) (cost float64, o obstacle) {
	m := b.mark(e.ID)
	load := b.inflight.Load(e.ID, e.Slots, q.Now)
	switch {
	case load >= fullAt:
		return 0, loaded
	case !inBounds(s, e, m, q):
		return 0, bounded
	case !m.withinRate(e, q):
		return 0, limited
	case m.statedOf(e).pausedUntil > q.Now:
		return 0, paused
	case !b.reached(m, q.Now):
		o = lost
	}
	cost = load*loadCost + b.failing(m, q.Now)*failCost
	if e.Zone != q.Zone {
		cost += awayCost + awayByteCost*float64(q.Bytes)
	}
	if len(q.Blocks) == 0 {
		return cost, o
	}
	prompt, inTime := b.promptCost(e, m, q, load, preferred)
	if !inTime {
		return 0, late
	}
	return cost + prompt, o
}

// promptCost is what reading a prompt costs at an endpoint, and whether it can be read in
// time there.
func (b *Selector) promptCost(e *fleet.Endpoint, m *mark, q Query, load float64, preferred bool) (cost float64, inTime bool) {
	unread, own := b.unread(m, q), q.Blocks[len(q.Blocks)-1].Tokens
	keeps := (preferred || unread <= own) && b.hasAffinity(q) && inShare(e, m, q)
	if keeps {
		unread = min(unread, own)
	}
	queue := b.waiting(e, m, q)
	wait := queue + b.speed.millis(q.Model, unread)
	if !keeps && !q.visible(e) && !b.ways.Disabled(decision.UnreportedCost) {
		cost += blindCost
	}
	if q.FirstByteBudget > 0 && queue+b.speed.least(q.Model, unread) > float64(q.FirstByteBudget) {
		return 0, false
	}
	cost += wait - readingSaved(q, unread)*max(1-load/easyLoad, 0)
	if b.affinity == decision.NoAffinity {
		return cost, true
	}
	return cost + affinityCost*hashScore(e.ID, subject(q.Blocks)), true
}

// visible reports whether the entries that mostly send to an endpoint tell this one of
// their work there.
func (q Query) visible(e *fleet.Endpoint) bool { return q.FullMesh || e.Zone == q.Zone }

// subject is the part by which the preferred endpoint is chosen: the last one that
// other requests share.
func subject(parts []Block) string {
	return parts[max(len(parts)-2, 0)].ID
}

// hashScore is a number in [0, 1) that differs from endpoint to endpoint and is the
// same at every entry; the endpoint with the lowest one is preferred for the subject.
func hashScore(id, subject string) float64 {
	const fraction = 1 << 53
	return float64(xxhash.Sum64String(id+"/"+subject)>>11) / fraction
}
