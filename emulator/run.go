package emulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"github.com/parsleydeal/parsleydeal/cascade"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/placement"
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
	// Refused counts requests for which no endpoint was found.
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
}

// simulation is one run. The same site, load and strategies give the same result.
type simulation struct {
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
}

// entry is one entry with its state.
type entry struct {
	name      string
	zone      string
	selector  *placement.Selector
	escalator *cascade.Escalator
	// shares holds the entry's share of the capacity of endpoints, by the zone of the endpoints.
	shares map[string]placement.Share
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
		for len(sim.events) > 0 && sim.events[0].at <= now {
			heap.Pop(&sim.events).(event).do(now)
		}
		sim.exchangeReports(now)
		if now < duration {
			sim.generateRequests(now)
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
			sim.entries = append(sim.entries, &entry{name: fmt.Sprintf("entry-%d-%d", z, i), zone: zone, selector: placement.NewSelectorWith(strategies), escalator: cascade.NewEscalator(strategies), shares: sharesOf(s, z, i)})
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
}

func (sim *simulation) startRequest(now clock.Millis) {
	k := sim.drawKind()
	r := &request{kind: k, entry: sim.entries[sim.rnd.IntN(len(sim.entries))], hard: sim.rnd.Float64() < k.HardFraction, startedAt: now}
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
	sim.send(r, now)
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
		Service: "pool", Version: "v1", Zone: r.entry.zone, Model: sim.site.Models[model].Name, Blocks: r.blocks, Bytes: r.blocks[1].Tokens,
		FullMesh: sim.site.Zones == 1, Bounds: placement.Bounds{Shares: r.entry.shares}, FirstByteBudget: placement.FirstByteBudget(r.kind.target(), now-r.startedAt), Now: now,
	}
}

// send sends a request to the endpoint that its entry selects.
func (sim *simulation) send(r *request, now clock.Millis) {
	q := sim.query(r, r.model, now)
	target, _ := r.entry.selector.Select(sim.fleet, q)
	if target == nil {
		sim.result.Refused++
		return
	}
	sim.result.Sent++
	work := r.entry.selector.Begin(target, q)
	e := sim.endpoints[target.ID]
	sim.result.OverRate += e.recordArrival(r.entry.name, now)
	m := sim.site.Models[r.model]
	first, end, uncached := e.start(now, m, r.blocks, r.kind.Events)
	if target.Zone == r.entry.zone {
		sim.result.InZone++
	}
	sim.countTokens(m, r.blocks[0], uncached)
	sim.schedule(first, func(now clock.Millis) {
		pace := e.paceAt(float64(now))
		work.FirstByte(now, pace)
		r.entry.selector.RecordActivity(target.ID, now)
		r.entry.selector.RecordLoad(target.ID, e.outstanding, e.slots, now)
		r.entry.selector.RecordPace(target.ID, pace, now)
		r.entry.selector.RecordAdvertisement(target, e.advertisement(r.entry.name, now), q.Now, now)
		if !sim.escalates(r, now) {
			sim.recordAnswer(r, now)
			sim.schedule(end, func(clock.Millis) { e.outstanding--; work.End() })
			return
		}
		e.outstanding--
		work.End()
		r.model = len(sim.site.Models) - 1
		sim.result.Escalated++
		sim.send(r, now)
	})
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
	if r.model == last {
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

func (sim *simulation) recordAnswer(r *request, now clock.Millis) {
	if now-r.startedAt > r.kind.target() {
		sim.result.Late++
	} else {
		sim.result.InTime++
	}
	if r.hard && r.model < len(sim.site.Models)-1 {
		sim.result.Poor++
	}
}

func (sim *simulation) schedule(at clock.Millis, do func(now clock.Millis)) {
	sim.scheduled++
	heap.Push(&sim.events, event{at: at, sequence: sim.scheduled, do: do})
}
