package node

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/parsleydeal/parsleydeal/batch"
	"github.com/parsleydeal/parsleydeal/bill"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/refusal"
)

const (
	assignmentInterval = 500 * clock.Millis(1)
	// fullRetryAfter is the retry delay sent to a caller that is refused because the ledger is
	// full.
	fullRetryAfter = 5 * clock.Second
	// settlePoll is the interval at which a stopping process checks whether its bills are safe.
	settlePoll = 20 * clock.Millis(1)
	// maxSafeWait limits how long the last piece of an answer waits until its bill is safe. The
	// limit is reached if no other process holds a copy and the log is unavailable.
	maxSafeWait = 5 * clock.Second
)

// Billing executes the effects of the ledger of bills: it sends copies to other processes,
// appends bills to the log and wakes the requests whose bills are safe. A bill is safe when it
// is held in two availability zones or is on the log. It is used by the goroutines that serve
// requests, not by control.
type Billing struct {
	n      *Node
	writer *batch.Writer

	mu     sync.Mutex
	ledger *bill.Ledger
	// waiters holds one channel for each call of Finish that waits, by request. A request has
	// several if its caller sent it again with the same key meanwhile. The channels are closed when
	// the bill is safe.
	waiters map[string][]chan struct{}
}

func newBilling(n *Node) *Billing {
	b := &Billing{n: n, ledger: bill.NewLedger(n.cfg.Settings.Zone, bill.DefaultBound), waiters: make(map[string][]chan struct{})}
	b.writer = batch.NewWriter(n.cfg.Store, provider.BillStream, n.batchPrefix(), 1, n.cfg.Clock, func(ids []string, _ int64) {
		b.post(bill.Stored{IDs: ids})
	})
	b.registerMetrics()
	return b
}

// batchPrefix is unique to this incarnation of the process, so that no two writers ever use the
// same batch ID.
func (n *Node) batchPrefix() string {
	return fmt.Sprintf("%s-%x", n.cfg.Settings.VM, n.epoch)
}

// Billing returns the process's billing.
func (n *Node) Billing() *Billing { return n.billing }

// BillingStatus is the state of the bills of a process as shown to operators.
type BillingStatus struct {
	// Own and Held are the numbers of bills of this and of other processes that wait for the log.
	// Reserved is the number of requests in progress that have reserved room for a bill. Bound
	// limits Own plus Reserved, and Held.
	Own      int  `json:"own"`
	Held     int  `json:"held"`
	Reserved int  `json:"reserved"`
	Bound    int  `json:"bound"`
	LogFails bool `json:"log-fails"`
	// Appends is the number of appends of bills that this process has tried.
	Appends int64 `json:"appends"`
}

// Status returns a BillingStatus.
func (b *Billing) Status() any {
	own, held := b.Waiting()
	b.mu.Lock()
	reserved := b.ledger.Reserved()
	b.mu.Unlock()
	return BillingStatus{Own: own, Held: held, Reserved: reserved, Bound: bill.DefaultBound, LogFails: b.writer.Failing(), Appends: b.writer.Appends()}
}

func (b *Billing) registerMetrics() {
	set := b.n.metrics
	set.NewGauge("parsleydeal_bills_own", func() float64 { own, _ := b.Waiting(); return float64(own) })
	set.NewGauge("parsleydeal_bills_held", func() float64 { _, held := b.Waiting(); return float64(held) })
	set.NewGauge("parsleydeal_bill_appends", func() float64 { return float64(b.writer.Appends()) })
	set.NewGauge("parsleydeal_bill_log_failing", func() float64 {
		if b.writer.Failing() {
			return 1
		}
		return 0
	})
}

func (b *Billing) run(ctx context.Context) {
	b.n.run(func() { b.writer.Run(ctx) })
	b.n.run(func() { b.n.every(ctx, assignmentInterval, b.refreshAssignment) })
}

// refreshAssignment recomputes the assignment from the live processes and passes it and the current
// time to the ledger.
func (b *Billing) refreshAssignment() {
	a := b.n.newAssignment()
	b.n.currentAssignment.Store(a)
	b.writer.SetRate(a.AppendRate())
	b.post(bill.MembersChanged{Now: b.n.cfg.Clock.Now(), Assignment: a})
}

// newAssignment computes from the current members which processes append bills and which hold
// copies.
func (n *Node) newAssignment() *batch.Assignment {
	s := n.cfg.Settings
	self := batch.Member{ID: s.VM, Zone: s.Zone, Region: s.Region}
	members := n.View().Members()
	var live []batch.Member
	for _, vm := range members.VMs() {
		// A suspected process counts as removed. The VM list shows the loss of a VM late or,
		// if the platform is unavailable, not at all; until then the bills whose copy it
		// holds would have no other copy.
		if members.Leaving(vm) || members.Suspected(vm.ID) {
			continue
		}
		live = append(live, batch.Member{ID: vm.ID, Zone: vm.Zone, Region: vm.Region, Address: vm.Address, Entry: vm.Role == provider.EntryRole})
	}
	return batch.NewAssignment(self, live)
}

// Reserve reserves room for the bill of a request, before its dispatch. If the ledger is full, it
// returns a refusal. The caller may retry safely, because a request that could not be billed is not
// started.
func (b *Billing) Reserve() (err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err = b.ledger.Reserve(); err != nil {
		return refusal.New(refusal.BillingFull, err.Error()).WithRetryAfter(fullRetryAfter)
	}
	return nil
}

// Cancel releases the reservation of a request that did not run.
func (b *Billing) Cancel() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Cancel()
}

