package claim

import (
	"bytes"

	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// Verdict is what a request that has made a claim has to do next.
type Verdict int

// The results of Decide and DecideFromReply.
const (
	// Won means that the request's own claim holds the key: its attempt may be dispatched.
	Won Verdict = iota
	// KeyReused means that the key is held for a call with another body.
	KeyReused
	// NextRound means that the holder's attempt can never run: claim the next round.
	NextRound
	// QueryHolder means that the holder's endpoint must be queried about its attempt.
	QueryHolder
	// TakenOver means that another request made the endpoint refuse this request's attempt and then
	// claimed the next round.
	TakenOver
	// Replay means that the holder's attempt ran and its answer is still retained.
	Replay
	// Ran means that the holder's attempt ran and its answer is no longer retained.
	Ran
	// Undecided means that the holder's attempt may be running, or may still run.
	Undecided
)

// Decide compares a request's claim with the holder of its key. Held is true if an
// earlier claim of the same request has held the key.
func Decide(mine, holder *wire.Claim, held bool) Verdict {
	switch {
	case Same(mine, holder):
		return Won
	case !bytes.Equal(mine.GetBody(), holder.GetBody()):
		return KeyReused
	case holder.GetRequest() == mine.GetRequest():
		// The holder is an earlier claim of the same request. The request claims again only after
		// proof that the attempt of that claim did not run.
		return NextRound
	case held:
		// If this request claimed the next round in turn, the two requests could have each other's
		// attempts refused forever.
		return TakenOver
	}
	return QueryHolder
}

// DecideFromReply interprets the reply of an endpoint that was asked to refuse an attempt
// permanently. Only a reply that the attempt will never start allows the next round. Without a
// reply, or if the endpoint does not know the attempt, the result is Undecided.
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
