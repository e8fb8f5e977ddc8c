package proof

import (
	"fmt"
	"testing"

	"github.com/parsleydeal/parsleydeal/answer"
	"github.com/parsleydeal/parsleydeal/batch"
	"github.com/parsleydeal/parsleydeal/claim"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
	"pgregory.net/rapid"
)

// trackerBound is the number of attempts that an endpoint's tracker retains. It is small, so that
// the tracker evicts attempts.
const trackerBound = 6

// endpoint is an endpoint with the production attempt tracker. A restart clears the tracker and
// increments the epoch.
type endpoint struct {
	vm       string
	epoch    uint64
	tracker  *answer.AttemptTracker
	retained map[string]bool
}

func (ep *endpoint) restart() {
	ep.epoch++
	ep.tracker, ep.retained = answer.NewAttemptTracker(trackerBound), make(map[string]bool)
}

// claimer is an entry that makes claims, with the production batcher and claim state.
type claimer struct {
	machine  *callMachine
	batcher  *batch.Batcher
	state    *claim.State
	waiting  map[string]func(offset int64)
	pausedTo clock.Millis
}

// callMachine is the state machine for calls with an idempotency key, which must run at most once.
type callMachine struct {
	*simulation
	t         *rapid.T
	endpoints []*endpoint
	claimers  []*claimer
	lastID    int
	// runs counts the runs of calls by key.
	runs map[string]int
	// notRun names the attempts that were reported to an entry as not run.
	notRun    []string
	started   map[string]bool
	violation string
	replayed  int
}

const claimStream = "claims-0"

func newCallMachine(t *rapid.T) *callMachine {
	c := &callMachine{simulation: newSimulation(rapid.Uint64().Draw(t, "seed")), t: t, runs: make(map[string]int), started: make(map[string]bool)}
	for i := range 3 {
		ep := &endpoint{vm: fmt.Sprintf("endpoint-%d", i)}
		ep.restart()
		c.endpoints = append(c.endpoints, ep)
		c.startEntry(i)
	}
	return c
}

// startEntry starts an entry at index i in place of the one that was there.
func (c *callMachine) startEntry(i int) {
	c.lastID++
	cl := &claimer{machine: c, batcher: batch.NewBatcher(fmt.Sprintf("entry-%d", c.lastID), 20), state: claim.NewState(0, claim.MaxKeys), waiting: make(map[string]func(int64))}
	if i == len(c.claimers) {
		c.claimers = append(c.claimers, cl)
	} else {
		c.claimers[i] = cl
	}
	cl.tick()
}

// current reports whether the entry is still running, that is, no other entry has replaced it.
func (cl *claimer) current() bool {
	for _, x := range cl.machine.claimers {
		if x == cl {
			return true
		}
	}
	return false
}

// do runs a function in the entry, after its pause if it is paused, or never if the entry has been
// replaced.
func (cl *claimer) do(run func()) {
	if cl.current() && cl.machine.now < cl.pausedTo {
		cl.machine.after(cl.pausedTo-cl.machine.now, func() { cl.do(run) })
		return
	}
	if cl.current() {
		run()
	}
}

func (cl *claimer) tick() {
	if !cl.current() {
		return
	}
	cl.do(func() { cl.updateBatcher(batch.Tick{Now: cl.machine.now}) })
	cl.machine.after(200, cl.tick)
}

func (cl *claimer) updateBatcher(e batch.Event) {
	c := cl.machine
	for _, x := range cl.batcher.Reduce(e) {
		switch x := x.(type) {
		case batch.Append:
			data, err := batch.Encode(x.Batch, x.Entries)
			if err != nil {
				panic(err)
			}
			c.append(claimStream, data, func(offset int64, unknown bool) {
				cl.do(func() {
					if offset >= 0 {
						cl.updateBatcher(batch.Appended{Now: c.now, Batch: x.Batch, Offset: offset})
						return
					}
					cl.updateBatcher(batch.Failed{Now: c.now, Batch: x.Batch, Unknown: unknown})
				})
			})
		case batch.Scan:
			c.after(c.delay(30), func() {
				page, err := c.read(claimStream, x.From)
				cl.do(func() { cl.updateBatcher(batch.Scanned{Now: c.now, Page: page, Err: err}) })
			})
		case batch.Done:
			for _, id := range x.IDs {
				if f := cl.waiting[id]; f != nil {
					delete(cl.waiting, id)
					f(x.Offset)
				}
			}
		}
	}
}

// call is one request with a key at an entry.
type call struct {
	claimer *claimer
	id, key string
	round   uint32
	attempt uint32
	claims  int
}

