package limit

import "github.com/parsleydeal/parsleydeal/clock"

const (
	initialWindow = 64.0
	minWindow     = 2.0
	maxWindow     = 4096.0
	// cutFactor is what a refusal for want of room leaves of the window, at most
	// once in cutEvery.
	cutFactor   = 0.95
	cutInterval = 100 * clock.Millis(1)
	// growthPause is how long the window rests after a refusal. Growing at once would
	// find the gates full at each turn, and what they refuse is lost to its caller,
	// whoever's turn it was.
	growthPause = clock.Second
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
	size     float64
	inFlight int
	// lastCutAt is the last cut by a part, refusedAt the last refusal.
	lastCutAt     clock.Millis
	lastRefusedAt clock.Millis
}

func (w *window) hasRoom() bool { return float64(w.inFlight) < w.size }

func (w *window) release(now clock.Millis, o Outcome) {
	if o == Refused {
		w.shrink(now)
	}
	w.inFlight--
}

// grow widens the window for a request that a gate took. Counting taken rather
// than ended requests lets an entry that just started widen it as fast as
// requests come, also when each runs for a minute.
func (w *window) grow(now clock.Millis) {
	const busy = 0.5
	if float64(w.inFlight) <= busy*w.size || w.lastRefusedAt > 0 && now-w.lastRefusedAt <= growthPause {
		return
	}
	w.size = min(w.size+1, maxWindow)
}

// shrink narrows the window to what the gates hold without the refused request, so
// that its place does not pull the next one out of the queue and into the same
// refusal; and once in cutEvery by a part, so that entries that share a pool
// come to share it evenly.
func (w *window) shrink(now clock.Millis) {
	w.lastRefusedAt = now
	w.size = max(min(w.size, float64(w.inFlight-1)), minWindow)
	if now-w.lastCutAt >= cutInterval {
		w.size = max(w.size*cutFactor, minWindow)
		w.lastCutAt = now
	}
}
