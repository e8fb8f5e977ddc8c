package gate

import (
	"math/bits"

	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// growthPerRequest is the number of slots that each request with an on-time first token adds to
	// the window. A fully used window thus grows by this fraction of its size while each of its
	// slots serves one request.
	growthPerRequest = 0.5
	// maxOnTimeRatio is the ratio to the typical first-token time above which the window does
	// not grow: the endpoint is at its capacity for now.
	maxOnTimeRatio = 1.5
	// spikeRatio is the ratio to the typical first-token time above which a wait is a sign
	// that the endpoint has turned cold.
	spikeRatio = 4
	// minSpike is the first-token time up to which nothing counts as a spike.
	minSpike = 50 * clock.Millis(1)
	// spikesToClose is the number of consecutive spikes that close the window. A single spike is
	// just as likely to be caused by the request itself.
	spikesToClose = 3
	// firstTokenSmoothing is the weight of a new sample in the typical first-token time.
	firstTokenSmoothing = 0.125
	// sizeClasses is the number of classes of requests by body size. The first has bodies below 1
	// KiB; the bound doubles with each class, and the last has none. Long prompts wait longer for
	// their first token than short ones.
	sizeClasses = 14
)

// window bounds the number of requests admitted to an endpoint at a time. It starts small, grows
// while first tokens arrive on time, and is closed, that is reset to its cold size, on signs of a
// cold start.
type window struct {
	// size is in slots and stays between cold and full.
	size float64
	cold int
	full int
	// typical is the smoothed first-token time in milliseconds by size class; 0 while it is
	// unknown.
	typical [sizeClasses]float64
	// spikes counts the consecutive spikes.
	spikes int
	// closed counts how often the window was closed.
	closed int
}

func sizeClassOf(bytes int) int {
	return min(bits.Len(uint(max(bytes, 0)>>10)), sizeClasses-1)
}

// setBounds applies new bounds. The size changes only if it is outside of them.
func (w *window) setBounds(cold, full int) {
	w.cold = cold
	w.full = full
	w.size = min(max(w.size, float64(cold)), float64(full))
}

func (w *window) slots() int { return int(w.size) }

// isCold reports whether the window is not fully open.
func (w *window) isCold() bool { return w.slots() < w.full }

// close resets the window to its cold size. It discards the typical first-token times: a cold
// endpoint is slow, and its first-token times must not be compared with those of the warm one.
func (w *window) close() {
	w.size = float64(w.cold)
	w.typical = [sizeClasses]float64{}
	w.spikes = 0
	w.closed++
}

// recordFirstToken records the delay of a first token in milliseconds. It reports whether the
// token was on time, which means that the endpoint is below its capacity, and whether enough
// consecutive spikes closed the window.
func (w *window) recordFirstToken(bytes int, delay clock.Millis) (onTime, closed bool) {
	typical := &w.typical[sizeClassOf(bytes)]
	if *typical == 0 {
		*typical = max(float64(delay), 1)
		return true, false
	}
	if w.isSpike(bytes, delay) {
		return false, w.recordSpike()
	}
	w.spikes = 0
	onTime = float64(delay) <= maxOnTimeRatio*(*typical)
	*typical += firstTokenSmoothing * (float64(delay) - *typical)
	return onTime, false
}

// isSpike reports whether a delay is so far above the typical one that it is a sign of a cold
// start.
func (w *window) isSpike(bytes int, delay clock.Millis) bool {
	typical := w.typical[sizeClassOf(bytes)]
	return typical > 0 && delay > minSpike && float64(delay) > spikeRatio*typical
}

func (w *window) recordSpike() (closed bool) {
	w.spikes++
	if w.spikes < spikesToClose {
		return false
	}
	w.close()
	return true
}

func (w *window) grow() {
	w.size = min(w.size+growthPerRequest, float64(w.full))
}

// shrink halves the window after a failure. It does not close it, as a failure is weaker evidence
// of a cold start than spikes are.
func (w *window) shrink() {
	w.size = max(w.size/2, float64(w.cold))
}
