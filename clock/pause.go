package clock

import (
	"context"
	"time"
)

// Pause waits for a span and reports false when the context ended first.
func Pause(ctx context.Context, span Millis) bool {
	t := time.NewTimer(span.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
