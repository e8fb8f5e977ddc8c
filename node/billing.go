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
	placeEvery = 500 * clock.Millis(1)
	// fullRetry is when a caller may come back after a refusal for full books.
	fullRetry = 5 * clock.Second
	// settlePoll is how often a stopping process looks at its bills.
	settlePoll = 20 * clock.Millis(1)
	// safeWait bounds how long a last piece waits for its bill when no process
	// holds it and the log is out.
	safeWait = 5 * clock.Second
)

// Billing is the shell of the ledger of bills: it asks holders, appends and
// wakes the requests whose bills are safe. Traffic uses it; control does not.
type Billing struct {
	n      *Node
	writer *batch.Writer

	mu     sync.Mutex
	ledger *bill.Ledger
	// waiters holds the channels of each request in Finish, several when a caller
	// asked again for a keyed request meanwhile; they close when the
	// bill is safe.
	waiters map[string][]chan struct{}
}

func newBilling(n *Node) *Billing {
	b := &Billing{n: n, ledger: bill.NewLedger(n.cfg.Settings.Zone, bill.DefaultBound), waiters: make(map[string][]chan struct{})}
	b.writer = batch.NewWriter(n.cfg.Store, provider.BillStream, n.batchPrefix(), 1, n.cfg.Clock, func(ids []string, _ int64) {
		b.post(bill.Stored{IDs: ids})
	})
	b.measure()
	return b
}

// batchPrefix names this start of this process, so that no two writers ever use
// one batch ID.
func (n *Node) batchPrefix() string {
	return fmt.Sprintf("%s-%x", n.cfg.Settings.VM, n.epoch)
}

// Billing returns the process's bills.
func (n *Node) Billing() *Billing { return n.billing }

// BillingStatus is what operators see of a process's bills.
type BillingStatus struct {
	// Own and Held are the bills that wait for the log, of this process and of
	// others; Reserved are places of requests under way.
	Own      int  `json:"own"`
	Held     int  `json:"held"`
	Reserved int  `json:"reserved"`
	Bound    int  `json:"bound"`
	LogFails bool `json:"log-fails"`
	// Appends counts the appends of bills that this process tried.
	Appends int64 `json:"appends"`
}

// Status returns the state of the process's bills.
func (b *Billing) Status() any {
	own, held := b.Waiting()
	b.mu.Lock()
	reserved := b.ledger.Reserved()
	b.mu.Unlock()
	return BillingStatus{Own: own, Held: held, Reserved: reserved, Bound: bill.DefaultBound, LogFails: b.writer.Failing(), Appends: b.writer.Appends()}
}

func (b *Billing) measure() {
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
	b.n.run(func() { b.n.every(ctx, placeEvery, b.place) })
}

// place tells the ledger who is there, and so also the time.
func (b *Billing) place() {
	p := b.n.place()
	b.n.placed.Store(p)
	b.writer.SetRate(p.AppendRate())
	b.post(bill.MembersChanged{Now: b.n.cfg.Clock.Now(), Place: p})
}

// place builds the picture of who appends and who holds.
func (n *Node) place() *batch.Assignment {
	s := n.cfg.Settings
	self := batch.Member{ID: s.VM, Zone: s.Zone, Region: s.Region}
	members := n.View().Members()
	var live []batch.Member
	for _, vm := range members.VMs() {
		// A suspected process counts as gone. The list shows a loss late or, when
		// the platform is out, not at all; until then its bills would be alone.
		if members.Leaving(vm) || members.Suspected(vm.ID) {
			continue
		}
		live = append(live, batch.Member{ID: vm.ID, Zone: vm.Zone, Region: vm.Region, Address: vm.Address, Entry: vm.Role == provider.EntryRole})
	}
	return batch.NewAssignment(self, live)
}

// Reserve takes a place for a request's bill before its dispatch. The refusal
// is true when it says that nothing ran: at the bound, work that could not be
// billed is not begun.
func (b *Billing) Reserve() (err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err = b.ledger.Reserve(); err != nil {
		return refusal.New(refusal.BillingFull, err.Error()).WithRetryAfter(fullRetry)
	}
	return nil
}

// Cancel gives back the place of a request that ran nothing.
func (b *Billing) Cancel() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Cancel()
}

