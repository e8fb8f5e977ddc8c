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

// Run carries one attempt from an entry to the engine and the pieces back.
func (e *Endpoint) Run(stream wire.DRPCGate_RunStream) (err error) {
	e.active.Add(1)
	defer e.active.Add(-1)
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	a := newAttempt(e, stream, first)
	defer e.heartbeats.start(&a.heartbeat)()
	if err = e.open(a); err != nil {
		return a.refuse(err)
	}
	defer e.close(a)
	if err = e.admitInTime(a); err != nil {
		return a.refuse(err)
	}
	ctx, cancel := a.context()
	defer cancel()
	if err = a.dispatch(); err != nil {
		return a.refuse(err)
	}
	if a.head.GetService() != "" {
		err = e.runPlain(ctx, a, first)
	} else {
		err = e.runChat(ctx, a, first.GetBody())
	}
	if err != nil {
		return a.refuse(err)
	}
	return a.settle()
}

// admitInTime admits an attempt for as long as its caller waits and its entry is
// there.
func (e *Endpoint) admitInTime(a *attempt) (err error) {
	ctx, cancel := context.WithDeadline(a.stream.Context(), a.deadline)
	defer cancel()
	err = e.admit(ctx, a)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.New(refusal.DeadlinePassed, "deadline passed before a place came free")
	}
	return err
}

// open checks that an attempt may be begun at all.
func (e *Endpoint) open(a *attempt) (err error) {
	switch {
	case a.head == nil || a.head.GetRequest() == "":
		return refusal.New(refusal.Malformed, "attempt has no head")
	case a.head.GetDeadlineMillis() <= 0:
		return refusal.New(refusal.DeadlinePassed, "deadline passed")
	case a.head.GetGateEpoch() != 0 && a.head.GetGateEpoch() != e.load().GetEpoch():
		// The attempt was meant for this VM's process before its restart. That
		// one may have said that the attempt will never run.
		return refusal.New(refusal.Restarted, "endpoint has restarted since")
	}
	if !a.once() {
		return nil
	}
	if run, ok := e.memory.Arrive(a.id(), a.claim()); !ok {
		code := refusal.AlreadyRan
		if run == refusal.NotRun {
			code = refusal.Tombstoned
		}
		return refusal.New(code, "attempt was refused or seen before").WithRun(run)
	}
	a.remembered = true
	return nil
}

// close gives back whatever the attempt still has.
func (e *Endpoint) close(a *attempt) {
	a.release(gate.Dropped)
	if a.version != "" {
		e.busy.add(a.version, -1)
	}
	again := a.head.GetRepeatable() && a.step == nil
	switch {
	case a.kept == nil:
	case again:
		a.kept.Drop()
	default:
		a.kept.End(e.node.Clock().Now())
	}
	switch {
	case !a.remembered:
	case again:
		e.memory.Reopen(a.id())
	default:
		e.memory.End(a.id())
	}
}

// context bounds a run by its deadline. A run that is kept goes on when its
// entry's connection is cut: it may not be repeated, or its caller can come back
// with its key. Any other run ends with the connection, which also is how a
// cancel reaches the engine.
func (a *attempt) context() (ctx context.Context, cancel context.CancelFunc) {
	ctx = a.stream.Context()
	if a.once() {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, stop := context.WithDeadline(ctx, a.deadline)
	detach := context.AfterFunc(a.e.aborted, stop)
	return ctx, func() {
		detach()
		stop()
	}
}

// settle waits until the entry has taken the last piece and billed it: it closes
// the stream then. When it went before, the step of a call that may not be
// repeated is billed from here: it had its effect. Should both bill it, the two
// bills merge into one, since they name the same attempt. A repeatable run is
// billed only by an entry that delivers it: its request may have been answered by
// another attempt, or by the caller's retry, and would be paid for twice.
func (a *attempt) settle() (err error) {
	if a.kept == nil || a.head.GetRepeatable() {
		return nil
	}
	if !a.cut && a.acknowledged() {
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

// route names the route or service in a bill, as the entry does.
func (a *attempt) route() string {
	if s := a.head.GetService(); s != "" {
		return "services/" + s
	}
	return a.head.GetRoute()
}

// acknowledgeLimit is how long an entry may take to bill a step before the gate
// does so too. An entry that is paused would otherwise hold up a stop.
const acknowledgeLimit = 10 * clock.Second

// acknowledged reports whether the entry ended the stream by its own word. A
// connection that breaks gives another error.
func (a *attempt) acknowledged() bool {
	if !a.bodyRead.Load() {
		return false
	}
	closed := make(chan bool, 1)
	// The goroutine ends with the stream, at the latest when Run returns.
	go func() { closed <- a.closed() }()
	t := time.NewTimer(acknowledgeLimit.Duration())
	defer t.Stop()
	select {
	case ok := <-closed:
		return ok
	case <-t.C:
		return false
	}
}

func (a *attempt) closed() bool {
	for {
		if _, err := a.stream.Recv(); err != nil {
			return err == io.EOF
		}
	}
}
