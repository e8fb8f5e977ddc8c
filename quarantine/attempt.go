package quarantine

import (
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// beginningTime is how long after its head an answer counts as beginning: an endpoint that crashes
	// on a request does so with the first tokens.
	beginningTime = 500 * clock.Millis(1)
	// endedTime is how long after its end an attempt can still be the cause of a crash, or be shown
	// not to be.
	endedTime = 1500 * clock.Millis(1)
	// crashTTL is how long a crash is remembered for attempts that notice it later.
	crashTTL = 10 * clock.Second
	// aliveStep is the time within which further signs of life of an endpoint show nothing new.
	aliveStep = 50 * clock.Millis(1)
)

// Incarnation is one start of an endpoint.
type Incarnation struct {
	Endpoint string
	Number   int64
}

func (i Incarnation) hash() uint64 {
	return xxhash.Sum64String(i.Endpoint + "/" + strconv.FormatInt(i.Number, 10))
}

// endpoint is an incarnation with attempts that have shown nothing yet.
type endpoint struct {
	// waiting holds the attempts without a head, begun those whose answers have begun, from the oldest
	// on.
	waiting map[*Attempt]bool
	begun   []*Attempt
	// aliveAt is when the endpoint last sent something, in steps of aliveStep, crashedAt when it
	// crashed; never before that.
	aliveAt   clock.Millis
	crashedAt clock.Millis
}

// Attempt is an attempt at an endpoint that may still crash because of it.
type Attempt struct {
	endpoint *endpoint
	keys     *Keys
	// uncleared holds the shared blocks that were not cleared not long ago.
	uncleared []string
	// sent is true once the request was sent, at sentAt.
	sent   bool
	sentAt clock.Millis
	// over is true once the attempt has shown what it can: it got beyond its beginning, or was cancelled.
	over bool
	// whole is true if the head arrives only with the whole answer.
	whole bool
	// headAt is when the head of the answer arrived, aliveAt when the endpoint first sent something
	// half of beginningTime later; never before that.
	headAt  clock.Millis
	aliveAt clock.Millis
	// endedAt is the end of the attempt; never before that. broken is true if the answer broke off.
	endedAt clock.Millis
	broken  bool
}

// Begin records an attempt at an endpoint, to which nothing is sent before Sent. whole is true if the head arrives only with
// the whole answer.
func (g *Register) Begin(i Incarnation, keys *Keys, whole bool, now clock.Millis) *Attempt {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := &Attempt{keys: keys, whole: whole, headAt: never, aliveAt: never, endedAt: never}
	for _, key := range keys.shared {
		if at, ok := g.cleared[key]; !ok || now-at > clearTTL/2 {
			a.uncleared = append(a.uncleared, key)
		}
	}
	a.endpoint = g.endpointOf(i)
	a.endpoint.waiting[a] = true
	return a
}

// Sent records that the request is being sent. Only then can it be the cause of a crash: others may find out meanwhile that
// the endpoint crashed long ago.
func (g *Register) Sent(a *Attempt, now clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a.sent, a.sentAt = true, now
}

// Apart returns the endpoints that a request should not be sent to because another suspected request is in progress there.
// If one of them crashed under both, nothing would tell which of the two is the cause. It is nil for a request that no crash
// names.
func (g *Register) Apart(keys *Keys, now clock.Millis) (avoid map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isSuspectedRequest(keys, now) {
		return nil
	}
	avoid = make(map[string]bool)
	for i, e := range g.endpoints {
		for a := range e.waiting {
			avoid[i.Endpoint] = avoid[i.Endpoint] || a.keys != keys && g.isSuspectedRequest(a.keys, now)
		}
		for _, a := range e.begun {
			avoid[i.Endpoint] = avoid[i.Endpoint] || a.keys != keys && a.endedAt == never && g.isSuspectedRequest(a.keys, now)
		}
	}
	maps.DeleteFunc(avoid, func(_ string, suspected bool) bool { return !suspected })
	return avoid
}

// IsSuspected reports whether a crash names a request itself that was not cleared since.
func (g *Register) IsSuspected(keys *Keys, now clock.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isSuspectedRequest(keys, now)
}

