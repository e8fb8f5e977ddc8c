package entry

import (
	"context"
	"errors"
	"io"

	"github.com/joomcode/errorx"
	answers "github.com/parsleydeal/parsleydeal/answer"
	"github.com/parsleydeal/parsleydeal/caller"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/peer"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// attempt runs the request once on one endpoint.
func (e *Entry) attempt(ctx context.Context, req *requestState, vm provider.VM, emit func(*wire.Piece) error) (err error) {
	if callerLeft(ctx) {
		return errCallerLeft()
	}
	req.attempts++
	req.gateEpoch = req.view.Members().Load(vm.ID).GetEpoch()
	if done, err := e.ensureClaim(ctx, req, vm, emit); done || err != nil {
		return err
	}
	e.inflight.Add(vm.ID, 1)
	defer e.inflight.Add(vm.ID, -1)
	seq := answers.NewSequence(req.id, req.attempts)
	disconnected, err := e.sendAttempt(ctx, req, vm, seq, emit)
	switch {
	case disconnected && req.survivesDisconnect() && ctx.Err() == nil:
		return e.reattach(ctx, req, vm, seq, emit, err)
	case alreadyRan(req, err):
		return e.fetchEarlierAnswer(ctx, req, vm, seq, emit, err)
	}
	return err
}

// sendAttempt sends the attempt and receives its pieces. The result disconnected is true if the
// connection broke after the attempt may have reached the endpoint.
func (e *Entry) sendAttempt(ctx context.Context, req *requestState, vm provider.VM, seq *answers.Sequence, emit func(*wire.Piece) error) (disconnected bool, err error) {
	ctx, watchdog, cancel := withSilenceWatchdog(ctx)
	defer cancel()
	defer func() { e.reportSilence(ctx, vm.ID) }()
	stream, err := e.node.Peers().Gate(ctx, vm.Address).Run(ctx)
	if err != nil {
		if ctx.Err() == nil {
			e.node.ReportUnreachable(vm.ID)
		}
		return false, connectionError(ctx, err)
	}
	defer stream.Close()
	if callerLeft(ctx) {
		return false, errCallerLeft()
	}
	recv := watchdog.skipHeartbeats(stream.Recv)
	head := e.runHead(ctx, req)
	if req.service == "" {
		if err = req.send(stream, head); err != nil {
			return true, connectionError(ctx, err)
		}
		return e.receive(ctx, req, seq, recv, emit)
	}
	stop := sendConcurrently(req, func() error { return req.send(stream, head) }, cancel)
	defer stop()
	return e.receive(ctx, req, seq, recv, emit)
}

// callerLeft reports whether a request's caller has closed its connection. The context of the request ends only once
// net/http has read that.
func callerLeft(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) || caller.Of(ctx).Left()
}

// errCallerLeft is the refusal of an attempt that was not sent because the caller has left.
func errCallerLeft() error { return refusal.New(refusal.Cancelled, "caller went away") }

// reportSilence marks an endpoint as unreachable if the call to it was cancelled because it sent
// nothing for maxSilence. It then gets no new requests.
func (e *Entry) reportSilence(ctx context.Context, vm string) {
	if !endedBySilence(ctx) {
		return
	}
	e.inflight.RecordUnreachable(vm, e.node.Clock().Now())
	e.node.ReportUnreachable(vm)
}

// errBodyIncomplete marks a caller's body that could not be read to its end.
var errBodyIncomplete = errors.New("entry: caller's body broke off")

// sendConcurrently sends a service's body while the answer is received. Sending the body first
// would deadlock with a service that answers before it has read everything: the service waits for
// its answer to be read, and the answer would only be read once the body is sent. The function stop
// ends the sending, even while it waits for the caller or the gate.
func sendConcurrently(req *requestState, send func() error, cancel func()) (stop func()) {
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		// Only an incomplete body cancels the attempt. A gate that refuses early also stops reading the
		// body, and its refusal must still be received.
		if errors.Is(send(), errBodyIncomplete) {
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

// reattach fetches the rest of an answer from the endpoint after the connection to it broke. The
// endpoint continues the run, so the request is not sent again: that would be wrong for a call that
// may run only once, and is unnecessary for any other. If the rest cannot be fetched, cause is
// returned.
func (e *Entry) reattach(ctx context.Context, req *requestState, vm provider.VM, seq *answers.Sequence, emit func(*wire.Piece) error, cause error) (err error) {
	in := &wire.KeptRequest{Request: req.id, Organisation: req.organisation, After: seq.Next()}
	ctx, watchdog, cancel := withSilenceWatchdog(ctx)
	defer cancel()
	stream, err := e.node.Peers().Gate(ctx, vm.Address).Kept(ctx, in)
	if err != nil {
		return cause
	}
	defer stream.Close()
	disconnected, err := e.receive(ctx, req, seq, watchdog.skipHeartbeats(stream.Recv), emit)
	if r, ok := refusal.As(err); disconnected || ok && r.Code() == refusal.NotKept {
		return cause
	}
	return err
}

// runHead returns the head of the attempt, the first message that the gate receives.
func (e *Entry) runHead(ctx context.Context, req *requestState) *wire.RunHead {
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
		Claim:          req.claimOffset,
		ClaimStream:    req.claimStream(),
	}
	if req.retryMode == answers.Resume {
		h.ResumeAfter = req.progress.Tokens()
		h.ResumeText = req.progress.Text()
	}
	return h
}

// receive emits pieces in order. It drops pieces of other attempts and repeated pieces. A missing
// piece ends the attempt, as the answer would be incomplete. The result disconnected is true if the
// stream broke.
func (e *Entry) receive(ctx context.Context, req *requestState, seq *answers.Sequence, recv func() (*wire.Piece, error), emit func(*wire.Piece) error) (disconnected bool, err error) {
	for {
		p, err := recv()
		if err != nil {
			return true, connectionError(ctx, err)
		}
		if !seq.Matches(p) {
			continue
		}
		e.recordLoad(p)
		if r := p.GetRefusal(); r != nil {
			req.addBrokenStep(p.GetStep())
			return false, refusal.FromWire(r)
		}
		ok, err := seq.Accept(p)
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

// recordLoad records the table revision and the load that the endpoint reports in a piece.
func (e *Entry) recordLoad(p *wire.Piece) {
	e.node.ReportNewerRevision(p.GetLoad().GetVm(), "", p.GetRevision())
	if p.GetLoad() != nil {
		e.inflight.RecordLoad(p.GetLoad(), e.node.Clock().Now())
		e.node.Loop().Offer(event.LoadReceived{Now: e.node.Clock().Now(), Load: p.GetLoad()})
	}
}

// connectionError maps a broken connection to a refusal. Only a failed dial proves that nothing ran.
func connectionError(ctx context.Context, err error) error {
	switch {
	case errorx.IsOfType(err, peer.ErrNotReached):
		return refusal.New(refusal.EndpointLost, "endpoint cannot be reached")
	case endedBySilence(ctx):
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

// remaining returns the time until the request's deadline.
func remaining(ctx context.Context) clock.Millis {
	d, ok := ctx.Deadline()
	if !ok {
		return defaultDeadline
	}
	return clock.Until(d)
}
