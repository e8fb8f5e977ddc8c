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
	// Version is the preferred version; empty for any. Rule defines which other versions may serve
	// the request if the preferred one cannot.
	Version string
	Rule    upgrade.Rule
	Zone    string
	// Avoid holds the endpoints that the request has tried.
	Avoid map[string]bool
	// ReachableOnly excludes endpoints that were recently unreachable even if there is no other.
	ReachableOnly bool
	Model         string
	// Blocks are the blocks of the prompt in order. The last one belongs to this request only; the
	// others may be shared.
	Blocks []Block
	// Bytes is the size of the request's body.
	Bytes int
	// FullMesh is set if the entries of all zones, not only those of this entry's zone, report
	// their work to this one.
	FullMesh bool
	// Bounds limit how many requests this entry sends to one endpoint.
	Bounds Bounds
	// FirstByteBudget is the maximum time for the wait and the prefill of the prompt, after which
	// the first byte would be late; 0 for no limit.
	FirstByteBudget clock.Millis
	// Rendezvous, if it is not empty, selects the endpoint by its hash instead of the cost, so that all
	// entries select the same one.
	Rendezvous string
	Now        clock.Millis

	// hashes holds the hashes of Blocks for Model; empty until hashed computes them.
	hashes []uint32
	// sends is set while an endpoint is selected.
	sends *recentSends
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
	// Cold applies to endpoints that are or may be in cold start; each entry may use an even share
	// of it. Warm applies to all other endpoints; each entry may use warmShareFactor times its
	// even share, or more if it sends more to all of them. 0 means no bound.
	Cold float64
	Warm float64
	// NoCold is set while this entry may send nothing to endpoints that are or may be in cold start.
	NoCold bool
	// Shares holds this entry's share of these bounds and of advertised rates, by the
	// endpoint's zone.
	Shares map[string]Share
}

// Share is an entry's share of a bound.
type Share struct {
	// Fraction of the bound is divided evenly among a number of entries, Entries. Index is this
	// entry's number among them, from 0.
	Fraction float64
	Entries  int
	Index    int
}

// Quota returns how many of total requests to an endpoint this entry may send; 0 for none. The
// remainder of the division goes to some of the entries, to different ones at each endpoint. If
// there are more entries than requests, some entries have no quota: with at least one request
// each, all of them together could exceed the total within a second.
func (s Share) Quota(total float64, id string) int {
	n, shared := s.entries(), uint64(total*s.Fraction)
	quota := shared / n
	if s.position(id) < shared%n {
		quota++
	}
	return int(quota)
}

// excluded returns the number of entries without a quota for an endpoint, and the place of this
// entry among them, from 1. It must be called only for an entry without a quota.
func (s Share) excluded(total float64, id string) (place, entries clock.Millis) {
	shared := uint64(total * s.Fraction)
	return clock.Millis(s.position(id)-shared) + 1, clock.Millis(s.entries() - shared)
}

// position returns this entry's place, from 0, in the order in which entries get quotas at an
// endpoint. The order differs by endpoint so that the remainder of a division does not always go
// to the same entries.
func (s Share) position(id string) uint64 {
	return (uint64(s.Index) + xxhash.Sum64String(id)) % s.entries()
}

func (s Share) entries() uint64 { return uint64(max(s.Entries, 1)) }

// FirstByteBudget returns how long the first byte of a request may still take, given its latency
// target and the time it has already waited. A prompt that will be late is better rejected at
// once: it would also delay the prompts queued behind it, and its caller may still retry in time.
// A request close to its target or past it still gets a quarter of the target.
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
	// loadCost is the cost of an endpoint at load 1, where all its slots are taken. It is about
	// how much longer a stream of fifty events takes among 64 concurrent streams than alone, at
	// 0.1 ms per token and stream.
	loadCost = 600.0
	// crossZoneCost is the cost of sending a request to another zone, and crossZoneByteCost the
	// additional cost per byte of its body, since traffic between zones is charged for. A kilobyte
	// costs about as much as a hundredth of an endpoint's load.
	crossZoneCost     = 15.0
	crossZoneByteCost = 0.008
	// unreportedCost is the cost of an endpoint whose work is not reported to this entry. It is
	// about the prefill time of a long prompt on a large model, which another entry may have just
	// sent there. Without it, entries send prompts to endpoints of other zones that look idle but
	// were just filled, while entries of other zones fill theirs in the same manner.
	unreportedCost = 600.0
	// affinityCost is the maximum of the cost that a hash of the endpoint and the shared block
	// determines. This cost spreads blocks over the endpoints, and makes entries that get no
	// reports from each other send prompts with the same block to the same endpoint.
	affinityCost = 60.0
	// affinityMinTokens is the minimum number of shared tokens for which a prompt is sent to
	// another zone for the sake of its cached blocks. Saving the prefill of that many tokens once
	// outweighs the transfer of the prompt's bytes.
	affinityMinTokens = 2000
	// cachedTokenSaving is what a cached token saves in addition to its prefill time: prefill
	// delays all streams on the endpoint, and prefilling a shared block again costs money. The
	// saving falls to 0 as the endpoint's load approaches lightLoad. At a higher load, streams
	// gain more from another endpoint.
	cachedTokenSaving = 0.05
	lightLoad         = 0.25
	// failureCost is the cost of an endpoint that fails every time.
	failureCost = 2500.0
	// maxLoad is the load, as a multiple of the slots, from which an endpoint gets no more
	// requests. The queue is then half as long as the number of slots, and a request would wait
	// about as long as it runs.
	maxLoad = 1.5
)

