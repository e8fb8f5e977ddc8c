package node

import (
	"context"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
)

// pause waits for a span and reports false when the context ended first.
func pause(ctx context.Context, span clock.Millis) bool {
	t := time.NewTimer(span.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
