// Package proof drives many copies of the real reducers against an in-memory
// log in virtual time and checks the promises as named invariants.
package proof

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"github.com/parsleydeal/parsleydeal/batch"
	"github.com/parsleydeal/parsleydeal/bill"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
)

const (
	placeEvery = 500 * clock.Millis(1)
	// listLag is how long the VM list takes to show a crash or a start.
	listLag = clock.Second
)

type timer struct {
	at  clock.Millis
	seq int
	run func()
}

type timers []timer

func (q timers) Len() int { return len(q) }
func (q timers) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q timers) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timers) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timers) Pop() (x any) {
	old := *q
	x = old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// world is virtual time, a seeded network and the platform's log.
type world struct {
	rng     *rand.Rand
	now     clock.Millis
	seq     int
	timers  timers
	streams map[string][][]byte
	// down refuses appends and reads; lose loses the answers of so many
	// appends that take effect; late lets so many take effect only after their
	// answer was given up.
	down       bool
	lose, late int
	appends    int
}

func newWorld(seed uint64) *world {
	return &world{rng: rand.New(rand.NewPCG(seed, 1)), streams: make(map[string][][]byte)}
}

func (w *world) after(d clock.Millis, run func()) {
	w.seq++
	heap.Push(&w.timers, timer{at: w.now + d, seq: w.seq, run: run})
}

func (w *world) advance(d clock.Millis) {
	end := w.now + d
	for len(w.timers) > 0 && w.timers[0].at <= end {
		t := heap.Pop(&w.timers).(timer)
		w.now = t.at
		t.run()
	}
	w.now = end
}

func (w *world) delay(most int64) clock.Millis { return 1 + clock.Millis(w.rng.Int64N(most)) }

func (w *world) write(stream string, data []byte) int64 {
	w.streams[stream] = append(w.streams[stream], data)
	return int64(len(w.streams[stream]) - 1)
}

// append ends with an offset, or with the answer lost, or refused.
func (w *world) append(stream string, data []byte, end func(offset int64, unknown bool)) {
	w.appends++
	w.after(w.delay(30), func() {
		switch {
		case w.down:
			end(-1, w.rng.IntN(2) == 0)
		case w.late > 0:
			w.late--
			w.after(w.delay(3000), func() { w.write(stream, data) })
			end(-1, true)
		case w.lose > 0:
			w.lose--
			w.write(stream, data)
			end(-1, true)
		default:
			end(w.write(stream, data), false)
		}
	})
}

func (w *world) read(stream string, from int64) (p provider.Page, err error) {
	if w.down {
		return p, provider.ErrUnavailable.New("down")
	}
	all := w.streams[stream]
	p.Head = int64(len(all))
	for o := from; o < p.Head && len(p.Records) < 50; o++ {
		p.Records = append(p.Records, provider.Record{Offset: o, Data: all[o]})
	}
	return p, nil
}

// process is one node's ledger and journal.
type process struct {
	f       *fleet
	m       batch.Member
	ledger  *bill.Ledger
	batcher *batch.Batcher
	up      bool
	leaving bool
	lostAt  clock.Millis
	// pausedTo holds back everything that happens to the process.
	pausedTo clock.Millis
}

// do runs something in the process, after its pause, unless it is gone.
func (p *process) do(run func()) {
	if p.up && p.f.now < p.pausedTo {
		p.f.after(p.pausedTo-p.f.now, func() { p.do(run) })
		return
	}
	if p.up {
		run()
	}
}

// fleet is a set of processes over zones.
type fleet struct {
	*world
	procs  []*process
	starts int
	// released holds the cost of each request whose last piece went out.
	released map[string]int64
	// broken is the first invariant found broken.
	broken string
	bound  int
}

func newFleet(seed uint64, zones, perZone, bound int) *fleet {
	f := &fleet{world: newWorld(seed), released: make(map[string]int64), bound: bound}
	for i := range zones * perZone {
		f.start(fmt.Sprintf("zone-%d", i%zones))
	}
	f.advance(2 * listLag)
	return f
}

func (f *fleet) fail(invariant, format string, a ...any) {
	if f.broken == "" {
		f.broken = invariant + ": " + fmt.Sprintf(format, a...)
	}
}

func (f *fleet) start(zone string) {
	f.starts++
	id := fmt.Sprintf("vm-%d", f.starts)
	p := &process{f: f, m: batch.Member{ID: id, Zone: zone, Region: "r", Entry: true}, up: true}
	p.ledger = bill.NewLedger(zone, f.bound)
	p.batcher = batch.NewBatcher(id, 1)
	f.procs = append(f.procs, p)
	p.place()
}

// place is the half-second round of a node.
func (p *process) place() {
	if !p.up {
		return
	}
	p.do(func() {
		place := batch.NewAssignment(p.m, p.f.listed())
		p.journal(batch.SetRate{Now: p.f.now, Rate: place.AppendRate()})
		p.post(bill.MembersChanged{Now: p.f.now, Place: place})
	})
	p.f.after(placeEvery, p.place)
}

// listed is what the lagging VM list shows.
func (f *fleet) listed() (members []batch.Member) {
	for _, p := range f.procs {
		if p.up && !p.leaving {
			members = append(members, p.m)
		}
	}
	return members
}

func (f *fleet) find(id string) *process {
	for _, p := range f.procs {
		if p.m.ID == id {
			return p
		}
	}
	return nil
}

func (p *process) post(e bill.Event) (a bill.ReplyHold) {
	for _, x := range p.ledger.Reduce(e) {
		switch x := x.(type) {
		case bill.Append:
			p.journal(batch.Add{Now: p.f.now, Entries: []batch.Entry{{ID: x.ID, Bill: x.Bill}}})
		case bill.Withdraw:
			p.journal(batch.Drop{IDs: x.IDs})
		case bill.Hold:
			p.hold(x)
		case bill.Release:
			q := p.f.find(x.VM)
			p.f.after(p.f.delay(50), func() { q.do(func() { q.post(bill.Released{Requests: x.Requests}) }) })
		case bill.Safe:
			p.f.safe(p, x.Request)
		case bill.ReplyHold:
			a = x
		}
	}
	p.f.bounded(p)
	return a
}

func (p *process) hold(x bill.Hold) {
	f, q := p.f, p.f.find(x.VM)
	keeper := x.Keeper
	if keeper == "" {
		keeper = p.m.ID
	}
	answered := false
	answer := func(held bool) {
		if !answered {
			answered = true
			p.do(func() { p.post(bill.HoldReplied{Now: f.now, Request: x.Bill.GetRequest(), VM: x.VM, Held: held}) })
		}
	}
	f.after(f.delay(50), func() {
		q.do(func() {
			a := q.post(bill.HoldRequested{Now: f.now, Zone: x.Zone, Keeper: keeper, Bills: []*wire.Bill{x.Bill}})
			f.after(f.delay(50), func() { answer(a.Held) })
		})
	})
	f.after(bill.HoldTimeout, func() { answer(false) })
}

func (p *process) journal(e batch.Event) {
	f := p.f
	for _, x := range p.batcher.Reduce(e) {
		switch x := x.(type) {
		case batch.Append:
			data, err := batch.Encode(x.Batch, x.Entries)
			if err != nil {
				panic(err)
			}
			f.append(provider.BillStream, data, func(offset int64, unknown bool) {
				p.do(func() {
					if offset >= 0 {
						p.journal(batch.Appended{Now: f.now, Batch: x.Batch, Offset: offset})
						return
					}
					p.journal(batch.Failed{Now: f.now, Batch: x.Batch, Unknown: unknown})
				})
			})
		case batch.Scan:
			f.after(f.delay(30), func() {
				page, err := f.read(provider.BillStream, x.From)
				p.do(func() { p.journal(batch.Scanned{Now: f.now, Page: page, Err: err}) })
			})
		case batch.Done:
			p.post(bill.Stored{IDs: x.IDs})
		}
	}
}

// safe is where the last piece of an answer goes out. Invariant
// released-bill-is-held-twice: it stands on the log or in two zones.
func (f *fleet) safe(p *process, request string) {
	f.released[request] = costOf(request)
	if f.onLog(request) {
		return
	}
	zones := make(map[string]bool)
	for _, q := range f.procs {
		// A holder lost while its answer was on the way is a loss that the
		// keeper makes good.
		if (q.up || q.lostAt > 0 && f.now-q.lostAt <= bill.HoldTimeout) && q.keeps(request) {
			zones[q.m.Zone] = true
		}
	}
	if len(zones) < 2 {
		f.fail("released-bill-is-held-twice", "%s released by %s with copies in %d zones", request, p.m.ID, len(zones))
	}
}

func (p *process) keeps(request string) bool { return p.ledger.Contains(request) }

func (f *fleet) onLog(request string) bool {
	for _, data := range f.streams[provider.BillStream] {
		bills, err := bill.Decode(data)
		if err != nil {
			continue
		}
		for _, b := range bills {
			if b.GetRequest() == request {
				return true
			}
		}
	}
	return false
}

// bounded is invariant waiting-bills-are-bounded.
func (f *fleet) bounded(p *process) {
	own, held := p.ledger.Waiting()
	if own+p.ledger.Reserved() > f.bound || held > f.bound {
		f.fail("waiting-bills-are-bounded", "%s keeps %d own and %d others' bills, bound %d", p.m.ID, own, held, f.bound)
	}
}

// costOf makes a request's cost from its name.
func costOf(request string) (cost int64) {
	for _, c := range []byte(request) {
		cost = cost*7 + int64(c)
	}
	return cost % 1000
}

// request runs one request at a process: a place, then a dispatch, then a bill.
func (f *fleet) request(p *process, id string) {
	p.do(func() {
		if p.ledger.Reserve() != nil {
			return
		}
		f.after(f.delay(800), func() {
			p.do(func() {
				step := &wire.Step{Attempt: 1, Cost: costOf(id), Whole: true}
				p.post(bill.Finish{Now: f.now, Reserved: true, Bill: &wire.Bill{Request: id, Organisation: "o", Route: "r", Steps: []*wire.Step{step}}})
			})
		})
	})
}

// check is invariant billed-exactly-once over all released requests, to be
// looked at when the log has been up for a while.
func (f *fleet) check() (repeats int64) {
	s := bill.NewStatement()
	for o, data := range f.streams[provider.BillStream] {
		s.Add(int64(o), data)
	}
	s.Finish(nil)
	if list, _ := s.Anomalies(); len(list) > 0 {
		f.fail("billed-exactly-once", "anomaly %v", list[0])
	}
	billed := make(map[string]int64)
	for _, b := range s.Bills() {
		billed[b.GetRequest()] = bill.Cost(b)
	}
	for request, cost := range f.released {
		if got, ok := billed[request]; !ok || got != cost {
			f.fail("billed-exactly-once", "%s has cost %d and bill %d (on the log: %v)", request, cost, got, ok)
		}
	}
	_, repeats = s.Counts()
	return repeats
}
