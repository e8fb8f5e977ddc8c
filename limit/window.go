package limit

import "github.com/parsleydeal/parsleydeal/clock"

const (
	firstWindow = 64.0
	leastWindow = 2.0
	mostWindow  = 4096.0
	// windowCut is what a refusal for want of room leaves of the window.
	windowCut = 0.85
	// cutEvery is the span within which refusals count as one.
	cutEvery = 100 * clock.Millis(1)
	// rowOfCuts is the longest span between two cuts of the same row.
	rowOfCuts = 2 * clock.Second
)

// Outcome is how a started request ended.
type Outcome int

// The outcomes.
const (
	// Served requests show that the pool had room.
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
	size  float64
	used  int
	cutAt clock.Millis
	// goal is the size before the last row of cuts; up to near it the window
	// grows fast again, so that a pool that was dry for a while fills at once.
	goal float64
}

func (w *window) room() bool { return float64(w.used) < w.size }

func (w *window) end(now clock.Millis, o Outcome) {
	switch o {
	case Served:
		w.grow()
	case Refused:
		w.cut(now)
	}
	w.used--
}

func (w *window) grow() {
	const busy, near = 0.5, 0.9
	if float64(w.used) <= busy*w.size {
		return
	}
	step := 1 / w.size
	if w.size < near*w.goal {
		step = 1
	}
	w.size = min(w.size+step, mostWindow)
}

func (w *window) cut(now clock.Millis) {
	since := now - w.cutAt
	if since < cutEvery {
		return
	}
	if since > rowOfCuts {
		w.goal = w.size
	}
	w.size = max(min(w.size, float64(w.used))*windowCut, leastWindow)
	w.cutAt = now
}
