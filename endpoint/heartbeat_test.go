package endpoint

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// An engine reads a long case history for minutes before its first token. Its
// entry would take the silent stream for one of a frozen endpoint, and start the
// request elsewhere again and again. A heartbeat must come each second, none beside
// pieces that flow, and none after the last piece.
func TestIdleStreamSendsHeartbeats(t *testing.T) {
	is := is.New(t)
	const ticks = int(heartbeatEvery / watchEvery)
	heartbeats := 0
	b := &heartbeat{send: func(p *wire.Piece) error {
		if p.GetAlive() {
			heartbeats++
		}
		return nil
	}}
	pass := func(n int) {
		for range n {
			if b.due() {
				b.alive()
			}
		}
	}
	pass(3 * ticks)
	is.Equal(heartbeats, 3)
	for range 3 * ticks {
		is.NoErr(b.piece(&wire.Piece{Text: "w"}))
		pass(1)
	}
	is.Equal(heartbeats, 3)
	is.NoErr(b.piece(&wire.Piece{Last: true}))
	pass(3 * ticks)
	is.Equal(heartbeats, 3)
}
