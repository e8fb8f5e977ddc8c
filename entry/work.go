package entry

import (
	"slices"

	answers "github.com/parsleydeal/parsleydeal/answer"
	"github.com/parsleydeal/parsleydeal/chat"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/quality"
	"github.com/parsleydeal/parsleydeal/session"
	"github.com/parsleydeal/parsleydeal/table"
	"github.com/parsleydeal/parsleydeal/view"
)

// work is one request on its way through the entry: a chat completion or a call
// of a plain service. One goroutine owns it.
type work struct {
	// id names the request everywhere. It is new for each request, but for a
	// keyed chat completion, whose retries have the same.
	id string
	// ticket names this call in the entry's own queues; no other call has it.
	ticket       string
	view         *view.View
	organisation string
	deadline     clock.Millis
	priority     int32
	// key is the caller's idempotency key, or empty.
	key string
	// repeatable requests may run again elsewhere after a failure.
	repeatable bool
	// attempts counts the attempts so far; attempt numbers begin at 1.
	attempts uint32
	// steps holds what the bill shall list, one a finished attempt.
	steps []*wire.Step
	// placed is true once the ledger has the bill and the place taken for it.
	placed bool
	// round and claim are the round and log offset of the claim that this
	// request last held; round is 0 while it held none.
	round uint32
	claim int64
	// gateEpoch is the start of the gate process that the attempt is meant for; 0
	// when this entry has not heard it.
	gateEpoch uint64
	// fingerprint digests the call for its claim; only plain services set it.
	fingerprint func() (sum []byte, err error)
	// send sends the head and the body to a gate.
	send func(stream wire.DRPCGate_RunClient, head *wire.RunHead) error
	// progress is what was taken of the answer over all attempts, and way how the
	// next attempt goes on from it.
	progress answers.Progress
	way      answers.Way
	// drop forgets the parts of an answer that starts again.
	drop func()
	// bodySpent is true once a body that cannot be read again has been read.
	bodySpent bool

	// routeName and the fields to prefix belong to chat completions.
	routeName string
	route     table.Route
	chat      *chat.Request
	body      []byte
	session   session.Token
	// token is the signed session handed back to the caller.
	token   string
	version string
	// plans are the ways to answer that meet the target, the best first.
	plans []quality.Plan
	// trial says that the plan under way was chosen to learn of it.
	trial bool
	// judging is true while the answer under way is held back for the rater; its
	// step is billed with the steps that follow.
	judging bool
	// cacheFrom is the VM that ran the session before, when another one does now.
	cacheFrom string
	// pinned is true when the caller brought a session.
	pinned bool
	// moved says why the session lost its version; empty when it kept it.
	moved  string
	stream bool
	prefix uint64

	// service and the fields below it belong to calls of plain services.
	service string
	pool    string
	method  string
	path    string
	headers []*wire.Header
	// stopBody makes a waiting read of the caller's body fail.
	stopBody func()
}

// target names what the request asks for, a version or a plain service.
func (r *work) target() string {
	if r.service != "" {
		return servicePrefix + r.service
	}
	return r.version
}

// pools returns the names of the pools that may serve the request.
func (r *work) pools() []string {
	if r.service != "" {
		return []string{r.pool}
	}
	t := r.view.Tables()
	names := t.PoolsOf(r.version)
	if r.way == answers.Resume {
		names = slices.DeleteFunc(names, func(name string) bool { return !t.Pools[name].Resumes })
	}
	return names
}
