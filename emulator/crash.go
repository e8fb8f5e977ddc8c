package emulator

import (
	"fmt"
	"maps"
	"slices"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/placement"
	"github.com/parsleydeal/parsleydeal/quarantine"
)

const (
	// crashDelay is the time from the first byte to the crash of an endpoint, returnTime the time until
	// the endpoint is back.
	crashDelay = 70 * clock.Millis(1)
	returnTime = 1500 * clock.Millis(1)
	// maxAttempts is the number of endpoints to which a request is sent.
	maxAttempts = 3
	// maxHold is how long a request waits while another one tests a block of its prompt, and holdStep
	// the time after which it asks again.
	maxHold  = 1500 * clock.Millis(1)
	holdStep = 20 * clock.Millis(1)
	// evidenceInterval is the time between two reports about crashes.
	evidenceInterval = 20 * clock.Millis(1)
	// aliveInterval is the time between two signs of life of an answer that is streaming.
	aliveInterval = 250 * clock.Millis(1)
	// crashesToKnow crashes and knowTime later all entries must know a block.
	crashesToKnow = 5
	knowTime      = 3 * clock.Second
	// repeatDelay is the time from a failed request to its repeat.
	repeatDelay = 20 * clock.Millis(1)
	// crashBlock is the block on which endpoints crash.
	crashBlock = "crash"
)

// attempt is a request at an endpoint.
type attempt struct {
	request  *request
	target   *fleet.Endpoint
	endpoint *endpoint
	// number is the endpoint's incarnation that received the request.
	number int64
	work   *placement.Work
	watch  *quarantine.Attempt
	sentAt clock.Millis
	// sequence numbers the attempts of the simulation.
	sequence int
	ended    bool
}

func (a *attempt) incarnation() quarantine.Incarnation {
	return quarantine.Incarnation{Endpoint: a.target.ID, Number: a.number}
}

// repeats is what a request has in common with those that its caller sends in its place.
type repeats struct {
	// left is how often the caller will send it again, crashed the number of endpoints that crashed on it.
	left    int
	crashed int
}

// begin begins an attempt.
func (sim *simulation) begin(r *request, target *fleet.Endpoint, q placement.Query, now clock.Millis) *attempt {
	e := sim.endpoints[target.ID]
	a := &attempt{request: r, target: target, endpoint: e, number: e.incarnation, work: r.entry.selector.Begin(target, q), sentAt: now, sequence: sim.result.Sent}
	a.watch = r.entry.blocks.Begin(a.incarnation(), keysOf(r), false, now)
	r.entry.blocks.Sent(a.watch, now)
	e.running[a] = true
	r.attempts++
	if r.crashes {
		sim.result.Crashing++
		if sim.knownAt > 0 && now > sim.knownAt {
			sim.result.CrashingLate++
		}
	}
	return a
}

// end ends an attempt, once.
func (a *attempt) end(broken bool, now clock.Millis) {
	if a.ended {
		return
	}
	a.ended = true
	delete(a.endpoint.running, a)
	a.endpoint.outstanding--
	a.work.End()
	a.request.entry.blocks.End(a.watch, broken, now)
	a.request.entry.blocks.Release(a.request.id(), keysOf(a.request))
}

// scheduleAnswer has the endpoint send signs of life until the answer ends.
func (sim *simulation) scheduleAnswer(a *attempt, now, end clock.Millis) {
	for at := now + aliveInterval; at < end; at += aliveInterval {
		sim.schedule(at, func(now clock.Millis) {
			if !a.ended {
				a.request.entry.blocks.Alive(a.incarnation(), now)
			}
		})
	}
	sim.schedule(end, func(now clock.Millis) {
		if !a.ended {
			a.end(false, now)
			a.request.disconnect()
		}
	})
}

func (r *request) id() string { return fmt.Sprintf("%p", r) }

// keysOf returns what a request is known by. Its last block is its own, so that it stands for the content too.
func keysOf(r *request) *quarantine.Keys {
	var blocks []string
	for _, b := range r.blocks {
		blocks = append(blocks, b.ID)
	}
	return quarantine.NewKeys(blocks, func() [][]byte { return [][]byte{[]byte(r.blocks[len(r.blocks)-1].ID)} })
}

