package node

import (
	"context"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"google.golang.org/protobuf/proto"
)

// Exchange receives the digest of a peer and returns the digest of this process.
func (n *Node) Exchange(_ context.Context, in *wire.Digest) (out *wire.Digest, err error) {
	n.loop.Offer(event.DigestReceived{Now: n.cfg.Clock.Now(), Digest: in})
	return n.Digest(), nil
}

// Digest returns the report that this process sends to its peers.
func (n *Node) Digest() *wire.Digest {
	d := n.View().Digest(n.cfg.Clock.Now())
	if load := n.load.Load(); load != nil {
		d.Loads = append(d.Loads, (*load)())
	}
	n.addEstimates(d)
	return d
}

// addEstimates adds the quality estimates of the versions to a digest, at most once per
// estimatesInterval and at most maxEstimatesRate bytes per second. If every digest carried the
// estimates of all versions, a process that many peers contact would exceed its network budget.
func (n *Node) addEstimates(d *wire.Digest) {
	now, due := int64(n.cfg.Clock.Now()), n.nextEstimatesAt.Load()
	if now < due {
		return
	}
	estimates := &wire.Digest{Estimates: n.View().Quality().Estimates()}
	pause := max(int64(estimatesInterval), int64(proto.Size(estimates))*int64(clock.Second)/maxEstimatesRate)
	if n.nextEstimatesAt.CompareAndSwap(due, now+pause) {
		d.Estimates = estimates.GetEstimates()
	}
}

// SetLoad sets the function that returns an endpoint's own load for digests.
func (n *Node) SetLoad(f func() *wire.Load) { n.load.Store(&f) }

// StampLoad sets the VM, the epoch and the next sequence number of a load report, which order it
// after all earlier ones.
func (n *Node) StampLoad(l *wire.Load) {
	l.Vm, l.Epoch, l.Sequence = n.cfg.Settings.VM, n.epoch, n.loadSequence.Add(1)
}

// ReportNewerRevision reports to control that a peer uses a higher revision of the tables; control
// then fetches the peer's configuration records at once. If address is empty, it is looked up in
// the VM list. It never blocks.
func (n *Node) ReportNewerRevision(vm, address string, revision int64) {
	if revision > n.View().Revision() {
		n.loop.Offer(event.PeerAhead{Now: n.cfg.Clock.Now(), VM: vm, Address: address, Revision: revision})
	}
}

// ReportUnreachable reports to control that a call failed before it reached the VM. It never
// blocks.
func (n *Node) ReportUnreachable(vm string) {
	n.loop.Offer(event.PeerFailed{Now: n.cfg.Clock.Now(), VM: vm})
}

// Records returns the configuration records that this process retains, from an offset on. If the
// peer lacks earlier ones, the reply includes the checkpoint of the tables.
func (n *Node) Records(_ context.Context, in *wire.RecordsRequest) (out *wire.RecordsReply, err error) {
	v := n.View()
	out = v.Tail().Reply(in.GetFrom())
	if c := v.Checkpoint(); c != nil && in.GetFrom() < v.Tail().From() {
		data, err := c.Encode()
		if err != nil {
			return nil, err
		}
		out.Checkpoint = &wire.Record{Offset: c.Offset(), Data: data}
	}
	return out, nil
}
