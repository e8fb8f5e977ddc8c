package placement

import (
	"math"
	"sync"

	"github.com/parsleydeal/parsleydeal/choice"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

const (
	// failureWeight is the weight of one outcome in an endpoint's failure ratio.
	failureWeight = 0.25
	// failureHalfLife is the half-life of that ratio. It decays without new outcomes, so that
	// a failed endpoint is tried again.
	failureHalfLife = 4 * clock.Second
	// sendWindow is the window over which sends are counted against Bounds. It is 0.2 s longer
	// than the second that the bounds refer to: requests sent more than a second apart may
	// arrive within one second if the first of them waited for its connection.
	sendWindow = 1200 * clock.Millis(1)
)

// Selector selects endpoints. It keeps the state of each endpoint as seen in this process's
// own traffic and in reports from other entries. It is safe for concurrent use.
type Selector struct {
	mu       sync.Mutex
	inflight *choice.Inflight
	states   map[string]*endpointState
	// byHash holds the same states by the hash of the endpoint's ID.
	byHash   map[uint32]*endpointState
	prefixes prefixCache
	// peers holds the work that other entries reported, by entry.
	peers      map[string]peerReports
	estimates  speedEstimates
	strategies decision.Strategies
	// affinityStrategy caches the strategy of decision.Affinity, which is needed for each endpoint.
	affinityStrategy decision.Strategy
	// urgent holds a value when a long prompt must be reported to other entries at once.
	urgent chan struct{}
	// meanOtherWaiting is the mean number of waiting prompts per endpoint that no entry reports.
	meanOtherWaiting float64
}

// endpointState is the state of one endpoint.
type endpointState struct {
	// hash is that of the endpoint's ID.
	hash uint32
	// failures is the smoothed ratio of failures as of failuresAt.
	failures   float64
	failuresAt clock.Millis
	// sends holds the send times of requests in ascending order, for as long as any limit
	// looks back (rateWindow).
	sends []clock.Millis
	// assumedColdUntil is the time until which the endpoint is treated as cold because it
	// was unreachable before.
	assumedColdUntil clock.Millis
	// unreachableCount counts consecutive failures to reach the endpoint or to get any byte
	// from it. The endpoint is avoided until avoidUntil because of them.
	unreachableCount int
	avoidUntil       clock.Millis
	// lastSeenAt is when the endpoint last sent anything.
	lastSeenAt clock.Millis
	// advertised is the endpoint's last advertisement.
	advertised advertisedState
	// pendingMillis is the prefill work, in milliseconds, of the prompts that this entry sent
	// and that have not had their first byte; unanswered is their number.
	// changed is set when these differ from the last report.
	pendingMillis float64
	unanswered    int
	changed       bool
	// otherWaiting is the number of prompts waiting as of queueLengthAt that neither this
	// entry sent nor any other entry reported.
	otherWaiting float64
	// queueLength is the number of all waiting prompts that the endpoint reported as of
	// queueLengthAt. queueLengthUnreported is set when this entry got it from the endpoint
	// and has not reported it to other entries yet.
	queueLength           int
	queueLengthAt         clock.Millis
	queueLengthUnreported bool
}

// NewSelector returns an empty selector that uses the default strategies.
func NewSelector() *Selector { return NewSelectorWith(decision.Strategies{}) }

// NewSelectorWith returns an empty selector that uses the given strategies.
func NewSelectorWith(strategies decision.Strategies) *Selector {
	return &Selector{strategies: strategies, affinityStrategy: strategies.For(decision.Affinity), urgent: make(chan struct{}, 1), inflight: choice.NewInflight(), states: make(map[string]*endpointState), byHash: make(map[uint32]*endpointState), prefixes: newPrefixCache(), peers: make(map[string]peerReports), estimates: newSpeedEstimates()}
}

// stateOf returns the state of an endpoint and creates it if there is none.
func (sel *Selector) stateOf(id string) *endpointState {
	st, ok := sel.states[id]
	if !ok {
		st = &endpointState{hash: shortHash(id)}
		sel.states[id] = st
		sel.byHash[st.hash] = st
	}
	return st
}

// Work is a request in flight at an endpoint, from Begin to End.
type Work struct {
	selector       *Selector
	endpoint       string
	model          string
	uncachedTokens int
	prefillMillis  float64
	// onlyPending is true if no other prompt of this entry was waiting there at the start.
	onlyPending bool
	// expectedWait is the known work before the first byte at the start, in milliseconds, and
	// expectedFirstByte the expected time to the first byte.
	expectedWait      float64
	expectedFirstByte clock.Millis
	startedAt         clock.Millis
	prefilled         bool
}

// ExpectedFirstByte returns the time to the first byte that was expected at the start.
func (w *Work) ExpectedFirstByte() clock.Millis { return w.expectedFirstByte }

// Begin records that a request is sent to an endpoint. The caller must call End on the
// returned work.
func (sel *Selector) Begin(e *fleet.Endpoint, q Query) *Work {
	id := e.ID
	sel.inflight.Add(id, 1)
	sel.mu.Lock()
	defer sel.mu.Unlock()
	st, q := sel.stateOf(id), q.hashed()
	uncached := sel.uncachedTokens(st, q)
	w := &Work{selector: sel, endpoint: id, model: q.Model, uncachedTokens: uncached, prefillMillis: sel.estimates.millis(q.Model, uncached), onlyPending: st.unanswered == 0, startedAt: q.Now}
	w.expectedWait = sel.queueMillis(e, st, q) + w.prefillMillis
	w.expectedFirstByte = sel.estimates.firstByte(q.Model, w.expectedWait)
	st.pendingMillis += w.prefillMillis
	st.unanswered++
	st.changed = true
	if w.prefillMillis >= urgentMinMillis && !sel.strategies.Disabled(decision.UrgentReports) {
		sel.signalUrgent()
	}
	sel.prefixes.recordSent(st.hash, q)
	return w
}

// FirstByte records that the first byte of the answer has arrived, which means that the
// prefill of the prompt is done.
func (w *Work) FirstByte(now clock.Millis) {
	sel := w.selector
	sel.mu.Lock()
	defer sel.mu.Unlock()
	if w.onlyPending && !w.prefilled {
		sel.estimates.recordSample(w.model, w.uncachedTokens, now-w.startedAt)
	}
	if !w.prefilled {
		sel.estimates.recordExcess(w.model, float64(now-w.startedAt)-w.expectedWait)
	}
	w.finishPrefill()
}

// finishPrefill removes the prompt from the endpoint's pending work. It is idempotent.
func (w *Work) finishPrefill() {
	if w.prefilled {
		return
	}
	w.prefilled = true
	st := w.selector.stateOf(w.endpoint)
	st.pendingMillis = max(st.pendingMillis-w.prefillMillis, 0)
	st.unanswered--
	st.changed = true
}

// End records that the request has ended. It must be called exactly once.
func (w *Work) End() {
	w.selector.inflight.Add(w.endpoint, -1)
	w.selector.mu.Lock()
	defer w.selector.mu.Unlock()
	w.finishPrefill()
}

// queueMillis estimates, in milliseconds, how long the prompts waiting at an endpoint take:
// those of this entry, those that other entries reported, and the rest by their number.
// Where other entries report their work, an endpoint without a recent queue length counts as
// idle. Elsewhere it counts as average: treated as idle, it would get work from another zone
// although entries of its own zone have filled it.
func (sel *Selector) queueMillis(e *fleet.Endpoint, st *endpointState, q Query) float64 {
	if sel.strategies.Disabled(decision.Waiting) {
		return 0
	}
	mean := sel.meanOtherWaiting
	if q.reported(e) {
		mean = 0
	}
	freshness := math.Exp2(-float64(q.Now-st.queueLengthAt) / float64(queueLengthHalfLife))
	pending, _ := sel.reportedWork(st.hash, q.Now)
	return st.pendingMillis + pending + (st.otherWaiting*freshness+mean*(1-freshness))*sel.estimates.meanMillis
}

// RecordQueueLength records the number of waiting prompts that an endpoint itself reported.
func (sel *Selector) RecordQueueLength(id string, waiting int, now clock.Millis) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	st := sel.stateOf(id)
	sel.setQueueLength(st, waiting, now, now)
	st.queueLengthUnreported = true
}

