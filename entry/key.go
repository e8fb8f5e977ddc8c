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

// keyNamespace is the namespace of the UUIDs of keyed requests.
var keyNamespace = uuid.NewSHA1(uuid.NameSpaceURL, []byte("parsleydeal:keyed-request"))

// keyedRequestID derives the ID of a chat completion with an idempotency key. A caller whose entry
// failed retries at another one, which derives the same ID. The endpoint that ran the request finds
// the retained answer by this ID, and bills from both entries merge into one. The same key with
// another body is a different request.
func keyedRequestID(organisation, route, key string, body []byte) string {
	name := strings.Join([]string{organisation, route, key, string(body)}, "\x00")
	return uuid.NewSHA1(keyNamespace, []byte(name)).String()
}

// preferredEndpoint returns the VM that a request goes to if possible: the VM of its session or,
// for a keyed request without one, the VM that every entry derives from the request ID, so that a
// retry reaches the endpoint of the first attempt. It is empty if there is none.
func (r *requestState) preferredEndpoint() string {
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

// fetchEarlierAnswer fetches the retained answer when a caller retries a keyed request and the
// endpoint has already received the attempt. If the answer is no longer retained, it returns an
// error after which the request may be repeated on another endpoint.
func (e *Entry) fetchEarlierAnswer(ctx context.Context, req *requestState, vm provider.VM, seq *answers.Sequence, emit func(*wire.Piece) error, cause error) (err error) {
	notRetained := refusal.New(refusal.EndpointLost, "an earlier answer is no longer kept").WithRun(refusal.Ran)
	err = e.reattach(ctx, req, vm, seq, emit, notRetained)
	if err == notRetained && ctx.Err() != nil {
		return cause
	}
	return err
}

// alreadyRan reports whether a gate refused an attempt of a keyed chat completion because the
// endpoint has already received that attempt.
func alreadyRan(req *requestState, err error) bool {
	r, ok := refusal.As(err)
	return ok && req.service == "" && req.key != "" && r.Code() == refusal.AlreadyRan
}
