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

// doorBound is small, so that attempts fall out of the endpoint's memory.
const doorBound = 6

// door is an endpoint with its real memory of attempts. A restart forgets all
// and begins a new epoch.
type door struct {
	vm     string
	epoch  uint64
	memory *answer.AttemptTracker
	kept   map[string]bool
}

func (d *door) restart() {
	d.epoch++
	d.memory, d.kept = answer.NewAttemptTracker(doorBound), make(map[string]bool)
}

// keeper is a process that makes claims: the real batcher and the real state.
type keeper struct {
	c        *calls
	batcher  *batch.Batcher
	state    *claim.State
	waiting  map[string]func(offset int64)
	pausedTo clock.Millis
}

// calls is the state machine of keyed calls that may not run twice.
type calls struct {
	*world
	t       *rapid.T
	doors   []*door
	keepers []*keeper
	n       int
	// runs counts how often each key's call ran.
	runs map[string]int
	// said holds the attempts of which a caller was told "not run".
	said   []string
	began  map[string]bool
	broken string
	served int
}

const claimStream = "claims-0"

func newCalls(t *rapid.T) *calls {
	c := &calls{world: newWorld(rapid.Uint64().Draw(t, "seed")), t: t, runs: make(map[string]int), began: make(map[string]bool)}
	for i := range 3 {
		d := &door{vm: fmt.Sprintf("endpoint-%d", i)}
		d.restart()
		c.doors = append(c.doors, d)
		c.boot(i)
	}
	return c
}

// boot starts an entry, in the place of the one that was there.
func (c *calls) boot(i int) {
	c.n++
	k := &keeper{c: c, batcher: batch.NewBatcher(fmt.Sprintf("entry-%d", c.n), 20), state: claim.NewState(0, claim.MaxKeys), waiting: make(map[string]func(int64))}
	if i == len(c.keepers) {
		c.keepers = append(c.keepers, k)
	} else {
		c.keepers[i] = k
	}
	k.tick()
}

func (k *keeper) alive() bool {
	for _, x := range k.c.keepers {
		if x == k {
			return true
		}
	}
	return false
}

// do runs something in the entry, after its pause, unless it is gone.
func (k *keeper) do(run func()) {
	if k.alive() && k.c.now < k.pausedTo {
		k.c.after(k.pausedTo-k.c.now, func() { k.do(run) })
		return
	}
	if k.alive() {
		run()
	}
}

func (k *keeper) tick() {
	if !k.alive() {
		return
	}
	k.do(func() { k.post(batch.Tick{Now: k.c.now}) })
	k.c.after(200, k.tick)
}

func (k *keeper) post(e batch.Event) {
	c := k.c
	for _, x := range k.batcher.Reduce(e) {
		switch x := x.(type) {
		case batch.Append:
			data, err := batch.Encode(x.Batch, x.Entries)
			if err != nil {
				panic(err)
			}
			c.append(claimStream, data, func(offset int64, unknown bool) {
				k.do(func() {
					if offset >= 0 {
						k.post(batch.Appended{Now: c.now, Batch: x.Batch, Offset: offset})
						return
					}
					k.post(batch.Failed{Now: c.now, Batch: x.Batch, Unknown: unknown})
				})
			})
		case batch.Scan:
			c.after(c.delay(30), func() {
				page, err := c.read(claimStream, x.From)
				k.do(func() { k.post(batch.Scanned{Now: c.now, Page: page, Err: err}) })
			})
		case batch.Done:
			for _, id := range x.IDs {
				if f := k.waiting[id]; f != nil {
					delete(k.waiting, id)
					f(x.Offset)
				}
			}
		}
	}
}

// call is one request with a key, at an entry.
type call struct {
	k       *keeper
	id, key string
	round   uint32
	attempt uint32
	rounds  int
}

func (c *calls) call() {
	c.n++
	k := c.keepers[rapid.IntRange(0, len(c.keepers)-1).Draw(c.t, "entry")]
	r := &call{k: k, id: fmt.Sprintf("request-%d", c.n), key: fmt.Sprintf("key-%d", rapid.IntRange(0, 4).Draw(c.t, "key"))}
	k.do(r.try)
}

// try makes the next attempt: a claim first.
func (r *call) try() {
	r.attempt++
	d := r.k.c.doors[r.k.c.rng.IntN(3)]
	r.claim(&wire.Claim{Key: []byte(r.key), Round: r.round + 1, Request: r.id, Attempt: r.attempt, Vm: d.vm, GateEpoch: d.epoch})
}

func (r *call) claim(x *wire.Claim) {
	k := r.k
	if r.rounds++; r.rounds > 6 {
		return
	}
	id := fmt.Sprintf("%s/%d/%d", r.id, r.attempt, x.GetRound())
	k.waiting[id] = func(offset int64) { r.look(x, offset) }
	k.post(batch.Add{Now: k.c.now, Entries: []batch.Entry{{ID: id, Claim: x}}})
}

// look reads the log past the claim and sees what stands.
func (r *call) look(x *wire.Claim, offset int64) {
	k, c := r.k, r.k.c
	for k.state.Next() <= offset {
		page, err := c.read(claimStream, k.state.Next())
		if err != nil {
			c.after(500, func() { k.do(func() { r.look(x, offset) }) })
			return
		}
		for _, rec := range page.Records {
			k.state.Apply(rec.Offset, rec.Data)
		}
	}
	s, at, ok := k.state.Holder(x.GetKey())
	if !ok {
		c.broken = "at-most-once: a claim on the log does not stand and nothing else does"
		return
	}
	// The caller's goroutine may be slow to hear of it.
	c.after(c.delay(400), func() { k.do(func() { r.judge(x, s, at) }) })
}

