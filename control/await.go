package control

import (
	"context"

	"github.com/parsleydeal/parsleydeal/view"
)

// Await waits until a published view meets a condition. It reports false when
// the context ended first.
func (l *Loop) Await(ctx context.Context, met func(*view.View) bool) (ok bool) {
	for {
		// The channel is taken before the view: a view published in between
		// closes it, so that no change is missed.
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

// announce wakes all who wait for a view.
func (l *Loop) announce() {
	next := make(chan struct{})
	close(*l.changed.Swap(&next))
}
