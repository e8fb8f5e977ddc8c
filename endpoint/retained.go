package endpoint

import (
	"context"

	"github.com/parsleydeal/parsleydeal/answer"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// Refuse prevents an attempt from being started and reports what became of it. The reply is not-run
// only if the request names this incarnation of the process, since an earlier incarnation may have
// run the attempt.
func (e *Endpoint) Refuse(_ context.Context, in *wire.RefuseRequest) (out *wire.RefuseReply, err error) {
	epoch := e.load().GetEpoch()
	out = &wire.RefuseReply{Run: wire.RunState_RUN_UNKNOWN, Epoch: epoch}
	run, running := e.attempts.Revoke(
		answer.Attempt{Request: in.GetRequest(), Number: in.GetAttempt()},
		answer.Claim{Stream: in.GetClaimStream(), Offset: in.GetClaim()},
	)
	out.Running = running
	switch {
	case run == refusal.Ran:
		_, out.Kept = e.answers.Find(answer.Owner{Request: in.GetRequest(), Organisation: in.GetOrganisation()})
		out.Run = wire.RunState_RUN_RAN
	case run == refusal.NotRun && in.GetGateEpoch() == epoch:
		out.Run = wire.RunState_RUN_NOT_RUN
	}
	return out, nil
}

// Kept streams a retained answer again, waiting for pieces that are still to come. Answers of
// other organisations are not found.
func (e *Endpoint) Kept(in *wire.KeptRequest, stream wire.DRPCGate_KeptStream) (err error) {
	e.active.Add(1)
	defer e.active.Add(-1)
	owner := answer.Owner{Request: in.GetRequest(), Organisation: in.GetOrganisation(), Key: in.GetIdempotencyKey()}
	h := &heartbeat{send: stream.Send}
	defer e.heartbeats.add(h)()
	retained, ok := e.answers.Find(owner)
	if ok {
		if err = retained.Replay(stream.Context(), in.GetAfter(), h.sendPiece); err == nil || stream.Context().Err() != nil {
			return err
		}
	}
	r := refusal.New(refusal.NotKept, "answer is not kept here").WithRun(refusal.Unknown)
	return h.sendPiece(&wire.Piece{Request: in.GetRequest(), Last: true, Refusal: r.Wire(), Load: e.load()})
}
