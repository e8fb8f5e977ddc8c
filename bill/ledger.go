package bill

import (
	"slices"
	"strconv"
	"strings"

	"github.com/parsleydeal/parsleydeal/batch"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

const (
	// DefaultBound is the maximum number of its own bills that a process keeps until they are on
	// the log. A separate maximum of the same size applies to the bills that it holds for others.
	DefaultBound = 24 << 10
	// maxInitialHolds is how many processes are asked to hold a new bill before this process
	// appends the bill itself.
	maxInitialHolds = 2
	// maxHoldRequests is how many processes are asked in total for a bill that lost its holder, and
	// maxHoldRequestsPerCheck how many requests of this kind one check sends. In a long outage of
	// the log all ledgers are full, and unbounded requests would make up most of the traffic.
	maxHoldRequests         = 8
	maxHoldRequestsPerCheck = 64
	// HoldTimeout is the timeout of a hold request, and the age beyond which its reply is ignored.
	HoldTimeout = 400 * clock.Millis(1)
	// appendTimeout is the time after which the keeper of a bill appends it itself if the holder
	// has not confirmed that the bill is on the log.
	appendTimeout = 10 * clock.Second
)

// entry is one bill that waits for the log.
type entry struct {
	bill *wire.Bill
	// keeper is the process that made the bill, empty for this one.
	keeper string
	// zones are the availability zones in which other processes hold a copy.
	zones []string
	// requestedFrom lists the processes that were asked to hold a copy. Each may have one, so each
	// is notified when the bill is on the log.
	requestedFrom []string
	// holders are the processes in requestedFrom that confirmed that they hold a copy.
	holders []string
	// pending is the process that was asked last and has not replied, empty if there is none.
	pending string
	// requestedAt is when pending was asked.
	requestedAt clock.Millis
	// lastHeldAt is when the bill arrived or a holder last confirmed a copy.
	lastHeldAt clock.Millis
	// callerWaits is true while the last piece of the answer waits for Safe.
	callerWaits bool
	// queued is true once an Append effect of the bill has been returned.
	queued bool
	// merges counts the merges that added steps here. Copies at other processes lack these steps.
	merges int
}

func (x *entry) id() string { return x.bill.GetRequest() + "/" + strconv.Itoa(x.merges) }

// Ledger keeps bills until they are on the log. It is a reducer without a clock, I/O or a random
// source. Each bill is kept by the process that made it (the keeper) and by a holder in another
// availability zone, which appends it. The keeper appends the bill itself if the holder becomes
// unreachable or exceeds its time limit. A bill is lost only if both fail at once.
type Ledger struct {
	zone       string
	bound      int
	assignment *batch.Assignment
	// reserved counts the reservations of requests in progress.
	reserved int
	// entries holds bills by request: at most bound minus reserved that this process made, and at
	// most bound that it holds for others. No bill is evicted: at the bound, new requests and new
	// holds are refused.
	entries  map[string]*entry
	own      int
	draining bool
}

// NewLedger returns an empty ledger of a process in an availability zone. The bound is the maximum
// number of its own bills and, separately, of bills that it holds for others.
func NewLedger(zone string, bound int) *Ledger {
	return &Ledger{zone: zone, bound: bound, entries: make(map[string]*entry)}
}

// Reserve reserves room for a request's bill. It must be called before the request is dispatched:
// during an outage of the log the ledger fills up, and ErrFull must then mean that nothing has run.
func (l *Ledger) Reserve() (err error) {
	if l.own+l.reserved >= l.bound {
		return ErrFull.New("%d bills wait for the log", l.own)
	}
	l.reserved++
	return nil
}

// Cancel releases the reservation of a request for which nothing ran.
func (l *Ledger) Cancel() { l.reserved-- }

// Waiting returns how many bills the ledger keeps: its own, and those held for other processes.
func (l *Ledger) Waiting() (own, held int) { return l.own, len(l.entries) - l.own }

// Reserved returns the number of reservations of requests in progress.
func (l *Ledger) Reserved() int { return l.reserved }

// Replicated reports whether every bill in the ledger is held by two other live processes, so that
// this process can stop without losing any.
func (l *Ledger) Replicated() bool {
	for _, e := range l.entries {
		if l.otherCopies(e) < 2 {
			return false
		}
	}
	return true
}

// otherCopies counts the other live processes that have a copy.
func (l *Ledger) otherCopies(x *entry) (n int) {
	if x.keeper != "" && l.live(x.keeper) {
		n++
	}
	for _, vm := range x.holders {
		if l.live(vm) {
			n++
		}
	}
	return n
}

func (l *Ledger) find(vm string) (m batch.Member, ok bool) {
	if l.assignment == nil {
		return m, false
	}
	return l.assignment.Find(vm)
}

func (l *Ledger) live(vm string) bool {
	_, ok := l.find(vm)
	return ok
}

// Reduce applies one event and returns the effects in the order in which they must be performed.
func (l *Ledger) Reduce(ev Event) (effects []Effect) {
	switch e := ev.(type) {
	case Finish:
		return l.finish(e)
	case HoldReplied:
		return l.holdReplied(e)
	case HoldRequested:
		return l.holdRequested(e)
	case Stored:
		return l.stored(e)
	case Released:
		return l.released(e)
	case MembersChanged:
		l.assignment = e.Assignment
		return l.check(e.Now)
	case Tick:
		return l.check(e.Now)
	case Drain:
		l.draining = true
		return l.check(e.Now)
	}
	return nil
}

func (l *Ledger) finish(e Finish) (effects []Effect) {
	if e.Reserved {
		l.reserved--
	}
	if old, ok := l.entries[e.Bill.GetRequest()]; ok {
		return l.finishExisting(old, e)
	}
	x := &entry{bill: e.Bill, lastHeldAt: e.Now, callerWaits: true}
	l.entries[e.Bill.GetRequest()] = x
	l.own++
	return l.requestHold(x, maxInitialHolds, e.Now)
}

// finishExisting handles the Finish of a request whose bill the ledger already holds for an
// endpoint. The endpoint made that bill because it considered this process unreachable.
func (l *Ledger) finishExisting(x *entry, e Finish) (effects []Effect) {
	mergesBefore := x.merges
	x.callerWaits = true
	effects = l.merge(x, e.Bill)
	if x.merges == mergesBefore && l.otherCopies(x) > 0 {
		effects = append(effects, l.safe(x)...)
	}
	return effects
}

// merge adds steps to a bill in the ledger. Copies at other processes lack these steps, so this
// process appends the merged bill itself and ignores Released events for it.
func (l *Ledger) merge(x *entry, b *wire.Bill) (effects []Effect) {
	merged := Merge(x.bill, b)
	if len(merged.GetSteps()) != len(x.bill.GetSteps()) {
		x.bill = merged
		x.merges++
		x.queued = false
	}
	return l.queue(x)
}

// requestHold asks the next process to hold a bill, or appends the bill if maxRequests processes
// have been asked. The first process asked is an appender. Later ones are chosen from all
// processes, because if one appender is full, all of them are.
func (l *Ledger) requestHold(x *entry, maxRequests int, now clock.Millis) (effects []Effect) {
	if l.assignment == nil || len(x.requestedFrom) >= maxRequests {
		return l.queue(x)
	}
	zones, excludedVMs := l.excluded(x)
	selectHolder := l.assignment.Holder
	if len(x.requestedFrom) > 0 {
		selectHolder = l.assignment.FallbackHolder
	}
	m, ok := selectHolder(x.bill.GetRequest(), zones, excludedVMs)
	if !ok {
		return l.queue(x)
	}
	x.requestedFrom = append(x.requestedFrom, m.ID)
	x.pending = m.ID
	x.requestedAt = now
	h := Hold{VM: m.ID, Address: m.Address, Bill: x.bill, Zone: l.zone}
	if l.live(x.keeper) {
		h.Keeper = x.keeper
	}
	if l.transfers(x) {
		h.Zone = strings.Join(x.zones, " ")
	}
	return []Effect{h}
}

// transfers reports whether the next copy of a bill replaces the copy of this process, which is
// stopping.
func (l *Ledger) transfers(x *entry) bool { return l.draining && len(x.zones) > 0 }

// excluded returns the availability zones and VMs that must not hold a further copy: those that
// have one, and the zone of this process unless its copy is being replaced. A draining process
// excludes its own zone for the first holder too, because the answer is sent when only that holder
// and this process have copies.
func (l *Ledger) excluded(x *entry) (zones, vms []string) {
	zones = slices.Clone(x.zones)
	if !l.transfers(x) {
		zones = append(zones, l.zone)
	}
	return zones, append(slices.Clone(x.requestedFrom), x.keeper)
}

// queue returns the Append effect of a bill unless it has been returned before.
func (l *Ledger) queue(x *entry) (effects []Effect) {
	if x.queued {
		return nil
	}
	x.queued = true
	return []Effect{Append{ID: x.id(), Bill: x.bill}}
}

func (l *Ledger) holdReplied(e HoldReplied) (effects []Effect) {
	x, ok := l.entries[e.Request]
	if !ok || x.pending != e.VM {
		return nil
	}
	x.pending = ""
	// A reply that is processed late because this process was paused proves nothing: the holder may
	// have failed since, and the caller would get the last piece of the answer while only one
	// process has the bill.
	if !e.Held || e.Now-x.requestedAt > HoldTimeout {
		return l.requestHold(x, maxInitialHolds+len(x.holders), e.Now)
	}
	x.holders = append(x.holders, e.VM)
	x.lastHeldAt = e.Now
	if m, found := l.find(e.VM); found {
		x.zones = append(x.zones, m.Zone)
	}
	return l.safe(x)
}

func (l *Ledger) safe(x *entry) (effects []Effect) {
	if !x.callerWaits {
		return nil
	}
	x.callerWaits = false
	return []Effect{Safe{Request: x.bill.GetRequest()}}
}

// holdRequested holds bills of another process. It refuses those of a keeper in its own
// availability zone, as one failure of the zone would lose both copies.
func (l *Ledger) holdRequested(e HoldRequested) (effects []Effect) {
	switch {
	case l.draining:
		return []Effect{ReplyHold{Reason: "leaving"}}
	case e.Zone == l.zone:
		return []Effect{ReplyHold{Reason: "same availability zone"}}
	case len(l.entries)-l.own+len(e.Bills) > l.bound:
		return []Effect{ReplyHold{Reason: "full"}}
	}
	for _, b := range e.Bills {
		effects = append(effects, l.holdBill(e, b)...)
	}
	return append(effects, ReplyHold{Held: true})
}

func (l *Ledger) holdBill(e HoldRequested, b *wire.Bill) (effects []Effect) {
	if x, ok := l.entries[b.GetRequest()]; ok {
		return l.merge(x, b)
	}
	x := &entry{bill: b, keeper: e.Keeper, zones: []string{e.Zone}, lastHeldAt: e.Now}
	l.entries[b.GetRequest()] = x
	return l.queue(x)
}

// stored removes bills that are on the log and releases the copies at other processes.
func (l *Ledger) stored(e Stored) (effects []Effect) {
	requestsByVM := make(map[string][]string)
	var order []string
	for _, id := range e.IDs {
		request := id[:strings.LastIndexByte(id, '/')]
		x, ok := l.entries[request]
		if !ok || x.id() != id {
			continue
		}
		effects = append(effects, l.safe(x)...)
		for _, vm := range x.possibleHolders() {
			if len(requestsByVM[vm]) == 0 {
				order = append(order, vm)
			}
			requestsByVM[vm] = append(requestsByVM[vm], request)
		}
		l.drop(request, x)
	}
	for _, vm := range order {
		effects = append(effects, Release{VM: vm, Requests: requestsByVM[vm]})
	}
	return effects
}

// possibleHolders lists the processes that may have a copy.
func (x *entry) possibleHolders() []string {
	if x.keeper == "" {
		return x.requestedFrom
	}
	return append(slices.Clone(x.requestedFrom), x.keeper)
}

func (l *Ledger) drop(request string, x *entry) {
	delete(l.entries, request)
	if x.keeper == "" {
		l.own--
	}
}

func (l *Ledger) released(e Released) (effects []Effect) {
	var queued []string
	for _, request := range e.Requests {
		x, ok := l.entries[request]
		if !ok || x.merges > 0 {
			continue
		}
		if x.queued {
			queued = append(queued, x.id())
		}
		effects = append(effects, l.safe(x)...)
		l.drop(request, x)
	}
	if len(queued) > 0 {
		effects = append(effects, Withdraw{IDs: queued})
	}
	return effects
}

// check queues the due bills for the log: those whose holders failed or have not had them appended
// within appendTimeout and, while this process drains, those without two copies elsewhere. It also
// asks another process to hold a due bill that has no copy elsewhere, and while draining any due
// bill, for at most maxHoldRequestsPerCheck bills.
func (l *Ledger) check(now clock.Millis) (effects []Effect) {
	holdRequests := 0
	for _, request := range l.due(now) {
		x := l.entries[request]
		effects = append(effects, l.queue(x)...)
		if holdRequests < maxHoldRequestsPerCheck && (l.otherCopies(x) == 0 || l.draining) {
			holdRequests++
			effects = append(effects, l.requestHold(x, maxHoldRequests, now)...)
		}
	}
	return effects
}