func (c *callMachine) newCall() {
	c.lastID++
	cl := c.claimers[rapid.IntRange(0, len(c.claimers)-1).Draw(c.t, "entry")]
	r := &call{claimer: cl, id: fmt.Sprintf("request-%d", c.lastID), key: fmt.Sprintf("key-%d", rapid.IntRange(0, 4).Draw(c.t, "key"))}
	cl.do(r.try)
}

// try starts the next attempt: it claims the key for it.
func (r *call) try() {
	r.attempt++
	ep := r.claimer.machine.endpoints[r.claimer.machine.rng.IntN(3)]
	r.claim(&wire.Claim{Key: []byte(r.key), Round: r.round + 1, Request: r.id, Attempt: r.attempt, Vm: ep.vm, GateEpoch: ep.epoch})
}

func (r *call) claim(x *wire.Claim) {
	cl := r.claimer
	if r.claims++; r.claims > 6 {
		return
	}
	id := fmt.Sprintf("%s/%d/%d", r.id, r.attempt, x.GetRound())
	cl.waiting[id] = func(offset int64) { r.readClaims(x, offset) }
	cl.updateBatcher(batch.Add{Now: cl.machine.now, Entries: []batch.Entry{{ID: id, Claim: x}}})
}

// readClaims reads the log up to the request's claim at offset, looks up which claim holds the key
// and decides how to continue.
func (r *call) readClaims(x *wire.Claim, offset int64) {
	cl, c := r.claimer, r.claimer.machine
	for cl.state.Next() <= offset {
		page, err := c.read(claimStream, cl.state.Next())
		if err != nil {
			c.after(500, func() { cl.do(func() { r.readClaims(x, offset) }) })
			return
		}
		for _, rec := range page.Records {
			cl.state.Apply(rec.Offset, rec.Data)
		}
	}
	holder, at, ok := cl.state.Holder(x.GetKey())
	if !ok {
		c.violation = "at-most-once: the key has a claim on the log but no holder"
		return
	}
	// The goroutine that continues the call may be slow to run.
	c.after(c.delay(400), func() { cl.do(func() { r.decide(x, holder, at) }) })
}

func (r *call) decide(x, holder *wire.Claim, at int64) {
	switch claim.Decide(x, holder, r.round > 0) {
	case claim.Won:
		r.round = x.GetRound()
		r.dispatch(x, at)
	case claim.NextRound:
		r.nextRound(x, holder)
	case claim.QueryHolder:
		r.revokeHolder(x, holder, at)
	}
}

func (r *call) nextRound(x, holder *wire.Claim) {
	r.attempt++
	newClaim := &wire.Claim{Key: x.GetKey(), Round: holder.GetRound() + 1, Request: r.id, Attempt: r.attempt, Vm: x.GetVm(), GateEpoch: x.GetGateEpoch()}
	r.claim(newClaim)
}

func attemptName(x *wire.Claim) string {
	return fmt.Sprintf("%s/%d", x.GetRequest(), x.GetAttempt())
}

func (c *callMachine) findEndpoint(vm string) *endpoint {
	for _, ep := range c.endpoints {
		if ep.vm == vm {
			return ep
		}
	}
	return nil
}

// dispatch sends the attempt to its endpoint, which may receive it late. If the endpoint runs it,
// the entry never gets the reply.
func (r *call) dispatch(x *wire.Claim, at int64) {
	c := r.claimer.machine
	c.after(c.delay(3000), func() {
		ep, name := c.findEndpoint(x.GetVm()), attemptName(x)
		a := answer.Attempt{Request: x.GetRequest(), Number: x.GetAttempt()}
		run, ok := refusal.NotRun, ep.epoch == x.GetGateEpoch()
		if ok {
			run, ok = ep.tracker.Arrive(a, answer.Claim{Stream: claimStream, Offset: at})
		}
		gateFull := c.rng.IntN(4) == 0
		if ok && gateFull {
			ep.tracker.End(a)
		}
		if !ok || gateFull {
			r.handleRefusal(name, run)
			return
		}
		if !ep.tracker.Dispatch(a) {
			return
		}
		c.after(c.delay(2000), func() { ep.tracker.End(a) })
		ep.retained[name] = c.rng.IntN(2) == 0
		c.started[name] = true
		c.runs[r.key]++
		if c.runs[r.key] > 1 {
			c.violation = fmt.Sprintf("at-most-once: the call with key %s ran twice, last in attempt %s", r.key, name)
		}
	})
}

