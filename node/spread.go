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
	// estimatesInterval is the minimum time between two digests that carry estimates.
	estimatesInterval = 3 * clock.Second
	// maxEstimatesRate is the maximum rate of estimates that a node sends, in bytes per second.
	maxEstimatesRate = 512
	// maxCalls is the maximum number of concurrent calls to peers. Further calls are dropped; a
	// later exchange brings the same information.
	maxCalls = 64
)

// call runs a call to a peer on its own goroutine, with a timeout.
func (n *Node) call(timeout clock.Millis, f func(ctx context.Context)) {
	select {
	case n.calls <- struct{}{}:
	default:
		return
	}
	n.run(func() {
		defer func() { <-n.calls }()
		ctx, cancel := context.WithTimeout(n.ctx, timeout.Duration())
		defer cancel()
		f(ctx)
	})
}

const (
	// leaveReportTimeout limits how long a stopping process waits until peers have received the
	// report that it is leaving.
	leaveReportTimeout = 2 * clock.Second
	leaveReportPoll    = 10 * clock.Millis(1)
)

// WaitLeaveReported waits, after Drain, until peers have received the report that this process is
// leaving, for at most leaveReportTimeout. If an idle process ended at once, the report would not
// be sent, and peers would send it requests for as long as the VM list lags.
func (n *Node) WaitLeaveReported(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveReportTimeout.Duration())
	defer cancel()
	drainStep := int64(-1)
	for drainStep < 0 || n.loop.Steps() <= drainStep || len(n.calls) > 0 {
		if drainStep < 0 && n.View().Draining() {
			drainStep = n.loop.Steps() // the step that drains may still be in progress
		}
		if !clock.Pause(ctx, leaveReportPoll) {
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

// follow starts or stops reading a stream of the log. It runs on the control goroutine only.
func (n *Node) follow(e event.Follow) {
	if stop := n.tailCancels[e.Stream]; stop != nil {
		stop()
		delete(n.tailCancels, e.Stream)
	}
	if !e.On {
		return
	}
	ctx, stop := context.WithCancel(n.ctx)
	n.tailCancels[e.Stream] = stop
	n.run(func() { n.tail(ctx, e.Stream) })
}
