// Package placement selects the endpoint of a request. It estimates the cost of the request
// at each endpoint, in milliseconds: the wait, the prefill of the prompt blocks that are not
// cached there, the transfer to another zone, and recent failures of the endpoint. It does
// no I/O.
package placement

import (
	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// Block is a block of a prompt, which several requests may share.
type Block struct {
	ID     string
	Tokens int
}

// Query describes a request that needs an endpoint.
type Query struct {
	Service string
	// Version is the preferred version; empty for any. Rule defines which others may replace it.
	Version string
	Rule    upgrade.Rule
	Zone    string
	// Avoid holds the endpoints that the request has tried.
	Avoid map[string]bool
	// ReachableOnly excludes endpoints that were recently unreachable even if there is no other.
	ReachableOnly bool
	Model         string
	// Blocks are those of the prompt in order; the last one belongs to this request only.
	Blocks []Block
	// Bytes is the size of the request's body.
	Bytes int
	// FullMesh is set if the entries of all zones report their work to this one, and not
	// only those of its own zone.
	FullMesh bool
	// Bounds limit how much one entry sends.
	Bounds Bounds
	// FirstByteBudget is the maximum time for the wait and the prefill of the prompt; 0 for no
	// limit.
	FirstByteBudget clock.Millis
	Now             clock.Millis

	// hashes holds the hashes of the blocks for the model, once computed.
	hashes []uint32
}

// hashed returns the query with the hashes of its blocks.
func (q Query) hashed() Query {
	if len(q.hashes) == len(q.Blocks) {
		return q
	}
	q.hashes = make([]uint32, len(q.Blocks))
	for i, block := range q.Blocks {
		q.hashes[i] = block.hashOf(q.Model)
	}
	return q
}

// Bounds limit what all entries together send to one endpoint per second.
type Bounds struct {
	// Cold applies to endpoints that are or may be in cold start; each entry gets an even
	// share. Warm applies to all others; each entry gets warmShareFactor even shares.
	// 0 means no bound.
	Cold float64
	Warm float64
	// Shares holds this entry's share of these bounds and of advertised rates, by the
	// endpoint's zone.
	Shares map[string]Share
}

// Share is an entry's share of a bound.
type Share struct {
	// Fraction is the fraction of the bound that Entries entries share. Index is this
	// entry's number among them, from 0.
	Fraction float64
	Entries  int
	Index    int
}

// Quota returns how many requests of a total this entry may send to an endpoint, 0 for none.
// The remainder of the division goes to some of the entries, to different ones at each
// endpoint. If there are more entries than requests, the entries beyond them have no quota:
// if all of them had, all could use it in the same second.
func (s Share) Quota(total float64, id string) int {
	n, shared := s.entries(), uint64(total*s.Fraction)
	quota := shared / n
	if s.position(id) < shared%n {
		quota++
	}
	return int(quota)
}

// excluded counts the entries without a quota for an endpoint and returns the place of this
// one among them, from 1. It must be called only for an entry without a quota.
func (s Share) excluded(total float64, id string) (place, entries clock.Millis) {
	shared := uint64(total * s.Fraction)
	return clock.Millis(s.position(id)-shared) + 1, clock.Millis(s.entries() - shared)
}

// position returns this entry's position at an endpoint, from 0. It differs by endpoint.
func (s Share) position(id string) uint64 {
	return (uint64(s.Index) + xxhash.Sum64String(id)) % s.entries()
}

func (s Share) entries() uint64 { return uint64(max(s.Entries, 1)) }

// FirstByteBudget returns how long the first byte of a request may still take, given its
// latency target and the time it has waited. A late prompt delays those queued behind it, so
// that they are late as well; if it is rejected at once, its caller may retry in time. A
// request that is nearly late gets a quarter of its target.
func FirstByteBudget(target, waited clock.Millis) clock.Millis { return max(target-waited, target/4) }

// Reason is the result of a selection.
type Reason int

// The reasons.
const (
	// Selected means that an endpoint was selected.
	Selected Reason = iota
	// None means that no endpoint may get the request.
	None
	// Full means that all endpoints that may get the request are full or at a limit.
	Full
)

// String returns the name of the reason for logs.
func (r Reason) String() string { return [...]string{"picked", "none", "full"}[r] }

// Weights of the cost, in milliseconds.
const (
	// loadCost is the cost of a full endpoint: about how much longer a stream of fifty events
	// takes among 64 others than alone, at 0.1 ms per token and request.
	loadCost = 600.0
	// crossZoneCost is the cost of sending to another zone, and crossZoneByteCost that of each
	// byte. Traffic between zones is charged for; a kilobyte weighs as much as a hundredth of
	// an endpoint's load.
	crossZoneCost     = 15.0
	crossZoneByteCost = 0.008
	// unreportedCost is the cost of an endpoint whose work is not reported to this entry:
	// about the prefill of a long prompt on a large model, which may have been sent there a
	// moment ago. Without it, entries send to unreported endpoints that look idle but were
	// just filled by others, while their own endpoints are filled from elsewhere.
	unreportedCost = 600.0
	// affinityCost spreads prompts over endpoints by hash, so that entries without reports
	// from each other send prompts with the same blocks to the same place.
	affinityCost = 60.0
	// affinityMinTokens is the minimum number of shared tokens for which prompts are sent to
	// another zone. Saving the prefill of that many tokens once outweighs the transfer of the
	// prompt's bytes.
	affinityMinTokens = 2000
	// cachedTokenSaving is what a cached token saves beyond its prefill time: prefill delays
	// all streams on the endpoint, and the repeated prefill of a shared block is charged for.
	// The saving falls to 0 as the endpoint's load approaches lightLoad. Above that, streams
	// gain more from another endpoint.
	cachedTokenSaving = 0.05
	lightLoad         = 0.25
	// failureCost is the cost of an endpoint that fails every time.
	failureCost = 2500.0
	// maxLoad is the load from which an endpoint gets no more requests: the queue is half as
	// long as the number of slots, and a request would wait about as long as it runs.
	maxLoad = 1.5
)

// Select returns the endpoint with the lowest cost, or nil and the reason why there is none,
// and counts the request against its limits. Another version is used only if the preferred
// one has no endpoint. If an unproven version took the overflow of a full one, it would get
// the most requests under the highest load.
func (sel *Selector) Select(s *fleet.Snapshot, q Query) (e *fleet.Endpoint, reason Reason) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	if e, reason = sel.find(s, q); e != nil {
		sel.recordSend(e.ID, q.Now)
		sel.stateOf(e.ID).recordProbe(e, q)
	}
	return e, reason
}

