// Package relay handles requests at an entry that sends them directly to endpoints. It reads and
// admits a request, tries one endpoint after another within its limits, and sends the caller the
// complete answer or a refusal. A stream that cannot be completed ends with an aborted connection.
package relay

import (
	"net/http"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/placement"
	"github.com/parsleydeal/parsleydeal/upstream"
)

// Request is a caller's request.
type Request struct {
	// ID identifies the request to callers and endpoints and in logs.
	ID     string
	Method string
	// Target is the path and query as sent, Path the path alone.
	Target string
	Path   string
	Host   string
	// Header holds the headers that are passed on to the endpoint.
	Header http.Header
	Key    string
	// Session is empty for a request without a session.
	Session string
	// CallerTimeout is how long the caller waits; 0 if it is unknown.
	CallerTimeout clock.Millis
	// AnyModel is true if the system selects the model; otherwise Model names it.
	AnyModel bool
	Model    string
	Blocks   []placement.Block
	// LastEventID is the ID of the last event that the caller received. Resumes is true if the
	// request resumes a stream.
	LastEventID string
	Resumes     bool

	hasBody bool
	body    []byte
}

// AttemptParams are the parameters of one attempt at an endpoint.
type AttemptParams struct {
	Endpoint     string
	Address      string
	Organisation string
	// Model is set if the system selects the model.
	Model string
	// Remaining is the time until the deadline of the request.
	Remaining clock.Millis
	// Priority is the rank of the request; 0 is the highest.
	Priority int
	// LastEventID is the ID of the last event that the caller received.
	LastEventID   string
	Resumes       bool
	NewConnection bool
}

// Head is the decoded head of an endpoint's answer.
type Head struct {
	Status int
	// Signed is true if the endpoint itself produced the answer.
	Signed bool
	// NotRun is true if the endpoint did not run the request and never will.
	NotRun bool
	// WrongEndpoint is true if the address now belongs to another endpoint.
	WrongEndpoint bool
	// Encoded is true if the body has a content encoding. Endpoints never set one, so such an
	// answer comes from an intermediary.
	Encoded bool
	// Load is the load that the endpoint reported with the answer.
	Load Load
	// Confidence is the model's rating of its own answer, 0 to 100; -1 if it has none.
	Confidence int
	// Advertisement is what the endpoint advertises about itself with the answer.
	Advertisement placement.Advertisement
	// Header holds the headers that are passed on to the caller.
	Header http.Header
}

// begins reports whether the endpoint has begun the answer to the request. A refusal, or a failure at
// the deadline, says nothing of what happens when it begins.
func (h Head) begins() bool {
	return h.Signed && !h.NotRun && !h.WrongEndpoint && h.Status >= http.StatusOK && h.Status < http.StatusMultipleChoices
}

// failed reports whether another endpoint may give a better answer to the same request: this one failed, was too slow to
// read the request (408), or has too many (429).
func (h Head) failed() bool {
	return h.Status >= http.StatusInternalServerError || h.Status == http.StatusRequestTimeout || h.Status == http.StatusTooManyRequests
}

// Load is the load of an endpoint as reported by itself.
type Load struct {
	// Known is true if the endpoint reported its numbers of requests and slots.
	Known bool
	// Outstanding is the number of requests running or queued, QueueLength the number of those
	// that have not started yet, and Slots how many the endpoint runs at once.
	Outstanding int
	QueueLength int
	Slots       int
	// Pace is how long work takes on the endpoint's VM at the moment, as a multiple of usual; 0 if
	// it is not known.
	Pace float64
	// Invalid is the defect of a report that could not be used, or only in part.
	Invalid LoadDefect
}

// LoadDefect is the reason why a reported load could not be used; empty if there is none.
type LoadDefect string

// The defects. With LoadBadPace, the other figures are used.
const (
	LoadRepeated   LoadDefect = "repeated"
	LoadTooShort   LoadDefect = "too-short"
	LoadNotNumeric LoadDefect = "not-numeric"
	LoadNoSlots    LoadDefect = "no-slots"
	LoadBadPace    LoadDefect = "bad-pace"
)

// Dialect translates between the types of this package and the headers that callers and endpoints
// use.
type Dialect struct {
	// Read reads the head of a request. The error is a refusal that states what is wrong.
	Read func(r *http.Request) (req *Request, err error)
	Call func(req *Request, params AttemptParams, body []byte) upstream.Call
	Head func(status int, h http.Header) Head
	// SetRefusalHeaders adds the request ID to the headers of a refusal.
	SetRefusalHeaders func(h http.Header, id string)
}
