// Package fleet holds the registered endpoints and the zones that operators took out of service.
package fleet

import "github.com/parsleydeal/parsleydeal/clock"

// Endpoint is an endpoint as of its last registration.
type Endpoint struct {
	// ID usually differs from one start of an endpoint to the next.
	ID      string
	Service string
	// Address is an IP address and port. It may be reused by another endpoint later.
	Address string
	Zone    string
	// Version is the version of the endpoint's software.
	Version string
	Slots   int
	// Leaving means that the endpoint accepts no new requests.
	Leaving bool
	// ColdUntil is the end of the endpoint's cold start on this process's clock; 0 if it is warm.
	ColdUntil clock.Millis
	// Incarnation increases with each start of an endpoint under the same ID. Sequence
	// increases with each registration of one incarnation.
	Incarnation int64
	Sequence    int64
	// Revision is that of the registration.
	Revision Revision
}

// Change is a new registration of an endpoint or its removal.
type Change struct {
	ID string
	// Endpoint is nil for a record that was removed or is invalid.
	Endpoint *Endpoint
	// Reason says why a record is invalid; empty for a removed one.
	Reason string
	// Revision is that of the registration or the removal.
	Revision Revision
}

// Update is what has become known of the endpoints.
type Update struct {
	Changes []Change
	// Full is true if Changes lists all endpoints: the others are removed.
	Full bool
	// End is the end of the history that Changes completes; zero if it does not complete it.
	End Revision
}
