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
	// failWeight is the weight of one outcome in an endpoint's part of failures.
	failWeight = 0.25
	// failHalf is how fast that part is forgotten, so that an endpoint which
	// failed is tried again.
	failHalf = 4 * clock.Second
	// window is the span of the bounds on what is sent, a second and a fifth more:
	// requests sent more than a second apart may arrive within one, when the first
	// of them waited for its connection.
	window = 1200 * clock.Millis(1)
)

// Selector is what this process knows of the endpoints by its own traffic. It is
// safe for use by many goroutines.
type Selector struct {
	mu       sync.Mutex
	inflight *choice.Inflight
	marks    map[string]*mark
	// byHash holds the same marks by the endpoints' hashes.
	byHash map[uint32]*mark
	kept   kept
	// peers holds what other entries have at endpoints, by entry.
	peers map[string]peerWork
	speed speeds
	ways  decision.Strategies
	// affinity is the way of decision.Affinity, which is asked for at each endpoint.
	affinity decision.Strategy
	// urgent has something in it from a prompt that others should hear of at once.
	urgent chan struct{}
	// usualOthers is how many prompts of others usually wait at an endpoint.
	usualOthers float64
}

// mark is what is remembered of one endpoint.
type mark struct {
	// hash is that of the endpoint's ID.
	hash uint32
	// failed is the smoothed part of failures as of failedAt.
	failed   float64
	failedAt clock.Millis
	// sends holds when requests were sent, the newest last, for as long as any bound
	// looks back (rateSpan).
	sends []clock.Millis
	// backUntil is until when it is taken to be cold, as it was lost and answers again.
	backUntil clock.Millis
	// losses counts how often in a row it could not be reached or sent nothing, and
	// lostUntil is until when it is left alone for that.
	losses    int
	lostUntil clock.Millis
	// heardAt is when it last sent anything.
	heardAt clock.Millis
	// stated is what the endpoint said of itself last.
	stated stated
	// pending is the reading work, in milliseconds, of the prompts sent there whose
	// first byte has not come, and unanswered their number.
	// changed says that these changed since others were told.
	pending    float64
	unanswered int
	changed    bool
	// others is how many prompts waited there as of wordAt that neither this entry
	// nor any other told of.
	others float64
	// word is how many waited in all by the endpoint's own word as of wordAt, and
	// untoldWord says that this entry has it from the endpoint and told nobody yet.
	word       int
	wordAt     clock.Millis
	untoldWord bool
}

// NewSelector makes a board that knows nothing.
func NewSelector() *Selector { return NewSelectorWith(decision.Strategies{}) }

// NewSelectorWith makes a board that decides in the ways given.
func NewSelectorWith(ways decision.Strategies) *Selector {
	return &Selector{ways: ways, affinity: ways.For(decision.Affinity), urgent: make(chan struct{}, 1), inflight: choice.NewInflight(), marks: make(map[string]*mark), byHash: make(map[uint32]*mark), kept: newKept(), peers: make(map[string]peerWork), speed: newSpeeds()}
}

func (b *Selector) mark(id string) *mark {
	m, ok := b.marks[id]
	if !ok {
		m = &mark{hash: shortHash(id)}
		b.marks[id] = m
		b.byHash[m.hash] = m
	}
	return m
}

// Work is a prompt that an endpoint has to read.
type Work struct {
	board    *Selector
	endpoint string
	model    string
	tokens   int
	millis   float64
	// alone is true when no other prompt was waiting there.
	alone bool
	// wait is what was known to stand before the first byte when the work began, and
	// expected the span in which that byte was expected.
	wait     float64
	expected clock.Millis
	begun    clock.Millis
	read     bool
}

// ExpectedFirstByte is how long the first byte was expected to take when the work began.
func (w *Work) ExpectedFirstByte() clock.Millis { return w.expected }

