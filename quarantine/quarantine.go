// Package quarantine finds the blocks of prompts on which endpoints crash, and says which requests
// must not be sent to endpoints because of them. It does no I/O.
//
// Each crash names suspects: the blocks of the attempts that the endpoint had just begun to answer
// or not begun yet. A block is cleared by an answer with it that got beyond its beginning. Other
// requests share all blocks but the one at fault, so that these are cleared all the time; what is
// named by several crashes and never cleared is the cause.
package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"sync"

	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// crashesToQuarantine is how many independent crashes must name a block before requests with it
	// are refused.
	crashesToQuarantine = 3
	// clearTTL is how long a block stays cleared after an answer with it.
	clearTTL = clock.Minute
	// forgetAfter is how long a suspected block is remembered after the last request with it.
	forgetAfter = 10 * clock.Minute
	// firstTrialDelay is the time from the last crash to the trial of a quarantined block; it doubles
	// with each further crash, up to maxTrialDoublings times.
	firstTrialDelay   = 30 * clock.Second
	maxTrialDoublings = 6
	// trialInterval is the minimum time between two trials if the last one showed nothing.
	trialInterval = 5 * clock.Second
	// maxSuspects limits the suspected blocks, maxCrashes the crashes kept for each of them, and
	// maxDependent those of them that do not count as independent: others must have room.
	maxSuspects  = 256
	maxCrashes   = 16
	maxDependent = 8
	// maxCleared is the number of cleared blocks from which old ones are dropped sooner; there are never
	// more than twice as many.
	maxCleared = 20000
	// maxKeyBytes is the length above which the ID of a block is replaced by a digest.
	maxKeyBytes = 64
	// never is a time before all others.
	never = -clock.Hour
)

// Key returns the name under which a block is known. Different blocks have different keys: with a
// short hash, a sound block could be kept out in place of another one.
func Key(id string) string {
	if len(id) <= maxKeyBytes {
		return id
	}
	digest := sha256.Sum256([]byte(id))
	return "sha256:" + hex.EncodeToString(digest[:])[:maxKeyBytes-len("sha256:")]
}

// Register holds what is known of blocks and of the attempts in progress. It is safe for concurrent
// use.
type Register struct {
	mu sync.Mutex
	// cleared holds when an answer of this entry last cleared a block.
	cleared map[string]clock.Millis
	// suspects holds the blocks that a crash named or that another entry reported.
	suspects map[string]*suspect
	// endpoints holds the attempts with blocks that are not cleared, and recent crashes.
	endpoints map[Incarnation]*endpoint
	// changed is closed, and replaced, when a finding may have changed.
	changed chan struct{}
	// urgent holds a value while there is something to report at once.
	urgent chan struct{}
}

// suspect is what is known of a block that a crash named.
type suspect struct {
	// crashes holds the crashes that named the block by the hash of the endpoint's incarnation.
	crashes map[uint64]crash
	// clearedAt is when an answer of another entry cleared the block; crashes is empty then.
	clearedAt clock.Millis
	// seenAt is when a request with the block last arrived at any entry.
	seenAt clock.Millis
	// tester is the request of this entry that tests the block; empty if there is none. triedAt is when
	// the last test began.
	tester  string
	triedAt clock.Millis
	// repeats is how often the block must still be reported to other entries.
	repeats int
}

// crash is the crash of an endpoint, at a time, and when the attempt with the block began there.
type crash struct {
	at, began clock.Millis
}