// HasCapacity reports whether Select would find an endpoint that was not recently unreachable.
func (sel *Selector) HasCapacity(s *fleet.Snapshot, q Query) bool {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	q.ReachableOnly = true
	e, _ := sel.find(s, q)
	return e != nil
}

// Expectation is the expected delay of a request at an endpoint.
type Expectation struct {
	// FirstByte is the time to the first byte, and Wait the part of it spent on prompts ahead.
	FirstByte clock.Millis
	Wait      clock.Millis
}

// Expect returns the expected delay at the endpoint that Select would find. ok is false if
// there is none or only recently unreachable ones.
func (sel *Selector) Expect(s *fleet.Snapshot, q Query) (x Expectation, ok bool) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	q.ReachableOnly = true
	e, _ := sel.find(s, q)
	if e == nil {
		return x, false
	}
	st, q := sel.stateOf(e.ID), q.hashed()
	wait := sel.queueMillis(e, st, q)
	return Expectation{FirstByte: sel.estimates.firstByte(q.Model, wait+sel.estimates.millis(q.Model, sel.uncachedTokens(st, q))), Wait: clock.Millis(wait)}, true
}

func (sel *Selector) find(s *fleet.Snapshot, q Query) (e *fleet.Endpoint, reason Reason) {
	all := sel.candidates(s, q)
	if len(all) == 0 {
		return nil, None
	}
	return sel.cheapest(s, all, q.hashed())
}

// candidates returns the endpoints that may get the request.
func (sel *Selector) candidates(s *fleet.Snapshot, q Query) (all []*fleet.Endpoint) {
	for _, match := range q.preferences() {
		for _, e := range s.Endpoints(q.Service) {
			if s.Usable(e) && !q.Avoid[e.ID] && match(e) && !sel.stateOf(e.ID).isLeaving(e, q.Now) {
				all = append(all, e)
			}
		}
		if len(all) > 0 {
			return all
		}
	}
	return nil
}

// cheapest returns the candidate with the lowest cost. Recently unreachable candidates are a
// last resort: a stall of this VM's own network makes all of them unreachable at once, and
// refusing all requests until their backoff ends would turn the stall into an outage.
func (sel *Selector) cheapest(s *fleet.Snapshot, all []*fleet.Endpoint, q Query) (e *fleet.Endpoint, reason Reason) {
	preferred := sel.preferred(all, q)
	for _, allowed := range [...]obstacle{noObstacle, unreachable} {
		lowest := 0.0
		for _, candidate := range all {
			cost, o := sel.cost(s, candidate, q, candidate == preferred)
			if o <= allowed && (e == nil || cost < lowest) && (o != unreachable || !q.ReachableOnly) {
				e, lowest = candidate, cost
			}
		}
		if e != nil {
			return e, Selected
		}
	}
	return nil, Full
}

