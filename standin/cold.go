package standin

// coldStart models an engine that can serve only a few requests at once after its start. The zero
// value has no limit.
type coldStart struct {
	// capacity is the number of concurrent requests that the engine can serve now. Each request served
	// adds one, up to maxCapacity. The engine crashes when more than twice as many run.
	capacity    int
	initial     int
	maxCapacity int
	crashes     int
}

// SetColdStart simulates a cold start: the engine serves up to initial requests at once, and one
// more after each request that it has served, up to maxCapacity. When more than twice that many
// run, it crashes: all its streams break and its capacity is reset to initial.
func (e *Engine) SetColdStart(initial, maxCapacity int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold = coldStart{capacity: initial, initial: initial, maxCapacity: maxCapacity, crashes: e.cold.crashes}
}

// Crashes returns how often the engine crashed.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cold.crashes
}

// admit returns the engine's current generation, in which the new request runs. It returns false
// when the request makes the engine crash.
func (e *Engine) admit() (generation uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cold.maxCapacity > 0 && int(e.running.Load()) > 2*e.cold.capacity {
		e.cold.crashes++
		e.cold.capacity = e.cold.initial
		e.generation++
		return 0, false
	}
	return e.generation, true
}

// recordServed counts a request as served. It returns false when the engine crashed while the request
// ran, so that its stream has to break.
func (e *Engine) recordServed(generation uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if generation != e.generation && e.cold.maxCapacity > 0 {
		return false
	}
	e.cold.capacity = min(e.cold.capacity+1, e.cold.maxCapacity)
	return true
}