// Finish records a bill and waits until it is safe, for at most maxSafeWait. Reserved is true if
// Reserve made room for it. If the wait or the context ends first, it returns the context's error;
// the bill is retained in both cases.
func (b *Billing) Finish(ctx context.Context, x *wire.Bill, reserved bool) (err error) {
	ctx, cancel := context.WithTimeout(ctx, maxSafeWait.Duration())
	defer cancel()
	safe := make(chan struct{})
	b.mu.Lock()
	b.waiters[x.GetRequest()] = append(b.waiters[x.GetRequest()], safe)
	b.mu.Unlock()
	b.post(bill.Finish{Now: b.n.cfg.Clock.Now(), Bill: x, Reserved: reserved})
	select {
	case <-safe:
		return nil
	case <-ctx.Done():
		b.mu.Lock()
		b.removeWaiter(x.GetRequest(), safe)
		b.mu.Unlock()
		return ctx.Err()
	}
}

// FinishFailed records the bill of a request that has a reservation and failed after a step
// had run. It does not wait.
func (b *Billing) FinishFailed(x *wire.Bill) {
	b.post(bill.Finish{Now: b.n.cfg.Clock.Now(), Bill: x, Reserved: true})
}

// FinishOrphaned records the bill of a step that ran at this endpoint and whose entry went away
// before it received the last piece. If the entry has billed the step after all, the two bills
// are merged.
func (b *Billing) FinishOrphaned(x *wire.Bill) {
	b.post(bill.Finish{Now: b.n.cfg.Clock.Now(), Bill: x})
}

// Waiting returns the numbers of bills of this and of other processes that wait for the log.
func (b *Billing) Waiting() (own, held int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Waiting()
}

// Drain starts to hand over the bills of this process and refuses to hold more for others.
func (b *Billing) Drain() { b.post(bill.Drain{Now: b.n.cfg.Clock.Now()}) }

// WaitSafe waits until no reservation is left and two other live processes have a copy of every
// bill that is not yet on the log. It returns the context's error if that ends first.
func (b *Billing) WaitSafe(ctx context.Context) (err error) {
	for {
		b.refreshAssignment()
		b.mu.Lock()
		safe := b.ledger.Replicated() && b.ledger.Reserved() == 0
		b.mu.Unlock()
		if safe {
			return nil
		}
		if !clock.Pause(ctx, settlePoll) {
			return ctx.Err()
		}
	}
}

// accept passes bills of another process to the ledger and returns whether it holds them.
func (b *Billing) accept(e bill.HoldRequested) (out bill.ReplyHold) {
	b.mu.Lock()
	effects := b.ledger.Reduce(e)
	b.mu.Unlock()
	for _, f := range effects {
		if x, ok := f.(bill.ReplyHold); ok {
			out = x
		}
	}
	b.perform(effects)
	return out
}

// post applies an event to the ledger and executes the effects.
func (b *Billing) post(e bill.Event) {
	b.mu.Lock()
	effects := b.ledger.Reduce(e)
	b.mu.Unlock()
	b.perform(effects)
}

func (b *Billing) perform(effects []bill.Effect) {
	var entries []batch.Entry
	for _, f := range effects {
		switch f := f.(type) {
		case bill.Append:
			entries = append(entries, batch.Entry{ID: f.ID, Bill: f.Bill})
		case bill.Hold:
			go b.sendHold(f)
		case bill.Release:
			go b.sendRelease(f)
		case bill.Withdraw:
			b.writer.Drop(f.IDs)
		case bill.Safe:
			b.wake(f.Request)
		}
	}
	if len(entries) > 0 {
		b.writer.Add(entries...)
	}
}

// wake wakes the callers of Finish for a request.
func (b *Billing) wake(request string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, safe := range b.waiters[request] {
		close(safe)
	}
	delete(b.waiters, request)
}

// removeWaiter removes a caller of Finish that stopped waiting.
func (b *Billing) removeWaiter(request string, safe chan struct{}) {
	remaining := slices.DeleteFunc(b.waiters[request], func(c chan struct{}) bool { return c == safe })
	if len(remaining) == 0 {
		delete(b.waiters, request)
		return
	}
	b.waiters[request] = remaining
}

// sendHold asks a process to hold a copy of a bill.
func (b *Billing) sendHold(f bill.Hold) {
	ctx, cancel := context.WithTimeout(context.Background(), bill.HoldTimeout.Duration())
	defer cancel()
	out, err := b.n.cfg.Peers.Peer(ctx, f.Address).HoldBills(ctx, &wire.HoldBillsRequest{
		From: b.n.cfg.Settings.VM, Zone: f.Zone, Bills: []*wire.Bill{f.Bill}, Revision: b.n.View().Revision(), Keeper: f.Keeper,
	})
	held := err == nil && out.GetHeld()
	if !held {
		b.n.cfg.Log.Debug("Peer did not accept a bill to hold", "by", f.VM, "request", f.Bill.GetRequest(), "reason", out.GetReason(), "error", err)
	}
	b.post(bill.HoldReplied{Now: b.n.cfg.Clock.Now(), Request: f.Bill.GetRequest(), VM: f.VM, Held: held})
}

// sendRelease reports to a process that bills are on the log. A lost message does no harm: the
// process that did not receive it appends the bill again, and the two bills are merged.
func (b *Billing) sendRelease(f bill.Release) {
	vm, ok := b.n.View().Members().Find(f.VM)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), bill.HoldTimeout.Duration())
	defer cancel()
	_, err := b.n.cfg.Peers.Peer(ctx, vm.Address).ReleaseBills(ctx, &wire.ReleaseBillsRequest{Requests: f.Requests, From: b.n.cfg.Settings.VM})
	if err != nil {
		b.n.cfg.Log.Debug("Could not send the release of bills to a peer", "by", f.VM, "error", err)
	}
}
