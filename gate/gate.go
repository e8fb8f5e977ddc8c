// Package gate admits requests to one endpoint. An admission window bounds the requests at the
// endpoint: it starts small and grows while first tokens arrive on time. Requests beyond it wait in
// a short queue that organisations share fairly. The package reads no clock; callers pass the time.
package gate

import (
	"slices"
	"sync"

	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// holdSmoothing is the weight of a new sample in the mean time for which a slot is held.
	holdSmoothing = 0.1
	minRetry      = 50 * clock.Millis(1)
	maxRetry      = 30 * clock.Second
)

// Limits are the bounds that the tables set for an endpoint.
type Limits struct {
	// Cold is the window size of an endpoint in cold start, Full that of a warm one.
	Cold int
	Full int
	// Queue bounds the number of requests that wait for a slot.
	Queue int
}

// Load is the state of a gate: the numbers of admitted and waiting requests, and its window.
type Load struct {
	Held    int
	Window  int
	Waiting int
	// Cold is true while the window is not fully open.
	Cold bool
	// Closed is the number of times the window was reset to its cold size.
	Closed int
}

// Gate is the admission control of one endpoint. It is safe for concurrent use.
type Gate struct {
	mu     sync.Mutex
	limits Limits
	window window
	queue  queue
	// held lists the admitted tickets. After the window was closed or shrunk there may be more of
	// them than slots; then no request is admitted until enough of them have finished.
	held []*Ticket
	// byOrganisation counts the slots in use. An organisation that uses no slot is not in the map,
	// so that the window bounds its size.
	byOrganisation map[string]int
	// generation is the engine's generation; 0 while it is unknown.
	generation uint64
	// meanHold is the smoothed time in milliseconds for which a slot is held.
	meanHold float64
}

// New creates the gate of an endpoint in cold start.
func New(l Limits) *Gate {
	g := &Gate{byOrganisation: make(map[string]int), limits: l}
	g.window.setBounds(l.Cold, l.Full)
	return g
}

// SetLimits applies new limits from the tables. The window keeps its size, if that is within the
// new limits, and its first-token statistics.
func (g *Gate) SetLimits(l Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l == g.limits {
		return
	}
	g.limits = l
	g.window.setBounds(l.Cold, l.Full)
}

// Submit admits a request, queues it or refuses it at once. If the queue is full, either this
// request or one that already waits is refused.
func (g *Gate) Submit(now clock.Millis, r Request) (t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t = &Ticket{request: r, decided: make(chan struct{})}
	g.queue.add(t)
	g.admitWaiting(now)
	if t.state == Waiting && len(g.queue.waiting) > g.limits.Queue {
		evicted := g.queue.evictionCandidate(g.heldBy)
		g.queue.remove(evicted)
		evicted.decide(Refused)
	}
	return t
}

// State returns the state of a ticket.
func (g *Gate) State(t *Ticket) State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return t.state
}

// Withdraw ends a ticket's wait, because it timed out or its caller disconnected. It returns
// false if the ticket is no longer waiting.
func (g *Gate) Withdraw(t *Ticket) (ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.state != Waiting {
		return false
	}
	g.queue.remove(t)
	t.decide(Refused)
	return true
}

// RecordFirstToken records that an admitted request has produced its first token.
func (g *Gate) RecordFirstToken(now clock.Millis, t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.state != Admitted || t.hasFirstToken {
		return
	}
	t.hasFirstToken = true
	if t.excluded {
		return
	}
	var closed bool
	t.onTime, closed = g.window.recordFirstToken(t.request.Bytes, now-t.admitted)
	if closed {
		g.excludeHeld()
	}
}

// excludeHeld excludes the first-token times of all admitted requests when the window closes: these
// times depend on the old window, which was too large.
func (g *Gate) excludeHeld() {
	for _, t := range g.held {
		t.excluded = true
	}
}

func (g *Gate) closeWindow() {
	g.window.close()
	g.excludeHeld()
}

// Finish releases the slot of an admitted ticket. Finishing twice has no effect.
func (g *Gate) Finish(now clock.Millis, t *Ticket, o Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.state != Admitted {
		return
	}
	t.state = Finished
	g.held = slices.DeleteFunc(g.held, func(o *Ticket) bool { return o == t })
	g.releaseSlot(t.request.Organisation)
	switch o {
	case Served:
		g.meanHold += holdSmoothing * (float64(now-t.admitted) - g.meanHold)
		if t.onTime && t.windowBusy {
			g.window.grow()
		}
	case Failed:
		g.window.shrink()
	case Unreachable:
		g.closeWindow()
	}
	g.admitWaiting(now)
}

// SetGeneration records the engine's generation. A changed generation means that the engine
// has restarted: its caches and compiled state are lost, so it is cold and the window is
// closed.
func (g *Gate) SetGeneration(generation uint64) (closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	closed = g.generation != 0 && generation != g.generation
	g.generation = generation
	if closed {
		g.closeWindow()
	}
	return closed
}

// CloseWindow resets the window to its cold size.
func (g *Gate) CloseWindow() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closeWindow()
}

// Tick checks for requests whose first token takes far longer than is typical. A stalled
// endpoint produces no first token whose time could be measured, so waiting for one would
// detect the stall too late.
func (g *Gate) Tick(now clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.held {
		if t.hasFirstToken || t.excluded || !g.window.isSpike(t.request.Bytes, now-t.admitted) {
			continue
		}
		t.excluded = true
		if g.window.recordSpike() {
			g.excludeHeld()
		}
	}
	g.admitWaiting(now)
}

// RetryAfter estimates the time until a slot is free for a refused caller. It is between 50 ms
// and 30 s.
func (g *Gate) RetryAfter() clock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	ahead := float64(len(g.queue.waiting) + 1)
	wait := clock.Millis(g.meanHold * ahead / float64(max(g.window.slots(), 1)))
	return min(max(wait, minRetry), maxRetry)
}

// Load returns the current state of the gate.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{
		Held: len(g.held), Window: g.window.slots(), Waiting: len(g.queue.waiting),
		Cold: g.window.isCold(), Closed: g.window.closed,
	}
}

func (g *Gate) admitWaiting(now clock.Millis) {
	for len(g.held) < g.window.slots() {
		t := g.queue.next(g.heldBy)
		if t == nil {
			return
		}
		g.queue.remove(t)
		t.admitted = now
		t.windowBusy = 2*(len(g.held)+1) >= g.window.slots()
		g.held = append(g.held, t)
		g.byOrganisation[t.request.Organisation]++
		t.decide(Admitted)
	}
}

func (g *Gate) heldBy(organisation string) int { return g.byOrganisation[organisation] }

func (g *Gate) releaseSlot(organisation string) {
	g.byOrganisation[organisation]--
	if g.byOrganisation[organisation] == 0 {
		delete(g.byOrganisation, organisation)
	}
}
