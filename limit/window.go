package limit

import "github.com/parsleydeal/parsleydeal/clock"

const (
	initialWindow = 64.0
	minWindow     = 2.0
	maxWindow     = 4096.0
	// cutFactor is the factor by which a refusal for lack of room shrinks the window, at most
	// once per cutInterval.
	cutFactor   = 0.95
	cutInterval = 100 * clock.Millis(1)
	// growthPause is how long the window does not grow after a refusal. If it grew at once, it
	// would overload the gates again after each refusal, and callers would get the refusals.
	growthPause = clock.Second
)

// Outcome is how a started request ended.
type Outcome int

// The outcomes.
const (
	// Served requests were accepted by a gate and ended.
	Served Outcome = iota
	// Refused requests found no room at the gates.
	Refused
	// Neutral requests show nothing about the capacity of the pool.
	Neutral
)

// window bounds the requests that an entry has in flight at one pool. It grows while gates
// accept requests and shrinks when they refuse them, so that the windows of all entries converge
// to what the gates' own windows allow.
type window struct {
	size     float64
	inFlight int
	// lastCutAt is when the window was last cut by cutFactor, and lastRefusedAt when a gate last
	// refused a request.
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

// grow widens the window for a request that a gate accepted. Counting accepted rather than ended
// requests lets an entry that has just started widen the window as fast as requests arrive, even
// if each runs for a minute.
func (w *window) grow(now clock.Millis) {
	const busyFraction = 0.5
	if float64(w.inFlight) <= busyFraction*w.size || w.lastRefusedAt > 0 && now-w.lastRefusedAt <= growthPause {
		return
	}
	w.size = min(w.size+1, maxWindow)
}

// shrink narrows the window to the requests in flight without the refused one, so that the freed
// slot does not start the next waiting request, which would be refused too. Once per cutInterval
// it also multiplies the window by cutFactor, so that entries sharing a pool converge to equal
// windows.
func (w *window) shrink(now clock.Millis) {
	w.lastRefusedAt = now
	w.size = max(min(w.size, float64(w.inFlight-1)), minWindow)
	if now-w.lastCutAt >= cutInterval {
		w.size = max(w.size*cutFactor, minWindow)
		w.lastCutAt = now
	}
}
