package relay

import (
	"fmt"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// meter counts what the server does.
type meter struct {
	set *metrics.Set
}

func newMeter() *meter { return &meter{set: metrics.NewSet()} }

// end counts a request's end.
func (m *meter) end(x *exchange, err error, took clock.Millis, gone bool) {
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`parsleydeal_requests_total{route=%q,outcome=%q}`, route, outcomeName(err, gone))).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`parsleydeal_request_seconds{route=%q}`, route)).Update(took.Duration().Seconds())
	if x.sends > 1 {
		m.set.GetOrCreateCounter(fmt.Sprintf(`parsleydeal_attempts_beyond_first_total{route=%q}`, route)).Add(x.sends - 1)
	}
}

func outcomeName(err error, gone bool) string {
	r, ok := refusal.As(err)
	switch {
	case gone:
		return "left-by-caller"
	case err == nil:
		return "answered"
	case ok:
		return string(r.Code())
	}
	return "failed"
}

// WriteMetrics writes the server's metrics as text.
func (s *Server) WriteMetrics(w io.Writer) {
	s.meter.set.WritePrometheus(w)
	fmt.Fprintf(w, "parsleydeal_requests_active %d\n", s.Active())
	fmt.Fprintf(w, "parsleydeal_endpoint_connections_open %d\n", s.cfg.Pool.Open())
	fmt.Fprintf(w, "parsleydeal_endpoint_connections_total %d\n", s.cfg.Pool.Made())
}

var _ http.Handler = (*Server)(nil)
