package relay

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// WriteMetrics writes the server's metrics in the Prometheus text format.
func (s *Server) WriteMetrics(w io.Writer) {
	s.metrics.WritePrometheus(w)
	fmt.Fprintf(w, "parsleydeal_endpoint_connections_open %d\n", s.cfg.Pool.OpenConns())
	fmt.Fprintf(w, "parsleydeal_endpoint_connections_total %d\n", s.cfg.Pool.TotalConns())
	fmt.Fprintf(w, "parsleydeal_endpoint_connections_dropped_total %d\n", s.cfg.Pool.DroppedConns())
	fmt.Fprintf(w, "parsleydeal_held_bytes{for=\"callers\"} %d\n", s.held.bytes())
	fmt.Fprintf(w, "parsleydeal_held_bytes{for=\"endpoints\"} %d\n", s.bodies.bytes())
	s.writeBudgets(w)
	lent, borrowed := s.selector.Lending(s.cfg.Clock.Now())
	fmt.Fprintf(w, "parsleydeal_lent_requests{direction=\"lent\"} %d\n", lent)
	fmt.Fprintf(w, "parsleydeal_lent_requests{direction=\"borrowed\"} %d\n", borrowed)
	suspected, quarantined, cleared := s.quarantine.Counts()
	fmt.Fprintf(w, "parsleydeal_blocks{state=\"suspected\"} %d\n", suspected)
	fmt.Fprintf(w, "parsleydeal_blocks{state=\"quarantined\"} %d\n", quarantined)
	fmt.Fprintf(w, "parsleydeal_blocks{state=\"cleared\"} %d\n", cleared)
	fmt.Fprintf(w, "parsleydeal_endpoints_limited %d\n", s.selector.RateLimited())
}

// writeBudgets writes the state of the retry budgets.
func (s *Server) writeBudgets(w io.Writer) {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, service := range slices.Sorted(maps.Keys(s.budgets)) {
		used, allowed := s.budgets[service].State(now)
		fmt.Fprintf(w, "parsleydeal_retry_budget{service=%q,of=\"used\"} %d\n", service, used)
		fmt.Fprintf(w, "parsleydeal_retry_budget{service=%q,of=\"allowed\"} %g\n", service, allowed)
	}
}
