package event

import "github.com/parsleydeal/parsleydeal/clock"

// PeerAhead tells that a peer decides on a higher revision than this process.
type PeerAhead struct {
	Now clock.Millis
	VM  string
	// Address is the peer's; empty asks membership.
	Address  string
	Revision int64
}

// Follow asks the shell to begin or end reading a stream of the log.
type Follow struct {
	Stream string
	On     bool
}

func (PeerAhead) isEvent() {}
func (Follow) isEffect()   {}
