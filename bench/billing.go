package main

import (
	"fmt"
	"math/rand/v2"

	"github.com/parsleydeal/parsleydeal/batch"
	"github.com/parsleydeal/parsleydeal/bill"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

const (
	billingRate  = 6600.0 // bills a second of the whole fleet
	billingStep  = 10 * clock.Millis(1)
	billingSpan  = 10 * clock.Second
	billingWarm  = 2 * clock.Second
	billingPlace = 500 * clock.Millis(1)
	billingZones = 12
	billingLog   = 3 // steps of one append or read
	// billingBound is a bound small enough to reach; the outage it lasts grows
	// in proportion.
	billingBound = 1024
)

type billingNode struct {
	m       batch.Member
	place   *batch.Assignment
	ledger  *bill.Ledger
	batcher *batch.Batcher
}

type billingRun struct {
	rng   *rand.Rand
	now   clock.Millis
	nodes []*billingNode
	byID  map[string]*billingNode
	// due holds what happens at each step.
	due     map[clock.Millis][]func()
	down    bool
	n       int
	appends int
	bytes   int
	onLog   int
	holds   int
	refused int
	started map[string]clock.Millis
	waited  clock.Millis
	stored  int
}

func newBillingRun(nodes, bound int) *billingRun {
	r := &billingRun{rng: rand.New(rand.NewPCG(11, uint64(nodes))), byID: make(map[string]*billingNode), due: make(map[clock.Millis][]func()), started: make(map[string]clock.Millis)}
	zones := min(nodes, billingZones)
	var members []batch.Member
	for i := range nodes {
		z := i % zones
		region := z / 3
		members = append(members, batch.Member{ID: fmt.Sprintf("entry-%03d", i), Zone: fmt.Sprintf("zone-%02d", z), Region: fmt.Sprintf("region-%d", region), Entry: true})
	}
	for _, m := range members {
		n := &billingNode{m: m, place: batch.NewAssignment(m, members), ledger: bill.NewLedger(m.Zone, bound)}
		n.batcher = batch.NewBatcher(m.ID, n.place.AppendRate())
		r.nodes = append(r.nodes, n)
		r.byID[m.ID] = n
		r.post(n, bill.MembersChanged{Place: n.place})
	}
	return r
}

func (r *billingRun) after(steps int, f func()) {
	t := r.now + clock.Millis(steps)*billingStep
	r.due[t] = append(r.due[t], f)
}

func (r *billingRun) post(n *billingNode, e bill.Event) (a bill.ReplyHold) {
	for _, x := range n.ledger.Reduce(e) {
		switch x := x.(type) {
		case bill.Append:
			r.journal(n, batch.Add{Now: r.now, Entries: []batch.Entry{{ID: x.ID, Bill: x.Bill}}})
		case bill.Withdraw:
			r.journal(n, batch.Drop{IDs: x.IDs})
		case bill.Hold:
			r.hold(n, x)
		case bill.Release:
			to := r.byID[x.VM]
			r.after(1, func() { r.post(to, bill.Released{Requests: x.Requests}) })
		case bill.ReplyHold:
			a = x
		}
	}
	return a
}

func (r *billingRun) hold(n *billingNode, x bill.Hold) {
	r.holds++
	to := r.byID[x.VM]
	r.after(1, func() {
		a := r.post(to, bill.HoldRequested{Now: r.now, Zone: x.Zone, Keeper: n.m.ID, Bills: []*wire.Bill{x.Bill}})
		r.after(1, func() {
			r.post(n, bill.HoldReplied{Now: r.now, Request: x.Bill.GetRequest(), VM: x.VM, Held: a.Held})
		})
	})
}

func (r *billingRun) journal(n *billingNode, e batch.Event) {
	for _, x := range n.batcher.Reduce(e) {
		switch x := x.(type) {
		case batch.Append:
			r.appends++
			r.after(billingLog, func() { r.answer(n, x) })
		case batch.Scan:
			r.after(billingLog, func() { r.journal(n, batch.Scanned{Now: r.now}) })
		case batch.Done:
			r.post(n, bill.Stored{IDs: x.IDs})
		}
	}
}

func (r *billingRun) answer(n *billingNode, x batch.Append) {
	if r.down {
		r.journal(n, batch.Failed{Now: r.now, Batch: x.Batch})
		return
	}
	data, err := batch.Encode(x.Batch, x.Entries)
	if err != nil {
		panic(err)
	}
	r.bytes += len(data)
	r.onLog += len(x.Entries)
	for _, e := range x.Entries {
		if at, ok := r.started[e.Bill.GetRequest()]; ok {
			r.waited += r.now - at
			r.stored++
			delete(r.started, e.Bill.GetRequest())
		}
	}
	r.journal(n, batch.Appended{Now: r.now, Batch: x.Batch, Offset: int64(r.appends)})
}

func (r *billingRun) request() {
	n := r.nodes[r.rng.IntN(len(r.nodes))]
	if n.ledger.Reserve() != nil {
		r.refused++
		return
	}
	r.n++
	id := fmt.Sprintf("%08x-0000-4000-8000-%012x", r.n, r.n)
	r.started[id] = r.now
	r.post(n, bill.Finish{Now: r.now, Reserved: true, Bill: &wire.Bill{
		Request: id, Organisation: "registry-desk", Route: "dossier",
		Steps: []*wire.Step{{Attempt: 1, Version: "large@12", Vm: "endpoint-0417", Usage: &wire.Usage{InputTokens: 2100, OutputTokens: 270, CachedTokens: 1500}, Cost: 2619, Whole: true}},
	}})
}

func (r *billingRun) step() {
	r.now += billingStep
	for _, f := range r.due[r.now] {
		f()
	}
	delete(r.due, r.now)
	for range int(billingRate * float64(billingStep) / float64(clock.Second)) {
		r.request()
	}
	for _, n := range r.nodes {
		r.journal(n, batch.Tick{Now: r.now})
		if r.now%billingPlace == 0 {
			r.post(n, bill.Tick{Now: r.now})
		}
	}
}

func (r *billingRun) until(end clock.Millis) {
	for r.now < end {
		r.step()
	}
}

// benchBilling drives the ledgers and journals of whole fleets at the rate of
// the two-year target.
func benchBilling() (figures []Figure) {
	for _, nodes := range []int{3, 30, 380} {
		r := newBillingRun(nodes, bill.DefaultBound)
		r.until(billingWarm)
		r.appends, r.bytes, r.onLog, r.holds, r.waited, r.stored = 0, 0, 0, 0, 0, 0
		r.until(billingWarm + billingSpan)
		seconds := float64(billingSpan) / float64(clock.Second)
		name := fmt.Sprintf("billing/%d-entries/", nodes)
		figures = append(figures,
			Figure{name + "appends-per-second", float64(r.appends) / seconds},
			Figure{name + "bills-per-record", float64(r.onLog) / float64(r.appends)},
			Figure{name + "log-bytes-per-bill", float64(r.bytes) / float64(r.onLog)},
			Figure{name + "holds-per-bill", float64(r.holds) / (billingRate * seconds)},
			Figure{name + "mean-ms-to-log", float64(r.waited) / float64(r.stored)},
			Figure{name + "appenders", float64(r.nodes[0].place.AppenderCount())},
		)
	}
	return append(figures, outageFigures(30)...)
}

// outageFigures takes the log out and counts how long all work is taken.
func outageFigures(nodes int) []Figure {
	r := newBillingRun(nodes, billingBound)
	r.until(billingWarm)
	r.down = true
	begun := r.now
	for r.refused == 0 {
		r.step()
	}
	full := r.now - begun
	r.down = false
	back := r.now
	for most(r) > billingBound/10 && r.now < back+clock.Minute {
		r.step()
	}
	name := fmt.Sprintf("billing/outage-%d-entries-bound-%d/", nodes, billingBound)
	return []Figure{
		{name + "seconds-until-first-refusal", float64(full) / float64(clock.Second)},
		{name + "seconds-to-drain-after", float64(r.now-back) / float64(clock.Second)},
	}
}

// most returns the most bills that one node still keeps of its own.
func most(r *billingRun) (n int) {
	for _, node := range r.nodes {
		own, _ := node.ledger.Waiting()
		n = max(n, own)
	}
	return n
}
