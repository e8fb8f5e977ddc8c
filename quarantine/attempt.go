package quarantine

import (
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
)

// Incarnation is one start of an endpoint.
type Incarnation struct {
	Endpoint string
	Number   int64
}

func (i Incarnation) hash() uint64 {
	return xxhash.Sum64String(i.Endpoint + "/" + strconv.FormatInt(i.Number, 10))
}

// endpoint is an incarnation with attempts whose blocks are not all cleared.
type endpoint struct {
	attempts []*Attempt
	// crashedAt is when it crashed; never if it did not.
	crashedAt clock.Millis
}

// Attempt is an attempt whose blocks are not all cleared.
type Attempt struct {
	blocks  []string
	beganAt clock.Millis
	// headAt is when the head of the answer arrived, aliveAt when the endpoint first sent something
	// half of beginningTime later; never before that.
	headAt  clock.Millis
	aliveAt clock.Millis
	// endedAt is the end of the attempt; never before that. broken is true if the answer broke off.
	endedAt clock.Millis
	broken  bool
}

// Begin records an attempt at an endpoint. It returns nil if all blocks were cleared not long ago.
func (g *Register) Begin(i Incarnation, blocks []string, now clock.Millis) *Attempt {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := &Attempt{beganAt: now, headAt: never, aliveAt: never, endedAt: never}
	for _, key := range blocks {
		if at, ok := g.cleared[key]; !ok || now-at > clearTTL/2 {
			a.blocks = append(a.blocks, key)
		}
	}
	if len(a.blocks) == 0 {
		return nil
	}
	e := g.endpointOf(i)
	e.attempts = append(e.attempts, a)
	return a
}

func (g *Register) endpointOf(i Incarnation) *endpoint {
	e := g.endpoints[i]
	if e == nil {
		e = &endpoint{crashedAt: never}
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
}

// Alive records that the endpoint sent something. An answer is beyond its beginning when its endpoint
// sends something twice, half of beginningTime apart: what was sent before a crash may be read late
// at once.
func (g *Register) Alive(i Incarnation, now clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.endpoints[i]
	if e == nil || e.crashedAt != never {
		return
	}
	e.attempts = slices.DeleteFunc(e.attempts, func(a *Attempt) bool {
		switch {
		case !a.provable(now):
			return false
		case a.aliveAt == never && now-a.headAt >= beginningTime/2:
			a.aliveAt = now
			return false
		case a.aliveAt == never || now-a.aliveAt < beginningTime/2:
			return false
		}
		g.clearAll(a, now)
		return true
	})
}

// Accepted records that the endpoint accepts connections: all its answers that are old enough are
// beyond their beginning.
func (g *Register) Accepted(i Incarnation, now clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.endpoints[i]
	if e == nil || e.crashedAt != never {
		return
	}
	e.attempts = slices.DeleteFunc(e.attempts, func(a *Attempt) bool {
		if !a.provable(now) || now-a.headAt < beginningTime {
			return false
		}
		g.clearAll(a, now)
		return true
	})
}

// provable reports whether a sign of life can show that the attempt is not the cause of a crash. Long
// after its end the endpoint may have started again.
func (a *Attempt) provable(now clock.Millis) bool {
	return a.headAt != never && !a.broken && (a.endedAt == never || now-a.headAt < endedTime)
}

func (g *Register) clearAll(a *Attempt, now clock.Millis) {
	for _, key := range a.blocks {
		g.clear(key, now)
	}
	a.blocks = nil
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

// MayHaveCrashed reports whether an attempt that has ended may be the cause of a crash.
func (g *Register) MayHaveCrashed(a *Attempt) bool {
	if a == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(a.blocks) > 0
}

// Crash is what a crash of an endpoint shows.
type Crash struct {
	// Suspects is the number of attempts of this entry that the endpoint had not begun or just begun,
	// and Blocks holds their blocks that are not cleared.
	Suspects int
	Blocks   []string
	// Cleared is the number of blocks of these attempts that are cleared.
	Cleared int
	// Found holds those of Blocks that are quarantined from now on.
	Found []string
}

// Crashed records that an endpoint crashed. It may be called again for attempts that notice it later;
// ok is false if that shows nothing new.
func (g *Register) Crashed(i Incarnation, now clock.Millis) (c Crash, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.endpointOf(i)
	if e.crashedAt == never {
		e.crashedAt = now
	}
	for _, a := range e.attempts {
		if a.endedAt != never && now-a.endedAt > endedTime {
			continue
		}
		c.Suspects++
		for _, key := range a.blocks {
			switch {
			case g.isCleared(key, now):
				c.Cleared++
			case g.accuse(key, i, crash{e.crashedAt, a.beganAt}, now):
				c.Blocks = append(c.Blocks, key)
				if g.suspects[key].independent() == crashesToQuarantine {
					c.Found = append(c.Found, key)
				}
			}
		}
	}
	e.attempts = slices.DeleteFunc(e.attempts, func(a *Attempt) bool { return a.endedAt != never })
	if len(c.Blocks) > 0 {
		g.notify()
	}
	return c, len(c.Blocks) > 0
}

// accuse records that a crash names a block, and reports whether that is new.
func (g *Register) accuse(key string, i Incarnation, c crash, now clock.Millis) bool {
	s := g.suspectOf(key, now)
	if !s.add(i.hash(), c) {
		return false
	}
	s.seenAt = now
	g.report(s)
	return true
}

// sweepEndpoints drops attempts that can no longer show anything, and old crashes.
func (g *Register) sweepEndpoints(now clock.Millis) {
	for i, e := range g.endpoints {
		e.attempts = slices.DeleteFunc(e.attempts, func(a *Attempt) bool { return a.endedAt != never && now-a.endedAt > endedTime })
		if len(e.attempts) == 0 && now-e.crashedAt > crashTTL {
			delete(g.endpoints, i)
		}
	}
}
