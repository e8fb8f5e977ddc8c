package gate

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/parsleydeal/parsleydeal/clock"
)

// rampEngine is a model of an engine in virtual time. It bears cold requests at
// first; each request it serves lets it bear step more, up to full. Holding more
// than it bears slows it down; holding twice as much makes it fall over.
type rampEngine struct {
	cold, full, step float64
	bears            float64
	running          []*rampRun
	downUntil        clock.Millis
	generation       uint64
	falls            int
	worst            float64
}

type rampRun struct {
	ticket       *Ticket
	first, whole float64
}

const (
	rampFirst  = 80
	rampWhole  = 1500
	rampPoll   = 1000
	rampOutage = 5000
	fallAt     = 2
)

// advance runs the engine for one millisecond and reports tickets to the gate.
func (e *rampEngine) advance(now clock.Millis, g *Gate) (served int) {
	over := float64(len(e.running)) / e.bears
	e.worst = max(e.worst, over)
	if over > fallAt {
		e.fall(now, g)
		return 0
	}
	pace := 1 / max(1, over*over)
	slow := 1 + 3*(1-e.bears/e.full)
	kept := e.running[:0]
	for _, r := range e.running {
		if r.first > 0 {
			r.first -= pace / slow
			if r.first <= 0 {
				g.FirstToken(now, r.ticket)
			}
		} else if r.whole -= pace; r.whole <= 0 {
			g.Finish(now, r.ticket, Served)
			e.bears = min(e.bears+e.step, e.full)
			served++
			continue
		}
		kept = append(kept, r)
	}
	e.running = kept
	return served
}

func (e *rampEngine) fall(now clock.Millis, g *Gate) {
	e.falls++
	for _, r := range e.running {
		g.Finish(now, r.ticket, Broken)
	}
	e.running = nil
	e.bears = e.cold
	e.downUntil = now + rampOutage
	e.generation++
}

// ramp is one run of a pool in virtual time.
type ramp struct {
	rng             *rand.Rand
	engines         []*rampEngine
	gates           []*Gate
	waits           map[*Ticket]clock.Millis
	arrived, served int
	refused, broken int
	fullAt          clock.Millis
}

func newRamp(endpoints, cold, full int, step float64, fixed bool) *ramp {
	r := &ramp{rng: rand.New(rand.NewPCG(7, 11)), waits: make(map[*Ticket]clock.Millis)}
	l := Limits{Cold: cold, Full: full, Queue: full}
	if fixed {
		l.Cold = full
	}
	for range endpoints {
		r.engines = append(r.engines, &rampEngine{cold: float64(cold), full: float64(full), step: step, bears: float64(cold), generation: 1})
		r.gates = append(r.gates, New(l))
	}
	return r
}

// arrive tries up to three endpoints, as an entry does.
func (r *ramp) arrive(now clock.Millis) {
	r.arrived++
	at := r.rng.IntN(len(r.gates))
	for try := range 3 {
		g := r.gates[(at+try)%len(r.gates)]
		t := g.Arrive(now, Request{Organisation: fmt.Sprint(r.rng.IntN(4)), Weight: 1})
		if g.State(t) != Refused {
			r.waits[t] = now
			return
		}
	}
	r.refused++
}

func (r *ramp) admit(now clock.Millis, i int) {
	const patience = 250
	e, g := r.engines[i], r.gates[i]
	for _, t := range r.ordered() {
		if r.owner(t) != i {
			continue
		}
		switch {
		case g.State(t) == Admitted && now < e.downUntil:
			g.Finish(now, t, Unreachable)
			r.broken++
		case g.State(t) == Admitted:
			e.running = append(e.running, &rampRun{ticket: t, first: rampFirst, whole: rampWhole})
		case g.State(t) == Waiting && now-r.waits[t] < patience:
			continue
		default:
			g.Withdraw(t)
			r.refused++
		}
		delete(r.waits, t)
	}
}
