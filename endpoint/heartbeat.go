package endpoint

import (
	"sync"
	"sync/atomic"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// heartbeatEvery is the longest span for which a stream is silent while its endpoint
// lives. An entry gives up a stream that is silent for several of them, so a
// frozen endpoint or a cut line shows long before the request's deadline, and an
// engine that thinks for minutes does not look like one.
const heartbeatEvery = clock.Second

// heartbeat is one stream of pieces that must not fall silent.
type heartbeat struct {
	send func(*wire.Piece) error
	// sent is true when a piece was sent since the last tick.
	sent atomic.Bool
	// quiet counts the ticks since the last piece; only tick uses it.
	quiet int
	// mu is held while a piece is on its way.
	mu sync.Mutex
	// over is true once the last piece was sent.
	over bool
}

// piece sends a piece of the answer.
func (b *heartbeat) piece(p *wire.Piece) (err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent.Store(true)
	b.over = p.GetLast()
	return b.send(p)
}

// alive sends a piece without content. A stream whose entry takes no more is
// left alone: a piece is under way there.
func (b *heartbeat) alive() {
	if !b.mu.TryLock() {
		return
	}
	defer b.mu.Unlock()
	if !b.over {
		_ = b.send(&wire.Piece{Alive: true})
	}
}

// due reports at each tick whether the stream was silent for long.
func (b *heartbeat) due() bool {
	b.quiet++
	if b.sent.Swap(false) {
		b.quiet = 0
	}
	if b.quiet < int(heartbeatEvery/watchEvery) {
		return false
	}
	b.quiet = 0
	return true
}

// heartbeats holds the streams under way; there are as many as calls of peers.
type heartbeats struct {
	mu      sync.Mutex
	streams map[*heartbeat]bool
}

// start begins to look after a stream; stop must be called when it ends.
func (b *heartbeats) start(x *heartbeat) (stop func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.streams == nil {
		b.streams = make(map[*heartbeat]bool)
	}
	b.streams[x] = true
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.streams, x)
	}
}

// tick looks at all streams, each watchEvery. A silent one is sent its piece
// aside, since a stream whose peer is gone may block.
func (b *heartbeats) tick() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for x := range b.streams {
		if x.due() {
			go x.alive()
		}
	}
}
