package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
)

// A site has 66 entries in six zones before 72 endpoints, and its callers ask for three
// fifths of what these can read. Entries hear of one another's work only within their
// zone. When they sent three quarters of their prompts to other zones, where they knew
// nothing, prompts queued behind long ones while other endpoints were idle, and callers
// waited several times as long as the reading takes. Sent where their work is told of,
// long prompts at once, nine in ten are read within twice that time.
func TestEntriesPreferEndpointsWithReportedWork(t *testing.T) {
	is := is.New(t)
	p := newZoneSimulation(6, 11, 12)
	p.simulate(12 * clock.Second)
	t.Logf("%d prompts, %d at home, %d queued for longer than they take", p.requests, p.sameZone, p.queued)
	is.True(p.sameZone*10 > p.requests*8)
	is.True(p.queued*10 < p.requests)
}

// zoneSimulation plays entries of several zones before endpoints that read one prompt after
// another.
type zoneSimulation struct {
	rnd        *rand.Rand
	fleet      *fleet.Snapshot
	zones      int
	entries    []*Selector
	reportedAt []clock.Millis
	freeAt     map[string]clock.Millis
	events     eventQueue
	// requests counts the prompts, home those sent to an endpoint of the entry's zone, and
	// queued those whose wait was longer than the reading of a long prompt.
	requests, sameZone, queued int
}

func newZoneSimulation(zones, entries, endpoints int) *zoneSimulation {
	p := &zoneSimulation{rnd: rand.New(rand.NewPCG(5, 6)), zones: zones, freeAt: make(map[string]clock.Millis)}
	p.fleet = fleetOf(zones*endpoints, func(i int, e *fleet.Endpoint) { e.Zone = fmt.Sprint("z", i%zones) })
	for range zones * entries {
		p.entries = append(p.entries, NewSelector())
	}
	p.reportedAt = make([]clock.Millis, len(p.entries))
	return p
}

const (
	// A fifth of the prompts are long: largeReads is how long these are read, and
	// smallReads how long the others are.
	longPrefill  = 300 * clock.Millis(1)
	shortPrefill = 60 * clock.Millis(1)
	// promptsPerMillis is what all callers ask: three fifths of what is read.
	promptsPerMillis = 0.4
	// minReportInterval is how often an entry may tell the others at the most.
	minReportInterval = 150 * clock.Millis(1)
	reportInterval    = 300 * clock.Millis(1)
)

func (p *zoneSimulation) simulate(span clock.Millis) {
	for now := clock.Millis(0); now < span; now++ {
		for len(p.events) > 0 && p.events[0].at <= now {
			heap.Pop(&p.events).(event).fire(now)
		}
		p.exchangeReports(now)
		if p.rnd.Float64() < promptsPerMillis {
			p.send(now, p.rnd.IntN(len(p.entries)))
		}
	}
}

// exchangeReports has entries tell the others of their zone, at once when there is news.
func (p *zoneSimulation) exchangeReports(now clock.Millis) {
	for i, b := range p.entries {
		due := now-p.reportedAt[i] >= reportInterval
		select {
		case <-b.Urgent():
			due = true
		default:
		}
		if !due {
			continue
		}
		if now-p.reportedAt[i] < minReportInterval {
			b.signalUrgent()
			continue
		}
		p.reportedAt[i] = now
		told := b.Report(now, true)
		for j := i % p.zones; j < len(p.entries); j += p.zones {
			if j != i {
				p.entries[j].Receive(fmt.Sprint("entry", i), told, true, now)
			}
		}
	}
}

func (p *zoneSimulation) send(now clock.Millis, i int) {
	b, zone := p.entries[i], fmt.Sprint("z", i%p.zones)
	tokens, reads := 2000, shortPrefill
	if p.rnd.IntN(5) == 0 {
		tokens, reads = 10000, longPrefill
	}
	q := Query{Service: "s", Version: "v1", Zone: zone, Model: "m", Bytes: tokens, Now: now, Blocks: []Block{{fmt.Sprint("own", p.requests), tokens}}}
	e, _ := b.Select(p.fleet, q)
	w := b.Begin(e, q)
	p.requests++
	if e.Zone == zone {
		p.sameZone++
	}
	if p.freeAt[e.ID]-now > longPrefill {
		p.queued++
	}
	p.freeAt[e.ID] = max(p.freeAt[e.ID], now) + reads
	heap.Push(&p.events, event{p.freeAt[e.ID], func(now clock.Millis) {
		w.FirstByte(now)
		b.RecordActivity(e.ID, now)
		w.End()
	}})
}
