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
	// DefaultBound is how many bills of its own, and again how many of others,
	// a process keeps while they wait for the log.
	DefaultBound = 24 << 10
	// maxTries bounds the processes asked to hold one bill before the log
	// itself is the only way left.
	maxTries = 2
	// maxAsked bounds the processes asked for a bill that lost its holder, and
	// maxSeeks how many such bills ask in one round: in a long outage all books
	// are full, and asking without a bound would be most of the traffic.
	maxAsked = 8
	maxSeeks = 64
	// HoldTimeout is how long an answer of a holder is good.
	HoldTimeout = 400 * clock.Millis(1)
	// lateAfter is when the keeper of a bill appends it itself, because the
	// holder has not told that it did.
	lateAfter = 10 * clock.Second
)

// entry is one bill that waits for the log.
type entry struct {
	bill *wire.Bill
	// keeper is the process that made the bill; empty when it is this one.
	keeper string
	// zones are those in which others hold a copy.
	zones []string
	// asked are the processes that may hold a copy; they hear of the release.
	asked []string
	// holders are those of asked that said that they hold it.
	holders []string
	// pending is the process asked last that has not answered.
	pending string
	// askedAt is when it was asked.
	askedAt clock.Millis
	// since is when the bill came or was last held anew.
	since clock.Millis
	// waiting is true while a last piece waits for Safe.
	waiting bool
	// queued is true once the journal has the bill.
	queued bool
	// edition counts the unions made here; copies elsewhere are of the first.
	edition int
}

func (x *entry) id() string { return x.bill.GetRequest() + "/" + strconv.Itoa(x.edition) }

// Ledger keeps bills until they stand on the log. It is a reducer: no clock, no
// I/O, no random source. One bill is kept by the process that made it and by a
// holder in another availability zone, which appends it; the keeper appends it
// when the holder goes or is late. Both lost at once is the stated limit.
type Ledger struct {
	zone  string
	bound int
	place *batch.Assignment
	// reserved counts places of requests under way.
	reserved int
	// entries holds bills by request, own ones at most bound less reserved, and
	// others' at most bound. Nothing falls out: at the bound new work and new
	// holds are refused.
	entries  map[string]*entry
	own      int
	draining bool
}

// NewLedger makes an empty ledger of a process in a zone.
func NewLedger(zone string, bound int) *Ledger {
	return &Ledger{zone: zone, bound: bound, entries: make(map[string]*entry)}
}

// Reserve takes a place for a request's bill before the request is dispatched.
// In an outage of the log the places run out, and the refusal is still true
// when it says that nothing ran.
func (l *Ledger) Reserve() (err error) {
	if l.own+l.reserved >= l.bound {
		return ErrFull.New("%d bills wait for the log", l.own)
	}
	l.reserved++
	return nil
}

// Cancel gives back the place of a request that ran nothing.
func (l *Ledger) Cancel() { l.reserved-- }

// Waiting returns how many bills of its own and of others the process keeps.
func (l *Ledger) Waiting() (own, held int) { return l.own, len(l.entries) - l.own }

// Reserved returns the places of requests under way.
func (l *Ledger) Reserved() int { return l.reserved }

// Replicated reports whether every bill kept here is also safe without this
// process: on the log, or held by two others.
func (l *Ledger) Replicated() bool {
	for _, e := range l.entries {
		if l.others(e) < 2 {
			return false
		}
	}
	return true
}

// others counts the live processes beside this one that have a copy.
func (l *Ledger) others(x *entry) (n int) {
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
	if l.place == nil {
		return m, false
	}
	return l.place.Find(vm)
}

func (l *Ledger) live(vm string) bool {
	_, ok := l.find(vm)
	return ok
}

// Reduce takes one event and returns the effects in order.
func (l *Ledger) Reduce(ev Event) (effects []Effect) {
	switch e := ev.(type) {
	case Finish:
		return l.finish(e)
	case HoldReplied:
		return l.answered(e)
	case HoldRequested:
		return l.take(e)
	case Stored:
		return l.stored(e)
	case Released:
		return l.released(e)
	case MembersChanged:
		l.place = e.Place
		return l.look(e.Now)
	case Tick:
		return l.look(e.Now)
	case Drain:
		l.draining = true
		return l.look(e.Now)
	}
	return nil
}

func (l *Ledger) finish(e Finish) (effects []Effect) {
	if e.Reserved {
		l.reserved--
	}
	if old, ok := l.entries[e.Bill.GetRequest()]; ok {
		return l.finishAgain(old, e)
	}
	x := &entry{bill: e.Bill, since: e.Now, waiting: true}
	l.entries[e.Bill.GetRequest()] = x
	l.own++
	return l.seek(x, maxTries, e.Now)
}

// finishAgain finishes a bill of which a copy is kept here already: it came
// from an endpoint that took this process for gone.
func (l *Ledger) finishAgain(x *entry, e Finish) (effects []Effect) {
	edition := x.edition
	x.waiting = true
	effects = l.unite(x, e.Bill)
	if x.edition == edition && l.others(x) > 0 {
		effects = append(effects, l.safe(x)...)
	}
	return effects
}

// unite adds steps to a bill that is kept already. Copies elsewhere lack them,
// so the union goes to the log from here and their release does not count.
func (l *Ledger) unite(x *entry, b *wire.Bill) (effects []Effect) {
	merged := Merge(x.bill, b)
	if len(merged.GetSteps()) != len(x.bill.GetSteps()) {
		x.bill = merged
		x.edition++
		x.queued = false
	}
	return l.queue(x)
}

