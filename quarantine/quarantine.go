// Package quarantine finds the requests, and the blocks of their prompts, on which endpoints crash, and says
// which requests must not be sent to endpoints because of them. It does no I/O.
//
// Each crash names suspects: the keys of the attempts that the endpoint had just begun to answer or not
// begun yet. These are the blocks, and one key for the request itself, which its repeats share whoever
// sends them. A key is cleared by an answer with it that got beyond its beginning. Other requests share all
// keys but the one at fault, so that these are cleared all the time; what is named by several crashes and
// never cleared is the cause. Nothing is kept of a request under which nothing crashed.
package quarantine

import (
	"maps"
	"slices"
	"sync"

	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// crashesToQuarantine is how many independent crashes must name a block before requests with it
	// are refused, and requestCrashes how many must name a single request: fewer callers lose by a wrong
	// verdict on it.
	crashesToQuarantine = 3
	requestCrashes      = 2
	// minShare is the fraction of all crashes since the first that named a block, other than those that
	// another guilty block explains, that must name it: where many endpoints crash for another reason,
	// sound blocks are named now and then.
	minShare = 1.0 / 6
	// requestShareTime is how long before the first crash that named a single request all crashes are counted
	// for minShare: two may be chance where endpoints crash often.
	requestShareTime = clock.Second
	// maxCrowd is the number of requests that a crash may name for each of them to be tested by itself: as one of
	// many a request is probably sound.
	maxCrowd = 4
	// maxAlike is the number of requests that are refused together, if the same crashes name them all and one
	// of them is the cause.
	maxAlike = 8
	// alikeFactor and alikeSlack are how much longer an endpoint may run on a request than another one did, if both crash on
	// it: it may have to wait there.
	alikeFactor = 2
	alikeSlack  = 20 * clock.Millis(1)
	// judgeInterval is the minimum time between two judgements: much evidence may arrive at once.
	judgeInterval = 20 * clock.Millis(1)
	// maxEnds limits the crashes that are counted.
	maxEnds = 1024
	// maxMomentCrashes limits the crashes that are kept within momentTime of each other.
	maxMomentCrashes = 4
	momentTime       = 200 * clock.Millis(1)
	// clearTTL is how long a block stays cleared after an answer with it.
	clearTTL = clock.Minute
	// forgetAfter is how long a suspect is remembered after the last request with it, and onceForgetAfter how
	// long a request that one crash names: most callers never send it again.
	forgetAfter     = 10 * clock.Minute
	onceForgetAfter = clock.Minute
	// firstTrialDelay is the time from the last crash to the trial of a quarantined block; it doubles
	// with each further crash, up to maxTrialDoublings times.
	firstTrialDelay   = 30 * clock.Second
	maxTrialDoublings = 6
	// requestTrialFactor multiplies the delay for a single request: its callers have given up by then, and a
	// request that many send is cleared by their answers.
	requestTrialFactor = 4
	// trialInterval is the minimum time between two trials if the last one showed nothing.
	trialInterval = 5 * clock.Second
	// maxSuspects limits the suspected blocks, maxCrashes the crashes, and maxNamed the blocks that one
	// crash names.
	maxSuspects = 1024
	maxCrashes  = 256
	maxNamed    = 48
	// maxCleared is the number of cleared blocks from which old ones are dropped sooner; there are never
	// more than twice as many.
	maxCleared = 20000
	// maxKeyBytes is the length above which the ID of a block is replaced by a digest.
	maxKeyBytes = 64
	// never is a time before all others.
	never = -clock.Hour
)

// Register holds what is known of blocks and of the attempts in progress. It is safe for concurrent
// use.
type Register struct {
	mu sync.Mutex
	// cleared holds when an answer of this entry last cleared a block.
	cleared map[string]clock.Millis
	// suspects holds the blocks that crashes named or that another entry cleared, crashes the crashes
	// by the hash of the endpoint's incarnation.
	suspects map[string]*suspect
	crashes  map[uint64]*crash
	// ends holds when endpoints crashed that are known to this entry, also those whose crashes name no
	// block, by the hash of their incarnation.
	ends map[uint64]clock.Millis
	// guilty holds the blocks for which requests are refused. It follows from crashes as of judgedAt;
	// stale is true if they have changed since. found holds what was found since Found was called.
	guilty   map[string]verdict
	judgedAt clock.Millis
	stale    bool
	found    []string
	// requests is the number of suspects that are requests. While it is 0, no digest of a request is needed.
	requests int
	// endpoints holds the attempts that have shown nothing yet, and recent crashes.
	endpoints map[Incarnation]*endpoint
	// changed is closed, and replaced, when a finding may have changed.
	changed chan struct{}
	// urgent holds a value while there is something to report at once.
	urgent chan struct{}
}

// suspect is what is known of a block.
type suspect struct {
	// clearedAt is when an answer of any entry last cleared the block; no crash names it then.
	clearedAt clock.Millis
	// seenAt is when a request with the block last arrived at any entry.
	seenAt clock.Millis
	// tester is the request of this entry that tests the block; empty if there is none. triedAt is when
	// the last test began.
	tester  string
	triedAt clock.Millis
	// lastCrashAt is when an endpoint last crashed that named the block.
	lastCrashAt clock.Millis
	// named is the number of crashes that name the key, and crowd how many requests the last one of them named.
	named int
	crowd int
	// clearing is the report of its clearing to other entries.
	clearing news
}