// Select returns the endpoint with the lowest cost and counts the request against its limits. If
// there is none, it returns nil and the reason. It uses another version only if the preferred one
// has no endpoint at all, not if its endpoints are full: otherwise an unproven version would get
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

// HasCapacity reports whether Select would find an endpoint that was reachable recently.
func (sel *Selector) HasCapacity(s *fleet.Snapshot, q Query) bool {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	q.ReachableOnly = true
	e, _ := sel.find(s, q)
	return e != nil
}

// Expectation is the expected delay of a request at an endpoint.
type Expectation struct {
	// FirstByte is the time to the first byte, and Wait the part of it spent on prompts queued
	// ahead.
	FirstByte clock.Millis
	Wait      clock.Millis
}

// Expect returns the expected delay at the endpoint that Select would return, without counting the
// request. ok is false if there is no endpoint that was reachable recently.
func (sel *Selector) Expect(s *fleet.Snapshot, q Query) (x Expectation, ok bool) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	q.ReachableOnly = true
	e, _ := sel.find(s, q)
	if e == nil {
		return x, false
	}
	st, q := sel.stateOf(e.ID), q.hashed()
	pace := st.pace.expected(sel.paceStrategy, q.Now)
	wait := sel.queueMillis(e, st, q) * pace
	return Expectation{FirstByte: sel.estimates.firstByte(q.Model, wait+sel.estimates.millis(q.Model, sel.uncachedTokens(st, q))*pace), Wait: clock.Millis(wait)}, true
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
	q.sends = &recentSends{candidates: all}
	preferred := sel.preferred(all, q)
	for _, allowed := range [...]obstacle{noObstacle, unreachable} {
		lowest := 0.0
		for _, candidate := range all {
			cost, o := sel.cost(s, candidate, q, candidate == preferred)
			if q.Rendezvous != "" {
				cost = hashScore(candidate.ID, q.Rendezvous)
			}
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

// preferred returns the endpoint to which all entries send prompts with the same shared block as
// long as this entry knows of no endpoint that has the block cached. It returns nil if one of the
// candidates has it cached, or if the prompt shares too few tokens.
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

// usesAffinity reports whether the prompt shares enough tokens to be sent to the preferred
// endpoint, even in another zone. In a full mesh it is always false, since reports show which
// endpoints have the blocks cached.
func (sel *Selector) usesAffinity(q Query) bool {
	return sel.affinityStrategy == decision.AllZones && !q.FullMesh && len(q.Blocks) > 1 && q.sharedTokens() >= affinityMinTokens
}

// sharedTokens counts the tokens of a prompt that other requests may share.
func (q Query) sharedTokens() int { return tokensOf(q.Blocks[:len(q.Blocks)-1]) }

// cost returns the cost of the request at an endpoint, and the obstacle to sending it there if
// any. The argument preferred is true for the endpoint that Selector.preferred returned.
func (sel *Selector) cost(s *fleet.Snapshot, e *fleet.Endpoint, q Query, preferred bool) (cost float64, o obstacle) {
	st := sel.stateOf(e.ID)
	load := sel.inflight.Load(e.ID, e.Slots, q.Now)
	switch {
	case load >= maxLoad:
		return 0, overloaded
	case !sel.withinBounds(s, e, st, q):
		return 0, overShare
	case !st.withinRate(e, q):
		return 0, overRate
	case st.advertisedBy(e).pausedUntil > q.Now:
		return 0, paused
	case !sel.isReachable(st, q.Now):
		o = unreachable
	}
	cost = load*loadCost*st.pace.expected(sel.paceStrategy, q.Now) + sel.failureRatio(st, q.Now)*failureCost
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

// promptCost returns the cost of a prompt's wait and prefill at an endpoint, and whether both are
// expected to fit into the first-byte budget.
func (sel *Selector) promptCost(e *fleet.Endpoint, st *endpointState, q Query, load float64, preferred bool) (cost float64, inTime bool) {
	uncached, own := sel.uncachedTokens(st, q), q.Blocks[len(q.Blocks)-1].Tokens
	hasAffinity := (preferred || uncached <= own) && sel.usesAffinity(q) && withinEvenShare(e, st, q)
	if hasAffinity {
		uncached = min(uncached, own)
	}
	pace := st.pace.expected(sel.paceStrategy, q.Now)
	queue := sel.queueMillis(e, st, q) * pace
	wait := queue + sel.estimates.millis(q.Model, uncached)*pace
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

// reported reports whether this entry gets reports from the entries that send most requests to the
// endpoint, which are those of the endpoint's zone.
func (q Query) reported(e *fleet.Endpoint) bool { return q.FullMesh || e.Zone == q.Zone }

// affinityBlock returns the ID of the block by which the preferred endpoint is determined: the
// last block that other requests may share.
func affinityBlock(blocks []Block) string {
	return blocks[max(len(blocks)-2, 0)].ID
}

// hashScore returns a number in [0, 1) for an endpoint and a block that is the same on every
// entry. The endpoint with the lowest score is preferred for the block.
func hashScore(id, block string) float64 {
	const fraction = 1 << 53
	return float64(xxhash.Sum64String(id+"/"+block)>>11) / fraction
}