// seek asks the next process to hold a bill, or hands the bill to the journal
// when as many as allowed have been asked. The first to be asked is an
// appender; the next is any process, since full appenders are all full.
func (l *Ledger) seek(x *entry, most int, now clock.Millis) (effects []Effect) {
	if l.place == nil || len(x.asked) >= most {
		return l.queue(x)
	}
	zones, not := l.avoid(x)
	choose := l.place.Holder
	if len(x.asked) > 0 {
		choose = l.place.FallbackHolder
	}
	m, ok := choose(x.bill.GetRequest(), zones, not)
	if !ok {
		return l.queue(x)
	}
	x.asked = append(x.asked, m.ID)
	x.pending = m.ID
	x.askedAt = now
	h := Hold{VM: m.ID, Address: m.Address, Bill: x.bill, Zone: l.zone}
	if l.live(x.keeper) {
		h.Keeper = x.keeper
	}
	if l.handsOn(x) {
		h.Zone = strings.Join(x.zones, " ")
	}
	return []Effect{h}
}

// handsOn reports whether a further copy shall take the place of the one here,
// because this process goes.
func (l *Ledger) handsOn(x *entry) bool { return l.draining && len(x.zones) > 0 }

// avoid says where no further copy may go: where one stands, and to this
// process's own zone unless the copy here goes. The first holder of a process
// that drains is no exception, for the answer is released while both stand in
// one zone.
func (l *Ledger) avoid(x *entry) (zones, not []string) {
	zones = slices.Clone(x.zones)
	if !l.handsOn(x) {
		zones = append(zones, l.zone)
	}
	return zones, append(slices.Clone(x.asked), x.keeper)
}

// queue hands a bill to the journal once.
func (l *Ledger) queue(x *entry) (effects []Effect) {
	if x.queued {
		return nil
	}
	x.queued = true
	return []Effect{Append{ID: x.id(), Bill: x.bill}}
}

func (l *Ledger) answered(e HoldReplied) (effects []Effect) {
	x, ok := l.entries[e.Request]
	if !ok || x.pending != e.VM {
		return nil
	}
	x.pending = ""
	// An answer that this process took in late, because it was paused, says
	// nothing: the holder may be gone since, and the caller would get the last
	// piece while one process alone has the bill.
	if !e.Held || e.Now-x.askedAt > HoldTimeout {
		return l.seek(x, maxTries+len(x.holders), e.Now)
	}
	x.holders = append(x.holders, e.VM)
	x.since = e.Now
	if m, found := l.find(e.VM); found {
		x.zones = append(x.zones, m.Zone)
	}
	return l.safe(x)
}

func (l *Ledger) safe(x *entry) (effects []Effect) {
	if !x.waiting {
		return nil
	}
	x.waiting = false
	return []Effect{Safe{Request: x.bill.GetRequest()}}
}

// take holds bills of another process. A holder in the keeper's own zone would
// be lost with it, so it says no.
func (l *Ledger) take(e HoldRequested) (effects []Effect) {
	switch {
	case l.draining:
		return []Effect{ReplyHold{Reason: "leaving"}}
	case e.Zone == l.zone:
		return []Effect{ReplyHold{Reason: "same availability zone"}}
	case len(l.entries)-l.own+len(e.Bills) > l.bound:
		return []Effect{ReplyHold{Reason: "full"}}
	}
	for _, b := range e.Bills {
		effects = append(effects, l.hold(e, b)...)
	}
	return append(effects, ReplyHold{Held: true})
}

func (l *Ledger) hold(e HoldRequested, b *wire.Bill) (effects []Effect) {
	if x, ok := l.entries[b.GetRequest()]; ok {
		return l.unite(x, b)
	}
	x := &entry{bill: b, keeper: e.Keeper, zones: []string{e.Zone}, since: e.Now}
	l.entries[b.GetRequest()] = x
	return l.queue(x)
}

// stored drops bills that stand on the log and tells whoever keeps a copy.
func (l *Ledger) stored(e Stored) (effects []Effect) {
	tell := make(map[string][]string)
	var order []string
	for _, id := range e.IDs {
		request := id[:strings.LastIndexByte(id, '/')]
		x, ok := l.entries[request]
		if !ok || x.id() != id {
			continue
		}
		effects = append(effects, l.safe(x)...)
		for _, vm := range x.tell() {
			if len(tell[vm]) == 0 {
				order = append(order, vm)
			}
			tell[vm] = append(tell[vm], request)
		}
		l.drop(request, x)
	}
	for _, vm := range order {
		effects = append(effects, Release{VM: vm, Requests: tell[vm]})
	}
	return effects
}

// tell lists the processes that may keep a copy.
func (x *entry) tell() []string {
	if x.keeper == "" {
		return x.asked
	}
	return append(slices.Clone(x.asked), x.keeper)
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
		if !ok || x.edition > 0 {
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

// look takes over bills whose holder went or is late, seeks another holder for
// those that are alone, and hands bills on while this process drains.
func (l *Ledger) look(now clock.Millis) (effects []Effect) {
	seeks := 0
	for _, request := range l.due(now) {
		x := l.entries[request]
		effects = append(effects, l.queue(x)...)
		if seeks < maxSeeks && (l.others(x) == 0 || l.draining) {
			seeks++
			effects = append(effects, l.seek(x, maxAsked, now)...)
		}
	}
	return effects
}