// isSuspectedRequest reports whether a crash names a request itself that was not cleared since.
func (g *Register) isSuspectedRequest(keys *Keys, now clock.Millis) bool {
	key := g.requestOf(keys)
	s := g.suspects[key]
	return key != "" && s != nil && s.named > 0 && !g.isCleared(key, now)
}

func (g *Register) endpointOf(i Incarnation) *endpoint {
	e := g.endpoints[i]
	if e == nil {
		e = &endpoint{waiting: make(map[*Attempt]bool), aliveAt: never, crashedAt: never}
		g.endpoints[i] = e
	}
	return e
}

// Head records the head of an attempt's answer.
func (g *Register) Head(a *Attempt, now clock.Millis) {
	if a == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	a.headAt = now
	delete(a.endpoint.waiting, a)
	a.endpoint.begun = append(a.endpoint.begun, a)
}

// Alive records that the endpoint sent something. An answer is beyond its beginning when its endpoint
// sends something twice, half of beginningTime apart: what was sent before a crash may be read late
// at once. acquitted holds the suspected blocks that this clears.
func (g *Register) Alive(i Incarnation, now clock.Millis) (acquitted []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.endpoints[i]
	if e == nil || e.crashedAt != never || now-e.aliveAt < aliveStep {
		return nil
	}
	e.aliveAt = now
	return g.prove(e, func(a *Attempt) bool {
		if a.aliveAt == never && now-a.headAt >= beginningTime/2 {
			a.aliveAt = now
		}
		return a.aliveAt != never && now-a.aliveAt >= beginningTime/2
	}, now)
}

// prove clears the blocks of attempts for which proven is true, and forgets those that can no longer be
// proven.
func (g *Register) prove(e *endpoint, proven func(a *Attempt) bool, now clock.Millis) (acquitted []string) {
	e.begun = slices.DeleteFunc(e.begun, func(a *Attempt) bool {
		if a.expired(now) {
			return true
		}
		if !a.provable(now) || !proven(a) {
			return false
		}
		acquitted = append(acquitted, g.clearAll(a, now)...)
		a.over = true
		return true
	})
	return acquitted
}

// clearAll clears the keys of an attempt, and returns those that several crashes had named.
func (g *Register) clearAll(a *Attempt, now clock.Millis) (acquitted []string) {
	for _, key := range a.uncleared {
		if g.clear(key, now) {
			acquitted = append(acquitted, key)
		}
	}
	if request := g.requestOf(a.keys); g.clearSuspect(request, now) {
		acquitted = append(acquitted, request)
	}
	return acquitted
}

// Accepted records that the endpoint accepts connections: all its answers that are old enough are
// beyond their beginning. acquitted holds the suspected blocks that this clears.
func (g *Register) Accepted(i Incarnation, now clock.Millis) (acquitted []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.endpoints[i]
	if e == nil || e.crashedAt != never {
		return nil
	}
	return g.prove(e, func(a *Attempt) bool { return now-a.headAt >= beginningTime }, now)
}

// provable reports whether a sign of life can show that the attempt is not the cause of a crash. Long
// after its end the endpoint may have started again.
func (a *Attempt) provable(now clock.Millis) bool {
	return a.headAt != never && !a.broken && (a.endedAt == never || now-a.headAt < endedTime)
}

// expired reports whether the attempt ended so long ago that it shows nothing any more.
func (a *Attempt) expired(now clock.Millis) bool {
	return a.over || a.endedAt != never && now-a.endedAt > endedTime
}

// End records the end of an attempt. broken means that the answer broke off or did not come.
func (g *Register) End(a *Attempt, broken bool, now clock.Millis) {
	if a == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.endedAt == never {
		a.endedAt = now
	}
	a.broken = a.broken || broken
}

// Cancel forgets an attempt that the endpoint did not begin to answer: it neither clears its keys nor can
// it be the cause of a crash.
func (g *Register) Cancel(a *Attempt) {
	if a == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	a.over = true
	delete(a.endpoint.waiting, a)
}