// Finish hands over a bill, and waits until it is held in two availability
// zones or stands on the log. Reserved says that Reserve took its place. When
// the wait takes too long or the context ends, the bill is kept all the same.
func (b *Billing) Finish(ctx context.Context, x *wire.Bill, reserved bool) (err error) {
	ctx, cancel := context.WithTimeout(ctx, safeWait.Duration())
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
		b.forget(x.GetRequest(), safe)
		b.mu.Unlock()
		return ctx.Err()
	}
}

// FinishFailed hands over the bill of a request that has a place and failed after a
// step had run. It does not wait.
func (b *Billing) FinishFailed(x *wire.Bill) {
	b.post(bill.Finish{Now: b.n.cfg.Clock.Now(), Bill: x, Reserved: true})
}

// FinishOrphaned bills a step that ran at this endpoint and whose entry went before it
// took the last piece. If the entry billed the step after all, the two merge.
func (b *Billing) FinishOrphaned(x *wire.Bill) {
	b.post(bill.Finish{Now: b.n.cfg.Clock.Now(), Bill: x})
}

// Waiting returns how many bills of its own and of others the process keeps.
func (b *Billing) Waiting() (own, held int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Waiting()
}

// Drain begins to hand on what is kept and refuses to hold more.
func (b *Billing) Drain() { b.post(bill.Drain{Now: b.n.cfg.Clock.Now()}) }

// WaitSafe waits until every bill kept here is safe without this process. It
// returns the context's error when that ends first.
func (b *Billing) WaitSafe(ctx context.Context) (err error) {
	for {
		b.place()
		b.mu.Lock()
		secure := b.ledger.Replicated() && b.ledger.Reserved() == 0
		b.mu.Unlock()
		if secure {
			return nil
		}
		if !clock.Pause(ctx, settlePoll) {
			return ctx.Err()
		}
	}
}

func (b *Billing) take(e bill.HoldRequested) (a bill.ReplyHold) {
	b.mu.Lock()
	effects := b.ledger.Reduce(e)
	b.mu.Unlock()
	for _, f := range effects {
		if accept, ok := f.(bill.ReplyHold); ok {
			a = accept
		}
	}
	b.perform(effects)
	return a
}

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
			go b.hold(f)
		case bill.Release:
			go b.release(f)
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

func (b *Billing) wake(request string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, safe := range b.waiters[request] {
		close(safe)
	}
	delete(b.waiters, request)
}

// forget drops one who gave up waiting.
func (b *Billing) forget(request string, safe chan struct{}) {
	left := slices.DeleteFunc(b.waiters[request], func(c chan struct{}) bool { return c == safe })
	if len(left) == 0 {
		delete(b.waiters, request)
		return
	}
	b.waiters[request] = left
}

func (b *Billing) hold(f bill.Hold) {
	ctx, cancel := context.WithTimeout(context.Background(), bill.HoldTimeout.Duration())
	defer cancel()
	out, err := b.n.cfg.Peers.Peer(ctx, f.Address).HoldBills(ctx, &wire.HoldBillsRequest{
		From: b.n.cfg.Settings.VM, Zone: f.Zone, Bills: []*wire.Bill{f.Bill}, Revision: b.n.View().Revision(), Keeper: f.Keeper,
	})
	held := err == nil && out.GetHeld()
	if !held {
		b.n.cfg.Log.Debug("Bill was not held", "by", f.VM, "request", f.Bill.GetRequest(), "reason", out.GetReason(), "error", err)
	}
	b.post(bill.HoldReplied{Now: b.n.cfg.Clock.Now(), Request: f.Bill.GetRequest(), VM: f.VM, Held: held})
}

// release tells a process that bills are on the log. A lost message is made
// good by the keeper's takeover, which puts the bill on the log once more and
// merges into it.
func (b *Billing) release(f bill.Release) {
	vm, ok := b.n.View().Members().Find(f.VM)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), bill.HoldTimeout.Duration())
	defer cancel()
	_, err := b.n.cfg.Peers.Peer(ctx, vm.Address).ReleaseBills(ctx, &wire.ReleaseBillsRequest{Requests: f.Requests, From: b.n.cfg.Settings.VM})
	if err != nil {
		b.n.cfg.Log.Debug("Release was not heard", "by", f.VM, "error", err)
	}
}
