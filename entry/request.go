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

// requestState is the state of one request in the entry: a chat completion or a call of a plain
// service, which is a service that is not a model. It is owned by one goroutine.
type requestState struct {
	// id identifies the request in all processes. It is unique per request, except that retries of a
	// keyed chat completion share it.
	id string
	// queueID identifies this call in the entry's own queues and is never shared.
	queueID      string
	view         *view.View
	organisation string
	deadline     clock.Millis
	priority     int32
	// key is the caller's idempotency key, or empty.
	key string
	// repeatable requests may run again on another endpoint after a failure.
	repeatable bool
	// attempts counts the attempts so far; attempt numbers start at 1.
	attempts uint32
	// steps are the bill's steps, one per finished attempt.
	steps []*wire.Step
	// billSubmitted is true once the bill was passed to the ledger; the reservation is then used
	// up.
	billSubmitted bool
	// claimRound and claimOffset are the round and log offset of the claim that this request last
	// held; claimRound is 0 if it held none.
	claimRound  uint32
	claimOffset int64
	// gateEpoch is the epoch of the gate process that the attempt is sent to, a number that changes
	// at each start of that process. It is 0 if the entry has not received it.
	gateEpoch uint64
	// fingerprint hashes the call for its claim; only plain services set it.
	fingerprint func() (sum []byte, err error)
	// send sends the head and the body to a gate.
	send func(stream wire.DRPCGate_RunClient, head *wire.RunHead) error
	// progress is what has been received of the answer in all attempts, and retryMode how the next
	// attempt continues from it.
	progress  answers.Progress
	retryMode answers.RetryMode
	// discardAnswer discards the pieces received of an answer that restarts.
	discardAnswer func()
	// bodySpent is true once a body that cannot be read again has been read.
	bodySpent bool

	// The fields from routeName to prefix are only used for chat completions, except that body also
	// holds the body of a service's call if it fits into one frame.
	routeName string
	route     table.Route
	chat      *chat.Request
	body      []byte
	session   session.Token
	// token is the signed session returned to the caller.
	token   string
	version string
	// plans are the quality plans that meet the target, best first.
	plans []quality.Plan
	// trial is true if the current plan was chosen to gather ratings for it.
	trial bool
	// judging is true while the current answer is buffered until the rater has scored it; its step
	// is billed together with the steps that follow.
	judging bool
	// cacheFrom is the VM that ran the session before, if another one runs it now.
	cacheFrom string
	// pinned is true if the caller sent a session.
	pinned bool
	// sessionMoved is the reason why the session was moved to another version, or empty if it was not.
	sessionMoved string
	stream       bool
	prefix       uint64

	// The fields from service on are only used for calls of plain services.
	service string
	pool    string
	method  string
	path    string
	headers []*wire.Header
	// stopBody makes a pending read of the caller's body fail.
	stopBody func()
}

// target returns the name of the version or plain service that the request is for; the latter has
// the prefix servicePrefix.
func (r *requestState) target() string {
	if r.service != "" {
		return servicePrefix + r.service
	}
	return r.version
}

// pools returns the names of the pools that may serve the request.
func (r *requestState) pools() []string {
	if r.service != "" {
		return []string{r.pool}
	}
	t := r.view.Tables()
	names := t.PoolsOf(r.version)
	if r.retryMode == answers.Resume {
		names = slices.DeleteFunc(names, func(name string) bool { return !t.Pools[name].Resumes })
	}
	return names
}
