package relay

import (
	"net/http"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/upstream"
)

// checkWhole returns why an answer that has ended is not whole. hasContent tells whether the caller has, or would get, any
// of its events or of its body.
//
// A stream has at least one event, unless the caller resumes it and has them all. A success without a byte that ends with
// its connection is the same as one that was cut off after its head.
func (a *attempt) checkWhole(hasContent bool) (err error) {
	switch {
	case a.exchange.r.Method == http.MethodHead:
		return nil
	case !hasContent && (a.isStream() || a.framing == upstream.Unframed && a.status < http.StatusMultipleChoices):
		return upstream.ErrNoContent
	case a.framing == upstream.Unframed:
		return a.checkOutlived()
	}
	return nil
}

// checkOutlived returns an error if the endpoint ended with its answer, which ended with its connection: the operating
// system closes the connections of a process that was killed as if their answers were whole.
func (a *attempt) checkOutlived() (err error) {
	x := a.exchange
	s := x.server
	ctx := x.r.Context()
	clock.Pause(ctx, min(upstream.EndLookDelay, x.remaining()/2))
	accepted, refused := s.cfg.Pool.Probe(ctx, a.endpoint.Address)
	found := "silent"
	switch {
	case accepted:
		found = "running"
	case refused && a.isLeaving() && !x.mayRepeat():
		// It stops listening before its last answers have ended.
		found = "left"
	case refused:
		found, err = "ended", upstream.ErrServerEnded
	}
	s.metrics.GetOrCreateCounter(`parsleydeal_unframed_ends_total{endpoint="` + found + `"}`).Inc()
	if found != "running" {
		s.cfg.Log.Info("Answer ended with its connection", "request", x.req.ID, "endpoint", a.endpoint.ID, "address", a.endpoint.Address, "found", found, "events", a.events, "whole", err == nil)
	}
	return err
}

// isLeaving reports whether the endpoint is leaving or has left as planned.
func (a *attempt) isLeaving() bool {
	s := a.exchange.server
	e := s.cfg.View().Fleet().Find(a.endpoint.ID)
	return e == nil || e.Leaving || s.selector.Advertised(e).Leaving
}

// notWhole ends an attempt whose answer is not whole.
func (a *attempt) notWhole(cause error) (r result, err error) {
	if a.framing == upstream.Unframed {
		// The endpoint may have crashed.
		a.cause = cause
	}
	return a.interruptedResult(), interrupted(cause)
}

// interruptedResult returns the result of an attempt whose answer is not whole.
func (a *attempt) interruptedResult() result {
	if a.exchange.written {
		return broken
	}
	return failed
}
