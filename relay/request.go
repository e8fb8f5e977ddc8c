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
	// Patience is how long the caller waits; 0 when it does not say.
	Patience clock.Millis
	// AnyModel says that the system names the model; otherwise it is Model.
	AnyModel bool
	Model    string
	Parts    []placement.Block
	// After is the number of the last event that the caller has, HasAfter says
	// that it resumes a stream.
	After    string
	HasAfter bool

	hasBody bool
	body    []byte
}

// Order is one attempt as it is sent to an endpoint.
type Order struct {
	Endpoint     string
	Address      string
	Organisation string
	// Model is set when the system names the model.
	Model string
	// Left is the time that is left of the request.
	Left clock.Millis
	// Priority is the rank of the request, 0 first.
	Priority int
	// After is the number of the last event that the caller has.
	After    string
	HasAfter bool
	Fresh    bool
}

// Head is what the head of an endpoint's answer says.
type Head struct {
	Status int
	// Signed answers are the endpoint's own.
	Signed bool
	// NotRun says that the endpoint did not run the request and never will.
	NotRun bool
	// Elsewhere says that another endpoint has the address.
	Elsewhere bool
	// Encoded bodies are not the endpoint's.
	Encoded bool
	// Held is the number of requests that the endpoint works on or has waiting,
	// Slots how many it works on at once; HasLoad says that they are known.
	Held    int
	Slots   int
	HasLoad bool
	// Waiting is the number of requests that wait to be begun.
	Waiting int
	// Confidence is the model's own opinion of its answer, 0 to 100; -1 when it
	// has none.
	Confidence int
	// Statement is what else the answer says of its endpoint.
	Statement placement.Advertisement
	// Header holds what is handed on to the caller.
	Header http.Header
}

// Dialect translates between callers, endpoints and this package.
type Dialect struct {
	// Read reads a request's head. A refusal says what is wrong with it.
	Read func(r *http.Request) (req *Request, err error)
	Call func(req *Request, o Order, body []byte) upstream.Call
	Head func(status int, h http.Header) Head
	// Refuse names the request in the head of a refusal.
	Refuse func(h http.Header, id string)
}
