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
	// failureHalfLife is the half-life of the failure ratio. The ratio decays even without new
	// outcomes, so that a failed endpoint is tried again.
	failureHalfLife = 4 * clock.Second
	// SendWindow is the sliding window in which sent requests are counted against Bounds. The
	// bounds are per second, and the window is 0.2 s longer: requests sent more than a second
	// apart may arrive within one second if the first of them waited for its connection.
	SendWindow = 1200 * clock.Millis(1)
)

// Selector selects endpoints. It tracks the state of each endpoint from this process's traffic and
// from reports of other entries. It is safe for concurrent use.
type Selector struct {
	mu       sync.Mutex
	inflight *choice.Inflight
	states   map[string]*endpointState
	// byHash holds the elements of states by the hash of the endpoint's ID.
	byHash   map[uint32]*endpointState
	prefixes prefixCache
	// peers holds the work that other entries reported, by the reporting entry.
	peers map[string]peerReports
	// needs holds the entries that use most of their quotas of advertised rates.
	needs      map[string]need
	estimates  speedEstimates
	strategies decision.Strategies
	// affinityStrategy and paceStrategy cache the strategies of decision.Affinity and decision.Pace,
	// which are looked up for each candidate endpoint.
	affinityStrategy decision.Strategy
	paceStrategy     decision.Strategy
	// urgent holds a value while something must be reported to other entries at once: a long
	// prompt or a changed advertisement.
	urgent chan struct{}
	// meanOtherWaiting is the smoothed mean of otherWaiting over all endpoints.
	meanOtherWaiting float64
}

// endpointState is the state of one endpoint.
type endpointState struct {
	// hash identifies the endpoint in reports.
	hash uint32
	// failures is the smoothed fraction of failed attempts at the time failuresAt.
	failures   float64
	failuresAt clock.Millis
	// sends holds the times at which requests were sent, in ascending order. Times older than
	// rateWindow, the longest window of any limit, are dropped.
	sends []clock.Millis
	// assumedColdUntil is the time until which the endpoint is treated as cold because it answered
	// again after it had been unreachable.
	assumedColdUntil clock.Millis
	// unreachableCount counts the consecutive failures to reach the endpoint or to get any byte
	// from it. Because of these the endpoint is avoided until avoidUntil.
	unreachableCount int
	avoidUntil       clock.Millis
	// lastSeenAt is when the endpoint last sent anything.
	lastSeenAt clock.Millis
	// advertised is the endpoint's last advertisement.
	advertised advertisedState
	// pendingMillis is the total prefill work, in milliseconds, of the prompts that this entry
	// sent there and that have not had their first byte; unanswered is the number of these
	// prompts. changed is set if they differ from the last report.
	pendingMillis float64
	unanswered    int
	changed       bool
	// otherWaiting is the number of prompts waiting there, at the time queueLengthAt, that were
	// neither sent by this entry nor reported by another one.
	otherWaiting float64
	// queueLength is the total number of waiting prompts that the endpoint reported, at the time
	// queueLengthAt. queueLengthUnreported is set if the endpoint reported it to this entry, which
	// has not reported it to other entries yet.
	queueLength           int
	queueLengthAt         clock.Millis
	queueLengthUnreported bool
	pace                  pace
	// lent holds this entry's loans of its quota of the advertised rate, borrowed the current loan of
	// each other entry.
	lent     []lent
	borrowed map[string]borrowed
}

// NewSelector returns an empty selector that uses the default strategies.
func NewSelector() *Selector { return NewSelectorWith(decision.Strategies{}) }

// NewSelectorWith returns an empty selector that uses the given strategies.
func NewSelectorWith(strategies decision.Strategies) *Selector {
	return &Selector{strategies: strategies, affinityStrategy: strategies.For(decision.Affinity), paceStrategy: strategies.For(decision.Pace), urgent: make(chan struct{}, 1), inflight: choice.NewInflight(), states: make(map[string]*endpointState), byHash: make(map[uint32]*endpointState), prefixes: newPrefixCache(), peers: make(map[string]peerReports), needs: make(map[string]need), estimates: newSpeedEstimates()}
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
	// onlyPending is true if no other prompt of this entry was waiting at the endpoint at the
	// start, so that the time to the first byte is a sample of the prefill speed.
	onlyPending bool
	// expectedWait is the known prefill work before the first byte, in milliseconds, and
	// expectedFirstByte the expected time to the first byte; both as estimated at the start.
	expectedWait      float64
	expectedFirstByte clock.Millis
	startedAt         clock.Millis
	prefilled         bool
}

