package relay

import (
	"fmt"
	"io"
)

// WriteMetrics writes the server's metrics in the Prometheus text format.
func (s *Server) WriteMetrics(w io.Writer) {
	s.metrics.WritePrometheus(w)
	fmt.Fprintf(w, "parsleydeal_endpoint_connections_open %d\n", s.cfg.Pool.Open())
	fmt.Fprintf(w, "parsleydeal_endpoint_connections_total %d\n", s.cfg.Pool.Made())
	fmt.Fprintf(w, "parsleydeal_endpoints_limited %d\n", s.board.RateLimited())
}
