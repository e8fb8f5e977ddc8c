package gate

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/parsleydeal/parsleydeal/clock"
)

// rampEngine is a model of an engine in virtual time. It bears cold requests at
// first; each request it serves lets it bear step more, up to full. Holding more
// than it bears slows it down; taking one more beyond twice as much makes it
// fall over.
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
	pace := 1 / max(1, over*over)
	slow := 1 + 3*(1-e.bears/e.full)
	kept := e.running[:0]
	for _, r := range e.running {
		if r.first > 0 {
			r.first -= pace / slow
			if r.first <= 0 {
				g.RecordFirstToken(now, r.ticket)
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

// take starts a request; one too many makes the engine fall over.
func (e *rampEngine) take(now clock.Millis, g *Gate, t *Ticket) {
	e.running = append(e.running, &rampRun{ticket: t, first: rampFirst, whole: rampWhole})
	over := float64(len(e.running)) / e.bears
	e.worst = max(e.worst, over)
	if over > fallAt {
		e.falls++
		e.restart(now, g)
	}
}

func (e *rampEngine) restart(now clock.Millis, g *Gate) {
	for _, r := range e.running {
		g.Finish(now, r.ticket, Failed)
	}
	e.running = nil
	e.bears = e.cold
	e.downUntil = now + rampOutage
	e.generation++
}

// ramp is one run of a pool in virtual time, fed by an open loop of requests.
type ramp struct {
	rng             *rand.Rand
	engines         []*rampEngine
	gates           []*Gate
	waits           []rampWait
	arrived, served int
	refused, broken int
	// fullAt is when the pool first served at nine tenths of its full rate.
	fullAt clock.Millis
	recent []int
}

type rampWait struct {
	ticket *Ticket
	at     int
	since  clock.Millis
}

func newRamp(endpoints, cold, full, fixed int, step float64) *ramp {
	r := &ramp{rng: rand.New(rand.NewPCG(7, 11)), fullAt: -1}
	l := Limits{Cold: cold, Full: full, Queue: full}
	if fixed > 0 {
		l = Limits{Cold: fixed, Full: fixed, Queue: full}
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
	from := r.rng.IntN(len(r.gates))
	for try := range 3 {
		at := (from + try) % len(r.gates)
		t := r.gates[at].Submit(now, Request{Organisation: "office", Weight: 1})
		if r.gates[at].State(t) != Refused {
			r.waits = append(r.waits, rampWait{ticket: t, at: at, since: now})
			return
		}
	}
	r.refused++
}

// settle starts admitted requests and ends waits that took too long.
func (r *ramp) settle(now clock.Millis) {
	const patience = 250
	kept := r.waits[:0]
	for _, w := range r.waits {
		e, g := r.engines[w.at], r.gates[w.at]
		state := g.State(w.ticket)
		switch {
		case state == Waiting && now-w.since < patience:
			kept = append(kept, w)
		case state != Admitted:
			g.Withdraw(w.ticket)
			r.refused++
		case now < e.downUntil:
			g.Finish(now, w.ticket, Unreachable)
			r.broken++
		default:
			e.take(now, g, w.ticket)
		}
	}
	r.waits = kept
}

// run offers the pool load times its full rate for a span. At turn every engine
// turns cold; told says whether its generation changes too.
func (r *ramp) run(span, turn clock.Millis, load float64, told bool) {
	full := load * float64(len(r.engines)) * r.engines[0].full / (rampFirst + rampWhole)
	next := 0.0
	for now := clock.Millis(1); now <= span; now++ {
		if now == turn {
			r.turnCold(now, told)
		}
		for next <= float64(now) {
			r.arrive(now)
			next += r.rng.ExpFloat64() / full
		}
		r.settle(now)
		r.measure(now, turn, full, r.advance(now))
	}
}

// turnCold restarts all engines, or lets them turn cold without a word.
func (r *ramp) turnCold(now clock.Millis, told bool) {
	for i, e := range r.engines {
		e.worst = 0
		e.bears = e.cold
		if told {
			e.restart(now, r.gates[i])
		}
	}
}

func (r *ramp) advance(now clock.Millis) (served int) {
	for i, e := range r.engines {
		if now%rampPoll == 0 && now >= e.downUntil {
			r.gates[i].SetGeneration(e.generation)
		}
		if now%100 == 0 {
			r.gates[i].Tick(now)
		}
		served += e.advance(now, r.gates[i])
	}
	return served
}

// measure notes when the pool serves at nine tenths of the offered rate over two
// seconds.
func (r *ramp) measure(now, turn clock.Millis, rate float64, served int) {
	const width = 2000
	r.served += served
	r.recent = append(r.recent, served)
	if len(r.recent) > width {
		r.recent = r.recent[1:]
	}
	sum := 0
	for _, n := range r.recent {
		sum += n
	}
	if now >= turn+width && r.fullAt < 0 && float64(sum) >= 0.9*rate*width {
		r.fullAt = now - turn
	}
}

func (r *ramp) report() string {
	worst, falls := 0.0, 0
	for _, e := range r.engines {
		worst = max(worst, e.worst)
		falls += e.falls
	}
	return fmt.Sprintf("held at most %.2f of what it could bear, falls %d, full service after %d ms, served %d, refused %d, unreachable %d of %d",
		worst, falls, r.fullAt, r.served, r.refused, r.broken, r.arrived)
}

// Operators see engines fall over when a pool turns cold under full load: the
// load that a warm engine bears is too much for a cold one, it falls, restarts
// cold and is given the full load again. The file compares the window with a
// fixed limit over the same requests; its figures repeat to the digit.
func TestRamp(t *testing.T) {
	datadriven.RunTest(t, "testdata/ramp", func(t *testing.T, d *datadriven.TestData) string {
		var endpoints, cold, full, turn, fixed int
		var step, load float64
		d.ScanArgs(t, "endpoints", &endpoints)
		d.ScanArgs(t, "cold", &cold)
		d.ScanArgs(t, "full", &full)
		d.ScanArgs(t, "turn", &turn)
		scanFloat(t, d, "step", &step)
		scanFloat(t, d, "load", &load)
		d.MaybeScanArgs(t, "at", &fixed)
		r := newRamp(endpoints, cold, full, fixed, step)
		r.run(60*clock.Second, clock.Millis(turn), load, d.HasArg("told"))
		return r.report() + "\n"
	})
}

func scanFloat(t *testing.T, d *datadriven.TestData, name string, v *float64) {
	t.Helper()
	var text string
	d.ScanArgs(t, name, &text)
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	*v = n
}
