package entry

import (
	"context"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	answers "github.com/parsleydeal/parsleydeal/answer"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// keySpace is the name space of the IDs of keyed requests.
var keySpace = uuid.NewSHA1(uuid.NameSpaceURL, []byte("parsleydeal:keyed-request"))

// keyedID names a chat completion with an idempotency key. A caller whose entry
// vanished asks again at another one. That one makes the same name, so the
// endpoint that ran the request finds the kept answer under it, and whatever is
// billed on either way merges into one bill. The same key with another body is
// another request.
func keyedID(organisation, route, key string, body []byte) string {
	name := strings.Join([]string{organisation, route, key, string(body)}, "\x00")
	return uuid.NewSHA1(keySpace, []byte(name)).String()
}

// home is the endpoint to which a request goes if it can: its session's, or the
// one that every entry works out for a keyed request, so that the retry comes
// where the first attempt went.
func (r *work) home() string {
	if r.session.SessionVM != "" || r.key == "" || r.service != "" {
		return r.session.SessionVM
	}
	vm, best := "", uint64(0)
	for _, pool := range r.pools() {
		for _, v := range r.view.Members().Pool(pool) {
			if score := xxhash.Sum64String(r.id + "/" + v.ID); score >= best {
				vm, best = v.ID, score
			}
		}
	}
	return vm
}

// again takes the answer of an attempt that its endpoint has seen before: the
// caller asks again for a keyed request. An answer that is no longer kept does
// not end the request, for it may be repeated elsewhere.
func (e *Entry) again(ctx context.Context, req *work, vm provider.VM, seq *answers.Sequence, emit func(*wire.Piece) error, cause error) (err error) {
	gone := refusal.New(refusal.EndpointLost, "an earlier answer is no longer kept").WithRun(refusal.Ran)
	err = e.reattach(ctx, req, vm, seq, emit, gone)
	if err == gone && ctx.Err() != nil {
		return cause
	}
	return err
}

// seenBefore reports whether a gate refused an attempt of a keyed chat
// completion because it has seen it.
func seenBefore(req *work, err error) bool {
	r, ok := refusal.As(err)
	return ok && req.service == "" && req.key != "" && r.Code() == refusal.AlreadyRan
}