// Begin counts a request that is sent to an endpoint.
func (b *Selector) Begin(e *fleet.Endpoint, q Query) *Work {
	id := e.ID
	b.inflight.Add(id, 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	m, q := b.mark(id), q.hashed()
	unread := b.unread(m, q)
	w := &Work{board: b, endpoint: id, model: q.Model, tokens: unread, millis: b.speed.millis(q.Model, unread), alone: m.unanswered == 0, begun: q.Now}
	w.wait = b.waiting(e, m, q) + w.millis
	w.expected = b.speed.first(q.Model, w.wait)
	m.pending += w.millis
	m.unanswered++
	m.changed = true
	if w.millis >= urgentLeast && !b.ways.Disabled(decision.UrgentReports) {
		b.signalUrgent()
	}
	b.kept.own(m.hash, q)
	return w
}

// FirstByte tells that the first byte of the answer has come, and with it that the
// prompt was read.
func (w *Work) FirstByte(now clock.Millis) {
	b := w.board
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.alone && !w.read {
		b.speed.add(w.model, w.tokens, now-w.begun)
	}
	if !w.read {
		b.speed.miss(w.model, float64(now-w.begun)-w.wait)
	}
	w.done()
}

// done takes the work off its endpoint, once.
func (w *Work) done() {
	if w.read {
		return
	}
	w.read = true
	m := w.board.mark(w.endpoint)
	m.pending = max(m.pending-w.millis, 0)
	m.unanswered--
	m.changed = true
}

// End counts a request that ended at an endpoint.
func (w *Work) End() {
	w.board.inflight.Add(w.endpoint, -1)
	w.board.mu.Lock()
	defer w.board.mu.Unlock()
	w.done()
}

// waiting is how long the prompts take that wait at an endpoint: those of this
// entry, which it knows one by one, those that other entries told of, and the rest by
// their number. Where others tell of their work, an endpoint not heard of lately is
// idle; elsewhere it is taken to be like the others: taken for idle, it would get work
// from another zone that its neighbours have filled it with.
func (b *Selector) waiting(e *fleet.Endpoint, m *mark, q Query) float64 {
	if b.ways.Disabled(decision.Waiting) {
		return 0
	}
	usual := b.usualOthers
	if q.visible(e) {
		usual = 0
	}
	fresh := math.Exp2(-float64(q.Now-m.wordAt) / float64(wordHalf))
	pending, _ := b.told(m.hash, q.Now)
	return m.pending + pending + (m.others*fresh+usual*(1-fresh))*b.speed.mean
}

// RecordQueueLength takes an endpoint's own word on how many prompts wait there.
func (b *Selector) RecordQueueLength(id string, waiting int, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.mark(id)
	b.word(m, waiting, now, now)
	m.untoldWord = true
}

// word takes an endpoint's word as of an instant.
func (b *Selector) word(m *mark, waiting int, at, now clock.Millis) {
	_, told := b.told(m.hash, now)
	m.word, m.wordAt, m.untoldWord = waiting, at, false
	m.others = max(float64(waiting-m.unanswered)-told, 0)
	b.usualOthers += usualWeight * (m.others - b.usualOthers)
}

// usualWeight is the weight of one endpoint's word in what is usual.
const usualWeight = 0.05

// wordHalf is how fast an endpoint's word on the prompts that wait there loses
// its weight: a prompt is read in a few hundred milliseconds.
const wordHalf = 500 * clock.Millis(1)

// RecordLoad takes an endpoint's own word on its load.
func (b *Selector) RecordLoad(id string, held, slots int, now clock.Millis) {
	b.inflight.RecordLoad(&wire.Load{Vm: id, Held: int32(held), Window: int32(slots)}, now)
}

const (
	// lostFirst and lostMost bound how long an endpoint that was lost is left
	// alone; the span doubles with each loss in a row.
	lostFirst = 500 * clock.Millis(1)
	lostMost  = 8 * clock.Second
	// trialFor is how long the others wait for what becomes of the one request that
	// tries a lost endpoint: longer than a connection to a dead one takes to fail.
	trialFor = clock.Second
)

// RecordUnreachable counts an endpoint that could not be reached or fell silent. It is left
// alone for a while; then one request tries it. If all did, each would pay the
// time that it takes to find out that the endpoint is still gone.
func (b *Selector) RecordUnreachable(id string, now clock.Millis) {
	b.mu.Lock()
	m := b.mark(id)
	m.lostUntil = now + min(lostFirst<<min(m.losses, 5), lostMost)
	m.losses++
	b.mu.Unlock()
	b.RecordOutcome(id, true, now)
}

// RecordActivity notes that an endpoint sent something.
func (b *Selector) RecordActivity(id string, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.mark(id)
	m.heardAt = now
	if m.losses > 0 {
		m.backUntil = now + backSpan
	}
	m.losses, m.lostUntil = 0, 0
}

// backSpan is how long an endpoint that was lost and answers again is taken to be
// cold: it may have started anew, which its announcement tells within a heartbeat
// (1.2 s) and the pause between two reads of the store (0.8 s).
const backSpan = 2 * clock.Second

// ActiveSince reports whether an endpoint sent something after an instant.
func (b *Selector) ActiveSince(id string, at clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	m, ok := b.marks[id]
	return ok && m.heardAt > at
}

func (b *Selector) reached(m *mark, now clock.Millis) bool {
	return now >= m.lostUntil || b.ways.Disabled(decision.UnreachableEndpoints)
}

// RecordOutcome counts an attempt's end.
func (b *Selector) RecordOutcome(id string, failed bool, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.mark(id)
	bad := 0.0
	if failed {
		bad = 1
	}
	m.failed = m.part(now)*(1-failWeight) + bad*failWeight
	m.failedAt = now
}

func (m *mark) part(now clock.Millis) float64 {
	return m.failed * math.Exp2(-float64(now-m.failedAt)/float64(failHalf))
}

func (b *Selector) failing(m *mark, now clock.Millis) float64 {
	if b.ways.Disabled(decision.Failures) {
		return 0
	}
	return m.part(now)
}

// sent counts a request against the endpoint's bounds.
func (b *Selector) sent(id string, now clock.Millis) {
	m := b.mark(id)
	m.sends = append(m.sends, now)
	for m.sends[0] < now-rateSpan {
		m.sends = m.sends[1:]
	}
	if m.losses > 0 {
		m.lostUntil = max(m.lostUntil, now+trialFor)
	}
}

// warmFactor is how much more than its even share of what an endpoint bears an
// entry may send to one that is warm as far as anybody knows. An entry of 31 has a
// share of one request in a second; kept to it, it refuses a caller whenever two
// meet, and passes endpoints over that hold a prompt's parts.
const warmFactor = 4

// inBounds reports whether one more request keeps this entry's share of what an
// endpoint may get in a second. An endpoint in cold start that gets well more
// crashes, so that the shares of all entries add up to what it bears. One that may
// have turned cold unannounced is safe by another reason: as long as its load is
// like that of its neighbours, placement gives it no more than these.
func inBounds(s *fleet.Snapshot, e *fleet.Endpoint, m *mark, q Query) bool {
	total := q.Bounds.Warm * warmFactor
	if s.Cold(e, q.Now) || m.backUntil > q.Now || m.statedOf(e).coldUntil > q.Now {
		total = q.Bounds.Cold
	}
	return total <= 0 || m.sentSince(q.Now-window) < q.Bounds.Shares[e.Zone].Quota(total, e.ID)
}

// sentSince counts what was sent at an instant or later.
func (m *mark) sentSince(at clock.Millis) (n int) {
	for n < len(m.sends) && m.sends[len(m.sends)-1-n] >= at {
		n++
	}
	return n
}

// inShare reports whether one more request keeps this entry's even share of what a warm
// endpoint may get. Where all entries send to the same endpoint, as they do with a hot
// subject, placement does not keep it as busy as its neighbours.
func inShare(e *fleet.Endpoint, m *mark, q Query) bool {
	return q.Bounds.Warm <= 0 || m.sentSince(q.Now-window) < q.Bounds.Shares[e.Zone].Quota(q.Bounds.Warm, e.ID)
}

// spared is what is saved beyond time by the tokens of a prompt that need not be read.
func readingSaved(q Query, unread int) float64 {
	return readCost * float64(tokensOf(q.Blocks)-unread)
}

func tokensOf(parts []Block) (tokens int) {
	for _, p := range parts {
		tokens += p.Tokens
	}
	return tokens
}

// unread counts the tokens of the prompt that the endpoint must read: all parts
// from the first one on that it does not have.
func (b *Selector) unread(m *mark, q Query) (tokens int) {
	missing := b.ways.Disabled(decision.CachedBlocks)
	for i, p := range q.Blocks {
		missing = missing || !b.kept.holds(m.hash, q.hashes[i], q.Now)
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
	for id, m := range b.marks {
		if s.Find(id) == nil && !m.stated.holds(now) {
			delete(b.marks, id)
			delete(b.byHash, m.hash)
			delete(b.kept.untold, m.hash)
		}
	}
	b.forget(now)
}
