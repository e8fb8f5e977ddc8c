package endpoint

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/gate"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// Run handles one attempt from an entry: it forwards the request to the engine and streams
// the pieces of the answer back.
func (e *Endpoint) Run(stream wire.DRPCGate_RunStream) (err error) {
	e.active.Add(1)
	defer e.active.Add(-1)
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	a := newAttempt(e, stream, first)
	defer e.heartbeats.add(&a.heartbeat)()
	if err = e.open(a); err != nil {
		return a.refuse(err)
	}
	if err = e.serve(a, first); err != nil {
		// The entry may ask for the retained answer, or repeat the call, as soon as it has the
		// refusal.
		e.close(a)
		return a.refuse(err)
	}
	defer e.close(a)
	return a.awaitBilling()
}

// serve admits an attempt and runs it.
func (e *Endpoint) serve(a *attempt, first *wire.RunFrame) (err error) {
	if err = e.admitBeforeDeadline(a); err != nil {
		return err
	}
	ctx, cancel := a.context()
	defer cancel()
	if err = a.dispatch(); err != nil {
		return err
	}
	if a.head.GetService() != "" {
		return e.runPlain(ctx, a, first)
	}
	return e.runChat(ctx, a, first.GetBody())
}

// admitBeforeDeadline admits an attempt unless its deadline passes or its entry disconnects
// first.
func (e *Endpoint) admitBeforeDeadline(a *attempt) (err error) {
	ctx, cancel := context.WithDeadline(a.stream.Context(), a.deadline)
	defer cancel()
	err = e.admit(ctx, a)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.New(refusal.DeadlinePassed, "deadline passed before a place came free")
	}
	return err
}

// open checks whether the attempt may start, and registers it if it is detached.
func (e *Endpoint) open(a *attempt) (err error) {
	switch {
	case a.head == nil || a.head.GetRequest() == "":
		return refusal.New(refusal.Malformed, "attempt has no head")
	case a.head.GetDeadlineMillis() <= 0:
		return refusal.New(refusal.DeadlinePassed, "deadline passed")
	case a.head.GetGateEpoch() != 0 && a.head.GetGateEpoch() != e.load().GetEpoch():
		// The attempt was addressed to the process that ran on this VM before a restart. That
		// process may have reported that the attempt will never run.
		return refusal.New(refusal.Restarted, "endpoint has restarted since")
	}
	if !a.detached() {
		return nil
	}
	if run, ok := e.attempts.Arrive(a.id(), a.claim()); !ok {
		code := refusal.AlreadyRan
		if run == refusal.NotRun {
			code = refusal.Tombstoned
		}
		return refusal.New(code, "attempt was refused or seen before").WithRun(run)
	}
	a.registered = true
	return nil
}

// close releases everything that the attempt still holds.
func (e *Endpoint) close(a *attempt) {
	a.release(gate.Dropped)
	if a.version != "" {
		e.busy.add(a.version, -1)
	}
	again := a.head.GetRepeatable() && a.step == nil
	switch {
	case a.retained == nil:
	case again:
		a.retained.Drop()
	default:
		a.retained.End(e.node.Clock().Now())
	}
	switch {
	case !a.registered:
	case again:
		e.attempts.Reopen(a.id())
	default:
		e.attempts.End(a.id())
	}
}

// context returns a context that ends at the attempt's deadline. A detached run continues when the
// connection to its entry is lost, because it may not be repeated or because its caller can request
// the answer again with its idempotency key. Any other run ends with the connection; a cancellation
// by the caller reaches the engine in this way.
func (a *attempt) context() (ctx context.Context, cancel context.CancelFunc) {
	ctx = a.stream.Context()
	if a.detached() {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, stop := context.WithDeadline(ctx, a.deadline)
	detach := context.AfterFunc(a.e.aborted, stop)
	return ctx, func() {
		detach()
		stop()
	}
}

// awaitBilling waits until the entry closes the stream, which it does once it has received and
// billed the last piece. If the entry disconnects earlier, the endpoint itself bills the step of a
// call that may not be repeated, because the call took effect. If both bill it, the two bills merge
// into one, since they name the same attempt. A repeatable run is billed only by the entry that
// delivers its answer: the request may have been answered by another attempt or by the caller's
// retry, and a bill from the endpoint would be a second one.
func (a *attempt) awaitBilling() (err error) {
	if a.retained == nil || a.head.GetRepeatable() {
		return nil
	}
	if !a.disconnected && a.acknowledged() {
		return nil
	}
	a.e.orphan(&wire.Bill{
		Request:        a.head.GetRequest(),
		Organisation:   a.head.GetOrganisation(),
		Route:          a.route(),
		Steps:          []*wire.Step{a.step},
		IdempotencyKey: a.head.GetIdempotencyKey(),
	})
	return nil
}

// route returns the name of the route or service for a bill, in the same form that entries
// use.
func (a *attempt) route() string {
	if s := a.head.GetService(); s != "" {
		return "services/" + s
	}
	return a.head.GetRoute()
}

// acknowledgeTimeout is how long an entry may take to bill a step before the endpoint bills
// it as well. Without this bound a paused entry would delay the shutdown of the endpoint.
const acknowledgeTimeout = 10 * clock.Second

// acknowledged reports whether the entry closed the stream deliberately. A broken connection
// ends the stream with a different error.
func (a *attempt) acknowledged() bool {
	if !a.bodyReceived.Load() {
		return false
	}
	closed := make(chan bool, 1)
	// The goroutine ends with the stream, at the latest when Run returns.
	go func() { closed <- a.closedByEntry() }()
	t := time.NewTimer(acknowledgeTimeout.Duration())
	defer t.Stop()
	select {
	case ok := <-closed:
		return ok
	case <-t.C:
		return false
	}
}

func (a *attempt) closedByEntry() bool {
	for {
		if _, err := a.stream.Recv(); err != nil {
			return err == io.EOF
		}
	}
}
