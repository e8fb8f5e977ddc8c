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
	// failureWeight is the weight of one outcome in an endpoint's part of failures.
	failureWeight = 0.25
	// failureHalfLife is how fast that part is forgotten, so that an endpoint which
	// failed is tried again.
	failureHalfLife = 4 * clock.Second
	// sendWindow is the span of the bounds on what is sent, a second and a fifth more:
	// requests sent more than a second apart may arrive within one, when the first
	// of them waited for its connection.
	sendWindow = 1200 * clock.Millis(1)
)

// Selector is what this process knows of the endpoints by its own traffic. It is
// safe for use by many goroutines.
type Selector struct {
	mu       sync.Mutex
	inflight *choice.Inflight
	states   map[string]*endpointState
	// byHash holds the same marks by the endpoints' hashes.
	byHash   map[uint32]*endpointState
	prefixes prefixCache
	// peers holds what other entries have at endpoints, by entry.
	peers      map[string]peerReports
	speeds     speedEstimates
	strategies decision.Strategies
	// affinityStrategy is the way of decision.Affinity, which is asked for at each endpoint.
	affinityStrategy decision.Strategy
	// urgent has something in it from a prompt that others should hear of at once.
	urgent chan struct{}
	// meanOtherWaiting is how many prompts of others usually wait at an endpoint.
	meanOtherWaiting float64
}

// endpointState is what is remembered of one endpoint.
type endpointState struct {
	// hash is that of the endpoint's ID.
	hash uint32
	// failures is the smoothed part of failures as of failedAt.
	failures   float64
	failuresAt clock.Millis
	// sends holds when requests were sent, the newest last, for as long as any bound
	// looks back (rateSpan).
	sends []clock.Millis
	// assumedColdUntil is until when it is taken to be cold, as it was lost and answers again.
	assumedColdUntil clock.Millis
	// unreachableCount counts how often in a row it could not be reached or sent nothing, and
	// lostUntil is until when it is left alone for that.
	unreachableCount int
	avoidUntil       clock.Millis
	// lastSeenAt is when it last sent anything.
	lastSeenAt clock.Millis
	// advertised is what the endpoint said of itself last.
	advertised advertisedState
	// pendingMillis is the reading work, in milliseconds, of the prompts sent there whose
	// first byte has not come, and unanswered their number.
	// changed says that these changed since others were told.
	pendingMillis float64
	unanswered    int
	changed       bool
	// otherWaiting is how many prompts waited there as of wordAt that neither this entry
	// nor any other told of.
	otherWaiting float64
	// queueLength is how many waited in all by the endpoint's own word as of wordAt, and
	// untoldWord says that this entry has it from the endpoint and told nobody yet.
	queueLength           int
	queueLengthAt         clock.Millis
	queueLengthUnreported bool
}

// NewSelector makes a board that knows nothing.
func NewSelector() *Selector { return NewSelectorWith(decision.Strategies{}) }

// NewSelectorWith makes a board that decides in the ways given.
func NewSelectorWith(ways decision.Strategies) *Selector {
	return &Selector{strategies: ways, affinityStrategy: ways.For(decision.Affinity), urgent: make(chan struct{}, 1), inflight: choice.NewInflight(), states: make(map[string]*endpointState), byHash: make(map[uint32]*endpointState), prefixes: newPrefixCache(), peers: make(map[string]peerReports), speeds: newSpeedEstimates()}
}

func (b *Selector) stateOf(id string) *endpointState {
	m, ok := b.states[id]
	if !ok {
		m = &endpointState{hash: shortHash(id)}
		b.states[id] = m
		b.byHash[m.hash] = m
	}
	return m
}

// Work is a prompt that an endpoint has to read.
type Work struct {
	selector *Selector
	endpoint string
	model    string
	tokens   int
	millis   float64
	// onlyPending is true when no other prompt was waiting there.
	onlyPending bool
	// expectedWait is what was known to stand before the first byte when the work began, and
	// expected the span in which that byte was expected.
	expectedWait      float64
	expectedFirstByte clock.Millis
	startedAt         clock.Millis
	prefilled         bool
}

// ExpectedFirstByte is how long the first byte was expected to take when the work began.
func (w *Work) ExpectedFirstByte() clock.Millis { return w.expectedFirstByte }

