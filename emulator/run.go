package emulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"

	"github.com/parsleydeal/parsleydeal/cascade"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/placement"
	"github.com/parsleydeal/parsleydeal/quarantine"
)

const (
	// reportInterval is the minimum time between two reports of an entry, and fullReportInterval
	// between two full ones. In the product, a limit on the bytes of reports has about this effect
	// with a dozen peers.
	reportInterval     = 80 * clock.Millis(1)
	fullReportInterval = 500 * clock.Millis(1)
	// confidenceOffset is how far the mean confidence in good answers is above 50, and that in
	// poor answers below 50, in points. confidenceNoise is the standard deviation of both.
	confidenceOffset = 13.0
	confidenceNoise  = 10.0
)

// Result counts the outcomes of the requests.
type Result struct {
	Requests int
	// InTime counts requests whose first byte met its latency target, and Late those whose first
	// byte came later.
	InTime int
	Late   int
	// Refused counts requests for which no endpoint was found, or whose attempts all broke off.
	Refused int
	// Poor counts answers to requests that were too hard for the model that answered.
	Poor int
	// Escalated counts requests that were also sent to the largest model.
	Escalated int
	// InZone counts prompts sent to an endpoint in the zone of their entry; Sent counts all
	// prompts.
	InZone int
	Sent   int
	// PrefillTokens is the number of prefilled tokens. RepeatedTokens is how many of them were in
	// shared blocks that some endpoint had prefilled before.
	PrefillTokens  int
	RepeatedTokens int
	// OverRate counts the requests by which an endpoint received more than its advertised rate
	// limit allows, including the tolerance.
	OverRate int
	// Crashes counts endpoints that crashed on a block, Crashing the requests with such a block that
	// arrived at endpoints, and CrashingLate those of them that arrived when all entries must know the
	// block. They are not among Requests.
	Crashes      int
	Crashing     int
	CrashingLate int
	// Left counts callers that left without an answer, SentAfterLeft the prompts sent for them after that, and Silent
	// those sent on connections that had gone silent. Callers that left are not among Requests.
	Left          int
	SentAfterLeft int
	Silent        int
	// Closed counts connections that entries closed unread.
	Closed int
	// MostCrashes is the number of endpoints that crashed on one request, with its repeats.
	MostCrashes int
}

// simulation is one run. The same site, load and strategies give the same result.
type simulation struct {
	now        clock.Millis
	site       Site
	load       Load
	strategies decision.Strategies
	rnd        *rand.Rand
	fleet      *fleet.Snapshot
	endpoints  map[string]*endpoint
	entries    []*entry
	events     queue
	// scheduled is the number of events scheduled so far.
	scheduled int
	result    Result
	prefilled map[string]bool
	// knownAt is when all entries must know the block on which endpoints crash; 0 before the fifth
	// crash.
	knownAt clock.Millis
}

// entry is one entry with its state.
type entry struct {
	name      string
	zone      string
	selector  *placement.Selector
	escalator *cascade.Escalator
	// shares holds the entry's share of the capacity of endpoints, by the zone of the endpoints.
	shares map[string]placement.Share
	blocks *quarantine.Register
	// index numbers the entries of all zones, and silent holds the endpoints to which its connections at hand are
	// silent.
	index   int
	silent  map[string]bool
	process *process
	// rotation selects the entries of other zones to ask for loans.
	rotation placement.Rotation
	// reportedAt is the time of the last report to peers, fullReportAt that of the last full one.
	reportedAt   clock.Millis
	fullReportAt clock.Millis
	// urgent is true while an urgent report is delayed because reportInterval has not passed.
	urgent bool
}

// Run simulates a load on a site with the given strategies. It returns ErrSite if the site or load is
// invalid.
func Run(s Site, l Load, strategies decision.Strategies) (r Result, err error) {
	if err = Check(s, l); err != nil {
		return r, err
	}
	sim := newSimulation(s, l, strategies)
	duration := clock.Millis(l.Seconds * float64(clock.Second))
	for now := clock.Millis(0); now < duration || len(sim.events) > 0; now++ {
		sim.now = now
		for len(sim.events) > 0 && sim.events[0].at <= now {
			heap.Pop(&sim.events).(event).do(now)
		}
		sim.sever(now)
		sim.exchangeReports(now)
		sim.exchangeEvidence(now)
		if now < duration {
			sim.generateRequests(now)
			sim.generateCrashes(now)
		}
	}
	return sim.result, nil
}

