package relay

import (
	"context"
	"fmt"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/logbook"
	"github.com/parsleydeal/parsleydeal/refusal"
)

const (
	// maxRefusalAge is how old the confirmation of a configuration may be that refuses a request. A change must
	// be in force within 2 s; the rest is left for the request's way to this entry.
	maxRefusalAge = 1700 * clock.Millis(1)
	// maxConfirmWait and maxConfirmRatio bound how long a request waits for a confirmation, the latter as a
	// fraction of the caller's time.
	maxConfirmWait  = 400 * clock.Millis(1)
	maxConfirmRatio = 0.25
)

// confirmRefusal returns the refusal of a request if the configuration that it rests on was confirmed lately.
// Otherwise it has the configuration confirmed first, and checks the request again.
func (x *exchange) confirmRefusal(refused error) (err error) {
	s := x.server
	since := x.arrivedAt() - maxRefusalAge
	if x.view.ConfirmedAt() >= since {
		s.countConfirmedRefusal("recent")
		return refused
	}
	wait := maxConfirmWait
	if x.req.CallerTimeout > 0 {
		wait = min(wait, clock.Millis(maxConfirmRatio*float64(x.req.CallerTimeout)))
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), wait.Duration())
	defer cancel()
	err = s.cfg.Confirm(ctx, since)
	if x.callerLeft(leftDuringConfirmation) {
		return errLeft()
	}
	if err != nil {
		s.countConfirmedRefusal("unconfirmed")
		return refusal.New(refusal.Stale, fmt.Sprintf("configuration was last confirmed %s ago: %s", x.configAge(), logbook.Text(err))).WithRetryAfter(staleRetryAfter)
	}
	x.view = s.cfg.View()
	if err = x.checkConfig(); err != nil {
		s.countConfirmedRefusal("confirmed")
		return err
	}
	s.countConfirmedRefusal("lifted")
	return nil
}

func (s *Server) countConfirmedRefusal(outcome string) {
	s.metrics.GetOrCreateCounter(fmt.Sprintf("parsleydeal_config_refusals_total{outcome=%q}", outcome)).Inc()
}