// setQueueLength sets the queue length that an endpoint reported at a time.
func (sel *Selector) setQueueLength(st *endpointState, waiting int, at, now clock.Millis) {
	_, reported := sel.reportedWork(st.hash, now)
	st.queueLength, st.queueLengthAt, st.queueLengthUnreported = waiting, at, false
	st.otherWaiting = max(float64(waiting-st.unanswered)-reported, 0)
	sel.meanOtherWaiting += otherWaitingWeight * (st.otherWaiting - sel.meanOtherWaiting)
}

// otherWaitingWeight is the weight of one queue length in meanOtherWaiting.
const otherWaitingWeight = 0.05

// queueLengthHalfLife is the half-life of the weight of a reported queue length: the prefill
// of a prompt takes a few hundred milliseconds.
const queueLengthHalfLife = 500 * clock.Millis(1)

// RecordLoad records the numbers of outstanding requests and of slots that an endpoint itself
// reported.
func (sel *Selector) RecordLoad(id string, outstanding, slots int, now clock.Millis) {
	sel.inflight.RecordLoad(&wire.Load{Vm: id, Held: int32(outstanding), Window: int32(slots)}, now)
}

const (
	// minUnreachableBackoff and maxUnreachableBackoff bound how long an unreachable endpoint
	// is avoided. The backoff doubles with each consecutive failure.
	minUnreachableBackoff = 500 * clock.Millis(1)
	maxUnreachableBackoff = 8 * clock.Second
	// probeTimeout is how long other requests wait for the outcome of the one that probes an
	// unreachable endpoint. It exceeds the time that a connection to a dead one takes to fail.
	probeTimeout = clock.Second
)