// New returns an empty register.
func New() *Register {
	return &Register{cleared: make(map[string]clock.Millis), suspects: make(map[string]*suspect), crashes: make(map[uint64]*crash), ends: make(map[uint64]clock.Millis), judgedAt: never, endpoints: make(map[Incarnation]*endpoint), changed: make(chan struct{}), urgent: make(chan struct{}, 1)}
}

// Changed returns a channel that is closed when a finding may have changed.
func (g *Register) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// notify closes the channel that Changed returned. mu must be held.
func (g *Register) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Finding is what the register says of a request.
type Finding int

// The findings.
const (
	// Admitted means that the request may be sent to any endpoint.
	Admitted Finding = iota
	// Test means that the request is now the only one of this entry that tests its suspected blocks,
	// until Release.
	Test
	// Wait means that another request tests a suspected block of this one.
	Wait
	// Quarantined means that the request must not be sent.
	Quarantined
)

// String returns the name of the finding for logs and metrics.
func (f Finding) String() string { return [...]string{"admitted", "test", "wait", "quarantined"}[f] }

// Admit decides on a request by its keys. because is the one that the decision rests on, of several the one
// that the most crashes named, which is their number. mayTry is true if this entry is the one that tries
// quarantined ones.
func (g *Register) Admit(request string, keys *Keys, mayTry bool, now clock.Millis) (f Finding, because string, crashes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := g.keysOf(keys)
	for _, key := range all {
		s := g.suspects[key]
		if s == nil || s.named == 0 || g.isCleared(key, now) {
			continue
		}
		s.seenAt = now
		if isRequest(key) && s.named == 1 && s.crowd > maxCrowd {
			continue
		}
		if s.named >= crashesFor(key) {
			g.judgedAt = never // the request must not reach another endpoint for want of a judgement
		}
		g.judge(now)
		next := Test
		switch {
		case g.refuses(key, all) && (!mayTry || s.tester != "" || !g.trialDue(key, now)):
			next = Quarantined
		case s.tester != "", g.isBesideTest(key):
			next = Wait
		}
		// Of keys that are named alike the last one: requests begin with the same blocks, and one that only
		// this request has would be tested beside each other one.
		if next > f || next == f && s.named >= crashes {
			f, because, crashes = next, key, s.named
		}
	}
	if f == Test {
		g.setTester(all, "", request)
		for _, key := range all {
			if s := g.suspects[key]; s != nil {
				s.triedAt = now
			}
		}
	}
	return f, because, crashes
}

// AdmitBegun decides on a request that is quarantined itself although its caller has a part of the answer, which would
// break off. If all crashes that name it name others that are quarantined too, all but one of them are sound: they are
// tested once more, one after the other.
func (g *Register) AdmitBegun(request string, keys *Keys, now clock.Millis) Finding {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := g.requestOf(keys)
	s := g.suspects[key]
	if s == nil || s.named > requestCrashes {
		return Quarantined
	}
	tied := g.tiedWith(key)
	if !slices.ContainsFunc(tied, g.isGuilty) {
		return Quarantined
	}
	for _, other := range append(tied, key) {
		if tester := g.suspects[other].tester; tester != "" && tester != request {
			return Wait
		}
	}
	s.tester, s.triedAt = request, now
	return Test
}

// isBesideTest reports whether a quarantined request is tested that the same crashes name as the given key, if they are
// just enough for a verdict on a request.
func (g *Register) isBesideTest(key string) bool {
	return isRequest(key) && g.suspects[key].named == requestCrashes && slices.ContainsFunc(g.tiedWith(key), func(other string) bool {
		return g.suspects[other].tester != "" && g.isGuilty(other)
	})
}

// tiedWith returns the other requests that all crashes name which name a request.
func (g *Register) tiedWith(key string) (tied []string) {
	crashes, beside := 0, make(map[string]int)
	for _, c := range g.crashes {
		if _, ok := c.named[key]; !ok {
			continue
		}
		crashes++
		for other := range c.named {
			if isRequest(other) && other != key {
				beside[other]++
			}
		}
	}
	for other, n := range beside {
		if n == crashes {
			tied = append(tied, other)
		}
	}
	return tied
}

// keysOf returns the keys of a request that may be suspects, that of the request itself first.
func (g *Register) keysOf(keys *Keys) (all []string) {
	if request := g.requestOf(keys); request != "" {
		all = append(all, request)
	}
	return append(all, keys.shared...)
}

// requestOf returns the key of the request itself; empty while no request is a suspect.
func (g *Register) requestOf(keys *Keys) string {
	if g.requests == 0 {
		return ""
	}
	return keys.Request()
}

// Release ends the test of a request.
func (g *Register) Release(request string, keys *Keys) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setTester(g.keysOf(keys), request, "")
	g.notify()
}

