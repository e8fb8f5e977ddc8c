package relay

import (
	"fmt"
	"io"
)

// WriteMetrics writes the server's metrics in the Prometheus text format.
func (s *Server) WriteMetrics(w io.Writer) {
	s.metrics.WritePrometheus(w)
	fmt.Fprintf(w, "parsleydeal_endpoint_connections_open %d\n", s.cfg.Pool.OpenConns())
	fmt.Fprintf(w, "parsleydeal_endpoint_connections_total %d\n", s.cfg.Pool.TotalConns())
	fmt.Fprintf(w, "parsleydeal_held_bytes{for=\"callers\"} %d\n", s.held.bytes())
	fmt.Fprintf(w, "parsleydeal_held_bytes{for=\"endpoints\"} %d\n", s.bodies.bytes())
	fmt.Fprintf(w, "parsleydeal_endpoints_limited %d\n", s.selector.RateLimited())
}
