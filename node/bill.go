package node

import (
	"context"

	"github.com/parsleydeal/parsleydeal/bill"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// HoldBills holds copies of another process's bills until they are on the log.
func (n *Node) HoldBills(_ context.Context, in *wire.HoldBillsRequest) (out *wire.HoldBillsReply, err error) {
	keeper := in.GetKeeper()
	if keeper == "" {
		keeper = in.GetFrom()
	}
	reply := n.billing.accept(bill.HoldRequested{Now: n.cfg.Clock.Now(), Zone: in.GetZone(), Keeper: keeper, Bills: in.GetBills()})
	return &wire.HoldBillsReply{Held: reply.Held, Reason: reply.Reason}, nil
}

// ReleaseBills drops copies of bills that are on the log according to the calling process.
func (n *Node) ReleaseBills(_ context.Context, in *wire.ReleaseBillsRequest) (out *wire.ReleaseBillsReply, err error) {
	n.billing.post(bill.Released{Requests: in.GetRequests()})
	return &wire.ReleaseBillsReply{}, nil
}
