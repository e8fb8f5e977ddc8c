// Package fleet keeps the endpoints that announced themselves and the zones
// that operators took out.
package fleet

import "github.com/parsleydeal/parsleydeal/clock"

// Endpoint is one endpoint as it last announced itself.
type Endpoint struct {
	// ID is new at most starts of an endpoint.
	ID      string
	Service string
	// Address is an IP number and port. Another endpoint may get it later.
	Address string
	Zone    string
	// Version is that of the endpoint's software.
	Version string
	Slots   int
	Leaving bool
	// ColdUntil is the end of its cold start on this process's clock; 0 when it
	// is warm.
	ColdUntil clock.Millis
	// Incarnation tells one start of an endpoint from the next under the same ID, and
	// grows; Sequence grows with each announcement of one start.
	Incarnation int64
	Sequence    int64
}

// Change is a new announcement of an endpoint, or its end.
type Change struct {
	ID string
	// Endpoint is nil for an entry that was removed or cannot be used.
	Endpoint *Endpoint
	// Reason says why an entry cannot be used; empty for a removed one.
	Reason string
}
