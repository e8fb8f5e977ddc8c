package control

import (
	"context"

	"github.com/parsleydeal/parsleydeal/view"
)

// Await waits until a published view meets a condition. It reports false if the context
// ended first.
func (l *Loop) Await(ctx context.Context, met func(*view.View) bool) (ok bool) {
	for {
		// The channel is read before the view. A view published in between closes it, so
		// no change is missed.
		changed := *l.changed.Load()
		if met(l.View()) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// notifyViewChanged wakes all callers of Await.
func (l *Loop) notifyViewChanged() {
	next := make(chan struct{})
	close(*l.changed.Swap(&next))
}
