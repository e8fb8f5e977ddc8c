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
	// maxRounds bounds the earlier attempts that one request settles.
	maxRounds = 4
	// refuseTimeout bounds the question to the endpoint of an earlier attempt.
	refuseTimeout = 2 * clock.Second
	logDownRetry  = 2 * clock.Second
	runningRetry  = clock.Second
)

// claimed makes sure that a keyed call that must not run twice is dispatched
// under a claim. Done is true when an earlier attempt's kept answer has been
// given instead. An unkeyed call needs no claim: it is dispatched once, and run
// repeats it only after proof that nothing ran.
func (e *Entry) claimed(ctx context.Context, req *work, vm provider.VM, emit func(*wire.Piece) error) (done bool, err error) {
	if req.repeatable || req.key == "" {
		return false, nil
	}
	c, err := req.newClaim(vm)
	if err != nil {
		return false, err
	}
	for range maxRounds {
		s, offset, err := e.node.TakeClaim(ctx, c)
		if err != nil {
			return false, e.unclaimed(req, err)
		}
		if claim.Same(s, c) {
			req.round, req.claim = c.GetRound(), offset
			return false, nil
		}
		if done, err = e.settleClaim(ctx, req, c, s, offset, emit); done || err != nil {
			return done, err
		}
		// An attempt number belongs to one claim. With the old one, an attempt that
		// its endpoint has refused for ever, and told so, could run after all.
		req.attempts++
		c.Round, c.Attempt = s.GetRound()+1, req.attempts
	}
	return false, claimRefusal(claim.Open)
}

// newClaim names this attempt as the one that may run the call.
func (r *work) newClaim(vm provider.VM) (c *wire.Claim, err error) {
	body, err := r.fingerprint()
	if err != nil {
		return nil, err
	}
	return &wire.Claim{
		Key: claim.Key(r.organisation, r.service, r.key), Body: body,
		Round: r.round + 1, Request: r.id, Attempt: r.attempts, Vm: vm.ID, GateEpoch: r.gateEpoch,
	}, nil
}

// claimStream returns the stream of the claim that the request holds; empty
// without one.
func (r *work) claimStream() string {
	if r.round == 0 {
		return ""
	}
	return claim.Stream(claim.Key(r.organisation, r.service, r.key))
}

// unclaimed decides a call whose claim could not be settled. Nothing has been
// dispatched, so "not run" is true; a claim that stands after all names an
// attempt that its endpoint can still refuse.
func (e *Entry) unclaimed(req *work, cause error) error {
	if req.view.Tables().Services[req.service].WhenLogDown == table.ServeWhenStale {
		return nil
	}
	return refusal.New(refusal.LogDown, cause.Error()).WithRetryAfter(logDownRetry)
}

// settleClaim finds out what became of the attempt that holds the key. It
// returns without an error only when that attempt can never run, or with done
// when its answer has been given.
func (e *Entry) settleClaim(ctx context.Context, req *work, c, s *wire.Claim, offset int64, emit func(*wire.Piece) error) (done bool, err error) {
	verdict := claim.Judge(c, s, req.round > 0)
	if verdict != claim.Ask {
		return false, claimRefusal(verdict)
	}
	vm, ok := req.view.Members().Find(s.GetVm())
	if !ok {
		return false, refusal.New(refusal.AlreadyRan, "endpoint of an earlier attempt is gone, and with it the knowledge whether that ran").WithRun(refusal.Unknown)
	}
	refuseCtx, cancel := context.WithTimeout(ctx, refuseTimeout.Duration())
	defer cancel()
	out, err := e.node.Peers().Gate(refuseCtx, vm.Address).Refuse(refuseCtx, &wire.RefuseRequest{
		Request: s.GetRequest(), Attempt: s.GetAttempt(), IdempotencyKey: req.key, Organisation: req.organisation,
		GateEpoch: s.GetGateEpoch(), Claim: offset, ClaimStream: claim.Stream(s.GetKey()),
	})
	if err != nil {
		return false, claimRefusal(claim.Open)
	}
	verdict = claim.Weigh(out)
	if verdict == claim.Replay {
		return true, e.replay(ctx, req, vm, s, emit)
	}
	return false, claimRefusal(verdict)
}

// claimRefusal words a verdict for the caller; Next is no refusal.
func claimRefusal(v claim.Verdict) error {
	switch v {
	case claim.Next:
		return nil
	case claim.Reused:
		return refusal.New(refusal.KeyReused, "idempotency key was used with another call")
	case claim.TakenOver:
		return refusal.New(refusal.AlreadyRunning, "another request with this key has taken over").WithRun(refusal.Unknown).WithRetryAfter(runningRetry)
	case claim.Ran:
		return refusal.New(refusal.AlreadyRan, "call with this key ran; its answer is no longer kept").WithRun(refusal.Ran)
	}
	return refusal.New(refusal.AlreadyRunning, "call with this key may be running or may have run").WithRun(refusal.Unknown).WithRetryAfter(runningRetry)
}

// replay gives the kept answer of an earlier attempt. Its step is billed under
// the earlier request, where it merges with whatever bill was made of it.
func (e *Entry) replay(ctx context.Context, req *work, vm provider.VM, s *wire.Claim, emit func(*wire.Piece) error) (err error) {
	ctx, quiet, cancel := listen(ctx)
	defer cancel()
	stream, err := e.node.Peers().Gate(ctx, vm.Address).Kept(ctx, &wire.KeptRequest{Request: s.GetRequest(), IdempotencyKey: req.key, Organisation: req.organisation})
	if err != nil {
		return lost(ctx, err)
	}
	defer stream.Close()
	recv := quiet.next(stream.Recv)
	for next := uint32(0); ; next++ {
		p, err := recv()
		if err != nil {
			return lost(ctx, err)
		}
		if r := p.GetRefusal(); r != nil {
			return refusal.FromWire(r)
		}
		if p.GetRequest() != s.GetRequest() || p.GetNumber() != next {
			return refusal.New(refusal.EndpointLost, "a piece of the kept answer is missing").WithRun(refusal.Ran)
		}
		if p.GetLast() {
			earlier := *req
			earlier.id, earlier.steps = s.GetRequest(), nil
			err = e.finish(ctx, &earlier, p, emit)
			req.placed = earlier.placed
			return err
		}
		if err = emit(p); err != nil {
			return err
		}
	}
}

// print digests a call, so that a key cannot stand for two different ones. Of a
// body longer than one frame only the first part and the length count.
func (c *call) print() (sum []byte, err error) {
	if c.printed != nil {
		return c.printed, nil
	}
	buf := make([]byte, servicePiece)
	n, err := io.ReadFull(c.r.Body, buf)
	if err != nil && err != io.EOF && err != io.ErrUnexpectedEOF {
		return nil, refusal.New(refusal.Malformed, "body could not be read")
	}
	c.r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(buf[:n]), c.r.Body))
	c.printed = claim.Hash([]byte(c.method), []byte(c.path), []byte(strconv.FormatInt(c.r.ContentLength, 10)), buf[:n])
	return c.printed, nil
}