// Begin counts a request that is sent to an endpoint.
func (b *Selector) Begin(e *fleet.Endpoint, q Query) *Work {
	id := e.ID
	b.inflight.Add(id, 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	m, q := b.stateOf(id), q.hashed()
	unread := b.uncachedTokens(m, q)
	w := &Work{selector: b, endpoint: id, model: q.Model, tokens: unread, millis: b.speeds.millis(q.Model, unread), onlyPending: m.unanswered == 0, startedAt: q.Now}
	w.expectedWait = b.queueMillis(e, m, q) + w.millis
	w.expectedFirstByte = b.speeds.firstByte(q.Model, w.expectedWait)
	m.pendingMillis += w.millis
	m.unanswered++
	m.changed = true
	if w.millis >= urgentMinMillis && !b.strategies.Disabled(decision.UrgentReports) {
		b.signalUrgent()
	}
	b.prefixes.recordSent(m.hash, q)
	return w
}

// FirstByte tells that the first byte of the answer has come, and with it that the
// prompt was read.
func (w *Work) FirstByte(now clock.Millis) {
	b := w.selector
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.onlyPending && !w.prefilled {
		b.speeds.recordSample(w.model, w.tokens, now-w.startedAt)
	}
	if !w.prefilled {
		b.speeds.recordExcess(w.model, float64(now-w.startedAt)-w.expectedWait)
	}
	w.finishPrefill()
}

// finishPrefill takes the work off its endpoint, once.
func (w *Work) finishPrefill() {
	if w.prefilled {
		return
	}
	w.prefilled = true
	m := w.selector.stateOf(w.endpoint)
	m.pendingMillis = max(m.pendingMillis-w.millis, 0)
	m.unanswered--
	m.changed = true
}

// End counts a request that ended at an endpoint.
func (w *Work) End() {
	w.selector.inflight.Add(w.endpoint, -1)
	w.selector.mu.Lock()
	defer w.selector.mu.Unlock()
	w.finishPrefill()
}

// queueMillis is how long the prompts take that wait at an endpoint: those of this
// entry, which it knows one by one, those that other entries told of, and the rest by
// their number. Where others tell of their work, an endpoint not heard of lately is
// idle; elsewhere it is taken to be like the others: taken for idle, it would get work
// from another zone that its neighbours have filled it with.
func (b *Selector) queueMillis(e *fleet.Endpoint, m *endpointState, q Query) float64 {
	if b.strategies.Disabled(decision.Waiting) {
		return 0
	}
	usual := b.meanOtherWaiting
	if q.reported(e) {
		usual = 0
	}
	fresh := math.Exp2(-float64(q.Now-m.queueLengthAt) / float64(queueLengthHalfLife))
	pending, _ := b.reportedWork(m.hash, q.Now)
	return m.pendingMillis + pending + (m.otherWaiting*fresh+usual*(1-fresh))*b.speeds.meanMillis
}

// RecordQueueLength takes an endpoint's own word on how many prompts wait there.
func (b *Selector) RecordQueueLength(id string, waiting int, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.stateOf(id)
	b.setQueueLength(m, waiting, now, now)
	m.queueLengthUnreported = true
}

// setQueueLength takes an endpoint's word as of an instant.
func (b *Selector) setQueueLength(m *endpointState, waiting int, at, now clock.Millis) {
	_, told := b.reportedWork(m.hash, now)
	m.queueLength, m.queueLengthAt, m.queueLengthUnreported = waiting, at, false
	m.otherWaiting = max(float64(waiting-m.unanswered)-told, 0)
	b.meanOtherWaiting += otherWaitingWeight * (m.otherWaiting - b.meanOtherWaiting)
}

// otherWaitingWeight is the weight of one endpoint's word in what is usual.
const otherWaitingWeight = 0.05

// queueLengthHalfLife is how fast an endpoint's word on the prompts that wait there loses
// its weight: a prompt is read in a few hundred milliseconds.
const queueLengthHalfLife = 500 * clock.Millis(1)

// RecordLoad takes an endpoint's own word on its load.
func (b *Selector) RecordLoad(id string, held, slots int, now clock.Millis) {
	b.inflight.Report(&wire.Load{Vm: id, Held: int32(held), Window: int32(slots)}, now)
}

const (
	// minUnreachableBackoff and lostMost bound how long an endpoint that was lost is left
	// alone; the span doubles with each loss in a row.
	minUnreachableBackoff = 500 * clock.Millis(1)
	maxUnreachableBackoff = 8 * clock.Second
	// probeTimeout is how long the others wait for what becomes of the one request that
	// tries a lost endpoint: longer than a connection to a dead one takes to fail.
	probeTimeout = clock.Second
)

// RecordUnreachable counts an endpoint that could not be reached or fell silent. It is left
// alone for a while; then one request tries it. If all did, each would pay the
// time that it takes to find out that the endpoint is still gone.
func (b *Selector) RecordUnreachable(id string, now clock.Millis) {
	b.mu.Lock()
	m := b.stateOf(id)
	m.avoidUntil = now + min(minUnreachableBackoff<<min(m.unreachableCount, 5), maxUnreachableBackoff)
	m.unreachableCount++
	b.mu.Unlock()
	b.RecordOutcome(id, true, now)
}

// RecordActivity notes that an endpoint sent something.
func (b *Selector) RecordActivity(id string, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.stateOf(id)
	m.lastSeenAt = now
	if m.unreachableCount > 0 {
		m.assumedColdUntil = now + assumedColdDuration
	}
	m.unreachableCount, m.avoidUntil = 0, 0
}

// assumedColdDuration is how long an endpoint that was lost and answers again is taken to be
// cold: it may have started anew, which its announcement tells within a heartbeat
// (1.2 s) and the pause between two reads of the store (0.8 s).
const assumedColdDuration = 2 * clock.Second

// ActiveSince reports whether an endpoint sent something after an instant.
func (b *Selector) ActiveSince(id string, at clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	m, ok := b.states[id]
	return ok && m.lastSeenAt > at
}

func (b *Selector) reachable(m *endpointState, now clock.Millis) bool {
	return now >= m.avoidUntil || b.strategies.Disabled(decision.UnreachableEndpoints)
}

// RecordOutcome counts an attempt's end.
func (b *Selector) RecordOutcome(id string, failed bool, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.stateOf(id)
	bad := 0.0
	if failed {
		bad = 1
	}
	m.failures = m.failureRatio(now)*(1-failureWeight) + bad*failureWeight
	m.failuresAt = now
}

func (m *endpointState) failureRatio(now clock.Millis) float64 {
	return m.failures * math.Exp2(-float64(now-m.failuresAt)/float64(failureHalfLife))
}

func (b *Selector) failureRatio(m *endpointState, now clock.Millis) float64 {
	if b.strategies.Disabled(decision.Failures) {
		return 0
	}
	return m.failureRatio(now)
}

// recordSend counts a request against the endpoint's bounds.
func (b *Selector) recordSend(id string, now clock.Millis) {
	m := b.stateOf(id)
	m.sends = append(m.sends, now)
	for m.sends[0] < now-rateWindow {
		m.sends = m.sends[1:]
	}
	if m.unreachableCount > 0 {
		m.avoidUntil = max(m.avoidUntil, now+probeTimeout)
	}
}

// warmShareFactor is how much more than its even share of what an endpoint bears an
// entry may send to one that is warm as far as anybody knows. An entry of 31 has a
// share of one request in a second; kept to it, it refuses a caller whenever two
// meet, and passes endpoints over that hold a prompt's parts.
const warmShareFactor = 4

// withinBounds reports whether one more request keeps this entry's share of what an
// endpoint may get in a second. An endpoint in cold start that gets well more
// crashes, so that the shares of all entries add up to what it bears. One that may
// have turned cold unannounced is safe by another reason: as long as its load is
// like that of its neighbours, placement gives it no more than these.
func withinBounds(s *fleet.Snapshot, e *fleet.Endpoint, m *endpointState, q Query) bool {
	total := q.Bounds.Warm * warmShareFactor
	if s.Cold(e, q.Now) || m.assumedColdUntil > q.Now || m.advertisedBy(e).coldUntil > q.Now {
		total = q.Bounds.Cold
	}
	return total <= 0 || m.sentSince(q.Now-sendWindow) < q.Bounds.Shares[e.Zone].Quota(total, e.ID)
}

// sentSince counts what was sent at an instant or later.
func (m *endpointState) sentSince(at clock.Millis) (n int) {
	for n < len(m.sends) && m.sends[len(m.sends)-1-n] >= at {
		n++
	}
	return n
}

// withinEvenShare reports whether one more request keeps this entry's even share of what a warm
// endpoint may get. Where all entries send to the same endpoint, as they do with a hot
// subject, placement does not keep it as busy as its neighbours.
func withinEvenShare(e *fleet.Endpoint, m *endpointState, q Query) bool {
	return q.Bounds.Warm <= 0 || m.sentSince(q.Now-sendWindow) < q.Bounds.Shares[e.Zone].Quota(q.Bounds.Warm, e.ID)
}

// spared is what is saved beyond time by the tokens of a prompt that need not be read.
func prefillSavings(q Query, unread int) float64 {
	return cachedTokenSaving * float64(tokensOf(q.Blocks)-unread)
}

func tokensOf(parts []Block) (tokens int) {
	for _, p := range parts {
		tokens += p.Tokens
	}
	return tokens
}

// uncachedTokens counts the tokens of the prompt that the endpoint must read: all parts
// from the first one on that it does not have.
func (b *Selector) uncachedTokens(m *endpointState, q Query) (tokens int) {
	missing := b.strategies.Disabled(decision.CachedBlocks)
	for i, p := range q.Blocks {
		missing = missing || !b.prefixes.holds(m.hash, q.hashes[i], q.Now)
		if missing {
			tokens += p.Tokens
		}
	}
	return tokens
}

// Prune drops what is known of endpoints that are gone, but for what they said of themselves
// lately: an announcement that lapsed while the store was away comes back.
func (b *Selector) Prune(s *fleet.Snapshot, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, m := range b.states {
		if s.Find(id) == nil && !m.advertised.mustKeep(now) {
			delete(b.states, id)
			delete(b.byHash, m.hash)
			delete(b.prefixes.unreported, m.hash)
		}
	}
	b.dropStaleReports(now)
}
