package event

import "github.com/parsleydeal/parsleydeal/clock"

// PeerAhead reports that a peer uses a higher revision than this process.
type PeerAhead struct {
	Now clock.Millis
	VM  string
	// Address is the address of the peer; if it is empty, it is looked up in the membership.
	Address  string
	Revision int64
}

// Follow starts (On) or stops reading a stream of the log.
type Follow struct {
	Stream string
	On     bool
}

func (PeerAhead) isEvent() {}
func (Follow) isEffect()   {}
