package endpoint

import "github.com/parsleydeal/parsleydeal/peer/wire"

// WindowStatus is the admission window as operators see it.
type WindowStatus struct {
	Held    int32 `json:"held"`
	Size    int32 `json:"size"`
	Waiting int32 `json:"waiting"`
	Cold    bool  `json:"cold"`
	// Closed counts how often the window was closed.
	Closed int `json:"closed"`
	// KeptAnswers and KeptBytes are what is kept for callers that come back.
	KeptAnswers int `json:"kept-answers"`
	KeptBytes   int `json:"kept-bytes"`
}

// Load returns the endpoint's own view of itself.
func (e *Endpoint) Load() *wire.Load { return e.load() }

// WindowStatus returns the admission window at this instant.
func (e *Endpoint) WindowStatus() any {
	l := e.load()
	s := WindowStatus{Held: l.GetHeld(), Size: l.GetWindow(), Waiting: l.GetWaiting(), Cold: l.GetCold(), Closed: e.gate.Load().Closed}
	s.KeptAnswers, s.KeptBytes = e.keeping.Size()
	return s
}

// RegisterMetrics adds the window to the node's metrics.
func (e *Endpoint) RegisterMetrics() {
	set := e.node.Metrics()
	set.GetOrCreateGauge("parsleydeal_window_held", func() float64 { return float64(e.load().GetHeld()) })
	set.GetOrCreateGauge("parsleydeal_window_waiting", func() float64 { return float64(e.load().GetWaiting()) })
	set.GetOrCreateGauge("parsleydeal_window_closed_total", func() float64 { return float64(e.gate.Load().Closed) })
	set.GetOrCreateGauge("parsleydeal_kept_answers", func() float64 { n, _ := e.keeping.Size(); return float64(n) })
	set.GetOrCreateGauge("parsleydeal_kept_bytes", func() float64 { _, n := e.keeping.Size(); return float64(n) })
	set.GetOrCreateGauge("parsleydeal_window_size", func() float64 { return float64(e.load().GetWindow()) })
}