// preferences returns the filters for endpoints in order of preference: the preferred version,
// then other versions that the rule allows.
func (q Query) preferences() []func(e *fleet.Endpoint) bool {
	return []func(e *fleet.Endpoint) bool{
		func(e *fleet.Endpoint) bool {
			return (q.Version == "" || e.Version == q.Version) && q.Rule.Allows(e.Version)
		},
		func(e *fleet.Endpoint) bool { return e.Version != q.Version && q.Rule.Allows(e.Version) },
	}
}

// preferred returns the endpoint to which all entries send prompts with the same shared block
// if none is known to have it cached. It returns nil if a candidate has, or if the prompt
// shares too few tokens.
func (sel *Selector) preferred(all []*fleet.Endpoint, q Query) (e *fleet.Endpoint) {
	if !sel.usesAffinity(q) {
		return nil
	}
	hash := q.hashes[len(q.Blocks)-2]
	lowest, key := 0.0, q.Model+"/"+affinityBlock(q.Blocks)
	for _, candidate := range all {
		if sel.prefixes.holds(sel.stateOf(candidate.ID).hash, hash, q.Now) {
			return nil
		}
		if score := hashScore(candidate.ID, key); e == nil || score < lowest {
			e, lowest = candidate, score
		}
	}
	return e
}

// usesAffinity reports whether a prompt shares enough tokens to be sent to another zone for
// them. In a full mesh, reports show where blocks are cached.
func (sel *Selector) usesAffinity(q Query) bool {
	return sel.affinityStrategy == decision.AllZones && !q.FullMesh && len(q.Blocks) > 1 && q.sharedTokens() >= affinityMinTokens
}

// sharedTokens counts the tokens of a prompt that other requests may share.
func (q Query) sharedTokens() int { return tokensOf(q.Blocks[:len(q.Blocks)-1]) }

// cost returns the cost of the request at an endpoint and the obstacle to sending it there.
// preferred is set for the endpoint that preferred returned.
func (sel *Selector) cost(s *fleet.Snapshot, e *fleet.Endpoint, q Query, preferred bool) (cost float64, o obstacle) {
	st := sel.stateOf(e.ID)
	load := sel.inflight.Load(e.ID, e.Slots, q.Now)
	switch {
	case load >= maxLoad:
		return 0, overloaded
	case !withinBounds(s, e, st, q):
		return 0, overShare
	case !st.withinRate(e, q):
		return 0, overRate
	case st.advertisedBy(e).pausedUntil > q.Now:
		return 0, paused
	case !sel.isReachable(st, q.Now):
		o = unreachable
	}
	cost = load*loadCost + sel.failureRatio(st, q.Now)*failureCost
	if e.Zone != q.Zone {
		cost += crossZoneCost + crossZoneByteCost*float64(q.Bytes)
	}
	if len(q.Blocks) == 0 {
		return cost, o
	}
	prompt, inTime := sel.promptCost(e, st, q, load, preferred)
	if !inTime {
		return 0, tooLate
	}
	return cost + prompt, o
}

// promptCost returns the cost of a prompt's wait and prefill at an endpoint, and whether both
// fit into the first-byte budget.
func (sel *Selector) promptCost(e *fleet.Endpoint, st *endpointState, q Query, load float64, preferred bool) (cost float64, inTime bool) {
	uncached, own := sel.uncachedTokens(st, q), q.Blocks[len(q.Blocks)-1].Tokens
	hasAffinity := (preferred || uncached <= own) && sel.usesAffinity(q) && withinEvenShare(e, st, q)
	if hasAffinity {
		uncached = min(uncached, own)
	}
	queue := sel.queueMillis(e, st, q)
	wait := queue + sel.estimates.millis(q.Model, uncached)
	if !hasAffinity && !q.reported(e) && !sel.strategies.Disabled(decision.UnreportedCost) {
		cost += unreportedCost
	}
	if q.FirstByteBudget > 0 && queue+sel.estimates.minMillis(q.Model, uncached) > float64(q.FirstByteBudget) {
		return 0, false
	}
	cost += wait - prefillSavings(q, uncached)*max(1-load/lightLoad, 0)
	if sel.affinityStrategy == decision.NoAffinity {
		return cost, true
	}
	return cost + affinityCost*hashScore(e.ID, affinityBlock(q.Blocks)), true
}

// reported reports whether the entries that send most requests to an endpoint report their
// work there to this one.
func (q Query) reported(e *fleet.Endpoint) bool { return q.FullMesh || e.Zone == q.Zone }

// affinityBlock returns the ID of the block that determines the preferred endpoint: the last
// one that other requests may share.
func affinityBlock(blocks []Block) string {
	return blocks[max(len(blocks)-2, 0)].ID
}

// hashScore returns a number in [0, 1) for an endpoint and a block that is the same on every
// entry. The endpoint with the lowest score is preferred for the block.
func hashScore(id, block string) float64 {
	const fraction = 1 << 53
	return float64(xxhash.Sum64String(id+"/"+block)>>11) / fraction
}
