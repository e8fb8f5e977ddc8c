package overload

import (
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"pgregory.net/rapid"
)

// process is a simulated process. It runs for a part of each 100 ms, one step of a request after the other in the order in
// which they became due.
type process struct {
	limiter *Limiter
	now     clock.Millis
	// part is the part of each 100 ms for which it runs, frozenUntil the end of a time in which it does not run at all.
	part        float64
	frozenUntil clock.Millis
	// cost is the time of one step in microseconds. A request has one step for reading it and steps further ones, gap apart.
	cost   int
	steps  int
	gap    clock.Millis
	due    []*request
	queue  []*request
	later  map[clock.Millis][]*request
	budget int
	// waits holds how long steps have waited since the last measurement. If blind, the arrival of requests is not known.
	waits []clock.Millis
	blind bool
	// arrived holds the connections that were not accepted yet.
	arrived []*request
	done    []*request
	closed  []*request
}

type request struct {
	net.Conn
	at       clock.Millis
	dueAt    clock.Millis
	readAt   clock.Millis
	left     int
	finished clock.Millis
}

func newProcess(part float64, cost int) *process {
	p := &process{part: part, cost: cost, steps: 8, gap: 50, later: make(map[clock.Millis][]*request)}
	p.limiter = NewLimiterWith(clock.New(func() clock.Millis { return p.now }), p.schedulerDelay, nil)
	return p
}

// capacity returns how many requests a second the process can answer.
func (p *process) capacity() float64 { return 1e6 * p.part / float64(p.cost*(p.steps+1)) }

func (p *process) schedulerDelay() (d clock.Millis, ok bool) {
	if len(p.waits) < minWaits {
		return 0, false
	}
	slices.Sort(p.waits)
	d = p.waits[int(schedulerQuantile*float64(len(p.waits)))]
	p.waits = p.waits[:0]
	return d, true
}

// step runs the process for a millisecond in which n connections arrive.
func (p *process) step(n int) {
	p.now++
	for range n {
		p.arrived = append(p.arrived, &request{at: p.now, left: p.steps})
	}
	p.due = append(p.due, p.later[p.now]...)
	delete(p.later, p.now)
	if p.now < p.frozenUntil || float64(p.now%100) >= 100*p.part {
		return
	}
	// A process that does not run is not told what is due.
	for _, r := range p.due {
		r.dueAt = p.now
		p.queue = append(p.queue, r)
	}
	p.due = nil
	for _, r := range p.arrived {
		if !p.limiter.Admit() {
			p.closed = append(p.closed, r)
			continue
		}
		p.limiter.Track(r, http.StateNew)
		r.dueAt = p.now
		p.queue = append(p.queue, r)
	}
	p.arrived = nil
	for p.budget = min(p.budget, 0) + 1000; p.budget > 0 && len(p.queue) > 0; p.budget -= p.cost {
		r := p.queue[0]
		p.queue = p.queue[1:]
		p.waits = append(p.waits, p.now-r.dueAt)
		if r.readAt == 0 {
			r.readAt = p.now
			delay := p.now - r.at
			if p.blind {
				delay = 0
			}
			p.limiter.RecordReadDelay(delay)
		} else {
			r.left--
		}
		if r.left == 0 {
			r.finished = p.now
			p.limiter.Track(r, http.StateClosed)
			p.done = append(p.done, r)
			continue
		}
		p.later[p.now+p.gap] = append(p.later[p.now+p.gap], r)
	}
}

// run lets a number of connections arrive each second for a time.
func (p *process) run(d clock.Millis, perSecond float64) {
	due := 0.0
	for range d {
		due += perSecond / float64(clock.Second)
		p.step(int(due))
		due -= float64(int(due))
	}
}

