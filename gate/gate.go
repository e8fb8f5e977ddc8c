// Package gate admits work to one endpoint: a window that opens small and grows
// on good service, and a short queue in front of it, shared fairly. It reads no
// clock: instants come from the caller.
package gate

import (
	"slices"
	"sync"

	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// holdSmoothing is the weight of a new span in the usual span of a place.
	holdSmoothing = 0.1
	minRetry      = 50 * clock.Millis(1)
	maxRetry      = 30 * clock.Second
)

// Limits are the tables' bounds of an endpoint.
type Limits struct {
	// Cold is the window of an endpoint in cold start, Full that of a warm one.
	Cold int
	Full int
	// Queue bounds the requests that wait for a place.
	Queue int
}

// Load is the gate's own view of its endpoint.
type Load struct {
	Held    int
	Window  int
	Waiting int
	// Cold is true while the window is not fully open.
	Cold bool
	// Closed counts how often the window was closed.
	Closed int
}

// Gate is safe for use by many goroutines.
type Gate struct {
	mu     sync.Mutex
	limits Limits
	window window
	queue  queue
	// held lists the admitted tickets; they exceed the window only after it was
	// closed or shrunk, and then nothing is admitted until they fit.
	held []*Ticket
	// byOrganisation counts held places; an organisation without one has no
	// entry, so that the window bounds the map.
	byOrganisation map[string]int
	// generation is the engine's, 0 until it is known.
	generation uint64
	// span is the smoothed span for which a place is held.
	span float64
}

// New makes the gate of an endpoint in cold start.
func New(l Limits) *Gate {
	g := &Gate{byOrganisation: make(map[string]int), limits: l}
	g.window.bound(l.Cold, l.Full)
	return g
}

// SetLimits takes new limits from the tables without forgetting what was learned.
func (g *Gate) SetLimits(l Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l == g.limits {
		return
	}
	g.limits = l
	g.window.bound(l.Cold, l.Full)
}

// Submit admits a request, lets it wait or refuses it at once.
func (g *Gate) Submit(now clock.Millis, r Request) (t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t = &Ticket{request: r, decided: make(chan struct{})}
	g.queue.add(t)
	g.fill(now)
	if t.state == Waiting && len(g.queue.waiting) > g.limits.Queue {
		worst := g.queue.last(g.heldBy)
		g.queue.remove(worst)
		worst.decide(Refused)
	}
	return t
}

// State returns where a ticket stands.
func (g *Gate) State(t *Ticket) State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return t.state
}

// Withdraw ends a ticket's wait, for its patience or its caller is gone. It
// reports false when the ticket no longer waits.
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

// RecordFirstToken tells that an admitted request got its first token.
func (g *Gate) RecordFirstToken(now clock.Millis, t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.state != Admitted || t.first {
		return
	}
	t.first = true
	if t.overdue {
		return
	}
	var closed bool
	t.calm, closed = g.window.firstToken(t.request.Bytes, now-t.admitted)
	if closed {
		g.forget()
	}
}

// forget keeps requests admitted before the window closed from being judged:
// their times belong to a window that was too wide.
func (g *Gate) forget() {
	for _, t := range g.held {
		t.overdue = true
	}
}

func (g *Gate) close() {
	g.window.close()
	g.forget()
}

// Finish gives an admitted ticket's place back. Finishing twice has no effect.
func (g *Gate) Finish(now clock.Millis, t *Ticket, o Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.state != Admitted {
		return
	}
	t.state = Finished
	g.held = slices.DeleteFunc(g.held, func(o *Ticket) bool { return o == t })
	g.release(t.request.Organisation)
	switch o {
	case Served:
		g.span += holdSmoothing * (float64(now-t.admitted) - g.span)
		if t.calm && t.pressed {
			g.window.grow()
		}
	case Failed:
		g.window.shrink()
	case Unreachable:
		g.close()
	}
	g.fill(now)
}

// SetGeneration takes in the engine's generation. Another one than before is a
// restarted engine: its caches and compiled state are gone, so it is cold.
func (g *Gate) SetGeneration(generation uint64) (closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	closed = g.generation != 0 && generation != g.generation
	g.generation = generation
	if closed {
		g.close()
	}
	return closed
}

// CloseWindow shuts the window down to its cold size.
func (g *Gate) CloseWindow() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.close()
}

// Tick looks for requests that wait for their first token far longer than is
// usual. An endpoint that has stalled sends no first token whose time could be
// measured, so waiting for one would notice too late.
func (g *Gate) Tick(now clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.held {
		if t.first || t.overdue || !g.window.jumped(t.request.Bytes, now-t.admitted) {
			continue
		}
		t.overdue = true
		if g.window.vote() {
			g.forget()
		}
	}
	g.fill(now)
}

// RetryAfter estimates when a refused caller finds a place.
func (g *Gate) RetryAfter() clock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	ahead := float64(len(g.queue.waiting) + 1)
	span := clock.Millis(g.span * ahead / float64(max(g.window.places(), 1)))
	return min(max(span, minRetry), maxRetry)
}

// Load returns the gate's view of its endpoint.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{
		Held: len(g.held), Window: g.window.places(), Waiting: len(g.queue.waiting),
		Cold: g.window.isCold(), Closed: g.window.closed,
	}
}

func (g *Gate) fill(now clock.Millis) {
	for len(g.held) < g.window.places() {
		t := g.queue.next(g.heldBy)
		if t == nil {
			return
		}
		g.queue.remove(t)
		t.admitted = now
		t.pressed = 2*(len(g.held)+1) >= g.window.places()
		g.held = append(g.held, t)
		g.byOrganisation[t.request.Organisation]++
		t.decide(Admitted)
	}
}

func (g *Gate) heldBy(organisation string) int { return g.byOrganisation[organisation] }

func (g *Gate) release(organisation string) {
	g.byOrganisation[organisation]--
	if g.byOrganisation[organisation] == 0 {
		delete(g.byOrganisation, organisation)
	}
}
