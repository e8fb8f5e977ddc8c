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

// attempt is one attempt at this endpoint. It is owned by one goroutine.
type attempt struct {
	e      *Endpoint
	head   *wire.RunHead
	stream wire.DRPCGate_RunStream
	// heartbeat sends the pieces, and heartbeats while there are none.
	heartbeat heartbeat
	bytes     int
	// deadline is when the caller's timeout ends. It is computed on this VM's clock from the
	// remaining time in the attempt, at receipt.
	deadline time.Time
	// ticket is the attempt's ticket at the gate; nil before it is submitted.
	ticket *gate.Ticket
	// version is the version that the attempt is counted under in Endpoint.busy; empty while
	// it is not counted.
	version string
	// retained stores the pieces of a detached run.
	retained *answer.Retained
	// registered is true once Endpoint.attempts contains this attempt.
	registered bool
	// disconnected is true once a detached run has lost the connection to its entry. Its
	// pieces are then only retained.
	disconnected bool
	// bodyReceived is true once the last frame of the body was received; until then only the
	// reader of the body receives from the stream.
	bodyReceived atomic.Bool
	// number and tokens count the pieces and tokens sent.
	number       uint32
	tokens       int32
	finishReason string
	// piece is reused by emptyPiece.
	piece wire.Piece
	usage wire.Usage
	// step is set once the attempt ran and must be billed.
	step *wire.Step
}

func newAttempt(e *Endpoint, stream wire.DRPCGate_RunStream, first *wire.RunFrame) *attempt {
	a := &attempt{e: e, head: first.GetHead(), stream: stream, bytes: len(first.GetBody())}
	a.heartbeat.send = stream.Send
	a.bodyReceived.Store(first.GetLast())
	a.deadline = time.Now().Add(clock.Millis(a.head.GetDeadlineMillis()).Duration())
	return a
}

// detached reports whether the run continues without its entry: it may not be repeated, or
// its caller can request the answer again.
func (a *attempt) detached() bool {
	return !a.head.GetRepeatable() || a.head.GetIdempotencyKey() != ""
}

func (a *attempt) id() answer.Attempt {
	return answer.Attempt{Request: a.head.GetRequest(), Number: a.head.GetAttempt()}
}

func (a *attempt) claim() answer.Claim {
	return answer.Claim{Stream: a.head.GetClaimStream(), Offset: a.head.GetClaim()}
}

// dispatch marks the attempt as run, unless it was permanently refused while it waited. It
// must be called before anything is sent to the engine.
func (a *attempt) dispatch() (err error) {
	if !a.detached() {
		return nil
	}
	if !a.e.attempts.Dispatch(a.id()) {
		return refusal.New(refusal.Tombstoned, "attempt was refused for ever")
	}
	a.retained = a.e.answers.Start(answer.Owner{
		Request: a.head.GetRequest(), Organisation: a.head.GetOrganisation(), Key: a.head.GetIdempotencyKey(),
	})
	return nil
}

// send numbers a piece and sends it to the entry. It blocks while the entry does not read,
// which in turn slows down reading from the engine.
func (a *attempt) send(p *wire.Piece) (err error) {
	p.Request = a.head.GetRequest()
	p.Attempt = a.head.GetAttempt()
	p.Number = a.number
	a.number++
	a.tokens += p.GetTokens()
	if a.retained != nil {
		a.retained.Add(p)
	}
	if a.disconnected {
		return nil
	}
	err = a.heartbeat.sendPiece(p)
	if err != nil && a.retained != nil {
		a.disconnected = true
		return nil
	}
	return err
}

// emptyPiece clears and returns the piece that the attempt reuses. Reuse is safe because send
// encodes the piece before it returns, and only a copy is retained.
func (a *attempt) emptyPiece() *wire.Piece {
	a.piece.Reset()
	return &a.piece
}

// sendLast sends the final piece of a complete answer. The slot is released first, so that
// the load in the piece excludes this request.
func (a *attempt) sendLast(step *wire.Step, p *wire.Piece) (err error) {
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

// refuse ends the attempt without a complete answer.
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
	return a.awaitBilling()
}

func (a *attempt) release(o gate.Outcome) {
	if a.ticket != nil {
		a.e.gate.Finish(a.e.node.Clock().Now(), a.ticket, o)
	}
}

func (a *attempt) recordFirstToken() {
	a.e.gate.RecordFirstToken(a.e.node.Clock().Now(), a.ticket)
}

// outcomeOf maps a refusal to the outcome that the gate records for the endpoint.
func outcomeOf(r *refusal.Refusal) gate.Outcome {
	switch r.Code() {
	case refusal.EngineFailed:
		return gate.Failed
	case refusal.EngineUnreachable:
		return gate.Unreachable
	}
	return gate.Dropped
}
