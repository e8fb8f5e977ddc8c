package overload

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
)

// LogChange returns a function for NewLimiter that logs when a limit comes into force and when it is lifted.
func LogChange(to *log.Logger) func(Status) {
	return func(s Status) {
		message := "All new connections are accepted again"
		if s.Limit > 0 {
			message = "Entry has fallen behind, new connections are limited"
		}
		to.Warn(message, "limit", s.Limit, "active", s.Active, "read-delay", s.ReadDelay, "scheduler-delay", s.SchedulerDelay, "accepted", s.Accepted, "closed-unread", s.Closed)
	}
}

// Register adds the limiter's metrics to a set.
func (l *Limiter) Register(set *metrics.Set) {
	for name, value := range map[string]func(Status) float64{
		`parsleydeal_connections_total{outcome="accepted"}`:      func(s Status) float64 { return float64(s.Accepted) },
		`parsleydeal_connections_total{outcome="closed-unread"}`: func(s Status) float64 { return float64(s.Closed) },
		"parsleydeal_connections_active":                         func(s Status) float64 { return float64(s.Active) },
		"parsleydeal_connections_limit":                          func(s Status) float64 { return float64(s.Limit) },
		"parsleydeal_read_delay_ms":                              func(s Status) float64 { return float64(s.ReadDelay) },
		"parsleydeal_scheduler_delay_ms":                         func(s Status) float64 { return float64(s.SchedulerDelay) },
	} {
		set.GetOrCreateGauge(name, func() float64 { return value(l.Status()) })
	}
}