// ExpectedFirstByte returns the time from the start to the first byte, as estimated by Begin.
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
	w.expectedWait = (sel.queueMillis(e, st, q) + w.prefillMillis) * st.pace.expected(sel.paceStrategy, q.Now)
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

// FirstByte records that the first byte of the answer has arrived: the prompt has been prefilled.
// reportedPace is the pace that the endpoint reported with the answer; 0 if it reported none. The
// prefill speed is learned without it, so that a busy VM does not make its model look slow.
func (w *Work) FirstByte(now clock.Millis, reportedPace float64) {
	sel := w.selector
	sel.mu.Lock()
	defer sel.mu.Unlock()
	if w.onlyPending && !w.prefilled {
		sel.estimates.recordSample(w.model, w.uncachedTokens, float64(now-w.startedAt)/sel.samplePace(reportedPace))
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

// queueMillis estimates, in milliseconds, how long the prompts waiting at an endpoint take: those
// of this entry, those reported by other entries, and the rest by their number. If the endpoint
// has reported no queue length recently, the rest is taken to be 0 where other entries report
// their work to this one, and average elsewhere: an endpoint assumed to be idle would get prompts
// from other zones although entries of its own zone have filled it.
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

// setQueueLength applies a queue length that the endpoint reported at the time at.
func (sel *Selector) setQueueLength(st *endpointState, waiting int, at, now clock.Millis) {
	_, reported := sel.reportedWork(st.hash, now)
	st.queueLength, st.queueLengthAt, st.queueLengthUnreported = waiting, at, false
	st.otherWaiting = max(float64(waiting-st.unanswered)-reported, 0)
	sel.meanOtherWaiting += otherWaitingWeight * (st.otherWaiting - sel.meanOtherWaiting)
}

// otherWaitingWeight is the weight of one reported queue length in meanOtherWaiting.
const otherWaitingWeight = 0.05

// queueLengthHalfLife is the half-life of the weight of a reported queue length. It is short
// because the prefill of a prompt takes only a few hundred milliseconds.
const queueLengthHalfLife = 500 * clock.Millis(1)

// RecordLoad records how many requests an endpoint has outstanding and how many slots it has,
// according to its own report.
func (sel *Selector) RecordLoad(id string, outstanding, slots int, now clock.Millis) {
	sel.inflight.RecordLoad(&wire.Load{Vm: id, Held: int32(outstanding), Window: int32(slots)}, now)
}

const (
	// minUnreachableBackoff and maxUnreachableBackoff bound how long an unreachable endpoint
	// is avoided. The backoff doubles with each consecutive failure.
	minUnreachableBackoff = 500 * clock.Millis(1)
	maxUnreachableBackoff = 8 * clock.Second
	// probeTimeout is how long an unreachable endpoint is avoided by other requests while one
	// request probes it. It exceeds the time that a connection attempt to a dead endpoint takes to
	// fail.
	probeTimeout = clock.Second
)

// RecordUnreachable records that an endpoint could not be reached or stopped sending. The endpoint
// is avoided for a backoff, after which a single request probes it: any further request would wait
// as long as the probe only to find that the endpoint is still unreachable.
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

// assumedColdDuration is how long an endpoint that answers again after it was unreachable is
// treated as cold. It may have restarted, which this entry learns from its registration after at
// most one heartbeat (1.2 s) and one interval between reads of the store (0.8 s).
const assumedColdDuration = 2 * clock.Second

// ActiveSince reports whether an endpoint sent something after the time at.
func (sel *Selector) ActiveSince(id string, at clock.Millis) bool {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	st, ok := sel.states[id]
	return ok && st.lastSeenAt > at
}

func (sel *Selector) isReachable(st *endpointState, now clock.Millis) bool {
	return now >= st.avoidUntil || sel.strategies.Disabled(decision.UnreachableEndpoints)
}

// RecordOutcome records that an attempt at an endpoint has ended, and whether it failed.
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

// sentSince counts the requests sent at or after the time at.
func (st *endpointState) sentSince(at clock.Millis) (n int) {
	for n < len(st.sends) && st.sends[len(st.sends)-1-n] >= at {
		n++
	}
	return n
}

// prefillSavings returns what the cached tokens of a prompt save in addition to their prefill
// time, in units of cost.
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
// retained, because a registration that lapses during an outage of the store is renewed
// afterwards.
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