func newSimulation(s Site, l Load, strategies decision.Strategies) *simulation {
	sim := &simulation{site: s, load: l, strategies: strategies, rnd: rand.New(rand.NewPCG(l.Seed, l.Seed)), endpoints: make(map[string]*endpoint), prefilled: make(map[string]bool)}
	f := fleet.New()
	for z := range s.Zones {
		zone := fmt.Sprint("zone-", z)
		for i := range s.Endpoints {
			id := fmt.Sprintf("i-%d-%d", z, i)
			sim.endpoints[id] = newEndpoint(s, id, i, l.limitsOf(i))
			f.Apply([]fleet.Change{{ID: id, Endpoint: &fleet.Endpoint{ID: id, Service: "pool", Zone: zone, Version: "v1", Slots: s.Slots}}}, false)
		}
		for i := range s.Entries {
			sim.entries = append(sim.entries, &entry{name: fmt.Sprintf("entry-%d-%d", z, i), index: len(sim.entries), silent: make(map[string]bool), zone: zone, selector: placement.NewSelectorWith(strategies), blocks: quarantine.New(), escalator: cascade.NewEscalator(strategies), shares: sharesOf(s, z, i), process: sim.newProcess()})
		}
	}
	sim.fleet = f.Snapshot()
	return sim
}

// localFraction is the fraction of an endpoint's capacity that is divided among the entries of its
// zone. The rest is divided among the entries of other zones.
const localFraction = 0.5

// sharesOf returns an entry's shares of the endpoints' capacity, by the zone of the endpoints.
// index is the entry's number in its zone, from 0.
func sharesOf(s Site, zone, index int) map[string]placement.Share {
	shares := make(map[string]placement.Share)
	for z := range s.Zones {
		share := placement.Share{Fraction: localFraction, Entries: s.Entries, Index: index}
		switch {
		case s.Zones == 1:
			share.Fraction = 1
		case z != zone:
			otherZone := zone
			if z < zone {
				otherZone--
			}
			share = placement.Share{Fraction: 1 - localFraction, Entries: (s.Zones - 1) * s.Entries, Index: otherZone*s.Entries + index}
		}
		shares[fmt.Sprint("zone-", z)] = share
	}
	return shares
}

// exchangeReports sends the reports that are due from each entry to the others in its zone. An
// urgent report is due after reportInterval, a full report after fullReportInterval.
func (sim *simulation) exchangeReports(now clock.Millis) {
	for _, e := range sim.entries {
		select {
		case <-e.selector.Urgent():
			e.urgent = true
		default:
		}
		full := now-e.fullReportAt >= fullReportInterval
		if now-e.reportedAt < reportInterval || !e.urgent && !full {
			continue
		}
		e.reportedAt, e.urgent = now, false
		if full {
			e.fullReportAt = now
		}
		reported := e.selector.Report(now, full)
		for _, peer := range sim.entries {
			if peer != e && peer.zone == e.zone {
				peer.selector.Receive(e.name, reported, full, now)
			}
		}
		if full {
			sim.exchangeLoans(e, now)
		}
	}
}

// exchangeLoans reports an entry's use of its quotas to the others of its zone, and asks some of other zones if it needs
// loans. It lends to all that have asked.
func (sim *simulation) exchangeLoans(e *entry, now clock.Millis) {
	zones := make(map[string]string)
	for id, x := range sim.fleet.All() {
		zones[id] = x.Zone
	}
	bounds := placement.Bounds{Shares: e.shares}
	use := e.selector.RateUse(bounds, zones, now)
	loans := e.selector.Lend(use, bounds, zones, now)
	var distant []string
	for _, peer := range sim.entries {
		if peer == e {
			continue
		}
		own := slices.DeleteFunc(slices.Clone(loans), func(l placement.Loan) bool { return l.To != peer.name })
		if peer.zone != e.zone {
			distant = append(distant, peer.name)
		} else {
			peer.selector.ReceiveNeed(e.name, use, now, now)
		}
		if peer.zone == e.zone || len(own) > 0 {
			peer.selector.Borrow(e.name, own, now)
		}
	}
	if !placement.NeedsLoans(use) {
		return
	}
	asked := e.rotation.Next(distant)
	for _, peer := range sim.entries {
		if slices.Contains(asked, peer.name) {
			peer.selector.ReceiveNeed(e.name, use, now, now)
		}
	}
}