// RecordUnreachable records that an endpoint could not be reached or fell silent. It is
// avoided for a backoff; then a single request probes it. If all requests did, each of them
// would spend the time that it takes to find that the endpoint is still unreachable.
func (sel *Selector) RecordUnreachable(id string, now clock.Millis) {
	sel.mu.Lock()
	st := sel.stateOf(id)
	st.avoidUntil = now + min(minUnreachableBackoff<<min(st.unreachableCount, 5), maxUnreachableBackoff)
	st.unreachableCount++
	sel.mu.Unlock()
	sel.RecordOutcome(id, true, now)
}

// RecordActivity records that an endpoint sent something.
func (sel *Selector) RecordActivity(id string, now clock.Millis) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	st := sel.stateOf(id)
	st.lastSeenAt = now
	if st.unreachableCount > 0 {
		st.assumedColdUntil = now + assumedColdDuration
	}
	st.unreachableCount, st.avoidUntil = 0, 0
}

// assumedColdDuration is how long an endpoint that was unreachable and answers again is
// treated as cold. It may have restarted, which its registration shows after at most one
// heartbeat (1.2 s) and one interval between reads of the store (0.8 s).
const assumedColdDuration = 2 * clock.Second

// ActiveSince reports whether an endpoint sent something after a time.
func (sel *Selector) ActiveSince(id string, at clock.Millis) bool {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	st, ok := sel.states[id]
	return ok && st.lastSeenAt > at
}

func (sel *Selector) isReachable(st *endpointState, now clock.Millis) bool {
	return now >= st.avoidUntil || sel.strategies.Disabled(decision.UnreachableEndpoints)
}

// RecordOutcome records the end of an attempt at an endpoint.
func (sel *Selector) RecordOutcome(id string, failed bool, now clock.Millis) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	st := sel.stateOf(id)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	st.failures = st.failureRatio(now)*(1-failureWeight) + outcome*failureWeight
	st.failuresAt = now
}

