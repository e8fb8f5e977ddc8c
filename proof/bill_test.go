package proof

import (
	"fmt"
	"testing"

	"github.com/parsleydeal/parsleydeal/bill"
	"github.com/parsleydeal/parsleydeal/clock"
	"pgregory.net/rapid"
)

// largeBound is a bound on the waiting bills that is never reached during an outage of the log.
const largeBound = 300

// recoveryTime is how long it takes after the loss of a VM, with the log up, until every bill is
// safe again, that is, on the log or stored in two copies. It covers the delay of the VM list, the
// takeover of the bills and the backoff of appends.
const recoveryTime = 30 * clock.Second

// billingMachine is the state machine for a fleet's bills. It loses only one VM at a time: the
// documentation excludes the loss of both processes that have a copy of a bill.
type billingMachine struct {
	*fleet
	t        *rapid.T
	requests int
	lostAt   clock.Millis
	outages  int
}

func (b *billingMachine) anyProcess() *process {
	var up []*process
	for _, p := range b.processes {
		if p.up && !p.leaving {
			up = append(up, p)
		}
	}
	return up[rapid.IntRange(0, len(up)-1).Draw(b.t, "process")]
}

func (b *billingMachine) serve() {
	for range rapid.IntRange(1, 8).Draw(b.t, "requests") {
		b.requests++
		b.request(b.anyProcess(), fmt.Sprintf("request-%d", b.requests))
	}
}

func (b *billingMachine) wait() {
	b.advance(clock.Millis(rapid.Int64Range(1, 15000).Draw(b.t, "millis")))
}

// crash crashes a VM and starts a replacement in its zone.
func (b *billingMachine) crash() {
	if b.now-b.lostAt < recoveryTime || b.logDown && b.bound < largeBound {
		b.t.Skip("only one VM loss at a time, and during a log outage only while holders have room")
	}
	p := b.anyProcess()
	p.up = false
	p.lostAt = b.now
	b.lostAt = b.now
	b.start(p.member.Zone)
}

// stopPlanned stops a VM as planned: it hands over its bills before it ends.
func (b *billingMachine) stopPlanned() {
	p := b.anyProcess()
	if len(b.listedMembers()) < 5 {
		b.t.Skip("too few processes left")
	}
	p.leaving = true
	b.start(p.member.Zone)
	p.do(func() { p.updateLedger(bill.Drain{Now: b.now}) })
	b.waitForDrain(p)
}

// waitForDrain ends a stopping process once other processes have copies of all its bills and no
// request has reserved room for a bill.
func (b *billingMachine) waitForDrain(p *process) {
	if p.up && p.ledger.Replicated() && p.ledger.Reserved() == 0 {
		p.up = false
		return
	}
	b.after(100, func() { b.waitForDrain(p) })
}

func (b *billingMachine) pause() {
	p := b.anyProcess()
	p.pausedTo = b.now + clock.Millis(rapid.Int64Range(100, 20000).Draw(b.t, "pause"))
}

// toggleLog starts or ends an outage of the log.
func (b *billingMachine) toggleLog() {
	if !b.logDown && b.bound < largeBound && b.now-b.lostAt < recoveryTime {
		b.t.Skip("recovery from a VM loss is in progress")
	}
	b.logDown = !b.logDown
	if !b.logDown && b.bound < largeBound {
		b.lostAt = b.now
	}
}

func (b *billingMachine) loseReplies()  { b.addFaults(&b.simulation.lostReplies) }
func (b *billingMachine) delayAppends() { b.addFaults(&b.simulation.delayedAppends) }

func (b *billingMachine) addFaults(n *int) { *n += rapid.IntRange(1, 3).Draw(b.t, "answers") }

func (b *billingMachine) checkViolation() {
	if b.violation != "" {
		b.t.Fatal(b.violation)
	}
}

// settle ends any log outage, waits for recovery and checks that every bill is on the log.
func (b *billingMachine) settle() {
	b.logDown = false
	b.advance(3 * recoveryTime)
	b.checkBilled()
	for _, p := range b.processes {
		if own, held := p.ledger.Waiting(); p.up && own+held > 0 {
			b.fail("billed-exactly-once", "%s still has %d own bills and %d copies for others", p.member.ID, own, held)
		}
	}
	b.checkViolation()
}

// Guards against lost, repeated and mixed-up bills. After a complete answer, the entry or the
// process with the other copy of the bill is lost while the log is down, slow or loses its replies.
// Each answered request must have exactly one bill, with its own cost.
func TestReleasedRequestsAreBilledExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.SampledFrom([]int{4, 20, 100, 1000}).Draw(t, "bound")
		b := &billingMachine{fleet: newFleet(rapid.Uint64().Draw(t, "seed"), 3, 2, bound), t: t}
		t.Repeat(map[string]func(*rapid.T){
			"serve":  func(*rapid.T) { b.serve() },
			"serve2": func(*rapid.T) { b.serve() },
			"wait":   func(*rapid.T) { b.wait() },
			"wait2":  func(*rapid.T) { b.wait() },
			"lose":   func(*rapid.T) { b.crash() },
			"stop":   func(*rapid.T) { b.stopPlanned() },
			"pause":  func(*rapid.T) { b.pause() },
			"outage": func(*rapid.T) { b.toggleLog() },
			"answer": func(*rapid.T) { b.loseReplies() },
			"late":   func(*rapid.T) { b.delayAppends() },
			"":       func(*rapid.T) { b.checkViolation() },
		})
		b.settle()
	})
}

// Guards against repeated bills when the log stores an append but its reply is lost. A batcher that
// sent the batch again without reading the log first would store every such batch twice.
func TestLostAnswersPutNoBillOnTheLogTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 3, 1, 1000)
		for i := range 60 {
			f.request(f.processes[i%3], fmt.Sprintf("request-%d", i))
			f.lostReplies += rapid.IntRange(0, 1).Draw(t, "lose")
			f.advance(200)
		}
		f.advance(recoveryTime)
		if repeats := f.checkBilled(); repeats > 0 || f.violation != "" {
			t.Fatalf("lost-answer-is-read-back: %d repeated bills on the log; %s", repeats, f.violation)
		}
	})
}