// generateRequests starts the requests that callers send in the millisecond now.
func (sim *simulation) generateRequests(now clock.Millis) {
	rate := sim.load.PerSecond / float64(clock.Second)
	seconds := float64(now) / float64(clock.Second)
	for _, b := range sim.load.Bursts {
		if seconds >= b.From && seconds < b.Until {
			rate *= b.Factor
		}
	}
	for ; rate > 0; rate-- {
		if sim.rnd.Float64() < rate {
			sim.startRequest(now)
		}
	}
}

// request is one request in progress.
type request struct {
	kind   Kind
	entry  *entry
	blocks []placement.Block
	hard   bool
	// model is the index, in Site.Models, of the model that is to answer.
	model     int
	startedAt clock.Millis
	// conn is the caller's connection, of entries with a limited rate.
	conn net.Conn
	// crashes is true if endpoints crash on the request or a block of its prompt, repeats what it has in common
	// with those that its caller sends in its place; nil if it sends none. attempts counts the attempts that
	// arrived, and heldSince is since when a test of a block is awaited; 0 if it is not.
	crashes   bool
	repeats   *repeats
	attempts  int
	heldSince clock.Millis
	// answered is true once the first byte of the answer was sent to the caller, late if that was after
	// the latency target.
	answered bool
	late     bool
	// leavesAt is when the caller leaves if it has no answer; 0 if it stays. left is true once it has been counted.
	leavesAt clock.Millis
	left     bool
}

// drawEntry returns the entry that a request reaches.
func (sim *simulation) drawEntry(now clock.Millis) (e *entry) {
	seconds := float64(now) / float64(clock.Second)
	for _, c := range sim.load.Crowds {
		if seconds < c.From || seconds >= c.Until || sim.rnd.Float64() >= c.Fraction {
			continue
		}
		first := sim.entries[c.Entry]
		if c.Zone {
			if e = sim.entries[sim.rnd.IntN(len(sim.entries))]; e.zone != first.zone {
				return e
			}
		}
		if c.Entries > 1 {
			return sim.entries[c.Entry+sim.rnd.IntN(c.Entries)]
		}
		return first
	}
	return sim.entries[sim.rnd.IntN(len(sim.entries))]
}

func (sim *simulation) startRequest(now clock.Millis) {
	k := sim.drawKind()
	r := &request{kind: k, entry: sim.drawEntry(now), hard: sim.rnd.Float64() < k.HardFraction, startedAt: now}
	subject := sim.rnd.IntN(k.Subjects)
	if k.HotFraction > 0 && sim.rnd.Float64() < k.HotFraction {
		subject = 0
	}
	own := int(float64(k.OwnTokens) * (0.5 + sim.rnd.Float64()))
	r.blocks = []placement.Block{
		{ID: fmt.Sprintf("%s/%d", k.Name, subject), Tokens: k.SharedTokens},
		{ID: fmt.Sprintf("own/%d", sim.result.Requests), Tokens: own},
	}
	sim.result.Requests++
	sim.drawLeaving(r)
	if until := sim.pausedUntil(r.entry, now); until > 0 {
		sim.schedule(until, func(now clock.Millis) { sim.send(r, now) })
		return
	}
	sim.connect(r, now)
}

func (sim *simulation) drawKind() Kind {
	total := 0.0
	for _, k := range sim.load.Kinds {
		total += k.Share
	}
	draw := sim.rnd.Float64() * total
	for _, k := range sim.load.Kinds {
		if draw -= k.Share; draw < 0 {
			return k
		}
	}
	return sim.load.Kinds[len(sim.load.Kinds)-1]
}

// query returns the query for an endpoint. Loads state no body sizes, so one byte of the body is
// assumed for each token of the prompt's own block.
func (sim *simulation) query(r *request, model int, now clock.Millis) placement.Query {
	return placement.Query{
		Service: "pool", Version: "v1", Zone: r.entry.zone, Model: sim.site.Models[model].Name, Blocks: r.blocks, Bytes: r.blocks[len(r.blocks)-1].Tokens,
		FullMesh: sim.site.Zones == 1, Avoid: sim.down(now), Bounds: placement.Bounds{Warm: sim.site.WarmBound, Shares: r.entry.shares}, FirstByteBudget: placement.FirstByteBudget(r.kind.target(), now-r.startedAt), Now: now,
	}
}

