package node

import (
	"context"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
)

const (
	// appendTimeout limits one append to the log.
	appendTimeout = 5 * clock.Second
	// maxAppends is the maximum number of concurrent appends for control. A further append fails at
	// once, and the reducer that requested it retries it.
	maxAppends = 16
)

// append executes an Append effect without blocking the control goroutine.
func (n *Node) append(e event.Append) {
	select {
	case n.appends <- struct{}{}:
	default:
		n.loop.Offer(event.AppendDone{Now: n.cfg.Clock.Now(), Stream: e.Stream, ID: e.ID, Err: errAppendsFull})
		return
	}
	go func() {
		defer func() { <-n.appends }()
		ctx, cancel := context.WithTimeout(context.Background(), appendTimeout.Duration())
		defer cancel()
		offset, err := n.cfg.Store.Append(ctx, e.Stream, e.Data)
		n.loop.Post(ctx, event.AppendDone{Now: n.cfg.Clock.Now(), Stream: e.Stream, ID: e.ID, Offset: offset, Err: err})
	}()
}
