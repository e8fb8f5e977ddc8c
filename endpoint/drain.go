package endpoint

import (
	"context"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// idlePoll is how often a draining endpoint checks for remaining work.
	idlePoll = 50 * clock.Millis(1)
	// idleLinger is how long a draining endpoint without work keeps accepting calls. A request from
	// an entry that does not know yet that the endpoint is leaving is then refused as not run.
	// Without this time its connection would break, which leaves open whether the request ran.
	idleLinger = 500 * clock.Millis(1)
)

// WaitIdle waits until the endpoint is draining and has had no peer call in progress for
// idleLinger. If the context ends first, it returns the number of calls still in progress.
func (e *Endpoint) WaitIdle(ctx context.Context) (remaining int) {
	t := time.NewTicker(idlePoll.Duration())
	defer t.Stop()
	idle := clock.Millis(0)
	for idle < idleLinger {
		select {
		case <-ctx.Done():
			return int(e.active.Load())
		case <-t.C:
		}
		idle += idlePoll
		if e.active.Load() > 0 || !e.node.View().Draining() {
			idle = 0
		}
	}
	return 0
}

// Abort cancels the attempts that are still running, so that each caller learns whether its
// request ran before the process ends.
func (e *Endpoint) Abort() { e.abort() }
