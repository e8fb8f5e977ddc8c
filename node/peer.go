package node

import (
	"context"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"google.golang.org/protobuf/proto"
)

// Exchange takes in what a peer knows and returns what this process knows.
func (n *Node) Exchange(_ context.Context, in *wire.Digest) (out *wire.Digest, err error) {
	n.loop.Offer(event.DigestReceived{Now: n.cfg.Clock.Now(), Digest: in})
	return n.Digest(), nil
}

// Digest returns what this process tells its peers.
func (n *Node) Digest() *wire.Digest {
	d := n.View().Digest(n.cfg.Clock.Now())
	if load := n.load.Load(); load != nil {
		d.Loads = append(d.Loads, (*load)())
	}
	n.addEstimates(d)
	return d
}

// addEstimates adds what is known of the versions' quality, at most once every
// estimatesEvery and at most estimatesBytes a second. Digests that always carried
// the estimates of all versions would take a node that many ask over its share of
// the network.
func (n *Node) addEstimates(d *wire.Digest) {
	now, due := int64(n.cfg.Clock.Now()), n.estimatesAt.Load()
	if now < due {
		return
	}
	estimates := &wire.Digest{Estimates: n.View().Quality().Estimates()}
	pause := max(int64(estimatesEvery), int64(proto.Size(estimates))*int64(clock.Second)/estimatesBytes)
	if n.estimatesAt.CompareAndSwap(due, now+pause) {
		d.Estimates = estimates.GetEstimates()
	}
}

// SetLoad gives the function that reports an endpoint's own load in digests.
func (n *Node) SetLoad(f func() *wire.Load) { n.load.Store(&f) }

// StampLoad names the process in a load and orders it after all before it.
func (n *Node) StampLoad(l *wire.Load) {
	l.Vm, l.Epoch, l.Sequence = n.cfg.Settings.VM, n.epoch, n.loads.Add(1)
}

// ReportNewerRevision tells control that a peer decides on a higher revision; records are
// fetched from it at once. An empty address asks the VM list. It never blocks.
func (n *Node) ReportNewerRevision(vm, address string, revision int64) {
	if revision > n.View().Revision() {
		n.loop.Offer(event.Behind{Now: n.cfg.Clock.Now(), VM: vm, Address: address, Revision: revision})
	}
}

// ReportUnreachable tells control that a call to a VM failed before it got there.
func (n *Node) ReportUnreachable(vm string) {
	n.loop.Offer(event.PeerFailed{Now: n.cfg.Clock.Now(), VM: vm})
}

// Records returns records that this process still keeps; of the configuration
// also the checkpoint of its tables to one that lacks earlier ones.
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