// A process gets up to ten times what it can do. Guards against one that accepts more than it can read, and against one that
// closes connections that it could serve, or all of them.
func TestLimitFollowsWhatTheProcessCanDoProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newProcess(rapid.Float64Range(0.1, 1).Draw(t, "part"), rapid.IntRange(40, 400).Draw(t, "cost"))
		p.blind = rapid.Bool().Draw(t, "blind")
		if p.capacity() < 25 {
			t.Skip("less than the lowest limit")
		}
		p.run(3*clock.Second, 0.4*p.capacity())
		if len(p.closed) > 0 {
			t.Fatalf("%d connections closed of a load of 0.4", len(p.closed))
		}
		p.run(3*clock.Second, rapid.Float64Range(1.5, 10).Draw(t, "load")*p.capacity())
		served, accepted, from := len(p.done), p.limiter.Status().Accepted, p.now
		p.run(8*clock.Second, rapid.Float64Range(1.5, 10).Draw(t, "load")*p.capacity())
		if n := float64(len(p.done)-served) / 8; n < 0.6*p.capacity() {
			t.Fatalf("%.1f served a second, it could do %.1f", n, p.capacity())
		}
		if p.limiter.Status().Accepted-accepted < 8 {
			t.Fatal("hardly any connection is accepted")
		}
		late, all := 0, 0
		for _, r := range p.done[served:] {
			if r.at >= from {
				all++
				if r.finished-r.at > 3*clock.Second {
					late++
				}
			}
		}
		if late*4 > all {
			t.Fatalf("%d of %d answers took longer than 3 s", late, all)
		}
		p.run(8*clock.Second, 0.4*p.capacity())
		if st := p.limiter.Status(); st.Limit > 0 {
			t.Fatalf("limited to %d of %d, read delay %s, 8 s after the load fell", st.Limit, st.Active, st.ReadDelay)
		}
	})
}

// Guards against a process that goes on to close connections after it was frozen.
func TestFrozenProcessSoonAcceptsAgain(t *testing.T) {
	is := is.New(t)
	p := newProcess(1, 100)
	p.run(2*clock.Second, 200)
	p.frozenUntil = p.now + 2*clock.Second
	p.run(3*clock.Second, 200)
	closed := len(p.closed)
	t.Logf("%d of 400 connections closed in the second after a pause of 2 s", closed)
	p.run(4*clock.Second, 200)
	is.Equal(len(p.closed), closed)
	is.Equal(p.limiter.Status().Limit, 0)
}

// Guards against a limit that stays in force because too few requests come to measure anything.
func TestLimitIsLiftedWithLittleTraffic(t *testing.T) {
	is := is.New(t)
	p := newProcess(0.2, 300)
	p.run(4*clock.Second, 4*p.capacity())
	is.True(p.limiter.Limited())
	p.run(8*clock.Second, 2)
	is.True(!p.limiter.Limited())
}

// Each caller tries again. Guards against a process that accepts no connection at all for a second or longer.
func TestSomeConnectionsAreAlwaysAccepted(t *testing.T) {
	is := is.New(t)
	p := newProcess(0.1, 400)
	p.steps = 200
	p.run(5*clock.Second, 300)
	for range 20 {
		before := p.limiter.Status().Accepted
		p.run(clock.Second, 300)
		is.True(p.limiter.Status().Accepted > before)
	}
}

// Guards against a measurement that does not show goroutines that wait for a processor.
func TestSchedulerShowsWaitingGoroutines(t *testing.T) {
	is := is.New(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	s := newScheduler()
	s.delay()
	// The runtime samples one in eight.
	var all sync.WaitGroup
	for range 1000 {
		all.Go(func() {
			for end := time.Now().Add(time.Millisecond); time.Now().Before(end); {
				runtime.KeepAlive(s)
			}
		})
	}
	all.Wait()
	d, ok := s.delay()
	t.Logf("a tenth waited for %s or longer", d)
	is.True(ok)
	is.True(d > maxSchedulerDelay)
	_, ok = s.delay()
	is.True(!ok)
}

func BenchmarkSchedulerDelay(b *testing.B) {
	s := newScheduler()
	for b.Loop() {
		s.delay()
	}
}
