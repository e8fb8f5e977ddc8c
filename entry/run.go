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
			return req.truth(err)
		}
		avoid[vm.ID] = true
		err = e.attempt(ctx, req, vm, emit)
		if err == nil {
			return nil
		}
		if !req.goOn(err) {
			return req.truth(err)
		}
	}
	return req.truth(err)
}
