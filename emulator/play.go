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
	// reportApart is the least span between two reports of an entry, wholeApart that
	// between two whole ones: about what the bound on their bytes leaves at a dozen
	// neighbours.
	reportApart = 80 * clock.Millis(1)
	wholeApart  = 500 * clock.Millis(1)
	// sureness is how far a model's opinion of a good answer lies from that of a poor
	// one, in points of confidence to either side of 50, and noise its spread.
	sureness = 13.0
	noise    = 10.0
)

// Result counts what became of the requests.
type Result struct {
	Requests int
	// InTime requests had their first byte within its aim; Late ones after it.
	InTime int
	Late   int
	// Refused requests found no endpoint.
	Refused int
	// Poor answers were too hard for the model that made them.
	Poor int
	// Escalated counts requests that were asked of the larger model as well.
	Escalated int
	// InZone counts prompts sent to an endpoint of their entry's zone, Sent all.
	InZone int
	Sent   int
	// PrefillTokens is the number of tokens read, Again those of shared parts that some endpoint
	// had read before.
	PrefillTokens  int
	RepeatedTokens int
	// OverRate counts the requests that an endpoint got beyond the rate that it names.
	OverRate int
}

// play is one play. The same site, load and switches give the same result.
type play struct {
	site      Site
	load      Load
	ways      decision.Strategies
	rnd       *rand.Rand
	fleet     *fleet.Snapshot
	endpoints map[string]*endpoint
	entries   []*entry
	events    queue
	// planned counts the events ever planned.
	planned int
	result  Result
	read    map[string]bool
}

// entry is one entry and what it knows.
type entry struct {
	name  string
	zone  string
	board *placement.Selector
	judge *cascade.Escalator
	// shares holds its share of what endpoints take, by their zone.
	shares map[string]placement.Share
	// toldAt is when it last told others, wholeAt when it last told them all.
	toldAt  clock.Millis
	wholeAt clock.Millis
	// urgent is true while it has news that its allowance did not let out.
	urgent bool
}

// Run plays a load on a site with some mechanisms switched off.
func Run(s Site, l Load, ways decision.Strategies) (r Result, err error) {
	if err = Check(s, l); err != nil {
		return r, err
	}
	p := newPlay(s, l, ways)
	span := clock.Millis(l.Seconds * float64(clock.Second))
	for now := clock.Millis(0); now < span || len(p.events) > 0; now++ {
		for len(p.events) > 0 && p.events[0].at <= now {
			heap.Pop(&p.events).(event).do(now)
		}
		p.tell(now)
		if now < span {
			p.ask(now)
		}
	}
	return p.result, nil
}

func newPlay(s Site, l Load, ways decision.Strategies) *play {
	p := &play{site: s, load: l, ways: ways, rnd: rand.New(rand.NewPCG(l.Seed, l.Seed)), endpoints: make(map[string]*endpoint), read: make(map[string]bool)}
	f := fleet.New()
	for z := range s.Zones {
		zone := fmt.Sprint("zone-", z)
		for i := range s.Endpoints {
			id := fmt.Sprintf("i-%d-%d", z, i)
			p.endpoints[id] = newEndpoint(s, l.limitsOf(i))
			f.Apply([]fleet.Change{{ID: id, Endpoint: &fleet.Endpoint{ID: id, Service: "pool", Zone: zone, Version: "v1", Slots: s.Slots}}}, false)
		}
		for i := range s.Entries {
			p.entries = append(p.entries, &entry{name: fmt.Sprintf("entry-%d-%d", z, i), zone: zone, board: placement.NewSelectorWith(ways), judge: cascade.NewEscalator(ways), shares: sharesOf(s, z, i)})
		}
	}
	p.fleet = f.Snapshot()
	return p
}

// homePart is the part of what an endpoint takes that the entries of its zone share.
const homePart = 0.5

// sharesOf are the shares of an entry, by its place in its zone.
func sharesOf(s Site, zone, place int) map[string]placement.Share {
	shares := make(map[string]placement.Share)
	for z := range s.Zones {
		share := placement.Share{Fraction: homePart, Entries: s.Entries, Index: place}
		switch {
		case s.Zones == 1:
			share.Fraction = 1
		case z != zone:
			others := zone
			if z < zone {
				others--
			}
			share = placement.Share{Fraction: 1 - homePart, Entries: (s.Zones - 1) * s.Entries, Index: others*s.Entries + place}
		}
		shares[fmt.Sprint("zone-", z)] = share
	}
	return shares
}

// tell has entries tell the others of their zone: at once when there is news, as far as
// their allowance goes, and else now and then.
func (p *play) tell(now clock.Millis) {
	for _, e := range p.entries {
		select {
		case <-e.board.Urgent():
			e.urgent = true
		default:
		}
		whole := now-e.wholeAt >= wholeApart
		if now-e.toldAt < reportApart || !e.urgent && !whole {
			continue
		}
		e.toldAt, e.urgent = now, false
		if whole {
			e.wholeAt = now
		}
		told := e.board.Report(now, whole)
		for _, other := range p.entries {
			if other != e && other.zone == e.zone {
				other.board.Receive(e.name, told, whole, now)
			}
		}
	}
}

