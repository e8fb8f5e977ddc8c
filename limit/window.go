package limit

import "github.com/parsleydeal/parsleydeal/clock"

const (
	firstWindow = 64.0
	leastWindow = 2.0
	mostWindow  = 4096.0
	// windowCut is what a refusal for want of room leaves of the window, at most
	// once in cutEvery.
	windowCut = 0.95
	cutEvery  = 100 * clock.Millis(1)
	// afterCut is how long the window rests after a refusal. Growing at once would
	// find the gates full at each turn, and what they refuse is lost to its caller,
	// whoever's turn it was.
	afterCut = clock.Second
)

// Outcome is how a started request ended.
type Outcome int

// The outcomes.
const (
	// Served requests ended after they were taken.
	Served Outcome = iota
	// Refused requests found no room at the gates.
	Refused
	// Neutral ends say nothing of the pool's room.
	Neutral
)

// window bounds what an entry has under way at one pool. It grows while gates
// take the work and shrinks when they refuse it, so that all entries together
// settle at what the gates' own windows allow.
type window struct {
	size float64
	used int
	// cutAt is the last cut by a part, refusedAt the last refusal.
	cutAt     clock.Millis
	refusedAt clock.Millis
}

func (w *window) room() bool { return float64(w.used) < w.size }

func (w *window) end(now clock.Millis, o Outcome) {
	if o == Refused {
		w.cut(now)
	}
	w.used--
}

// grow widens the window for a request that a gate took. Counting taken rather
// than ended requests lets an entry that just started widen it as fast as
// requests come, also when each runs for a minute.
func (w *window) grow(now clock.Millis) {
	const busy = 0.5
	if float64(w.used) <= busy*w.size || w.refusedAt > 0 && now-w.refusedAt <= afterCut {
		return
	}
	w.size = min(w.size+1, mostWindow)
}

// cut narrows the window to what the gates hold without the refused request, so
// that its place does not pull the next one out of the queue and into the same
// refusal; and once in cutEvery by a part, so that entries that share a pool
// come to share it evenly.
func (w *window) cut(now clock.Millis) {
	w.refusedAt = now
	w.size = max(min(w.size, float64(w.used-1)), leastWindow)
	if now-w.cutAt >= cutEvery {
		w.size = max(w.size*windowCut, leastWindow)
		w.cutAt = now
	}
}
