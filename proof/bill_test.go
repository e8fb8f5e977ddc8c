package proof

import (
	"fmt"
	"testing"

	"github.com/parsleydeal/parsleydeal/bill"
	"github.com/parsleydeal/parsleydeal/clock"
	"pgregory.net/rapid"
)

// roomy is a bound at which holders find room in an outage.
const roomy = 300

// recovery is how long after one loss of a VM the bills are safe again, with
// the log up: the list's lag, the keeper's takeover and the log's backoff.
const recovery = 30 * clock.Second

// billing is the state machine over a fleet's bills. One VM is lost at a time:
// both holders lost at once is the stated limit.
type billing struct {
	*fleet
	t       *rapid.T
	n       int
	lostAt  clock.Millis
	outages int
}

func (b *billing) pick() *process {
	var up []*process
	for _, p := range b.procs {
		if p.up && !p.leaving {
			up = append(up, p)
		}
	}
	return up[rapid.IntRange(0, len(up)-1).Draw(b.t, "process")]
}

func (b *billing) serve() {
	for range rapid.IntRange(1, 8).Draw(b.t, "requests") {
		b.n++
		b.request(b.pick(), fmt.Sprintf("request-%d", b.n))
	}
}

func (b *billing) wait() {
	b.advance(clock.Millis(rapid.Int64Range(1, 15000).Draw(b.t, "millis")))
}

// lose crashes a VM and puts another in its place.
func (b *billing) lose() {
	if b.now-b.lostAt < recovery || b.down && b.bound < roomy {
		b.t.Skip("one loss at a time, and in an outage only while holders have room")
	}
	p := b.pick()
	p.up = false
	p.lostAt = b.now
	b.lostAt = b.now
	b.start(p.m.Zone)
}

// stop ends a VM as planned: it hands on its bills before it goes.
func (b *billing) stop() {
	p := b.pick()
	if len(b.listed()) < 5 {
		b.t.Skip("too few are left")
	}
	p.leaving = true
	b.start(p.m.Zone)
	p.do(func() { p.post(bill.Drain{Now: b.now}) })
	b.leave(p)
}

func (b *billing) leave(p *process) {
	if p.up && p.ledger.Replicated() && p.ledger.Reserved() == 0 {
		p.up = false
		return
	}
	b.after(100, func() { b.leave(p) })
}

func (b *billing) pause() {
	p := b.pick()
	p.pausedTo = b.now + clock.Millis(rapid.Int64Range(100, 20000).Draw(b.t, "pause"))
}

// outage takes the log out or brings it back.
func (b *billing) outage() {
	if !b.down && b.bound < roomy && b.now-b.lostAt < recovery {
		b.t.Skip("a loss is being made good")
	}
	b.down = !b.down
	if !b.down && b.bound < roomy {
		b.lostAt = b.now
	}
}

func (b *billing) loseAnswers() { b.spoil(&b.world.lose) }
func (b *billing) lateAppends() { b.spoil(&b.world.late) }

func (b *billing) spoil(n *int) { *n += rapid.IntRange(1, 3).Draw(b.t, "answers") }

func (b *billing) intact() {
	if b.broken != "" {
		b.t.Fatal(b.broken)
	}
}

// settle brings the log back and lets everything come to rest.
func (b *billing) settle() {
	b.down = false
	b.advance(3 * recovery)
	b.check()
	for _, p := range b.procs {
		if own, held := p.ledger.Waiting(); p.up && own+held > 0 {
			b.fail("billed-exactly-once", "%s still keeps %d own and %d others' bills", p.m.ID, own, held)
		}
	}
	b.intact()
}

// A caller has its whole answer, then the entry is lost, or the holder, while
// the log is out, slow or loses its answers. Each request that was answered
// must still have one bill, with its own cost.
func TestReleasedRequestsAreBilledExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.SampledFrom([]int{4, 20, 100, 1000}).Draw(t, "bound")
		b := &billing{fleet: newFleet(rapid.Uint64().Draw(t, "seed"), 3, 2, bound), t: t}
		t.Repeat(map[string]func(*rapid.T){
			"serve":  func(*rapid.T) { b.serve() },
			"serve2": func(*rapid.T) { b.serve() },
			"wait":   func(*rapid.T) { b.wait() },
			"wait2":  func(*rapid.T) { b.wait() },
			"lose":   func(*rapid.T) { b.lose() },
			"stop":   func(*rapid.T) { b.stop() },
			"pause":  func(*rapid.T) { b.pause() },
			"outage": func(*rapid.T) { b.outage() },
			"answer": func(*rapid.T) { b.loseAnswers() },
			"late":   func(*rapid.T) { b.lateAppends() },
			"":       func(*rapid.T) { b.intact() },
		})
		b.settle()
	})
}

// The log takes appends and loses their answers. A journal that sent them again
// unseen would put every such batch on the log twice; one that reads the log
// first puts none.
func TestLostAnswersPutNoBillOnTheLogTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 3, 1, 1000)
		for i := range 60 {
			f.request(f.procs[i%3], fmt.Sprintf("request-%d", i))
			f.lose += rapid.IntRange(0, 1).Draw(t, "lose")
			f.advance(200)
		}
		f.advance(recovery)
		if repeats := f.check(); repeats > 0 || f.broken != "" {
			t.Fatalf("lost-answer-is-read-back: %d bills stand on the log again; %s", repeats, f.broken)
		}
	})
}
