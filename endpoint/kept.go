package endpoint

import (
	"context"

	"github.com/parsleydeal/parsleydeal/answer"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// Refuse asks this endpoint never to start an attempt and tells what became of
// it. It says "not-run" only when the attempt named this start of the process:
// an earlier one may have run it.
func (e *Endpoint) Refuse(_ context.Context, in *wire.RefuseRequest) (out *wire.RefuseReply, err error) {
	epoch := e.load().GetEpoch()
	out = &wire.RefuseReply{Run: wire.RunState_RUN_UNKNOWN, Epoch: epoch}
	run, running := e.memory.Revoke(
		answer.Attempt{Request: in.GetRequest(), Number: in.GetAttempt()},
		answer.Claim{Stream: in.GetClaimStream(), Offset: in.GetClaim()},
	)
	out.Running = running
	switch {
	case run == refusal.Ran:
		_, out.Kept = e.keeping.Find(answer.Owner{Request: in.GetRequest(), Organisation: in.GetOrganisation()})
		out.Run = wire.RunState_RUN_RAN
	case run == refusal.NotRun && in.GetGateEpoch() == epoch:
		out.Run = wire.RunState_RUN_NOT_RUN
	}
	return out, nil
}

// Kept streams a kept answer again, waiting for the pieces that are still to
// come. The answer of another organisation is not found.
func (e *Endpoint) Kept(in *wire.KeptRequest, stream wire.DRPCGate_KeptStream) (err error) {
	e.active.Add(1)
	defer e.active.Add(-1)
	owner := answer.Owner{Request: in.GetRequest(), Organisation: in.GetOrganisation(), Key: in.GetIdempotencyKey()}
	b := &heartbeat{send: stream.Send}
	defer e.heartbeats.start(b)()
	kept, ok := e.keeping.Find(owner)
	if ok {
		if err = kept.Replay(stream.Context(), in.GetAfter(), b.piece); err == nil || stream.Context().Err() != nil {
			return err
		}
	}
	r := refusal.New(refusal.NotKept, "answer is not kept here").WithRun(refusal.Unknown)
	return b.piece(&wire.Piece{Request: in.GetRequest(), Last: true, Refusal: r.Wire(), Load: e.load()})
}
