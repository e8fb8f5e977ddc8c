package endpoint

import "github.com/parsleydeal/parsleydeal/peer/wire"

// WindowStatus is the state of the admission window as shown to operators.
type WindowStatus struct {
	Held    int32 `json:"held"`
	Size    int32 `json:"size"`
	Waiting int32 `json:"waiting"`
	Cold    bool  `json:"cold"`
	// Closed is the number of times the window was reset to its cold size.
	Closed int `json:"closed"`
	// KeptAnswers is the number of answers retained for callers that reconnect, KeptBytes
	// their total size.
	KeptAnswers int `json:"kept-answers"`
	KeptBytes   int `json:"kept-bytes"`
}

// Load returns the load that the endpoint reports to entries.
func (e *Endpoint) Load() *wire.Load { return e.load() }

// WindowStatus returns the current WindowStatus.
func (e *Endpoint) WindowStatus() any {
	l := e.load()
	s := WindowStatus{Held: l.GetHeld(), Size: l.GetWindow(), Waiting: l.GetWaiting(), Cold: l.GetCold(), Closed: e.gate.Load().Closed}
	s.KeptAnswers, s.KeptBytes = e.answers.Size()
	return s
}

// RegisterMetrics registers the gauges of the window and of retained answers with the node's
// metrics.
func (e *Endpoint) RegisterMetrics() {
	set := e.node.Metrics()
	set.GetOrCreateGauge("parsleydeal_window_held", func() float64 { return float64(e.load().GetHeld()) })
	set.GetOrCreateGauge("parsleydeal_window_waiting", func() float64 { return float64(e.load().GetWaiting()) })
	set.GetOrCreateGauge("parsleydeal_window_closed_total", func() float64 { return float64(e.gate.Load().Closed) })
	set.GetOrCreateGauge("parsleydeal_kept_answers", func() float64 { n, _ := e.answers.Size(); return float64(n) })
	set.GetOrCreateGauge("parsleydeal_kept_bytes", func() float64 { _, n := e.answers.Size(); return float64(n) })
	set.GetOrCreateGauge("parsleydeal_window_size", func() float64 { return float64(e.load().GetWindow()) })
}
