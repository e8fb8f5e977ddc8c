package endpoint

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// An engine takes minutes to prefill a long prompt. Without heartbeats its entry would conclude
// from the idle stream that the endpoint is frozen, and retry the request on one endpoint after
// another. A heartbeat must be sent each second, but not while pieces are sent and not after the
// last piece.
func TestIdleStreamSendsHeartbeats(t *testing.T) {
	is := is.New(t)
	const ticks = int(heartbeatInterval / watchInterval)
	heartbeats := 0
	h := &heartbeat{send: func(p *wire.Piece) error {
		if p.GetAlive() {
			heartbeats++
		}
		return nil
	}}
	tick := func(n int) {
		for range n {
			if h.due() {
				h.sendAlive()
			}
		}
	}
	tick(3 * ticks)
	is.Equal(heartbeats, 3)
	for range 3 * ticks {
		is.NoErr(h.sendPiece(&wire.Piece{Text: "w"}))
		tick(1)
	}
	is.Equal(heartbeats, 3)
	is.NoErr(h.sendPiece(&wire.Piece{Last: true}))
	tick(3 * ticks)
	is.Equal(heartbeats, 3)
}
