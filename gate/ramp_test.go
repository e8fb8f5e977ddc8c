package gate

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/parsleydeal/parsleydeal/clock"
)

// rampEngine simulates an engine in virtual time. Its capacity is a number of concurrent requests:
// e.cold at first, plus e.step for each served request, up to e.full. More requests than its
// capacity slow it down; more than crashLoad times its capacity make it crash.
type rampEngine struct {
	cold, full, step float64
	capacity         float64
	running          []*rampRun
	downUntil        clock.Millis
	generation       uint64
	crashes          int
	peakLoad         float64
}

type rampRun struct {
	ticket          *Ticket
	prefill, decode float64
}

const (
	prefillMillis = 80
	decodeMillis  = 1500
	pollMillis    = 1000
	outageMillis  = 5000
	crashLoad     = 2
)

// advance runs the engine for one millisecond and reports first tokens and ends to the gate.
func (e *rampEngine) advance(now clock.Millis, g *Gate) (served int) {
	utilisation := float64(len(e.running)) / e.capacity
	speed := 1 / max(1, utilisation*utilisation)
	coldFactor := 1 + 3*(1-e.capacity/e.full)
	remaining := e.running[:0]
	for _, r := range e.running {
		if r.prefill > 0 {
			r.prefill -= speed / coldFactor
			if r.prefill <= 0 {
				g.RecordFirstToken(now, r.ticket)
			}
		} else if r.decode -= speed; r.decode <= 0 {
			g.Finish(now, r.ticket, Served)
			e.capacity = min(e.capacity+e.step, e.full)
			served++
			continue
		}
		remaining = append(remaining, r)
	}
	e.running = remaining
	return served
}

// start starts a request. The engine crashes if it then runs more than crashLoad times its
// capacity.
func (e *rampEngine) start(now clock.Millis, g *Gate, t *Ticket) {
	e.running = append(e.running, &rampRun{ticket: t, prefill: prefillMillis, decode: decodeMillis})
	utilisation := float64(len(e.running)) / e.capacity
	e.peakLoad = max(e.peakLoad, utilisation)
	if utilisation > crashLoad {
		e.crashes++
		e.restart(now, g)
	}
}

func (e *rampEngine) restart(now clock.Millis, g *Gate) {
	for _, r := range e.running {
		g.Finish(now, r.ticket, Failed)
	}
	e.running = nil
	e.capacity = e.cold
	e.downUntil = now + outageMillis
	e.generation++
}

// ramp is one run of a pool in virtual time. Requests arrive in an open loop.
type ramp struct {
	rng                  *rand.Rand
	engines              []*rampEngine
	gates                []*Gate
	waits                []rampWait
	arrived, served      int
	refused, unreachable int
	// fullAt is the time from when the engines turned cold until the pool first served nine tenths
	// of the offered rate; -1 if it did not.
	fullAt clock.Millis
	recent []int
}

type rampWait struct {
	ticket   *Ticket
	endpoint int
	start    clock.Millis
}

func newRamp(endpoints, cold, full, fixed int, step float64) *ramp {
	r := &ramp{rng: rand.New(rand.NewPCG(7, 11)), fullAt: -1}
	l := Limits{Cold: cold, Full: full, Queue: full}
	if fixed > 0 {
		l = Limits{Cold: fixed, Full: fixed, Queue: full}
	}
	for range endpoints {
		r.engines = append(r.engines, &rampEngine{cold: float64(cold), full: float64(full), step: step, capacity: float64(cold), generation: 1})
		r.gates = append(r.gates, New(l))
	}
	return r
}

// arrive submits a request to up to three endpoints, as an entry does.
func (r *ramp) arrive(now clock.Millis) {
	r.arrived++
	from := r.rng.IntN(len(r.gates))
	for try := range 3 {
		at := (from + try) % len(r.gates)
		t := r.gates[at].Submit(now, Request{Organisation: "office", Weight: 1})
		if r.gates[at].State(t) != Refused {
			r.waits = append(r.waits, rampWait{ticket: t, endpoint: at, start: now})
			return
		}
	}
	r.refused++
}

