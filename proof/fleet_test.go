// Package proof runs many copies of the production reducers against an in-memory log in virtual time
// and checks the documented guarantees as named invariants.
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
	assignInterval = 500 * clock.Millis(1)
	// listDelay is the time until the VM list shows a crash or a start.
	listDelay = clock.Second
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

// simulation provides virtual time, a network with seeded delays and the platform's log.
type simulation struct {
	rng     *rand.Rand
	now     clock.Millis
	seq     int
	timers  timers
	streams map[string][][]byte
	// logDown makes the log refuse appends and reads. delayedAppends is the number of next appends
	// that take effect only after the caller has timed out; lostReplies is the number of appends
	// after those that take effect but get no reply.
	logDown                     bool
	lostReplies, delayedAppends int
	appends                     int
}

func newSimulation(seed uint64) *simulation {
	return &simulation{rng: rand.New(rand.NewPCG(seed, 1)), streams: make(map[string][][]byte)}
}

func (sim *simulation) after(d clock.Millis, run func()) {
	sim.seq++
	heap.Push(&sim.timers, timer{at: sim.now + d, seq: sim.seq, run: run})
}

func (sim *simulation) advance(d clock.Millis) {
	end := sim.now + d
	for len(sim.timers) > 0 && sim.timers[0].at <= end {
		t := heap.Pop(&sim.timers).(timer)
		sim.now = t.at
		t.run()
	}
	sim.now = end
}

func (sim *simulation) delay(maxMillis int64) clock.Millis {
	return 1 + clock.Millis(sim.rng.Int64N(maxMillis))
}

func (sim *simulation) write(stream string, data []byte) int64 {
	sim.streams[stream] = append(sim.streams[stream], data)
	return int64(len(sim.streams[stream]) - 1)
}

// append appends a record and calls end with its offset, or with -1 if the append failed or its
// reply was lost. If unknown is then true, the record may be on the log or may be stored later.
func (sim *simulation) append(stream string, data []byte, end func(offset int64, unknown bool)) {
	sim.appends++
	sim.after(sim.delay(30), func() {
		switch {
		case sim.logDown:
			end(-1, sim.rng.IntN(2) == 0)
		case sim.delayedAppends > 0:
			sim.delayedAppends--
			sim.after(sim.delay(3000), func() { sim.write(stream, data) })
			end(-1, true)
		case sim.lostReplies > 0:
			sim.lostReplies--
			sim.write(stream, data)
			end(-1, true)
		default:
			end(sim.write(stream, data), false)
		}
	})
}

func (sim *simulation) read(stream string, from int64) (p provider.Page, err error) {
	if sim.logDown {
		return p, provider.ErrUnavailable.New("down")
	}
	all := sim.streams[stream]
	p.Head = int64(len(all))
	for o := from; o < p.Head && len(p.Records) < 50; o++ {
		p.Records = append(p.Records, provider.Record{Offset: o, Data: all[o]})
	}
	return p, nil
}

// process is one VM's process with its ledger and its batcher.
type process struct {
	fleet   *fleet
	member  batch.Member
	ledger  *bill.Ledger
	batcher *batch.Batcher
	up      bool
	leaving bool
	lostAt  clock.Millis
	// pausedTo is when the process resumes; until then all its work is delayed.
	pausedTo clock.Millis
}

// do runs a function in the process, after its pause if it is paused, or never if the process has
// ended.
func (p *process) do(run func()) {
	if p.up && p.fleet.now < p.pausedTo {
		p.fleet.after(p.pausedTo-p.fleet.now, func() { p.do(run) })
		return
	}
	if p.up {
		run()
	}
}

// fleet is a set of processes in several zones.
type fleet struct {
	*simulation
	processes []*process
	starts    int
	// released has the cost of each request whose last piece was sent to its caller.
	released map[string]int64
	// violation describes the first invariant that was violated; it is empty if none was.
	violation string
	bound     int
}

func newFleet(seed uint64, zones, perZone, bound int) *fleet {
	f := &fleet{simulation: newSimulation(seed), released: make(map[string]int64), bound: bound}
	for i := range zones * perZone {
		f.start(fmt.Sprintf("zone-%d", i%zones))
	}
	f.advance(2 * listDelay)
	return f
}

func (f *fleet) fail(invariant, format string, a ...any) {
	if f.violation == "" {
		f.violation = invariant + ": " + fmt.Sprintf(format, a...)
	}
}

func (f *fleet) start(zone string) {
	f.starts++
	id := fmt.Sprintf("vm-%d", f.starts)
	p := &process{fleet: f, member: batch.Member{ID: id, Zone: zone, Region: "r", Entry: true}, up: true}
	p.ledger = bill.NewLedger(zone, f.bound)
	p.batcher = batch.NewBatcher(id, 1)
	f.processes = append(f.processes, p)
	p.updateAssignment()
}

// updateAssignment updates the assignment of a node from the listed members, every assignInterval.
func (p *process) updateAssignment() {
	if !p.up {
		return
	}
	p.do(func() {
		assignment := batch.NewAssignment(p.member, p.fleet.listedMembers())
		p.updateBatcher(batch.SetRate{Now: p.fleet.now, Rate: assignment.AppendRate()})
		p.updateLedger(bill.MembersChanged{Now: p.fleet.now, Assignment: assignment})
	})
	p.fleet.after(assignInterval, p.updateAssignment)
}