func (r *call) judge(x, s *wire.Claim, at int64) {
	switch claim.Decide(x, s, r.round > 0) {
	case claim.Won:
		r.round = x.GetRound()
		r.dispatch(x, at)
	case claim.NextRound:
		r.next(x, s)
	case claim.QueryHolder:
		r.ask(x, s, at)
	}
}

func (r *call) next(x, s *wire.Claim) {
	r.attempt++
	y := &wire.Claim{Key: x.GetKey(), Round: s.GetRound() + 1, Request: r.id, Attempt: r.attempt, Vm: x.GetVm(), GateEpoch: x.GetGateEpoch()}
	r.claim(y)
}

func nameOf(x *wire.Claim) string {
	return fmt.Sprintf("%s/%d", x.GetRequest(), x.GetAttempt())
}

func (c *calls) door(vm string) *door {
	for _, d := range c.doors {
		if d.vm == vm {
			return d
		}
	}
	return nil
}

// dispatch sends the attempt to its endpoint, which may hear of it late. The
// network may lose the answer.
func (r *call) dispatch(x *wire.Claim, at int64) {
	c := r.k.c
	c.after(c.delay(3000), func() {
		d, name := c.door(x.GetVm()), nameOf(x)
		a := answer.Attempt{Request: x.GetRequest(), Number: x.GetAttempt()}
		run, ok := refusal.NotRun, d.epoch == x.GetGateEpoch()
		if ok {
			run, ok = d.memory.Arrive(a, answer.Claim{Stream: claimStream, Offset: at})
		}
		full := c.rng.IntN(4) == 0
		if ok && full {
			d.memory.End(a)
		}
		if !ok || full {
			r.refused(name, run)
			return
		}
		if !d.memory.Dispatch(a) {
			return
		}
		c.after(c.delay(2000), func() { d.memory.End(a) })
		d.kept[name] = c.rng.IntN(2) == 0
		c.began[name] = true
		c.runs[r.key]++
		if c.runs[r.key] > 1 {
			c.broken = fmt.Sprintf("at-most-once: the call with %s ran twice, last as %s", r.key, name)
		}
	})
}

// refused is the gate's refusal: on "not run" the entry tries elsewhere.
func (r *call) refused(name string, run refusal.Run) {
	if run == refusal.NotRun {
		r.k.c.said = append(r.k.c.said, name)
		r.k.do(r.try)
	}
}

// ask asks the endpoint that stands to refuse its attempt for ever.
func (r *call) ask(x, s *wire.Claim, at int64) {
	c, k := r.k.c, r.k
	c.after(c.delay(200), func() {
		d, name := c.door(s.GetVm()), nameOf(s)
		reply := &wire.RefuseReply{Run: wire.RunState_RUN_UNKNOWN}
		run, _ := d.memory.Revoke(answer.Attempt{Request: s.GetRequest(), Number: s.GetAttempt()}, answer.Claim{Stream: claimStream, Offset: at})
		switch {
		case run == refusal.Ran:
			reply.Run, reply.Kept = wire.RunState_RUN_RAN, d.kept[name]
		case run == refusal.NotRun && d.epoch == s.GetGateEpoch():
			reply.Run = wire.RunState_RUN_NOT_RUN
		}
		c.after(c.delay(200), func() {
			k.do(func() {
				switch claim.DecideFromReply(reply) {
				case claim.NextRound:
					c.said = append(c.said, name)
					r.next(x, s)
				case claim.Replay:
					c.served++
				}
			})
		})
	})
}

// intact is invariants at-most-once and not-run-is-true.
func (c *calls) intact() {
	if c.broken != "" {
		c.t.Fatal(c.broken)
	}
	for _, name := range c.said {
		if c.began[name] {
			c.t.Fatalf("not-run-is-true: %s was said not to have run, and ran", name)
		}
	}
}

// A licence fee is posted with a key, the caller hears nothing and posts again
// at another entry, while entries pause and vanish, endpoints restart, and the
// log is out or loses answers. The service must not see the fee twice.
func TestKeyedCallRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCalls(t)
		t.Repeat(map[string]func(*rapid.T){
			"call":  func(*rapid.T) { c.call() },
			"call2": func(*rapid.T) { c.call() },
			"wait":  func(*rapid.T) { c.advance(clock.Millis(rapid.Int64Range(1, 5000).Draw(t, "millis"))) },
			"wait2": func(*rapid.T) { c.advance(clock.Millis(rapid.Int64Range(1, 500).Draw(t, "millis"))) },
			"pause": func(*rapid.T) {
				k := c.keepers[rapid.IntRange(0, 2).Draw(t, "entry")]
				k.pausedTo = c.now + clock.Millis(rapid.Int64Range(100, 20000).Draw(t, "pause"))
			},
			"crash":   func(*rapid.T) { c.boot(rapid.IntRange(0, 2).Draw(t, "entry")) },
			"restart": func(*rapid.T) { c.doors[rapid.IntRange(0, 2).Draw(t, "endpoint")].restart() },
			"outage":  func(*rapid.T) { c.down = !c.down },
			"lose":    func(*rapid.T) { c.lose++ },
			"late":    func(*rapid.T) { c.late++ },
			"":        func(*rapid.T) { c.intact() },
		})
		c.down = false
		c.advance(clock.Minute)
		c.intact()
	})
}

// The log keeps claims of more keys than a process remembers. The oldest falls
// out first, and memory stays within its bound.
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
				t.Fatalf("claims-are-bounded: %d keys are remembered, %d allowed", s.Keys(), bound)
			}
			if _, _, ok := s.Holder([]byte(last[max(0, len(last)-bound)])); !ok {
				t.Fatalf("claims-are-bounded: a key among the last %d claims fell out", bound)
			}
		}
	})
}
