package clock

import (
	"context"
	"time"
)

// Pause waits for d and reports false if the context ended first.
func Pause(ctx context.Context, d Millis) bool {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
