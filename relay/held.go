package relay

import (
	"cmp"
	"sync"

	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// heldAnswersRatio and heldBodiesRatio are the fractions of the process's memory that answers
	// waiting for their callers and bodies of requests in flight may take.
	heldAnswersRatio = 0.125
	heldBodiesRatio  = 0.25
	// bufferedAnswersRatio is the fraction that answers may take which are buffered before any of them is sent.
	bufferedAnswersRatio = 0.0625
	// defaultMemory is the memory of the process in bytes where the settings set no limit.
	defaultMemory = 512 << 20
	// bodyCopies is how often a body is in memory while it is sent to an endpoint.
	bodyCopies = 2
)

// heldBytes counts what is held in memory for callers that read slowly, and bounds it. Beyond the
// bound it cuts off the caller of the lowest rank that has been slow for the longest time, and not
// all callers, as the end of the process would.
type heldBytes struct {
	clock clock.Clock
	limit int
	mu    sync.Mutex
	// total is the sum of the bytes of answers, which holds those that are not cut off.
	total   int
	answers map[*heldAnswer]bool
}

// heldAnswer is an answer of which a part is held. heldBytes owns the fields below cut.
type heldAnswer struct {
	// rank is the rank of the request; 0 is the highest.
	rank int
	// cut makes the current and all further writes to the caller fail. It is called with the bytes
	// held and for how long some were held.
	cut   func(bytes int, age clock.Millis)
	bytes int
	since clock.Millis
	isCut bool
}

func newHeldBytes(c clock.Clock, limit int) *heldBytes {
	return &heldBytes{clock: c, limit: limit, answers: make(map[*heldAnswer]bool)}
}

// hold counts n more bytes of an answer.
func (h *heldBytes) hold(a *heldAnswer, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a.isCut {
		return
	}
	if !h.answers[a] {
		h.answers[a], a.since = true, h.clock.Now()
	}
	a.bytes += n
	h.total += n
	for h.total > h.limit {
		h.cutSlowest()
	}
}

// release counts n bytes of an answer less.
func (h *heldBytes) release(a *heldAnswer, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.answers[a] {
		return
	}
	a.bytes -= n
	h.total -= n
	if a.bytes == 0 {
		delete(h.answers, a)
	}
}

// cutSlowest cuts off one caller. Its bytes no longer count, since its answer ends at once.
func (h *heldBytes) cutSlowest() {
	var slowest *heldAnswer
	for a := range h.answers {
		if slowest == nil || cmp.Or(cmp.Compare(a.rank, slowest.rank), cmp.Compare(slowest.since, a.since)) > 0 {
			slowest = a
		}
	}
	delete(h.answers, slowest)
	h.total -= slowest.bytes
	slowest.isCut = true
	slowest.cut(slowest.bytes, h.clock.Since(slowest.since))
}

// bytes returns the number of bytes held.
func (h *heldBytes) bytes() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total
}

// memoryBudget bounds the memory of request bodies in flight, or of buffered answers. An endpoint that reads or sends a
// body slowly keeps it in memory until the request ends.
type memoryBudget struct {
	limit int
	mu    sync.Mutex
	used  int
}

// reserve takes n bytes; ok is false if they are not available.
func (b *memoryBudget) reserve(n int) (ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit {
		return false
	}
	b.used += n
	return true
}

func (b *memoryBudget) release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// bytes returns the number of bytes in use.
func (b *memoryBudget) bytes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}
