package gate

import (
	"math/bits"

	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// growth is by how much one request served well opens the window. A window
	// in full use grows by this part of itself each round of requests.
	growth = 0.5
	// strain is how many times the usual first-token time stops the window from
	// growing: the endpoint holds as much as it can bear for now.
	strain = 1.5
	// jump is how many times the usual first-token time counts as a sign that the
	// endpoint has turned cold.
	jump = 4
	// jumpFloor is the first-token time below which nothing counts as a jump.
	jumpFloor = 50 * clock.Millis(1)
	// jumpVotes is how many signs in a row close the window. One long wait alone
	// is as often the request's own fault.
	jumpVotes = 3
	// smoothing is the weight of a new first-token time in the usual one.
	smoothing = 0.125
	// sizeClasses bounds the classes of requests by body size, doubling from
	// 1 KiB: a case history waits longer for its first token than a question.
	sizeClasses = 14
)

// window says how many requests an endpoint may hold. It opens small, grows on
// good service and closes again on the signs of a cold start.
type window struct {
	// size stays between cold and full.
	size float64
	cold int
	full int
	// usual is the smoothed first-token time by size class; 0 is not known yet.
	usual [sizeClasses]float64
	// votes counts the jumps seen in a row.
	votes int
	// closed counts how often the window was closed.
	closed int
}

func classOf(bytes int) int {
	return min(bits.Len(uint(max(bytes, 0)>>10)), sizeClasses-1)
}

// bound takes new bounds without forgetting what was learned.
func (w *window) bound(cold, full int) {
	w.cold = cold
	w.full = full
	w.size = min(max(w.size, float64(cold)), float64(full))
}

func (w *window) places() int { return int(w.size) }

// isCold reports whether the window is not fully open.
func (w *window) isCold() bool { return w.places() < w.full }

// close returns the window to its cold size. What was usual before no longer
// holds: a cold endpoint is slow, and must not be judged by its warm self.
func (w *window) close() {
	w.size = float64(w.cold)
	w.usual = [sizeClasses]float64{}
	w.votes = 0
	w.closed++
}

// firstToken takes in the span to a first token and reports whether the
// endpoint was unstrained, and whether enough jumps in a row closed the window.
func (w *window) firstToken(bytes int, span clock.Millis) (calm, closed bool) {
	usual := &w.usual[classOf(bytes)]
	if *usual == 0 {
		*usual = max(float64(span), 1)
		return true, false
	}
	if w.jumped(bytes, span) {
		return false, w.vote()
	}
	w.votes = 0
	calm = float64(span) <= strain*(*usual)
	*usual += smoothing * (float64(span) - *usual)
	return calm, false
}

// jumped reports whether a wait is so far above the usual one that it is a sign
// of a cold start.
func (w *window) jumped(bytes int, span clock.Millis) bool {
	usual := w.usual[classOf(bytes)]
	return usual > 0 && span > jumpFloor && float64(span) > jump*usual
}

func (w *window) vote() (closed bool) {
	w.votes++
	if w.votes < jumpVotes {
		return false
	}
	w.close()
	return true
}

func (w *window) grow() {
	w.size = min(w.size+growth, float64(w.full))
}

// shrink halves the window after a failure, which says less than a jump.
func (w *window) shrink() {
	w.size = max(w.size/2, float64(w.cold))
}
