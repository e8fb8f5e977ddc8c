package entry

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/choice"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// maxAttempts bounds the attempts of one request.
const maxAttempts = 4

// run makes attempts until one gives a whole answer. This is the only layer
// that retries. Emit gets the pieces of the answer in order; the last one only
// when the bill is safe.
func (e *Entry) run(ctx context.Context, req *work, emit func(*wire.Piece) error) (err error) {
	ctx, cancel := context.WithTimeout(ctx, req.deadline.Duration())
	defer cancel()
	avoid := make(map[string]bool)
	err = refusal.New(refusal.NoEndpoint, "no endpoint can take the request").WithRetryAfter(startingRetry)
	for range maxAttempts {
		vm, ok := choice.Endpoint(req.view, e.inflight, choice.Query{Pools: req.pools(), Avoid: avoid, Seed: xxhash.Sum64String(req.id)})
		if !ok {
			return err
		}
		avoid[vm.ID] = true
		delivered := false
		seen := e.observe(req, vm.ID)
		err = e.attempt(ctx, req, vm, func(p *wire.Piece) error {
			delivered = true
			seen.piece(p)
			return emit(p)
		})
		seen.end(err)
		if err == nil || delivered || !mayRetry(req, err) {
			return err
		}
		if moved := e.move(req, err); moved != nil {
			return moved
		}
	}
	return err
}

// move gives the request another version after a gate refused its own, knowing
// of a hold or withdrawal that this entry had not heard of when it chose.
func (e *Entry) move(req *work, cause error) (err error) {
	r, ok := refusal.As(cause)
	if !ok || req.service != "" || r.Code() != refusal.Held && r.Code() != refusal.Withdrawn {
		return nil
	}
	req.view = e.node.View()
	if movedBecause(req, req.version) == "" {
		return cause
	}
	if err = e.choose(req); err != nil {
		return err
	}
	req.token, err = e.sessions.Sign(req.session)
	return err
}

// mayRetry reports whether a failed attempt provably did not run and its body
// can be sent again.
func mayRetry(req *work, err error) bool {
	r, ok := refusal.As(err)
	return ok && r.Run() == refusal.NotRun && !req.bodySpent
}