// send sends a request to the endpoint that its entry selects.
func (sim *simulation) send(r *request, now clock.Millis) {
	if sim.hasLeft(r, now) && !sim.load.LeftUnnoticed {
		r.disconnect()
		sim.result.Requests--
		return
	}
	q := sim.query(r, r.model, now)
	if !sim.admit(r, &q, now) {
		return
	}
	target, _ := r.entry.selector.Select(sim.fleet, q)
	if target == nil {
		sim.refuse(r, now)
		return
	}
	sim.countLeft(r, now)
	if sim.meetsSilence(r, target.ID, now) {
		return
	}
	sim.result.Sent++
	a := sim.begin(r, target, q, now)
	e := a.endpoint
	sim.result.OverRate += e.recordArrival(r.entry.name, now)
	m := sim.site.Models[r.model]
	first, end, uncached := e.start(now, m, r.blocks, r.kind.Events)
	if target.Zone == r.entry.zone {
		sim.result.InZone++
	}
	sim.countTokens(m, r.blocks[0], uncached)
	sim.schedule(first, func(now clock.Millis) {
		if a.ended {
			return
		}
		sim.firstByte(a, now)
		if !r.crashes && !sim.escalates(r, now) {
			sim.recordAnswer(r, now)
			sim.scheduleAnswer(a, now, end)
			return
		}
		if r.crashes {
			sim.schedule(now+crashDelay, func(now clock.Millis) { sim.crash(e, r, now) })
			return
		}
		a.end(false, now)
		r.model = len(sim.site.Models) - 1
		sim.result.Escalated++
		sim.send(r, now)
	})
}

// firstByte tells the entry what the head of an answer tells.
func (sim *simulation) firstByte(a *attempt, now clock.Millis) {
	e, s := a.endpoint, a.request.entry.selector
	pace := e.paceAt(float64(now))
	a.work.FirstByte(now, pace)
	s.RecordActivity(a.target.ID, now)
	s.RecordLoad(a.target.ID, e.outstanding, e.slots, now)
	s.RecordPace(a.target.ID, pace, now)
	s.RecordAdvertisement(a.target, e.advertisement(a.request.entry.name, now), a.sentAt, now)
	a.request.entry.blocks.Head(a.watch, now)
	a.request.entry.blocks.Alive(a.incarnation(), now)
}

// countTokens adds a prefill to the counts of prefilled and repeated tokens.
func (sim *simulation) countTokens(m Model, shared placement.Block, uncached int) {
	sim.result.PrefillTokens += uncached
	key := m.Name + "/" + shared.ID
	if sim.prefilled[key] && uncached >= shared.Tokens {
		sim.result.RepeatedTokens += shared.Tokens
	}
	sim.prefilled[key] = true
}

// escalates decides whether the smallest model's answer is dropped and the request sent to the
// largest model.
func (sim *simulation) escalates(r *request, now clock.Millis) bool {
	last := len(sim.site.Models) - 1
	if r.model == last || r.answered {
		return false
	}
	expected, hasCapacity := r.entry.selector.Expect(sim.fleet, sim.query(r, last, now))
	if !hasCapacity {
		return false
	}
	confidence := 50 + confidenceOffset + confidenceNoise*sim.rnd.NormFloat64()
	if r.hard {
		confidence -= 2 * confidenceOffset
	}
	answer := cascade.Answer{Confidence: int(min(max(confidence, 0), 100)), Remaining: r.startedAt + r.kind.target() - now}
	return r.entry.escalator.ShouldEscalate(answer, cascade.LargerModel{FirstByte: expected.FirstByte, QueueWait: expected.Wait})
}

// recordAnswer records the first byte of the answer that the caller gets; what is sent elsewhere after
// that goes on with the same answer.
func (sim *simulation) recordAnswer(r *request, now clock.Millis) {
	if r.answered {
		return
	}
	r.answered, r.late = true, now-r.startedAt > r.kind.target()
	if r.late {
		sim.result.Late++
	} else {
		sim.result.InTime++
	}
	if r.hard && r.model < len(sim.site.Models)-1 {
		sim.result.Poor++
	}
}

// refuse records that a request gets no answer, or not the rest of it.
func (sim *simulation) refuse(r *request, now clock.Millis) {
	r.disconnect()
	switch {
	case r.crashes:
		sim.repeat(r, now)
		return
	case r.answered && r.late:
		sim.result.Late--
	case r.answered:
		sim.result.InTime--
	}
	sim.result.Refused++
}

func (sim *simulation) schedule(at clock.Millis, do func(now clock.Millis)) {
	sim.scheduled++
	heap.Push(&sim.events, event{at: at, sequence: sim.scheduled, do: do})
}
