package entry

import (
	"context"
	"errors"
	"io"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/peer"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/platform"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// attempt runs the request once on one endpoint.
func (e *Entry) attempt(ctx context.Context, req *work, vm platform.VM, emit func(*wire.Piece) error) (err error) {
	req.attempts++
	if done, err := e.claimed(ctx, req, vm, emit); done || err != nil {
		return err
	}
	e.inflight.Add(vm.ID, 1)
	defer e.inflight.Add(vm.ID, -1)
	stream, err := e.node.Peers().Gate(ctx, vm.Address).Run(ctx)
	if err != nil {
		if ctx.Err() == nil {
			e.node.NotReached(vm.ID)
		}
		return lost(ctx, err)
	}
	defer stream.Close()
	if err = req.send(stream, e.head(ctx, req)); err != nil {
		return lost(ctx, err)
	}
	return e.receive(ctx, req, stream, emit)
}

// head describes the attempt to the gate.
func (e *Entry) head(ctx context.Context, req *work) *wire.RunHead {
	return &wire.RunHead{
		Request:        req.id,
		Attempt:        req.attempts,
		Revision:       req.view.Revision(),
		Organisation:   req.organisation,
		Route:          req.routeName,
		Version:        req.version,
		Service:        req.service,
		Method:         req.method,
		Path:           req.path,
		Headers:        req.headers,
		Priority:       req.priority,
		Session:        req.session.ID,
		IdempotencyKey: req.key,
		Repeatable:     req.repeatable,
		DeadlineMillis: int64(remaining(ctx)),
		PrefixHash:     req.prefix,
		Entry:          e.node.Settings().VM,
		Stream:         req.stream,
		Claim:          req.claim,
	}
}

// receive hands pieces on in order. Pieces of another attempt are dropped, and
// a gap ends the attempt: the caller would get an answer that is not whole.
func (e *Entry) receive(ctx context.Context, req *work, stream wire.DRPCGate_RunClient, emit func(*wire.Piece) error) (err error) {
	next := uint32(0)
	for {
		p, err := stream.Recv()
		if err != nil {
			return lost(ctx, err)
		}
		if p.GetRequest() != req.id || p.GetAttempt() != req.attempts {
			continue
		}
		e.node.Behind(p.GetLoad().GetVm(), "", p.GetRevision())
		if p.GetLoad() != nil {
			e.node.Loop().Offer(event.LoadReceived{Now: e.node.Clock().Now(), Load: p.GetLoad()})
		}
		if r := p.GetRefusal(); r != nil {
			return refusal.FromWire(r)
		}
		if p.GetNumber() != next {
			return refusal.New(refusal.EndpointLost, "a piece of the answer is missing").WithRun(refusal.Unknown)
		}
		next++
		if !p.GetLast() {
			if err = emit(p); err != nil {
				return err
			}
			continue
		}
		return e.finish(ctx, req, p, emit)
	}
}

// lost names a broken connection. Only a failed dial proves that nothing ran.
func lost(ctx context.Context, err error) error {
	switch {
	case errorx.IsOfType(err, peer.ErrNotReached):
		return refusal.New(refusal.EndpointLost, "endpoint cannot be reached")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refusal.New(refusal.DeadlinePassed, "deadline passed").WithRun(refusal.Unknown)
	case ctx.Err() != nil:
		return refusal.New(refusal.Cancelled, "cancelled by the caller").WithRun(refusal.Unknown)
	case errors.Is(err, io.EOF):
		return refusal.New(refusal.EndpointLost, "endpoint ended the stream early").WithRun(refusal.Unknown)
	default:
		return refusal.New(refusal.EndpointLost, err.Error()).WithRun(refusal.Unknown)
	}
}

// remaining is how long the request's context still lasts.
func remaining(ctx context.Context) clock.Millis {
	d, ok := ctx.Deadline()
	if !ok {
		return defaultDeadline
	}
	return clock.Until(d)
}
