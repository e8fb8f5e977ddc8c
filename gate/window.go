// Package gate admits work to one endpoint.
package gate

import "sync"

// Window bounds how many requests an endpoint holds. It opens small and grows
// by one for each request served well, up to the full size.
type Window struct {
	mu sync.Mutex
	// held never exceeds size.
	held int
	size int
	full int
	cold int
}

// NewWindow makes a closed-down window of an endpoint in cold start.
func NewWindow(cold, full int) *Window {
	return &Window{size: cold, cold: cold, full: full}
}

// Resize takes new bounds from the tables without forgetting what was learned.
func (w *Window) Resize(cold, full int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cold = cold
	w.full = full
	w.size = min(max(w.size, cold), full)
}

// Acquire takes a place; ok is false when the window is full.
func (w *Window) Acquire() (ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.held >= w.size {
		return false
	}
	w.held++
	return true
}

// Release gives a place back; good service opens the window further.
func (w *Window) Release(good bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held--
	if good && w.size < w.full {
		w.size++
	}
}

// Close returns the window to its cold size.
func (w *Window) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.size = w.cold
}

// Held returns the places taken and the places there are.
func (w *Window) Held() (held, size int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.held, w.size
}
