package endpoint

import (
	"sync/atomic"
	"time"

	"github.com/parsleydeal/parsleydeal/answer"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/gate"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// attempt is one attempt at this endpoint. One goroutine owns it.
type attempt struct {
	e      *Endpoint
	head   *wire.RunHead
	stream wire.DRPCGate_RunStream
	// heartbeat sends the pieces and keeps the stream from falling silent.
	heartbeat heartbeat
	bytes     int
	// deadline is when the caller stops waiting, counted from receipt on this VM's
	// clock.
	deadline time.Time
	// ticket is the attempt's place at the gate; nil before it arrived there.
	ticket *gate.Ticket
	// version is set while the attempt counts as busy with it.
	version string
	// kept takes the pieces of a run that goes on without its entry.
	kept *answer.Retained
	// remembered is true once the memory of attempts holds this one.
	remembered bool
	// cut is true once the entry's connection is lost.
	cut bool
	// bodyRead is true once the last frame of the body was received; until then
	// only the body's reader receives from the stream.
	bodyRead atomic.Bool
	// number and tokens count what was sent.
	number uint32
	tokens int32
	reason string
	// piece is used again for each piece that is not kept.
	piece wire.Piece
	usage wire.Usage
	// step is set once the attempt ran and is to be billed.
	step *wire.Step
}

func newAttempt(e *Endpoint, stream wire.DRPCGate_RunStream, first *wire.RunFrame) *attempt {
	a := &attempt{e: e, head: first.GetHead(), stream: stream, bytes: len(first.GetBody())}
	a.heartbeat.send = stream.Send
	a.bodyRead.Store(first.GetLast())
	a.deadline = time.Now().Add(clock.Millis(a.head.GetDeadlineMillis()).Duration())
	return a
}

// once reports whether the run must go on without its entry: it may not be
// repeated, or its caller can ask for the answer again.
func (a *attempt) once() bool {
	return !a.head.GetRepeatable() || a.head.GetIdempotencyKey() != ""
}

func (a *attempt) id() answer.Attempt {
	return answer.Attempt{Request: a.head.GetRequest(), Number: a.head.GetAttempt()}
}

func (a *attempt) claim() answer.Claim {
	return answer.Claim{Stream: a.head.GetClaimStream(), Offset: a.head.GetClaim()}
}

// dispatch marks the attempt as run, unless it was refused for ever while it
// waited. Nothing may be sent to the engine before it.
func (a *attempt) dispatch() (err error) {
	if !a.once() {
		return nil
	}
	if !a.e.memory.Dispatch(a.id()) {
		return refusal.New(refusal.Tombstoned, "attempt was refused for ever")
	}
	a.kept = a.e.keeping.Start(answer.Owner{
		Request: a.head.GetRequest(), Organisation: a.head.GetOrganisation(), Key: a.head.GetIdempotencyKey(),
	})
	return nil
}

// send numbers a piece and hands it on. It blocks while the entry takes no more,
// which holds back the engine's stream in turn.
func (a *attempt) send(p *wire.Piece) (err error) {
	p.Request = a.head.GetRequest()
	p.Attempt = a.head.GetAttempt()
	p.Number = a.number
	a.number++
	a.tokens += p.GetTokens()
	if a.kept != nil {
		a.kept.Add(p)
	}
	if a.cut {
		return nil
	}
	err = a.heartbeat.piece(p)
	if err != nil && a.kept != nil {
		a.cut = true
		return nil
	}
	return err
}

// next returns an empty piece, the same each time: by the time that send returns
// it has been encoded, and what is kept of it is a copy.
func (a *attempt) next() *wire.Piece {
	a.piece.Reset()
	return &a.piece
}

// last sends the final piece of a whole answer. The place is given back before,
// so that the load in the piece is that without this request.
func (a *attempt) last(step *wire.Step, p *wire.Piece) (err error) {
	a.release(gate.Served)
	a.step = step
	p.Last = true
	p.Step = step
	p.TotalPieces = a.number + 1
	p.TotalTokens = a.tokens
	p.Load = a.e.load()
	p.Revision = a.e.node.View().Revision()
	return a.send(p)
}

// refuse ends the attempt without a whole answer.
func (a *attempt) refuse(cause error) (err error) {
	r, ok := refusal.As(cause)
	if !ok {
		r = refusal.New(refusal.EngineFailed, cause.Error()).WithRun(refusal.Unknown)
	}
	a.release(outcomeOf(r))
	p := &wire.Piece{Last: true, Refusal: r.Wire(), Load: a.e.load(), Revision: a.e.node.View().Revision()}
	if a.step == nil || a.head.GetRepeatable() {
		return a.send(p)
	}
	p.Step = a.step
	if err = a.send(p); err != nil {
		return err
	}
	return a.settle()
}

func (a *attempt) release(o gate.Outcome) {
	if a.ticket != nil {
		a.e.gate.Finish(a.e.node.Clock().Now(), a.ticket, o)
	}
}

func (a *attempt) firstToken() {
	a.e.gate.RecordFirstToken(a.e.node.Clock().Now(), a.ticket)
}

// outcomeOf says what a refusal tells about the endpoint.
func outcomeOf(r *refusal.Refusal) gate.Outcome {
	switch r.Code() {
	case refusal.EngineFailed:
		return gate.Failed
	case refusal.EngineUnreachable:
		return gate.Unreachable
	}
	return gate.Dropped
}