// listedMembers returns the members that the VM list shows.
func (f *fleet) listedMembers() (members []batch.Member) {
	for _, p := range f.processes {
		if p.up && !p.leaving {
			members = append(members, p.member)
		}
	}
	return members
}

func (f *fleet) findProcess(id string) *process {
	for _, p := range f.processes {
		if p.member.ID == id {
			return p
		}
	}
	return nil
}

func (p *process) updateLedger(e bill.Event) (reply bill.ReplyHold) {
	for _, x := range p.ledger.Reduce(e) {
		switch x := x.(type) {
		case bill.Append:
			p.updateBatcher(batch.Add{Now: p.fleet.now, Entries: []batch.Entry{{ID: x.ID, Bill: x.Bill}}})
		case bill.Withdraw:
			p.updateBatcher(batch.Drop{IDs: x.IDs})
		case bill.Hold:
			p.hold(x)
		case bill.Release:
			q := p.fleet.findProcess(x.VM)
			p.fleet.after(p.fleet.delay(50), func() { q.do(func() { q.updateLedger(bill.Released{Requests: x.Requests}) }) })
		case bill.Safe:
			p.fleet.release(p, x.Request)
		case bill.ReplyHold:
			reply = x
		}
	}
	p.fleet.checkBound(p)
	return reply
}

func (p *process) hold(x bill.Hold) {
	f, q := p.fleet, p.fleet.findProcess(x.VM)
	keeper := x.Keeper
	if keeper == "" {
		keeper = p.member.ID
	}
	replied := false
	finish := func(held bool) {
		if !replied {
			replied = true
			p.do(func() {
				p.updateLedger(bill.HoldReplied{Now: f.now, Request: x.Bill.GetRequest(), VM: x.VM, Held: held})
			})
		}
	}
	f.after(f.delay(50), func() {
		q.do(func() {
			reply := q.updateLedger(bill.HoldRequested{Now: f.now, Zone: x.Zone, Keeper: keeper, Bills: []*wire.Bill{x.Bill}})
			f.after(f.delay(50), func() { finish(reply.Held) })
		})
	})
	f.after(bill.HoldTimeout, func() { finish(false) })
}

func (p *process) updateBatcher(e batch.Event) {
	f := p.fleet
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
						p.updateBatcher(batch.Appended{Now: f.now, Batch: x.Batch, Offset: offset})
						return
					}
					p.updateBatcher(batch.Failed{Now: f.now, Batch: x.Batch, Unknown: unknown})
				})
			})
		case batch.Scan:
			f.after(f.delay(30), func() {
				page, err := f.read(provider.BillStream, x.From)
				p.do(func() { p.updateBatcher(batch.Scanned{Now: f.now, Page: page, Err: err}) })
			})
		case batch.Done:
			p.updateLedger(bill.Stored{IDs: x.IDs})
		}
	}
}

// release simulates sending the last piece of an answer. It checks the invariant
// released-bill-is-held-twice: at that time the bill is on the log or has copies in two zones.
func (f *fleet) release(p *process, request string) {
	f.released[request] = costOf(request)
	if f.onLog(request) {
		return
	}
	zones := make(map[string]bool)
	for _, q := range f.processes {
		// A lost process that stored a copy still counts for HoldTimeout: its reply may have
		// been in transit at the loss, and the process that made the bill will replace the copy.
		if (q.up || q.lostAt > 0 && f.now-q.lostAt <= bill.HoldTimeout) && q.contains(request) {
			zones[q.member.Zone] = true
		}
	}
	if len(zones) < 2 {
		f.fail("released-bill-is-held-twice", "%s released by %s with copies in %d zones", request, p.member.ID, len(zones))
	}
}

func (p *process) contains(request string) bool { return p.ledger.Contains(request) }

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

// checkBound checks the invariant waiting-bills-are-bounded.
func (f *fleet) checkBound(p *process) {
	own, held := p.ledger.Waiting()
	if own+p.ledger.Reserved() > f.bound || held > f.bound {
		f.fail("waiting-bills-are-bounded", "%s has %d own bills and %d copies for others, bound %d", p.member.ID, own, held, f.bound)
	}
}

// costOf derives a request's cost from its ID, so that mixed-up bills are detected.
func costOf(request string) (cost int64) {
	for _, c := range []byte(request) {
		cost = cost*7 + int64(c)
	}
	return cost % 1000
}

// request simulates one request at a process: it reserves room for a bill, runs the request and
// then makes the bill.
func (f *fleet) request(p *process, id string) {
	p.do(func() {
		if p.ledger.Reserve() != nil {
			return
		}
		f.after(f.delay(800), func() {
			p.do(func() {
				step := &wire.Step{Attempt: 1, Cost: costOf(id), Whole: true}
				p.updateLedger(bill.Finish{Now: f.now, Reserved: true, Bill: &wire.Bill{Request: id, Organisation: "o", Route: "r", Steps: []*wire.Step{step}}})
			})
		})
	})
}

// checkBilled checks the invariant billed-exactly-once: each request that was answered in full has
// one bill, with its own cost. It returns the number of repeated bills on the log. Call it only when
// the log has been up for long enough that all bills held by the processes have been appended.
func (f *fleet) checkBilled() (repeats int64) {
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