// setTester replaces the request that tests the keys.
func (g *Register) setTester(keys []string, from, to string) {
	for _, key := range keys {
		if s := g.suspects[key]; s != nil && s.tester == from {
			s.tester = to
		}
	}
}

// trialDue reports whether a quarantined block may be tried again: the verdict may be wrong, and
// nothing else would show that.
func (g *Register) trialDue(key string, now clock.Millis) bool {
	s := g.suspects[key]
	delay := firstTrialDelay << min(max(g.guilty[key].crashes-crashesFor(key), 0), maxTrialDoublings)
	if isRequest(key) {
		delay *= requestTrialFactor
	}
	return now-s.lastCrashAt >= delay && now-s.triedAt >= trialInterval
}

// crashesFor returns how many independent crashes must name a key for a verdict.
func crashesFor(key string) int {
	if isRequest(key) {
		return requestCrashes
	}
	return crashesToQuarantine
}

// isCleared reports whether an answer with the block got beyond its beginning lately, at this entry or
// another one.
func (g *Register) isCleared(key string, now clock.Millis) bool {
	if at, ok := g.cleared[key]; ok && now-at < clearTTL {
		return true
	}
	s := g.suspects[key]
	return s != nil && now-s.clearedAt < clearTTL
}

// clear records an answer of this entry that got beyond its beginning, and reports whether several crashes
// named the block. The answer outweighs all crashes.
func (g *Register) clear(key string, now clock.Millis) bool {
	if _, known := g.cleared[key]; known || len(g.cleared) < 2*maxCleared {
		g.cleared[key] = now
	}
	return g.clearSuspect(key, now)
}

// clearSuspect is like clear, but keeps nothing of a key that is no suspect.
func (g *Register) clearSuspect(key string, now clock.Millis) bool {
	s := g.suspects[key]
	if s == nil || s.named == 0 {
		return false
	}
	told := s.named > 1
	g.acquit(key, now)
	g.repeatClearing(s)
	g.notify()
	return told
}

// acquit removes a block from all crashes: an answer with it got beyond its beginning at the given time.
func (g *Register) acquit(key string, at clock.Millis) {
	s := g.suspects[key]
	s.clearedAt, s.named = max(s.clearedAt, at), 0
	for _, c := range g.crashes {
		delete(c.named, key)
	}
	g.stale = true
}

// suspectOf returns the suspect of a block, and adds it if there is room.
func (g *Register) suspectOf(key string, now clock.Millis) *suspect {
	s := g.suspects[key]
	if s != nil {
		return s
	}
	if len(g.suspects) >= maxSuspects {
		g.dropWeakest()
	}
	s = &suspect{clearedAt: never, seenAt: now, triedAt: never, lastCrashAt: never}
	g.suspects[key] = s
	if isRequest(key) {
		g.requests++
	}
	return s
}

// dropWeakest drops the suspect that the fewest crashes named, of these the one seen the longest ago.
func (g *Register) dropWeakest() {
	weakest := ""
	for key, s := range g.suspects {
		w := g.suspects[weakest]
		if w == nil || s.named < w.named || s.named == w.named && s.seenAt < w.seenAt {
			weakest = key
		}
	}
	g.dropSuspect(weakest)
}

func (g *Register) dropSuspect(key string) {
	for _, c := range g.crashes {
		delete(c.named, key)
	}
	if isRequest(key) {
		g.requests--
	}
	delete(g.suspects, key)
}

// Sweep drops what is no longer needed. It must be called regularly.
func (g *Register) Sweep(now clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, s := range g.suspects {
		once := isRequest(key) && s.named == 1 && now-s.seenAt > onceForgetAfter
		if now-s.seenAt > forgetAfter || once || s.named == 0 && now-s.clearedAt > clearTTL {
			g.dropSuspect(key)
		}
	}
	maps.DeleteFunc(g.crashes, func(_ uint64, c *crash) bool { return len(c.named) == 0 })
	maps.DeleteFunc(g.ends, func(_ uint64, at clock.Millis) bool { return now-at > forgetAfter })
	g.stale = true
	g.judge(now)
	for key, at := range g.cleared {
		if now-at > clearTTL || len(g.cleared) > maxCleared && now-at > clearTTL/2 {
			delete(g.cleared, key)
		}
	}
	g.sweepEndpoints(now)
}

// Found returns what was found since the last call: the blocks for which requests are refused from now on,
// several joined by + if only requests with all of them are.
func (g *Register) Found(now clock.Millis) (found []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.judge(now)
	found, g.found = g.found, nil
	return found
}

// Quarantined returns the sets of blocks for which requests are refused, in order.
func (g *Register) Quarantined(now clock.Millis) (sets [][]string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.judge(now)
	for _, key := range slices.Sorted(maps.Keys(g.guilty)) {
		sets = append(sets, append([]string{key}, g.guilty[key].with...))
	}
	return sets
}

// Counts returns the number of suspected blocks, of those that are quarantined, and of cleared ones.
func (g *Register) Counts() (suspected, quarantined, cleared int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.suspects {
		if s.named > 0 {
			suspected++
		}
	}
	return suspected, len(g.guilty), len(g.cleared)
}
