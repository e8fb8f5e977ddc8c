package endpoint

import (
	"sync"
	"sync/atomic"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// heartbeatInterval is the longest time for which the stream of a running endpoint stays
// idle. An entry drops a stream that is idle for several intervals. A frozen endpoint or a
// broken connection is thus detected long before the request's deadline, while an engine that
// computes for minutes is not mistaken for one.
const heartbeatInterval = clock.Second

// heartbeat sends the pieces of one stream, and sends empty pieces as heartbeats while the stream
// is idle.
type heartbeat struct {
	send func(*wire.Piece) error
	// sent is true if a piece was sent since the last tick.
	sent atomic.Bool
	// idleTicks counts the ticks since the last piece; only due uses it.
	idleTicks int
	// mu is held while a piece is being sent.
	mu sync.Mutex
	// ended is true once the last piece was sent.
	ended bool
}

// sendPiece sends a piece of the answer.
func (h *heartbeat) sendPiece(p *wire.Piece) (err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent.Store(true)
	h.ended = p.GetLast()
	return h.send(p)
}

// sendAlive sends a piece without content. It does nothing while another piece is being sent,
// for example to an entry that does not read.
func (h *heartbeat) sendAlive() {
	if !h.mu.TryLock() {
		return
	}
	defer h.mu.Unlock()
	if !h.ended {
		_ = h.send(&wire.Piece{Alive: true})
	}
}

// due reports whether a heartbeat must be sent; it is called once per tick.
func (h *heartbeat) due() bool {
	h.idleTicks++
	if h.sent.Swap(false) {
		h.idleTicks = 0
	}
	if h.idleTicks < int(heartbeatInterval/watchInterval) {
		return false
	}
	h.idleTicks = 0
	return true
}

// heartbeats holds the streams in progress; there are as many as peer calls.
type heartbeats struct {
	mu      sync.Mutex
	streams map[*heartbeat]bool
}

// add registers a stream; stop must be called when the stream ends.
func (h *heartbeats) add(hb *heartbeat) (stop func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.streams == nil {
		h.streams = make(map[*heartbeat]bool)
	}
	h.streams[hb] = true
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.streams, hb)
	}
}

// tick checks all streams and is called every watchInterval. Heartbeats are sent in
// goroutines of their own, since sending to an unreachable peer may block.
func (h *heartbeats) tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for hb := range h.streams {
		if hb.due() {
			go hb.sendAlive()
		}
	}
}
