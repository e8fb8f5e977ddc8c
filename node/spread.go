package node

import (
	"context"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

const (
	exchangeTimeout = clock.Second
	recordsTimeout  = 3 * clock.Second
	// estimatesEvery is the least span between two digests that carry estimates.
	estimatesEvery = 3 * clock.Second
	// estimatesBytes bounds the bytes a second of estimates that a node sends.
	estimatesBytes = 512
	// maxCalls bounds the calls to peers under way; a further one is dropped
	// and made good by a later exchange.
	maxCalls = 64
)

// call runs a call to a peer on a goroutine of its own.
func (n *Node) call(span clock.Millis, f func(ctx context.Context)) {
	select {
	case n.calls <- struct{}{}:
	default:
		return
	}
	n.run(func() {
		defer func() { <-n.calls }()
		ctx, cancel := context.WithTimeout(n.ctx, span.Duration())
		defer cancel()
		f(ctx)
	})
}

const (
	// tellLimit bounds the wait of a stop for peers to be told.
	tellLimit = 2 * clock.Second
	tellPoll  = 10 * clock.Millis(1)
)

// WaitLeaveReported waits, after Drain, until peers have been told that this process leaves.
// An idle process that ended at once would take its word with it, and be sent
// work for as long as the VM list lags.
func (n *Node) WaitLeaveReported(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tellLimit.Duration())
	defer cancel()
	begun := int64(-1)
	for begun < 0 || n.loop.Steps() <= begun || len(n.calls) > 0 {
		if begun < 0 && n.View().Draining() {
			begun = n.loop.Steps() // the step that drains may still be under way
		}
		if !clock.Pause(ctx, tellPoll) {
			return
		}
	}
}

func (n *Node) exchange(e event.Exchange) {
	n.call(exchangeTimeout, func(ctx context.Context) {
		sent := n.cfg.Clock.Now()
		d := n.Digest()
		d.Counts = e.Digest.GetCounts()
		reply, err := n.cfg.Peers.Peer(ctx, e.Address).Exchange(ctx, d)
		if err != nil {
			n.ReportUnreachable(e.VM)
			return
		}
		n.loop.Post(n.ctx, event.DigestReceived{Now: n.cfg.Clock.Now(), Digest: reply, Reply: true, Sent: sent})
	})
}

func (n *Node) fetch(e event.FetchRecords) {
	n.call(recordsTimeout, func(ctx context.Context) {
		reply, err := n.cfg.Peers.Peer(ctx, e.Address).Records(ctx, &wire.RecordsRequest{From: e.From})
		if err != nil {
			n.ReportUnreachable(e.VM)
			return
		}
		n.loop.Post(n.ctx, event.RecordsReceived{Now: n.cfg.Clock.Now(), From: e.VM, Reply: reply})
	})
}

// follow begins or ends reading a stream of the log. It runs on the control
// goroutine only.
func (n *Node) follow(e event.Follow) {
	if stop := n.follows[e.Stream]; stop != nil {
		stop()
		delete(n.follows, e.Stream)
	}
	if !e.On {
		return
	}
	ctx, stop := context.WithCancel(n.ctx)
	n.follows[e.Stream] = stop
	n.run(func() { n.tail(ctx, e.Stream) })
}
