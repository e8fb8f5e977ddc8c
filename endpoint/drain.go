package endpoint

import (
	"context"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
)

// idlePoll is how often a draining endpoint looks whether work is left.
const idlePoll = 50 * clock.Millis(1)

// WaitIdle waits until no attempt is held.
func (e *Endpoint) WaitIdle(ctx context.Context) {
	t := time.NewTicker(idlePoll.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if held, _ := e.window.Held(); held == 0 && e.node.View().Draining() {
			return
		}
	}
}
