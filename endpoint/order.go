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

// perform carries out the effects that concern the engine, away from the control
// goroutine.
func (e *Endpoint) perform(f event.Effect) {
	switch f := f.(type) {
	case event.FetchWeights:
		go e.fetch(f)
	case event.GiveOrder:
		go e.give(f)
	}
}

func (e *Endpoint) fetch(f event.FetchWeights) {
	ctx, cancel := context.WithTimeout(e.aborted, lease.WeightsTimeout.Duration())
	defer cancel()
	err := e.node.Weights().Fetch(ctx, f.Version)
	if err != nil {
		e.node.Log().Warn("Weights could not be fetched.", "version", f.Version, "error", logbook.Text(err))
	}
	e.node.Loop().Post(e.aborted, event.WeightsDone{Now: e.node.Clock().Now(), Version: f.Version, Err: err})
}

func (e *Endpoint) give(f event.GiveOrder) {
	outcome := e.order(f)
	e.node.Log().Info("Order was given to the engine.", "kind", f.Kind, "version", f.Version, "role", f.Role, "fence", f.Fence, "outcome", outcome)
	e.node.Loop().Post(e.aborted, event.OrderDone{Now: e.node.Clock().Now(), ID: f.ID, Outcome: outcome})
}

// order gives one order, unless its lease has lapsed or a newer one stands. A
// process that was paused between the decision and this point would otherwise
// act on a lease that another one has taken over. Engines that check fencing
// numbers see to the rest; before any other the lease stream is read first.
func (e *Endpoint) order(f event.GiveOrder) event.OrderOutcome {
	if f.Compare && !e.newest(f.Fence) {
		return event.OrderFenced
	}
	left := f.Until - e.node.Clock().Now()
	if left <= 0 {
		return event.OrderNotGiven
	}
	ctx, cancel := context.WithTimeout(e.aborted, min(left, lease.OrderLifetime).Duration())
	defer cancel()
	err := e.engine.SendOrder(ctx, engine.Command{Kind: string(f.Kind), Version: f.Version, Role: f.Role, Fence: f.Fence})
	switch {
	case err == nil:
		return event.OrderTaken
	case errorx.IsOfType(err, engine.ErrFenced):
		return event.OrderFenced
	case errorx.IsOfType(err, engine.ErrRejected), errorx.IsOfType(err, engine.ErrBusy):
		return event.OrderRefused
	case errorx.IsOfType(err, engine.ErrNotStarted):
		return event.OrderNotGiven
	}
	return event.OrderUnknown
}

// newest reports whether the log shows no newer lease of this VM. An unreadable
// log proves nothing, so no order is given then.
func (e *Endpoint) newest(fence int64) bool {
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