// handleRefusal handles a refusal by the endpoint: if the attempt did not run, the entry makes
// another attempt.
func (r *call) handleRefusal(name string, run refusal.Run) {
	if run == refusal.NotRun {
		r.claimer.machine.notRun = append(r.claimer.machine.notRun, name)
		r.claimer.do(r.try)
	}
}

// revokeHolder revokes the attempt whose claim holds the key: its endpoint will no longer run it.
// The reply of the endpoint decides how the call continues.
func (r *call) revokeHolder(x, holder *wire.Claim, at int64) {
	c, cl := r.claimer.machine, r.claimer
	c.after(c.delay(200), func() {
		ep, name := c.findEndpoint(holder.GetVm()), attemptName(holder)
		reply := &wire.RefuseReply{Run: wire.RunState_RUN_UNKNOWN}
		run, _ := ep.tracker.Revoke(answer.Attempt{Request: holder.GetRequest(), Number: holder.GetAttempt()}, answer.Claim{Stream: claimStream, Offset: at})
		switch {
		case run == refusal.Ran:
			reply.Run, reply.Kept = wire.RunState_RUN_RAN, ep.retained[name]
		case run == refusal.NotRun && ep.epoch == holder.GetGateEpoch():
			reply.Run = wire.RunState_RUN_NOT_RUN
		}
		c.after(c.delay(200), func() {
			cl.do(func() {
				switch claim.DecideFromReply(reply) {
				case claim.NextRound:
					c.notRun = append(c.notRun, name)
					r.nextRound(x, holder)
				case claim.Replay:
					c.replayed++
				}
			})
		})
	})
}

// checkInvariants checks the invariants at-most-once and not-run-is-true.
func (c *callMachine) checkInvariants() {
	if c.violation != "" {
		c.t.Fatal(c.violation)
	}
	for _, name := range c.notRun {
		if c.started[name] {
			c.t.Fatalf("not-run-is-true: attempt %s was reported as not run, but ran", name)
		}
	}
}

// Guards against a call with an idempotency key, such as the payment of a fee, that runs twice. The
// caller gets no reply and repeats the call at another entry, while entries pause or crash,
// endpoints restart, and the log is down or loses replies.
func TestKeyedCallRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCallMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"call":  func(*rapid.T) { c.newCall() },
			"call2": func(*rapid.T) { c.newCall() },
			"wait":  func(*rapid.T) { c.advance(clock.Millis(rapid.Int64Range(1, 5000).Draw(t, "millis"))) },
			"wait2": func(*rapid.T) { c.advance(clock.Millis(rapid.Int64Range(1, 500).Draw(t, "millis"))) },
			"pause": func(*rapid.T) {
				cl := c.claimers[rapid.IntRange(0, 2).Draw(t, "entry")]
				cl.pausedTo = c.now + clock.Millis(rapid.Int64Range(100, 20000).Draw(t, "pause"))
			},
			"crash":   func(*rapid.T) { c.startEntry(rapid.IntRange(0, 2).Draw(t, "entry")) },
			"restart": func(*rapid.T) { c.endpoints[rapid.IntRange(0, 2).Draw(t, "endpoint")].restart() },
			"outage":  func(*rapid.T) { c.logDown = !c.logDown },
			"lose":    func(*rapid.T) { c.lostReplies++ },
			"late":    func(*rapid.T) { c.delayedAppends++ },
			"":        func(*rapid.T) { c.checkInvariants() },
		})
		c.logDown = false
		c.advance(clock.Minute)
		c.checkInvariants()
	})
}

// The log has claims of more keys than a process may retain. The process must evict keys, as its
// memory would otherwise grow without bound, but not the keys of the latest claims.
func TestClaimsAreBounded(t *testing.T) {
	const bound = 8
	rapid.Check(t, func(t *rapid.T) {
		s := claim.NewState(0, bound)
		rounds := make(map[string]uint32)
		var last []string
		for o := range rapid.IntRange(1, 200).Draw(t, "claims") {
			key := fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "key"))
			rounds[key]++
			data, err := batch.Encode("b", []batch.Entry{{Claim: &wire.Claim{Key: []byte(key), Round: rounds[key]}}})
			if err != nil {
				t.Fatal(err)
			}
			s.Apply(int64(o), data)
			last = append(last, key)
			if s.Keys() > bound {
				t.Fatalf("claims-are-bounded: %d keys are retained, %d allowed", s.Keys(), bound)
			}
			if _, _, ok := s.Holder([]byte(last[max(0, len(last)-bound)])); !ok {
				t.Fatalf("claims-are-bounded: a key among the last %d claims was evicted", bound)
			}
		}
	})
}
