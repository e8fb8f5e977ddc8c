package endpoint

import (
	"context"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/engine"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/lease"
	"github.com/parsleydeal/parsleydeal/logbook"
	"github.com/parsleydeal/parsleydeal/provider"
)

// handleEffect runs the effects that concern the engine. They run in goroutines of their own,
// so that the control goroutine does not wait for them.
func (e *Endpoint) handleEffect(f event.Effect) {
	switch f := f.(type) {
	case event.FetchWeights:
		go e.fetchWeights(f)
	case event.SendOrder:
		go e.executeOrder(f)
	}
}

func (e *Endpoint) fetchWeights(f event.FetchWeights) {
	ctx, cancel := context.WithTimeout(e.aborted, lease.WeightsTimeout.Duration())
	defer cancel()
	err := e.node.Weights().Fetch(ctx, f.Version)
	if err != nil {
		e.node.Log().Warn("Could not fetch weights.", "version", f.Version, "error", logbook.Text(err))
	}
	e.node.Loop().Post(e.aborted, event.WeightsDone{Now: e.node.Clock().Now(), Version: f.Version, Err: err})
}

func (e *Endpoint) executeOrder(f event.SendOrder) {
	outcome := e.sendOrder(f)
	e.node.Log().Info("Engine order finished.", "kind", f.Kind, "version", f.Version, "role", f.Role, "fence", f.Fence, "outcome", outcome)
	e.node.Loop().Post(e.aborted, event.OrderDone{Now: e.node.Clock().Now(), ID: f.ID, Outcome: outcome})
}

// sendOrder sends one order to the engine, unless its lease has expired or a newer one exists.
// Without these checks, a process that was paused between deciding on the order and sending it
// would use a lease that another process has taken over by then. Engines that check fencing numbers
// reject such orders themselves. For other engines, the lease stream is read before the order is
// sent.
func (e *Endpoint) sendOrder(f event.SendOrder) event.OrderOutcome {
	if f.CompareFence && !e.hasNewestLease(f.Fence) {
		return event.OrderFenced
	}
	remaining := f.Until - e.node.Clock().Now()
	if remaining <= 0 {
		return event.OrderNotSent
	}
	ctx, cancel := context.WithTimeout(e.aborted, min(remaining, lease.OrderLifetime).Duration())
	defer cancel()
	err := e.engine.SendOrder(ctx, engine.Command{Kind: string(f.Kind), Version: f.Version, Role: f.Role, Fence: f.Fence})
	switch {
	case err == nil:
		return event.OrderAccepted
	case errorx.IsOfType(err, engine.ErrFenced):
		return event.OrderFenced
	case errorx.IsOfType(err, engine.ErrRejected), errorx.IsOfType(err, engine.ErrBusy):
		return event.OrderRefused
	case errorx.IsOfType(err, engine.ErrNotStarted):
		return event.OrderNotSent
	}
	return event.OrderUnknown
}

// hasNewestLease reports whether the log contains no newer lease of this VM. It returns false if
// the log cannot be read, so that no order is sent when a newer lease may exist.
func (e *Endpoint) hasNewestLease(fence int64) bool {
	ctx, cancel := context.WithTimeout(e.aborted, pollTimeout.Duration())
	defer cancel()
	for from := fence + 1; ; {
		page, err := e.node.Store().Read(ctx, provider.LeaseStream, from, 0)
		if err != nil || lease.HasNewer(page.Records, e.node.Settings().VM, fence) {
			return false
		}
		if len(page.Records) == 0 {
			return true
		}
		from = page.Records[len(page.Records)-1].Offset + 1
	}
}
