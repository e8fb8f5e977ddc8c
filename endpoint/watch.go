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
	watchInterval = 100 * clock.Millis(1)
	// pollTicks is the number of watch intervals between two reads of the engine's load.
	pollTicks   = 5
	pollTimeout = 2 * clock.Second
)

// watch runs the endpoint's periodic work until the context ends: it detects stalled
// requests, sends heartbeats, expires retained answers and polls the engine.
func (e *Endpoint) watch(ctx context.Context) {
	t := time.NewTicker(watchInterval.Duration())
	defer t.Stop()
	reached := true
	for n := 0; ; n++ {
		now := e.node.Clock().Now()
		e.applyLimits()
		e.gate.Tick(now)
		e.heartbeats.tick()
		e.answers.Expire(now)
		if n%pollTicks == 0 && !e.node.Settings().Endpoint.Plain {
			reached = e.pollEngine(ctx, reached)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// applyLimits applies the tables' limits to the gate even while no requests arrive, so that
// an idle endpoint reports its actual window to entries.
func (e *Endpoint) applyLimits() {
	if pool, ok := e.pool(); ok {
		e.gate.SetLimits(limitsOf(pool, e.node.Settings().Endpoint.Plain))
	}
}

// pollEngine reads the engine's load. If the engine's generation has changed, or it no longer
// accepts connections, it has restarted and is cold.
func (e *Endpoint) pollEngine(ctx context.Context, wasReached bool) (reached bool) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout.Duration())
	defer cancel()
	l, err := e.engine.Load(ctx)
	if err != nil {
		if wasReached && errorx.IsOfType(err, engine.ErrNotStarted) {
			e.gate.CloseWindow()
			e.node.Log().Warn("Could not connect to engine; reset the admission window to its cold size.", "error", logbook.Text(err))
		}
		return !errorx.IsOfType(err, engine.ErrNotStarted)
	}
	e.status.Store(&l)
	// The revision is read before the busy versions. A request that was admitted on older tables is
	// then either counted as busy or refused by its last check.
	revision := e.node.View().Revision()
	e.node.Loop().Offer(event.EngineReported{
		Now: e.node.Clock().Now(), Generation: l.Generation, Versions: l.Versions, Role: l.Role, Busy: e.busy.versions(), Revision: revision,
	})
	if e.gate.SetGeneration(l.Generation) {
		e.node.Log().Warn("Engine restarted; reset the admission window to its cold size.", "generation", l.Generation)
	}
	return true
}
