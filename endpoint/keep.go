package endpoint

import (
	"context"

	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// Refuse asks this endpoint never to start an attempt. Until tombstones are
// kept it can only say that it does not know.
func (e *Endpoint) Refuse(context.Context, *wire.RefuseRequest) (out *wire.RefuseReply, err error) {
	return &wire.RefuseReply{Run: wire.RunState_RUN_UNKNOWN}, nil
}

// Kept streams a kept answer again; nothing is kept yet.
func (e *Endpoint) Kept(in *wire.KeptRequest, stream wire.DRPCGate_KeptStream) (err error) {
	r := refusal.New(refusal.AlreadyRan, "answer is not kept here").WithRun(refusal.Unknown)
	return stream.Send(&wire.Piece{Request: in.GetRequest(), Last: true, Refusal: r.Wire()})
}
