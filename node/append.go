package node

import (
	"context"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
)

const (
	// appendTimeout bounds one append to the log.
	appendTimeout = 5 * clock.Second
	// maxAppends bounds the appends under way for control; one more fails at
	// once and is tried again by its reducer.
	maxAppends = 16
)

// append carries out an Append effect away from the control goroutine.
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