// startAdmitted starts admitted requests and ends waits that time out.
func (r *ramp) startAdmitted(now clock.Millis) {
	const queueTimeout = 250
	remaining := r.waits[:0]
	for _, w := range r.waits {
		e, g := r.engines[w.endpoint], r.gates[w.endpoint]
		state := g.State(w.ticket)
		switch {
		case state == Waiting && now-w.start < queueTimeout:
			remaining = append(remaining, w)
		case state != Admitted:
			g.Withdraw(w.ticket)
			r.refused++
		case now < e.downUntil:
			g.Finish(now, w.ticket, Unreachable)
			r.unreachable++
		default:
			e.start(now, g, w.ticket)
		}
	}
	r.waits = remaining
}

// run sends requests to the pool for a duration, at its full rate multiplied by load. At coldAt all
// engines turn cold; if restarts is true they also restart with a new generation.
func (r *ramp) run(duration, coldAt clock.Millis, load float64, restarts bool) {
	rate := load * float64(len(r.engines)) * r.engines[0].full / (prefillMillis + decodeMillis)
	next := 0.0
	for now := clock.Millis(1); now <= duration; now++ {
		if now == coldAt {
			r.turnCold(now, restarts)
		}
		for next <= float64(now) {
			r.arrive(now)
			next += r.rng.ExpFloat64() / rate
		}
		r.startAdmitted(now)
		r.recordServed(now, coldAt, rate, r.advance(now))
	}
}

// turnCold makes all engines cold, with or without a restart.
func (r *ramp) turnCold(now clock.Millis, restarts bool) {
	for i, e := range r.engines {
		e.peakLoad = 0
		e.capacity = e.cold
		if restarts {
			e.restart(now, r.gates[i])
		}
	}
}

func (r *ramp) advance(now clock.Millis) (served int) {
	for i, e := range r.engines {
		if now%pollMillis == 0 && now >= e.downUntil {
			r.gates[i].SetGeneration(e.generation)
		}
		if now%100 == 0 {
			r.gates[i].Tick(now)
		}
		served += e.advance(now, r.gates[i])
	}
	return served
}

// recordServed records when the pool serves nine tenths of the offered rate over two seconds.
func (r *ramp) recordServed(now, coldAt clock.Millis, rate float64, served int) {
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
	if now >= coldAt+width && r.fullAt < 0 && float64(sum) >= 0.9*rate*width {
		r.fullAt = now - coldAt
	}
}

func (r *ramp) report() string {
	peakLoad, crashes := 0.0, 0
	for _, e := range r.engines {
		peakLoad = max(peakLoad, e.peakLoad)
		crashes += e.crashes
	}
	return fmt.Sprintf("held at most %.2f of what it could bear, falls %d, full service after %d ms, served %d, refused %d, unreachable %d of %d",
		peakLoad, crashes, r.fullAt, r.served, r.refused, r.unreachable, r.arrived)
}

// Engines crash when a pool turns cold under full load: the load that a warm engine handles is too
// much for a cold one, which crashes, restarts cold and gets the full load again. The data file has
// the results of the admission window and of fixed limits for the same requests. They are
// reproducible, as time is virtual.
func TestRamp(t *testing.T) {
	datadriven.RunTest(t, "testdata/ramp", func(t *testing.T, d *datadriven.TestData) string {
		var endpoints, cold, full, coldAt, fixed int
		var step, load float64
		d.ScanArgs(t, "endpoints", &endpoints)
		d.ScanArgs(t, "cold", &cold)
		d.ScanArgs(t, "full", &full)
		d.ScanArgs(t, "turn", &coldAt)
		scanFloat(t, d, "step", &step)
		scanFloat(t, d, "load", &load)
		d.MaybeScanArgs(t, "at", &fixed)
		r := newRamp(endpoints, cold, full, fixed, step)
		r.run(60*clock.Second, clock.Millis(coldAt), load, d.HasArg("told"))
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
