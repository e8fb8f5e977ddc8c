package entry

import (
	"context"
	"errors"
	"io"

	"github.com/joomcode/errorx"
	answers "github.com/parsleydeal/parsleydeal/answer"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/peer"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// attempt runs the request once on one endpoint.
func (e *Entry) attempt(ctx context.Context, req *work, vm provider.VM, emit func(*wire.Piece) error) (err error) {
	req.attempts++
	req.gateEpoch = req.view.Members().Load(vm.ID).GetEpoch()
	if done, err := e.claimed(ctx, req, vm, emit); done || err != nil {
		return err
	}
	e.inflight.Add(vm.ID, 1)
	defer e.inflight.Add(vm.ID, -1)
	seq := answers.NewSequence(req.id, req.attempts)
	cut, err := e.open(ctx, req, vm, seq, emit)
	switch {
	case cut && req.kept() && ctx.Err() == nil:
		return e.reattach(ctx, req, vm, seq, emit, err)
	case seenBefore(req, err):
		return e.again(ctx, req, vm, seq, emit, err)
	}
	return err
}

// open sends the attempt and takes its pieces. Cut is true when the connection
// broke after the attempt may have arrived.
func (e *Entry) open(ctx context.Context, req *work, vm provider.VM, seq *answers.Sequence, emit func(*wire.Piece) error) (cut bool, err error) {
	ctx, quiet, cancel := listen(ctx)
	defer cancel()
	defer func() { e.missed(ctx, vm.ID) }()
	stream, err := e.node.Peers().Gate(ctx, vm.Address).Run(ctx)
	if err != nil {
		if ctx.Err() == nil {
			e.node.NotReached(vm.ID)
		}
		return false, lost(ctx, err)
	}
	defer stream.Close()
	recv := quiet.next(stream.Recv)
	head := e.head(ctx, req)
	if req.service == "" {
		if err = req.send(stream, head); err != nil {
			return true, lost(ctx, err)
		}
		return e.receive(ctx, req, seq, recv, emit)
	}
	stop := sendAside(req, func() error { return req.send(stream, head) }, cancel)
	defer stop()
	return e.receive(ctx, req, seq, recv, emit)
}

// missed tells choice and control of an endpoint that fell silent, so that new
// requests keep away from it.
func (e *Entry) missed(ctx context.Context, vm string) {
	if !silent(ctx) {
		return
	}
	e.inflight.RecordUnreachable(vm, e.node.Clock().Now())
	e.node.NotReached(vm)
}

// errBody marks a caller's body that broke off.
var errBody = errors.New("entry: caller's body broke off")

// sendAside sends a service's body while its answer comes back. Sending it first
// would lock up on a service that answers before it has read all: it waits for
// its answer to be taken, and the answer would wait for the body to be sent.
// Stop ends the sending, also one that waits for the caller or for the gate.
func sendAside(req *work, send func() error, cancel func()) (stop func()) {
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		// Only a body that broke off ends the attempt: a gate that refused it early
		// takes no more of the body either, and its refusal must still be read.
		if errors.Is(send(), errBody) {
			cancel()
		}
	}()
	return func() {
		select {
		case <-sent:
			return
		default:
		}
		req.stopBody()
		cancel()
		<-sent
	}
}

// reattach asks the endpoint for the rest of an answer after the connection to it
// broke. The run goes on there and may not be repeated, or need not be.
func (e *Entry) reattach(ctx context.Context, req *work, vm provider.VM, seq *answers.Sequence, emit func(*wire.Piece) error, cause error) (err error) {
	in := &wire.KeptRequest{Request: req.id, Organisation: req.organisation, After: seq.Next()}
	ctx, quiet, cancel := listen(ctx)
	defer cancel()
	stream, err := e.node.Peers().Gate(ctx, vm.Address).Kept(ctx, in)
	if err != nil {
		return cause
	}
	defer stream.Close()
	cut, err := e.receive(ctx, req, seq, quiet.next(stream.Recv), emit)
	if r, ok := refusal.As(err); cut || ok && r.Code() == refusal.NotKept {
		return cause
	}
	return err
}

// head describes the attempt to the gate.
func (e *Entry) head(ctx context.Context, req *work) *wire.RunHead {
	h := &wire.RunHead{
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
		CacheFrom:      req.cacheFrom,
		IdempotencyKey: req.key,
		Repeatable:     req.repeatable,
		DeadlineMillis: int64(remaining(ctx)),
		PrefixHash:     req.prefix,
		Entry:          e.node.Settings().VM,
		Stream:         req.stream,
		GateEpoch:      req.gateEpoch,
		Claim:          req.claim,
		ClaimStream:    req.claimStream(),
	}
	if req.way == answers.Resume {
		h.ResumeAfter = req.progress.Tokens()
		h.ResumeText = req.progress.Text()
	}
	return h
}

// receive hands pieces on in order. Pieces of another attempt and repeated ones
// are dropped. A gap ends the attempt: the caller would get an answer that is
// not whole.
func (e *Entry) receive(ctx context.Context, req *work, seq *answers.Sequence, recv func() (*wire.Piece, error), emit func(*wire.Piece) error) (cut bool, err error) {
	for {
		p, err := recv()
		if err != nil {
			return true, lost(ctx, err)
		}
		if !seq.Own(p) {
			continue
		}
		e.note(p)
		if r := p.GetRefusal(); r != nil {
			req.broken(p.GetStep())
			return false, refusal.FromWire(r)
		}
		ok, err := seq.Take(p)
		if err != nil {
			return false, refusal.New(refusal.EndpointLost, err.Error()).WithRun(refusal.Unknown)
		}
		if !ok {
			continue
		}
		req.progress.Add(p)
		if p.GetLast() {
			return false, e.finish(ctx, req, p, emit)
		}
		if err = emit(p); err != nil {
			return false, err
		}
	}
}

// note tells control what a piece says beside the answer.
func (e *Entry) note(p *wire.Piece) {
	e.node.Behind(p.GetLoad().GetVm(), "", p.GetRevision())
	if p.GetLoad() != nil {
		e.inflight.RecordLoad(p.GetLoad(), e.node.Clock().Now())
		e.node.Loop().Offer(event.LoadReceived{Now: e.node.Clock().Now(), Load: p.GetLoad()})
	}
}

// lost names a broken connection. Only a failed dial proves that nothing ran.
func lost(ctx context.Context, err error) error {
	switch {
	case errorx.IsOfType(err, peer.ErrNotReached):
		return refusal.New(refusal.EndpointLost, "endpoint cannot be reached")
	case silent(ctx):
		return refusal.New(refusal.EndpointLost, "endpoint fell silent").WithRun(refusal.Unknown)
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