// ask draws the requests of one millisecond.
func (p *play) ask(now clock.Millis) {
	rate := p.load.PerSecond / float64(clock.Second)
	seconds := float64(now) / float64(clock.Second)
	for _, b := range p.load.Bursts {
		if seconds >= b.From && seconds < b.Until {
			rate *= b.Factor
		}
	}
	for ; rate > 0; rate-- {
		if p.rnd.Float64() < rate {
			p.request(now)
		}
	}
}

// request is one request on its way.
type request struct {
	kind  Kind
	entry *entry
	parts []placement.Block
	hard  bool
	// model is the place of the model that is asked now.
	model     int
	startedAt clock.Millis
}

func (p *play) request(now clock.Millis) {
	k := p.kind()
	r := &request{kind: k, entry: p.entries[p.rnd.IntN(len(p.entries))], hard: p.rnd.Float64() < k.HardFraction, startedAt: now}
	subject := p.rnd.IntN(k.Subjects)
	if k.HotFraction > 0 && p.rnd.Float64() < k.HotFraction {
		subject = 0
	}
	own := int(float64(k.OwnTokens) * (0.5 + p.rnd.Float64()))
	r.parts = []placement.Block{
		{ID: fmt.Sprintf("%s/%d", k.Name, subject), Tokens: k.SharedTokens},
		{ID: fmt.Sprintf("own/%d", p.result.Requests), Tokens: own},
	}
	p.result.Requests++
	p.send(r, now)
}

func (p *play) kind() Kind {
	total := 0.0
	for _, k := range p.load.Kinds {
		total += k.Share
	}
	draw := p.rnd.Float64() * total
	for _, k := range p.load.Kinds {
		if draw -= k.Share; draw < 0 {
			return k
		}
	}
	return p.load.Kinds[len(p.load.Kinds)-1]
}

func (p *play) query(r *request, model int, now clock.Millis) placement.Query {
	return placement.Query{
		Service: "pool", Version: "v1", Zone: r.entry.zone, Model: p.site.Models[model].Name, Blocks: r.parts, Bytes: r.parts[1].Tokens,
		FullMesh: p.site.Zones == 1, Bounds: placement.Bounds{Shares: r.entry.shares}, FirstByteBudget: placement.FirstByteBudget(r.kind.aim(), now-r.startedAt), Now: now,
	}
}

// send sends a request to the endpoint that its entry picks.
func (p *play) send(r *request, now clock.Millis) {
	q := p.query(r, r.model, now)
	at, _ := r.entry.board.Select(p.fleet, q)
	if at == nil {
		p.result.Refused++
		return
	}
	p.result.Sent++
	work := r.entry.board.Begin(at, q)
	e := p.endpoints[at.ID]
	p.result.OverRate += e.arrived(r.entry.name, now)
	m := p.site.Models[r.model]
	first, end, read := e.begin(now, m, r.parts, r.kind.Events)
	if at.Zone == r.entry.zone {
		p.result.InZone++
	}
	p.count(m, r.parts[0], read)
	p.after(first, func(now clock.Millis) {
		work.FirstByte(now)
		r.entry.board.RecordActivity(at.ID, now)
		r.entry.board.RecordLoad(at.ID, e.held, e.slots, now)
		r.entry.board.RecordAdvertisement(at, e.state(r.entry.name, now), q.Now, now)
		if !p.climbs(r, now) {
			p.answered(r, now)
			p.after(end, func(clock.Millis) { e.held--; work.End() })
			return
		}
		e.held--
		work.End()
		r.model = len(p.site.Models) - 1
		p.result.Escalated++
		p.send(r, now)
	})
}

// count counts what was read.
func (p *play) count(m Model, shared placement.Block, read int) {
	p.result.PrefillTokens += read
	key := m.Name + "/" + shared.ID
	if p.read[key] && read >= shared.Tokens {
		p.result.RepeatedTokens += shared.Tokens
	}
	p.read[key] = true
}

// climbs decides whether the smallest model's answer is dropped for the largest one's.
func (p *play) climbs(r *request, now clock.Millis) bool {
	last := len(p.site.Models) - 1
	if r.model == last {
		return false
	}
	expected, room := r.entry.board.Expect(p.fleet, p.query(r, last, now))
	if !room {
		return false
	}
	confidence := 50 + sureness + noise*p.rnd.NormFloat64()
	if r.hard {
		confidence -= 2 * sureness
	}
	answer := cascade.Answer{Confidence: int(min(max(confidence, 0), 100)), Remaining: r.startedAt + r.kind.aim() - now}
	return r.entry.judge.ShouldEscalate(answer, cascade.LargerModel{FirstByte: expected.FirstByte, QueueWait: expected.Wait})
}

func (p *play) answered(r *request, now clock.Millis) {
	if now-r.startedAt > r.kind.aim() {
		p.result.Late++
	} else {
		p.result.InTime++
	}
	if r.hard && r.model < len(p.site.Models)-1 {
		p.result.Poor++
	}
}

func (p *play) after(at clock.Millis, do func(now clock.Millis)) {
	p.planned++
	heap.Push(&p.events, event{at: at, number: p.planned, do: do})
}
