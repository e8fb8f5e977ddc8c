package endpoint

import "github.com/parsleydeal/parsleydeal/peer/wire"

// WindowStatus is the admission window as operators see it.
type WindowStatus struct {
	Held int32 `json:"held"`
	Size int32 `json:"size"`
	Cold bool  `json:"cold"`
}

// Load returns the endpoint's own view of itself.
func (e *Endpoint) Load() *wire.Load { return e.load() }

// WindowStatus returns the admission window at this instant.
func (e *Endpoint) WindowStatus() any {
	l := e.load()
	return WindowStatus{Held: l.GetHeld(), Size: l.GetWindow(), Cold: l.GetCold()}
}

// Measure adds the window to the node's metrics.
func (e *Endpoint) Measure() {
	set := e.node.Metrics()
	set.GetOrCreateGauge("parsleydeal_window_held", func() float64 { return float64(e.load().GetHeld()) })
	set.GetOrCreateGauge("parsleydeal_window_size", func() float64 { return float64(e.load().GetWindow()) })
}
