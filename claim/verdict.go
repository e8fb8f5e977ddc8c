package claim

import (
	"bytes"

	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// Verdict says what a request does after one look at its claim.
type Verdict int

// The verdicts.
const (
	// Won: the request's own claim stands, its attempt may be dispatched.
	Won Verdict = iota
	// KeyReused: the key stands for another call.
	KeyReused
	// NextRound: the attempt that stands can never run; claim the next round.
	NextRound
	// QueryHolder: the endpoint that stands must be asked about its attempt.
	QueryHolder
	// TakenOver: another request has refused this one's attempt and gone on.
	TakenOver
	// Replay: the attempt that stands ran and its answer is kept.
	Replay
	// Ran: the attempt that stands ran and its answer is no longer kept.
	Ran
	// Undecided: the attempt that stands may be running, or may yet run.
	Undecided
)

// Decide compares a request's claim with the one that stands for the key. Held
// says that an earlier claim of the request stood.
func Decide(mine, stands *wire.Claim, held bool) Verdict {
	switch {
	case Same(mine, stands):
		return Won
	case !bytes.Equal(mine.GetBody(), stands.GetBody()):
		return KeyReused
	case stands.GetRequest() == mine.GetRequest():
		// An earlier attempt of this very request, beyond which it goes only
		// after proof that it did not run.
		return NextRound
	case held:
		// Going on in turn would let the two refuse each other for ever.
		return TakenOver
	}
	return QueryHolder
}

// DecideFromReply reads what an endpoint said when it was asked to refuse an attempt
// forever. Only its word that the attempt will never start opens the next
// round; silence and ignorance leave the call open.
func DecideFromReply(reply *wire.RefuseReply) Verdict {
	switch {
	case reply.GetKept():
		return Replay
	case reply.GetRun() == wire.RunState_RUN_NOT_RUN:
		return NextRound
	case reply.GetRun() == wire.RunState_RUN_RAN:
		return Ran
	}
	return Undecided
}
