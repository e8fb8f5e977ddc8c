package node

import (
	"context"

	"github.com/parsleydeal/parsleydeal/bill"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// HoldBills takes bills of another process.
func (n *Node) HoldBills(_ context.Context, in *wire.HoldBillsRequest) (out *wire.HoldBillsReply, err error) {
	keeper := in.GetKeeper()
	if keeper == "" {
		keeper = in.GetFrom()
	}
	a := n.billing.take(bill.HoldRequested{Now: n.cfg.Clock.Now(), Zone: in.GetZone(), Keeper: keeper, Bills: in.GetBills()})
	return &wire.HoldBillsReply{Held: a.Held, Reason: a.Reason}, nil
}

// ReleaseBills drops bills that are on the log.
func (n *Node) ReleaseBills(_ context.Context, in *wire.ReleaseBillsRequest) (out *wire.ReleaseBillsReply, err error) {
	n.billing.post(bill.Released{Requests: in.GetRequests()})
	return &wire.ReleaseBillsReply{}, nil
}
