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
	billingRate           = 6600.0 // bills per second of the whole fleet
	billingStep           = 10 * clock.Millis(1)
	billingDuration       = 10 * clock.Second
	billingWarmUp         = 2 * clock.Second
	billingAssignInterval = 500 * clock.Millis(1)
	billingZones          = 12
	billingLogSteps       = 3 // duration of one append or read, in units of billingStep
	// outageLedgerBound bounds the waiting bills of one ledger in outageFigures. It is small so
	// that the fleet soon refuses requests; the time until then is proportional to the bound.
	outageLedgerBound = 1024
)

type billingNode struct {
	member     batch.Member
	assignment *batch.Assignment
	ledger     *bill.Ledger
	batcher    *batch.Batcher
}

type billingRun struct {
	rng   *rand.Rand
	now   clock.Millis
	nodes []*billingNode
	byID  map[string]*billingNode
	// events holds the functions to run at each time.
	events     map[clock.Millis][]func()
	logDown    bool
	requests   int
	appends    int
	logBytes   int
	billsOnLog int
	holds      int
	refused    int
	startedAt  map[string]clock.Millis
	totalWait  clock.Millis
	stored     int
}

func newBillingRun(nodes, bound int) *billingRun {
	r := &billingRun{rng: rand.New(rand.NewPCG(11, uint64(nodes))), byID: make(map[string]*billingNode), events: make(map[clock.Millis][]func()), startedAt: make(map[string]clock.Millis)}
	zones := min(nodes, billingZones)
	var members []batch.Member
	for i := range nodes {
		z := i % zones
		region := z / 3
		members = append(members, batch.Member{ID: fmt.Sprintf("entry-%03d", i), Zone: fmt.Sprintf("zone-%02d", z), Region: fmt.Sprintf("region-%d", region), Entry: true})
	}
	for _, m := range members {
		n := &billingNode{member: m, assignment: batch.NewAssignment(m, members), ledger: bill.NewLedger(m.Zone, bound)}
		n.batcher = batch.NewBatcher(m.ID, n.assignment.AppendRate())
		r.nodes = append(r.nodes, n)
		r.byID[m.ID] = n
		r.updateLedger(n, bill.MembersChanged{Assignment: n.assignment})
	}
	return r
}

func (r *billingRun) after(steps int, f func()) {
	t := r.now + clock.Millis(steps)*billingStep
	r.events[t] = append(r.events[t], f)
}

func (r *billingRun) updateLedger(n *billingNode, e bill.Event) (reply bill.ReplyHold) {
	for _, x := range n.ledger.Reduce(e) {
		switch x := x.(type) {
		case bill.Append:
			r.updateBatcher(n, batch.Add{Now: r.now, Entries: []batch.Entry{{ID: x.ID, Bill: x.Bill}}})
		case bill.Withdraw:
			r.updateBatcher(n, batch.Drop{IDs: x.IDs})
		case bill.Hold:
			r.hold(n, x)
		case bill.Release:
			to := r.byID[x.VM]
			r.after(1, func() { r.updateLedger(to, bill.Released{Requests: x.Requests}) })
		case bill.ReplyHold:
			reply = x
		}
	}
	return reply
}

func (r *billingRun) hold(n *billingNode, x bill.Hold) {
	r.holds++
	to := r.byID[x.VM]
	r.after(1, func() {
		reply := r.updateLedger(to, bill.HoldRequested{Now: r.now, Zone: x.Zone, Keeper: n.member.ID, Bills: []*wire.Bill{x.Bill}})
		r.after(1, func() {
			r.updateLedger(n, bill.HoldReplied{Now: r.now, Request: x.Bill.GetRequest(), VM: x.VM, Held: reply.Held})
		})
	})
}

func (r *billingRun) updateBatcher(n *billingNode, e batch.Event) {
	for _, x := range n.batcher.Reduce(e) {
		switch x := x.(type) {
		case batch.Append:
			r.appends++
			r.after(billingLogSteps, func() { r.finishAppend(n, x) })
		case batch.Scan:
			r.after(billingLogSteps, func() { r.updateBatcher(n, batch.Scanned{Now: r.now}) })
		case batch.Done:
			r.updateLedger(n, bill.Stored{IDs: x.IDs})
		}
	}
}