// MayHaveCrashed reports whether an attempt that has ended may be the cause of a crash.
func (g *Register) MayHaveCrashed(a *Attempt) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return a != nil && !a.over
}

// IsCrashed reports whether an incarnation is known to have crashed not long ago.
func (g *Register) IsCrashed(i Incarnation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.endpoints[i]
	return e != nil && e.crashedAt != never
}

// suspects returns the attempts that may be the cause of a crash: begun holds those that had begun, beside those whose
// head comes only with the whole answer and those that have just ended, the latter last, and waiting the others. An endpoint that crashes before it sends the
// head is less likely, so that blocks of waiting requests are suspected only if no block of a begun one is.
func (e *endpoint) suspects(now clock.Millis) (begun, waiting []*Attempt) {
	var ended []*Attempt
	for _, a := range e.begun {
		switch {
		case a.expired(now):
		case a.endedAt == never || a.broken:
			begun = append(begun, a)
		case now-a.headAt <= beginningTime:
			ended = append(ended, a)
		}
	}
	for a := range e.waiting {
		switch {
		case !a.sent, a.expired(now):
		case a.whole:
			begun = append(begun, a)
		default:
			waiting = append(waiting, a)
		}
	}
	begun = append(begun, ended...)
	if !slices.ContainsFunc(begun, func(a *Attempt) bool { return len(a.uncleared) > 0 }) {
		begun, waiting = append(begun, waiting...), nil
	}
	return begun, waiting
}

// named returns the keys that a crash by the attempt names.
func (a *Attempt) named() []string {
	if request := a.keys.Request(); request != "" {
		return append([]string{request}, a.uncleared...)
	}
	return a.uncleared
}

// Crash is what a crash of an endpoint shows.
type Crash struct {
	// Suspects is the number of attempts of this entry that the endpoint had just begun to answer, or
	// had not begun if there are none, and Keys holds their keys that are not cleared.
	Suspects int
	Keys     []string
	// Cleared is the number of keys of these attempts that are cleared.
	Cleared int
}

// Crashed records that an endpoint crashed. It may be called again for attempts that notice it later;
// ok is false if that shows nothing new.
func (g *Register) Crashed(i Incarnation, now clock.Millis) (c Crash, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.endpointOf(i)
	if e.crashedAt == never {
		e.crashedAt = now
		g.noteEnd(i.hash(), now)
	}
	begun, waiting := e.suspects(now)
	c.Suspects = len(begun)
	for _, a := range begun {
		g.accuseAll(&c, i, a, a.named(), now)
	}
	for _, a := range waiting {
		if request := a.keys.Request(); request != "" {
			g.accuseAll(&c, i, a, []string{request}, now)
		}
	}
	g.noteCrowd(i.hash())
	e.begun = slices.DeleteFunc(e.begun, func(a *Attempt) bool { return a.endedAt != never })
	maps.DeleteFunc(e.waiting, func(a *Attempt, _ bool) bool { return a.endedAt != never })
	if len(c.Keys) == 0 {
		return c, false
	}
	g.repeatCrash(g.crashes[i.hash()])
	g.stale = true
	g.notify()
	return c, true
}

// accuseAll records that the crash of an endpoint names keys of an attempt.
func (g *Register) accuseAll(c *Crash, i Incarnation, a *Attempt, keys []string, now clock.Millis) {
	for _, key := range keys {
		switch {
		case g.isCleared(key, now):
			c.Cleared++
		case g.accuse(key, i.hash(), a.endpoint.crashedAt, a.sentAt, now):
			g.suspects[key].seenAt = now
			c.Keys = append(c.Keys, key)
		}
	}
}

// sweepEndpoints drops attempts that can no longer show anything, and old crashes.
func (g *Register) sweepEndpoints(now clock.Millis) {
	for i, e := range g.endpoints {
		e.begun = slices.DeleteFunc(e.begun, func(a *Attempt) bool { return a.expired(now) })
		maps.DeleteFunc(e.waiting, func(a *Attempt, _ bool) bool { return a.expired(now) })
		if len(e.begun)+len(e.waiting) == 0 && now-e.crashedAt > crashTTL {
			delete(g.endpoints, i)
		}
	}
}
