package standin

// coldStart models an engine that bears little at first. The zero value bears
// everything.
type coldStart struct {
	// bears is how many requests the engine bears now; each one served adds one,
	// up to full. Twice as many make it fall over.
	bears int
	cold  int
	full  int
	falls int
}

// SetColdStart makes the engine cold: it bears cold requests at once, and one more
// for each that it serves, up to full. When it is given more than twice what it
// bears it falls over: it breaks all streams off and is cold again.
func (e *Engine) SetColdStart(cold, full int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold = coldStart{bears: cold, cold: cold, full: full, falls: e.cold.falls}
}

// Crashes returns how often the engine fell over.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cold.falls
}

// bear takes one more request and returns the generation that runs it. It
// reports false when that was one too many.
func (e *Engine) bear() (generation uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cold.full > 0 && int(e.running.Load()) > 2*e.cold.bears {
		e.cold.falls++
		e.cold.bears = e.cold.cold
		e.generation++
		return 0, false
	}
	return e.generation, true
}

// warm counts a request served. It reports false when the engine fell over
// while the request ran, whose stream then breaks off.
func (e *Engine) warm(generation uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if generation != e.generation && e.cold.full > 0 {
		return false
	}
	e.cold.bears = min(e.cold.bears+1, e.cold.full)
	return true
}
