// Package relay is the way of a request through an entry that sends straight to
// endpoints: it is read, decided on, tried at one endpoint after another within
// its bounds, and its answer is handed on whole or broken off openly.
package relay

import (
	"net/http"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/placement"
	"github.com/parsleydeal/parsleydeal/upstream"
)

// Request is what a caller asks.
type Request struct {
	// ID names the caller's attempt everywhere.
	ID     string
	Method string
	// Target is the path and query as they were sent, Path the path alone.
	Target string
	Path   string
	Host   string
	// Header holds what is passed on.
	Header http.Header
	Key    string
	// Session is empty for a request that belongs to none.
	Session string
	// CallerTimeout is how long the caller waits; 0 when it does not say.
	CallerTimeout clock.Millis
	// AnyModel says that the system names the model; otherwise it is Model.
	AnyModel bool
	Model    string
	Blocks   []placement.Block
	// LastEventID is the number of the last event that the caller has, HasAfter says
	// that it resumes a stream.
	LastEventID string
	Resumes     bool

	hasBody bool
	body    []byte
}

// AttemptParams is one attempt as it is sent to an endpoint.
type AttemptParams struct {
	Endpoint     string
	Address      string
	Organisation string
	// Model is set when the system names the model.
	Model string
	// Remaining is the time that is left of the request.
	Remaining clock.Millis
	// Priority is the rank of the request, 0 first.
	Priority int
	// LastEventID is the number of the last event that the caller has.
	LastEventID   string
	Resumes       bool
	NewConnection bool
}

// Head is what the head of an endpoint's answer says.
type Head struct {
	Status int
	// Signed answers are the endpoint's own.
	Signed bool
	// NotRun says that the endpoint did not run the request and never will.
	NotRun bool
	// WrongEndpoint says that another endpoint has the address.
	WrongEndpoint bool
	// Encoded bodies are not the endpoint's.
	Encoded bool
	// Outstanding is the number of requests that the endpoint works on or has waiting,
	// Slots how many it works on at once; HasLoad says that they are known.
	Outstanding int
	Slots       int
	HasLoad     bool
	// QueueLength is the number of requests that wait to be begun.
	QueueLength int
	// Confidence is the model's own opinion of its answer, 0 to 100; -1 when it
	// has none.
	Confidence int
	// Advertisement is what else the answer says of its endpoint.
	Advertisement placement.Advertisement
	// Header holds what is handed on to the caller.
	Header http.Header
}

// Dialect translates between callers, endpoints and this package.
type Dialect struct {
	// Read reads a request's head. A refusal says what is wrong with it.
	Read func(r *http.Request) (req *Request, err error)
	Call func(req *Request, o AttemptParams, body []byte) upstream.Call
	Head func(status int, h http.Header) Head
	// SetRefusalHeaders names the request in the head of a refusal.
	SetRefusalHeaders func(h http.Header, id string)
}