// New returns an empty register.
func New() *Register {
	return &Register{cleared: make(map[string]clock.Millis), suspects: make(map[string]*suspect), endpoints: make(map[Incarnation]*endpoint), changed: make(chan struct{}), urgent: make(chan struct{}, 1)}
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

// Admit decides on a request by its shared blocks. block is the one that the decision rests on, crashes
// the number of endpoints that crashed with it. mayTry is true if this entry is the one that
// tries quarantined blocks.
func (g *Register) Admit(request string, blocks []string, mayTry bool, now clock.Millis) (f Finding, block string, crashes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, key := range blocks {
		s := g.suspects[key]
		if s == nil || len(s.crashes) == 0 || g.isCleared(key, now) {
			continue
		}
		s.seenAt = now
		next := Test
		switch {
		case g.quarantined(key, blocks) && (!mayTry || s.tester != "" || !s.trialDue(now)):
			next = Quarantined
		case s.tester != "":
			next = Wait
		}
		if next > f {
			f, block, crashes = next, key, len(s.crashes)
		}
	}
	if f == Test {
		g.setTester(blocks, "", request)
		for _, key := range blocks {
			if s := g.suspects[key]; s != nil {
				s.triedAt = now
			}
		}
	}
	return f, block, crashes
}

// Release ends the test of a request.
func (g *Register) Release(request string, blocks []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setTester(blocks, request, "")
	g.notify()
}

// setTester replaces the request that tests the blocks.
func (g *Register) setTester(blocks []string, from, to string) {
	for _, key := range blocks {
		if s := g.suspects[key]; s != nil && s.tester == from {
			s.tester = to
		}
	}
}

// quarantined reports whether a request with the given blocks is refused because of one of them:
// enough crashes named it, and the request has every other block that all of these crashes named as well.
// Without that, a sound block that came with the one at fault would be kept out too.
func (g *Register) quarantined(key string, blocks []string) bool {
	s := g.suspects[key]
	if s.independent() < crashesToQuarantine {
		return false
	}
	for other, o := range g.suspects {
		if other != key && o.includes(s) && !slices.Contains(blocks, other) {
			return false
		}
	}
	return true
}

// includes reports whether each crash that named other also named s.
func (s *suspect) includes(other *suspect) bool {
	if len(s.crashes) < len(other.crashes) {
		return false
	}
	for crash := range other.crashes {
		if _, ok := s.crashes[crash]; !ok {
			return false
		}
	}
	return true
}

// independent counts the crashes that named the block without those whose attempt began before the
// last one counted: a lost rack or zone takes many endpoints at once, whatever their requests.
func (s *suspect) independent() (n int) {
	last := never
	for _, c := range s.inOrder() {
		if c.began >= last {
			last = c.at
			n++
		}
	}
	return n
}

// inOrder returns the crashes in the order of their times.
func (s *suspect) inOrder() []crash {
	return slices.SortedFunc(maps.Values(s.crashes), func(a, b crash) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.began, b.began)) })
}

// add adds a crash if it is not known and there is room for it, and reports whether that was done.
func (s *suspect) add(incarnation uint64, c crash) bool {
	if _, known := s.crashes[incarnation]; known || len(s.crashes) >= maxCrashes {
		return false
	}
	before := s.independent()
	s.crashes[incarnation] = c
	if s.independent() <= before && len(s.crashes)-before > maxDependent {
		delete(s.crashes, incarnation)
		return false
	}
	return true
}

// trialDue reports whether a quarantined block may be tried again: the verdict may be wrong, and
// nothing else would show that.
func (s *suspect) trialDue(now clock.Millis) bool {
	last := never
	for _, c := range s.crashes {
		last = max(last, c.at)
	}
	delay := firstTrialDelay << min(len(s.crashes)-crashesToQuarantine, maxTrialDoublings)
	return now-last >= delay && now-s.triedAt >= trialInterval
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

// clear records an answer of this entry that got beyond its beginning. It outweighs all crashes.
func (g *Register) clear(key string, now clock.Millis) {
	if _, known := g.cleared[key]; known || len(g.cleared) < 2*maxCleared {
		g.cleared[key] = now
	}
	if s := g.suspects[key]; s != nil && len(s.crashes) > 0 {
		clear(s.crashes)
		s.clearedAt = now
		g.report(s)
		g.notify()
	}
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
	s = &suspect{crashes: make(map[uint64]crash), clearedAt: never, seenAt: now, triedAt: never}
	g.suspects[key] = s
	return s
}

// dropWeakest drops the suspect that the fewest crashes named, of these the one seen the longest ago.
func (g *Register) dropWeakest() {
	weakest := ""
	for key, s := range g.suspects {
		w := g.suspects[weakest]
		if w == nil || len(s.crashes) < len(w.crashes) || len(s.crashes) == len(w.crashes) && s.seenAt < w.seenAt {
			weakest = key
		}
	}
	delete(g.suspects, weakest)
}

// Sweep drops what is no longer needed. It must be called regularly.
func (g *Register) Sweep(now clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, s := range g.suspects {
		if now-s.seenAt > forgetAfter || len(s.crashes) == 0 && now-s.clearedAt > clearTTL {
			delete(g.suspects, key)
		}
	}
	for key, at := range g.cleared {
		if now-at > clearTTL || len(g.cleared) > maxCleared && now-at > clearTTL/2 {
			delete(g.cleared, key)
		}
	}
	g.sweepEndpoints(now)
}

// Counts returns the number of suspected blocks, of those that are quarantined, and of cleared ones.
func (g *Register) Counts() (suspected, quarantined, cleared int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.suspects {
		if len(s.crashes) > 0 {
			suspected++
		}
		if s.independent() >= crashesToQuarantine {
			quarantined++
		}
	}
	return suspected, quarantined, len(g.cleared)
}
