package entry

import (
	"bytes"
	"context"
	"io"
	"strconv"

	"github.com/parsleydeal/parsleydeal/claim"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/refusal"
	"github.com/parsleydeal/parsleydeal/table"
)

const (
	// maxClaimRounds bounds how often one request claims its key. A claim that finds the key held
	// resolves the earlier attempt that holds it.
	maxClaimRounds = 4
	// refuseTimeout bounds the call that asks an endpoint to refuse an earlier attempt.
	refuseTimeout = 2 * clock.Second
	logDownRetry  = 2 * clock.Second
	runningRetry  = clock.Second
)

// ensureClaim makes sure that a call with an idempotency key that must not run twice is dispatched
// under a claim. The result done is true if the retained answer of an earlier attempt was emitted
// instead. A call without a key needs no claim: it is dispatched once, and Entry.run repeats it
// only if it is proven that nothing ran.
func (e *Entry) ensureClaim(ctx context.Context, req *requestState, vm provider.VM, emit func(*wire.Piece) error) (done bool, err error) {
	if req.repeatable || req.key == "" {
		return false, nil
	}
	c, err := req.newClaim(vm)
	if err != nil {
		return false, err
	}
	for range maxClaimRounds {
		holder, offset, err := e.node.ClaimKey(ctx, c)
		if err != nil {
			return false, e.claimFailed(req, err)
		}
		if claim.Same(holder, c) {
			req.claimRound, req.claimOffset = c.GetRound(), offset
			return false, nil
		}
		if done, err = e.resolveClaim(ctx, req, c, holder, offset, emit); done || err != nil {
			return done, err
		}
		// Each claim needs its own attempt number. With a reused number, an endpoint could run an
		// attempt that it has already reported as refused for good.
		req.attempts++
		c.Round, c.Attempt = holder.GetRound()+1, req.attempts
	}
	return false, claimRefusal(claim.Undecided)
}

// newClaim builds the claim that names this attempt as the one allowed to run the call.
func (r *requestState) newClaim(vm provider.VM) (c *wire.Claim, err error) {
	body, err := r.fingerprint()
	if err != nil {
		return nil, err
	}
	return &wire.Claim{
		Key: claim.Key(r.organisation, r.service, r.key), Body: body,
		Round: r.claimRound + 1, Request: r.id, Attempt: r.attempts, Vm: vm.ID, GateEpoch: r.gateEpoch,
	}, nil
}

// claimStream returns the stream of the claim that the request holds, or "" if it holds none.
func (r *requestState) claimStream() string {
	if r.claimRound == 0 {
		return ""
	}
	return claim.Stream(claim.Key(r.organisation, r.service, r.key))
}

// claimFailed decides whether a call whose claim could not be written may proceed. Nothing has been
// dispatched, so "not run" is correct. If the claim reached the log all the same, the key is held
// by an attempt that was never sent; the next request with the key makes the endpoint refuse that
// attempt and can then claim the key.
func (e *Entry) claimFailed(req *requestState, cause error) error {
	if req.view.Tables().Services[req.service].WhenLogDown == table.ServeWhenStale {
		return nil
	}
	return refusal.New(refusal.LogDown, cause.Error()).WithRetryAfter(logDownRetry)
}

