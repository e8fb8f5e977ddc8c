package endpoint

import (
	"context"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// idlePoll is how often a draining endpoint looks whether work is left.
	idlePoll = 50 * clock.Millis(1)
	// idleLinger is how long a draining endpoint without work still answers:
	// entries that have not heard of the leaving are refused as not run, rather
	// than cut off in doubt.
	idleLinger = 500 * clock.Millis(1)
)

// WaitIdle waits until the endpoint has been leaving with no call of a peer under
// way for a while. It reports how many were left when the context ended first.
func (e *Endpoint) WaitIdle(ctx context.Context) (left int) {
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

// Abort cuts off what is still held, so that each caller is told the truth about
// its request before the process ends.
func (e *Endpoint) Abort() { e.abort() }
