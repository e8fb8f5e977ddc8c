// Package refusal has the typed error for a request that got no complete answer: the cause,
// and whether the request ran.
package refusal

import (
	"errors"
	"net/http"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// Run is the run state: whether a refused request ran, as far as that can be proved.
type Run string

// The run states, as sent to callers in the Parsleydeal-Run header.
const (
	NotRun  Run = "not-run"
	Ran     Run = "ran"
	Unknown Run = "unknown"
)

// Code names the cause of a refusal. Codes are stable; OPERATORS.md lists them.
type Code string

// The codes.
const (
	Unauthorised    Code = "unauthorised"
	NoRoute         Code = "no-route"
	NotAllowed      Code = "not-allowed"
	Malformed       Code = "malformed"
	TooLarge        Code = "too-large"
	HeadersTooLarge Code = "headers-too-large"
	SlowBody        Code = "slow-body"
	NoInterface     Code = "no-interface"
	Stale           Code = "stale"
	NoEndpoint      Code = "no-endpoint"
	Saturated       Code = "saturated"
	Withdrawn       Code = "withdrawn"
	Held            Code = "held"
	ZoneOut         Code = "zone-out"
	Leaving         Code = "leaving"
	Behind          Code = "behind"
	Cancelled       Code = "cancelled"
	DeadlinePassed  Code = "deadline-passed"
	EngineFailed    Code = "engine-failed"
	EndpointLost    Code = "endpoint-lost"
	BillingFull     Code = "billing-full"
	LogDown         Code = "log-down"
	AlreadyRunning  Code = "already-running"
	AlreadyRan      Code = "already-ran"
	Tombstoned      Code = "tombstoned"
	SessionRejected Code = "session-rejected"
	KeyReused       Code = "key-reused"
	Starting        Code = "starting"
	// EngineUnreachable means that the engine accepted no connection, so nothing ran.
	EngineUnreachable Code = "engine-unreachable"
	// Restarted means that the endpoint is no longer the incarnation that the attempt was
	// addressed to.
	Restarted Code = "restarted"
	// Quarantined means that endpoints crashed on a block of the request's prompt.
	Quarantined Code = "quarantined"
	// Internal means that the handler of the request failed because of a fault in this program.
	Internal Code = "internal"
	// NotKept means that the endpoint does not store the requested answer.
	NotKept Code = "not-kept"
)

var statusOf = map[Code]int{
	Unauthorised:    http.StatusUnauthorized,
	NoRoute:         http.StatusNotFound,
	NotAllowed:      http.StatusForbidden,
	Malformed:       http.StatusBadRequest,
	TooLarge:        http.StatusRequestEntityTooLarge,
	HeadersTooLarge: http.StatusRequestHeaderFieldsTooLarge,
	SlowBody:        http.StatusRequestTimeout,
	NoInterface:     http.StatusNotFound,
	Saturated:       http.StatusTooManyRequests,
	SessionRejected: http.StatusBadRequest,
	AlreadyRunning:  http.StatusConflict,
	AlreadyRan:      http.StatusConflict,
	KeyReused:       http.StatusUnprocessableEntity,
	Cancelled:       499,
	DeadlinePassed:  http.StatusGatewayTimeout,
	EngineFailed:    http.StatusBadGateway,
	EndpointLost:    http.StatusBadGateway,

	EngineUnreachable: http.StatusBadGateway,
	Internal:          http.StatusInternalServerError,
}

// Refusal is an error with a cause, a run state and a retry delay.
type Refusal struct {
	code       Code
	message    string
	run        Run
	retryAfter clock.Millis
}

// New returns a refusal of a request that did not run.
func New(code Code, message string) *Refusal {
	return &Refusal{code: code, message: message, run: NotRun}
}

// WithRun returns a copy with another run state.
func (r *Refusal) WithRun(run Run) *Refusal {
	c := *r
	c.run = run
	return &c
}

// WithRetryAfter returns a copy with the delay after which the caller may retry.
func (r *Refusal) WithRetryAfter(d clock.Millis) *Refusal {
	c := *r
	c.retryAfter = d
	return &c
}

// Error formats the refusal for logs.
func (r *Refusal) Error() string {
	return string(r.code) + " (" + string(r.run) + "): " + r.message
}

// Code returns the cause.
func (r *Refusal) Code() Code { return r.code }

// Message returns the text for the caller.
func (r *Refusal) Message() string { return r.message }

// Run returns the run state.
func (r *Refusal) Run() Run { return r.run }

// RetryAfter returns the delay after which the caller may retry; 0 means that none is set.
func (r *Refusal) RetryAfter() clock.Millis { return r.retryAfter }

// Status returns the HTTP status of the code, 503 where the code has none of its own.
func (r *Refusal) Status() int {
	if s, ok := statusOf[r.code]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// As returns the first refusal in an error chain.
func As(err error) (r *Refusal, ok bool) {
	ok = errors.As(err, &r)
	return r, ok
}

// Of returns the refusal in an error. Any other error becomes an engine-failed refusal with
// an unknown run state.
func Of(err error) *Refusal {
	if r, ok := As(err); ok {
		return r
	}
	return New(EngineFailed, err.Error()).WithRun(Unknown)
}

// FromWire decodes a refusal from a peer's message. A missing run state is decoded as Unknown.
func FromWire(m *wire.Refusal) *Refusal {
	run := Unknown
	switch m.GetRun() {
	case wire.RunState_RUN_NOT_RUN:
		run = NotRun
	case wire.RunState_RUN_RAN:
		run = Ran
	}
	return &Refusal{code: Code(m.GetCode()), message: m.GetMessage(), run: run, retryAfter: clock.Millis(m.GetRetryAfterMillis())}
}

// Wire encodes the refusal for a peer.
func (r *Refusal) Wire() *wire.Refusal {
	state := wire.RunState_RUN_UNKNOWN
	switch r.run {
	case NotRun:
		state = wire.RunState_RUN_NOT_RUN
	case Ran:
		state = wire.RunState_RUN_RAN
	}
	return &wire.Refusal{Code: string(r.code), Message: r.message, Run: state, RetryAfterMillis: int64(r.retryAfter), Status: int32(r.Status())}
}