// admit asks the entry's register whether a request may be sent, and sends it later or refuses it if not.
func (sim *simulation) admit(r *request, q *placement.Query, now clock.Millis) bool {
	f, block, _ := r.entry.blocks.Admit(r.id(), keysOf(r), r.entry == sim.entries[0], now)
	switch f {
	case quarantine.Admitted:
		return true
	case quarantine.Test:
		q.Rendezvous = block
		return true
	case quarantine.Wait:
		if r.heldSince == 0 {
			r.heldSince = now
		}
		if now-r.heldSince < maxHold {
			sim.schedule(now+holdStep, func(now clock.Millis) { sim.send(r, now) })
			return false
		}
	}
	sim.refuse(r, now)
	return false
}

// down returns the endpoints that have crashed and are not back.
func (sim *simulation) down(now clock.Millis) (out map[string]bool) {
	for id, e := range sim.endpoints {
		if e.downUntil > now {
			if out == nil {
				out = make(map[string]bool)
			}
			out[id] = true
		}
	}
	return out
}

// crash ends an endpoint; the requests in progress there are sent elsewhere. It comes back later with
// nothing cached.
func (sim *simulation) crash(e *endpoint, by *request, now clock.Millis) {
	if e.downUntil > now {
		return
	}
	sim.result.Crashes++
	switch {
	case by.repeats != nil:
		by.repeats.crashed++
		sim.result.MostCrashes = max(sim.result.MostCrashes, by.repeats.crashed)
	case sim.result.Crashes == crashesToKnow:
		sim.knownAt = now + knowTime
	}
	broken := slices.SortedFunc(maps.Keys(e.running), func(a, b *attempt) int { return a.sequence - b.sequence })
	for _, a := range broken {
		a.end(true, now)
	}
	for _, a := range broken {
		a.request.entry.blocks.Crashed(a.incarnation(), now)
	}
	e.downUntil = now + returnTime
	e.incarnation++
	e.prefillFreeAt, e.answerEnds, e.outstanding = 0, nil, 0
	clear(e.lastUsed)
	clear(e.blockTokens)
	e.cachedTokens = 0
	for _, a := range broken {
		if a.request.attempts < maxAttempts {
			sim.send(a.request, now)
		} else {
			sim.refuse(a.request, now)
		}
	}
}

// generateCrashes starts the requests with a block on which endpoints crash that callers send in the
// millisecond now. They share their first block with others.
func (sim *simulation) generateCrashes(now clock.Millis) {
	seconds := float64(now) / float64(clock.Second)
	for _, c := range sim.load.Crashes {
		if seconds < c.From || seconds >= c.Until || sim.rnd.Float64() >= c.PerSecond/float64(clock.Second) {
			continue
		}
		k := sim.drawKind()
		r := &request{kind: k, entry: sim.drawEntry(now), crashes: true, startedAt: now}
		own := fmt.Sprintf("own/%s/%d", crashBlock, now)
		r.blocks = []placement.Block{{ID: fmt.Sprintf("%s/%d", k.Name, sim.rnd.IntN(k.Subjects)), Tokens: k.SharedTokens}}
		if c.Repeats > 0 {
			r.repeats = &repeats{left: c.Repeats}
		} else {
			r.blocks = append(r.blocks, placement.Block{ID: crashBlock, Tokens: k.SharedTokens})
		}
		r.blocks = append(r.blocks, placement.Block{ID: own, Tokens: k.OwnTokens})
		sim.send(r, now)
	}
}

// repeat has the caller of a request that got no answer send it again, at any entry.
func (sim *simulation) repeat(r *request, now clock.Millis) {
	if r.repeats == nil || r.repeats.left == 0 {
		return
	}
	r.repeats.left--
	again := &request{kind: r.kind, entry: sim.drawEntry(now), blocks: r.blocks, crashes: true, repeats: r.repeats, startedAt: now + repeatDelay}
	sim.schedule(again.startedAt, func(now clock.Millis) { sim.send(again, now) })
}

// exchangeEvidence sends each entry's evidence of crashes to all others.
func (sim *simulation) exchangeEvidence(now clock.Millis) {
	if len(sim.load.Crashes) == 0 || now%evidenceInterval != 0 {
		return
	}
	for _, e := range sim.entries {
		evidence := e.blocks.Report(quarantine.Scope{}, now)
		for _, peer := range sim.entries {
			if peer != e && !evidence.Empty() {
				peer.blocks.Receive(evidence, false, now)
			}
		}
		if now%(2*clock.Second) == 0 {
			e.blocks.Sweep(now)
		}
	}
}