func (r *billingRun) finishAppend(n *billingNode, x batch.Append) {
	if r.logDown {
		r.updateBatcher(n, batch.Failed{Now: r.now, Batch: x.Batch})
		return
	}
	data, err := batch.Encode(x.Batch, x.Entries)
	if err != nil {
		panic(err)
	}
	r.logBytes += len(data)
	r.billsOnLog += len(x.Entries)
	for _, e := range x.Entries {
		if at, ok := r.startedAt[e.Bill.GetRequest()]; ok {
			r.totalWait += r.now - at
			r.stored++
			delete(r.startedAt, e.Bill.GetRequest())
		}
	}
	r.updateBatcher(n, batch.Appended{Now: r.now, Batch: x.Batch, Offset: int64(r.appends)})
}

func (r *billingRun) request() {
	n := r.nodes[r.rng.IntN(len(r.nodes))]
	if n.ledger.Reserve() != nil {
		r.refused++
		return
	}
	r.requests++
	id := fmt.Sprintf("%08x-0000-4000-8000-%012x", r.requests, r.requests)
	r.startedAt[id] = r.now
	r.updateLedger(n, bill.Finish{Now: r.now, Reserved: true, Bill: &wire.Bill{
		Request: id, Organisation: "registry-desk", Route: "dossier",
		Steps: []*wire.Step{{Attempt: 1, Version: "large@12", Vm: "endpoint-0417", Usage: &wire.Usage{InputTokens: 2100, OutputTokens: 270, CachedTokens: 1500}, Cost: 2619, Whole: true}},
	}})
}

func (r *billingRun) step() {
	r.now += billingStep
	for _, f := range r.events[r.now] {
		f()
	}
	delete(r.events, r.now)
	for range int(billingRate * float64(billingStep) / float64(clock.Second)) {
		r.request()
	}
	for _, n := range r.nodes {
		r.updateBatcher(n, batch.Tick{Now: r.now})
		if r.now%billingAssignInterval == 0 {
			r.updateLedger(n, bill.Tick{Now: r.now})
		}
	}
}

func (r *billingRun) runUntil(end clock.Millis) {
	for r.now < end {
		r.step()
	}
}

// benchBilling runs the ledgers and batchers of fleets of three sizes at billingRate.
func benchBilling() (figures []Figure) {
	for _, nodes := range []int{3, 30, 380} {
		r := newBillingRun(nodes, bill.DefaultBound)
		r.runUntil(billingWarmUp)
		r.appends, r.logBytes, r.billsOnLog, r.holds, r.totalWait, r.stored = 0, 0, 0, 0, 0, 0
		r.runUntil(billingWarmUp + billingDuration)
		seconds := float64(billingDuration) / float64(clock.Second)
		name := fmt.Sprintf("billing/%d-entries/", nodes)
		figures = append(figures,
			Figure{name + "appends-per-second", float64(r.appends) / seconds},
			Figure{name + "bills-per-record", float64(r.billsOnLog) / float64(r.appends)},
			Figure{name + "log-bytes-per-bill", float64(r.logBytes) / float64(r.billsOnLog)},
			Figure{name + "holds-per-bill", float64(r.holds) / (billingRate * seconds)},
			Figure{name + "mean-ms-to-log", float64(r.totalWait) / float64(r.stored)},
			Figure{name + "appenders", float64(r.nodes[0].assignment.AppenderCount())},
		)
	}
	return append(figures, outageFigures(30)...)
}

// outageFigures measures for how long a fleet accepts every request during an outage of the log,
// and after the outage how long it needs to write the waiting bills to the log.
func outageFigures(nodes int) []Figure {
	r := newBillingRun(nodes, outageLedgerBound)
	r.runUntil(billingWarmUp)
	r.logDown = true
	outageStart := r.now
	for r.refused == 0 {
		r.step()
	}
	untilRefusal := r.now - outageStart
	r.logDown = false
	restoredAt := r.now
	for maxOwnBills(r) > outageLedgerBound/10 && r.now < restoredAt+clock.Minute {
		r.step()
	}
	name := fmt.Sprintf("billing/outage-%d-entries-bound-%d/", nodes, outageLedgerBound)
	return []Figure{
		{name + "seconds-until-first-refusal", float64(untilRefusal) / float64(clock.Second)},
		{name + "seconds-to-drain-after", float64(r.now-restoredAt) / float64(clock.Second)},
	}
}

// maxOwnBills returns the largest number of bills of its own requests that one node still has to
// write to the log.
func maxOwnBills(r *billingRun) (n int) {
	for _, node := range r.nodes {
		own, _ := node.ledger.Waiting()
		n = max(n, own)
	}
	return n
}
