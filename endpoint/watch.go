package endpoint

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/engine"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/logbook"
)

const (
	watchEvery = 100 * clock.Millis(1)
	// pollEvery is the span between two readings of the engine's load, in watches.
	pollEvery   = 5
	pollTimeout = 2 * clock.Second
)

// watch looks after the gate until the context ends: stalled requests, kept
// answers that have lapsed, and the engine's own word.
func (e *Endpoint) watch(ctx context.Context) {
	t := time.NewTicker(watchEvery.Duration())
	defer t.Stop()
	reached := true
	for n := 0; ; n++ {
		now := e.node.Clock().Now()
		e.bound()
		e.gate.Tick(now)
		e.heartbeats.tick()
		e.keeping.Expire(now)
		if n%pollEvery == 0 && !e.node.Settings().Endpoint.Plain {
			reached = e.poll(ctx, reached)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// bound gives the gate the tables' limits also while nothing arrives, so that an
// idle endpoint tells entries its true window.
func (e *Endpoint) bound() {
	if pool, ok := e.pool(); ok {
		e.gate.SetLimits(limitsOf(pool, e.node.Settings().Endpoint.Plain))
	}
}

// poll reads the engine's load. An engine with another generation, or one that
// takes no connection any more, has restarted and is cold.
func (e *Endpoint) poll(ctx context.Context, before bool) (reached bool) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout.Duration())
	defer cancel()
	l, err := e.engine.Load(ctx)
	if err != nil {
		if before && errorx.IsOfType(err, engine.ErrNotStarted) {
			e.gate.CloseWindow()
			e.node.Log().Warn("Engine takes no connection; the window is closed.", "error", logbook.Text(err))
		}
		return !errorx.IsOfType(err, engine.ErrNotStarted)
	}
	e.status.Store(&l)
	// The revision is read first: work on older tables that begins after it is
	// seen as busy or refused by its last check.
	revision := e.node.View().Revision()
	e.node.Loop().Offer(event.EngineSeen{
		Now: e.node.Clock().Now(), Generation: l.Generation, Versions: l.Versions, Role: l.Role, Busy: e.busy.versions(), Revision: revision,
	})
	if e.gate.SetGeneration(l.Generation) {
		e.node.Log().Warn("Engine has restarted; the window is closed.", "generation", l.Generation)
	}
	return true
}