// resolveClaim determines the outcome of the attempt that holds the key. The error is nil if that
// attempt can never run, or if its retained answer was emitted; done is true in the second case.
func (e *Entry) resolveClaim(ctx context.Context, req *requestState, c, holder *wire.Claim, offset int64, emit func(*wire.Piece) error) (done bool, err error) {
	verdict := claim.Decide(c, holder, req.claimRound > 0)
	if verdict != claim.QueryHolder {
		return false, claimRefusal(verdict)
	}
	vm, ok := req.view.Members().Find(holder.GetVm())
	if !ok {
		return false, refusal.New(refusal.AlreadyRan, "endpoint of an earlier attempt is gone, and with it the knowledge whether that ran").WithRun(refusal.Unknown)
	}
	refuseCtx, cancel := context.WithTimeout(ctx, refuseTimeout.Duration())
	defer cancel()
	out, err := e.node.Peers().Gate(refuseCtx, vm.Address).Refuse(refuseCtx, &wire.RefuseRequest{
		Request: holder.GetRequest(), Attempt: holder.GetAttempt(), IdempotencyKey: req.key, Organisation: req.organisation,
		GateEpoch: holder.GetGateEpoch(), Claim: offset, ClaimStream: claim.Stream(holder.GetKey()),
	})
	if err != nil {
		return false, claimRefusal(claim.Undecided)
	}
	verdict = claim.DecideFromReply(out)
	if verdict == claim.Replay {
		return true, e.replay(ctx, req, vm, holder, emit)
	}
	return false, claimRefusal(verdict)
}

// claimRefusal returns the refusal for a verdict. It is nil for NextRound, which lets the request
// claim the key again.
func claimRefusal(v claim.Verdict) error {
	switch v {
	case claim.NextRound:
		return nil
	case claim.KeyReused:
		return refusal.New(refusal.KeyReused, "idempotency key was used with another call")
	case claim.TakenOver:
		return refusal.New(refusal.AlreadyRunning, "another request with this key has taken over").WithRun(refusal.Unknown).WithRetryAfter(runningRetry)
	case claim.Ran:
		return refusal.New(refusal.AlreadyRan, "call with this key ran; its answer is no longer kept").WithRun(refusal.Ran)
	}
	return refusal.New(refusal.AlreadyRunning, "call with this key may be running or may have run").WithRun(refusal.Unknown).WithRetryAfter(runningRetry)
}

// replay emits the retained answer of an earlier attempt. Its step is billed under the ID of the
// earlier request, so that it merges with any bill already made for that request.
func (e *Entry) replay(ctx context.Context, req *requestState, vm provider.VM, holder *wire.Claim, emit func(*wire.Piece) error) (err error) {
	ctx, watchdog, cancel := withSilenceWatchdog(ctx)
	defer cancel()
	stream, err := e.node.Peers().Gate(ctx, vm.Address).Kept(ctx, &wire.KeptRequest{Request: holder.GetRequest(), IdempotencyKey: req.key, Organisation: req.organisation})
	if err != nil {
		return connectionError(ctx, err)
	}
	defer stream.Close()
	recv := watchdog.skipHeartbeats(stream.Recv)
	for next := uint32(0); ; next++ {
		p, err := recv()
		if err != nil {
			return connectionError(ctx, err)
		}
		if r := p.GetRefusal(); r != nil {
			return refusal.FromWire(r)
		}
		if p.GetRequest() != holder.GetRequest() || p.GetNumber() != next {
			return refusal.New(refusal.EndpointLost, "a piece of the kept answer is missing").WithRun(refusal.Ran)
		}
		if p.GetLast() {
			earlier := *req
			earlier.id, earlier.steps = holder.GetRequest(), nil
			err = e.finish(ctx, &earlier, p, emit)
			req.billSubmitted = earlier.billSubmitted
			return err
		}
		if err = emit(p); err != nil {
			return err
		}
	}
}

// computeFingerprint hashes a call, so that a key cannot be used for two different calls. If the
// body is longer than one frame, the hash includes only the bytes of the first frame and the
// Content-Length.
func (c *serviceCall) computeFingerprint() (sum []byte, err error) {
	if c.savedFingerprint != nil {
		return c.savedFingerprint, nil
	}
	buf := make([]byte, maxFrameBody)
	n, err := io.ReadFull(c.r.Body, buf)
	if err != nil && err != io.EOF && err != io.ErrUnexpectedEOF {
		return nil, refusal.New(refusal.Malformed, "body could not be read")
	}
	c.r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(buf[:n]), c.r.Body))
	c.savedFingerprint = claim.Hash([]byte(c.method), []byte(c.path), []byte(strconv.FormatInt(c.r.ContentLength, 10)), buf[:n])
	return c.savedFingerprint, nil
}