func (st *endpointState) failureRatio(now clock.Millis) float64 {
	return st.failures * math.Exp2(-float64(now-st.failuresAt)/float64(failureHalfLife))
}

func (sel *Selector) failureRatio(st *endpointState, now clock.Millis) float64 {
	if sel.strategies.Disabled(decision.Failures) {
		return 0
	}
	return st.failureRatio(now)
}

// recordSend counts a request against the endpoint's limits.
func (sel *Selector) recordSend(id string, now clock.Millis) {
	st := sel.stateOf(id)
	st.sends = append(st.sends, now)
	for st.sends[0] < now-rateWindow {
		st.sends = st.sends[1:]
	}
	if st.unreachableCount > 0 {
		st.avoidUntil = max(st.avoidUntil, now+probeTimeout)
	}
}

// warmShareFactor is the multiple of its even share of an endpoint's bound that an entry may
// send to an endpoint not known to be cold. An entry of 31 has an even share of one request
// per second. Limited to that, it would refuse callers whenever two requests coincide, and
// would pass over endpoints that have a prompt's blocks cached.
const warmShareFactor = 4

// withinBounds reports whether one more request stays within this entry's share of what an
// endpoint may get in a second. An endpoint in cold start crashes if it gets well above its
// bound, so the shares of all entries add up to that bound. An endpoint that turned cold
// without advertising it is safe for another reason: as long as its load is like that of its
// neighbours, placement gives it no more than them.
func withinBounds(s *fleet.Snapshot, e *fleet.Endpoint, st *endpointState, q Query) bool {
	total := q.Bounds.Warm * warmShareFactor
	if s.Cold(e, q.Now) || st.assumedColdUntil > q.Now || st.advertisedBy(e).coldUntil > q.Now {
		total = q.Bounds.Cold
	}
	return total <= 0 || st.sentSince(q.Now-sendWindow) < q.Bounds.Shares[e.Zone].Quota(total, e.ID)
}

// sentSince counts the requests sent at a time or later.
func (st *endpointState) sentSince(at clock.Millis) (n int) {
	for n < len(st.sends) && st.sends[len(st.sends)-1-n] >= at {
		n++
	}
	return n
}

// withinEvenShare reports whether one more request stays within this entry's even share of
// what a warm endpoint may get. If all entries prefer the same endpoint, as for a hot shared
// block, placement does not keep its load like that of its neighbours.
func withinEvenShare(e *fleet.Endpoint, st *endpointState, q Query) bool {
	return q.Bounds.Warm <= 0 || st.sentSince(q.Now-sendWindow) < q.Bounds.Shares[e.Zone].Quota(q.Bounds.Warm, e.ID)
}

// prefillSavings is the cost saved by the cached tokens of a prompt beyond their prefill time.
func prefillSavings(q Query, uncached int) float64 {
	return cachedTokenSaving * float64(tokensOf(q.Blocks)-uncached)
}

func tokensOf(blocks []Block) (tokens int) {
	for _, block := range blocks {
		tokens += block.Tokens
	}
	return tokens
}

// uncachedTokens counts the tokens that the endpoint must prefill: those of all blocks from
// the first one that is not cached there.
func (sel *Selector) uncachedTokens(st *endpointState, q Query) (tokens int) {
	missing := sel.strategies.Disabled(decision.CachedBlocks)
	for i, block := range q.Blocks {
		missing = missing || !sel.prefixes.holds(st.hash, q.hashes[i], q.Now)
		if missing {
			tokens += block.Tokens
		}
	}
	return tokens
}

// Prune drops the state of endpoints that are not in the snapshot. Recent advertisements are
// kept, because a registration that lapsed during an outage of the store comes back.
func (sel *Selector) Prune(s *fleet.Snapshot, now clock.Millis) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	for id, st := range sel.states {
		if s.Find(id) == nil && !st.advertised.mustKeep(now) {
			delete(sel.states, id)
			delete(sel.byHash, st.hash)
			delete(sel.prefixes.unreported, st.hash)
		}
	}
	sel.dropStaleReports(now)
}
