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
	p := newZonePlay(6, 11, 12)
	p.play(12 * clock.Second)
	t.Logf("%d prompts, %d at home, %d queued for longer than they take", p.asked, p.home, p.queued)
	is.True(p.home*10 > p.asked*8)
	is.True(p.queued*10 < p.asked)
}

// zonePlay plays entries of several zones before endpoints that read one prompt after
// another.
type zonePlay struct {
	rnd     *rand.Rand
	fleet   *fleet.Snapshot
	zones   int
	entries []*Selector
	toldAt  []clock.Millis
	free    map[string]clock.Millis
	events  eventQueue
	// asked counts the prompts, home those sent to an endpoint of the entry's zone, and
	// queued those whose wait was longer than the reading of a long prompt.
	asked, home, queued int
}

func newZonePlay(zones, entries, endpoints int) *zonePlay {
	p := &zonePlay{rnd: rand.New(rand.NewPCG(5, 6)), zones: zones, free: make(map[string]clock.Millis)}
	p.fleet = fleetOf(zones*endpoints, func(i int, e *fleet.Endpoint) { e.Zone = fmt.Sprint("z", i%zones) })
	for range zones * entries {
		p.entries = append(p.entries, NewSelector())
	}
	p.toldAt = make([]clock.Millis, len(p.entries))
	return p
}

const (
	// A fifth of the prompts are long: largeReads is how long these are read, and
	// smallReads how long the others are.
	largeReads = 300 * clock.Millis(1)
	smallReads = 60 * clock.Millis(1)
	// promptsPerMillis is what all callers ask: three fifths of what is read.
	promptsPerMillis = 0.4
	// reportsApart is how often an entry may tell the others at the most.
	reportsApart = 150 * clock.Millis(1)
	reportsDue   = 300 * clock.Millis(1)
)

func (p *zonePlay) play(span clock.Millis) {
	for now := clock.Millis(0); now < span; now++ {
		for len(p.events) > 0 && p.events[0].at <= now {
			heap.Pop(&p.events).(event).do(now)
		}
		p.tell(now)
		if p.rnd.Float64() < promptsPerMillis {
			p.send(now, p.rnd.IntN(len(p.entries)))
		}
	}
}

// tell has entries tell the others of their zone, at once when there is news.
func (p *zonePlay) tell(now clock.Millis) {
	for i, b := range p.entries {
		due := now-p.toldAt[i] >= reportsDue
		select {
		case <-b.Urgent():
			due = true
		default:
		}
		if !due {
			continue
		}
		if now-p.toldAt[i] < reportsApart {
			b.signalUrgent()
			continue
		}
		p.toldAt[i] = now
		told := b.Report(now, true)
		for j := i % p.zones; j < len(p.entries); j += p.zones {
			if j != i {
				p.entries[j].Receive(fmt.Sprint("entry", i), told, true, now)
			}
		}
	}
}

func (p *zonePlay) send(now clock.Millis, i int) {
	b, zone := p.entries[i], fmt.Sprint("z", i%p.zones)
	tokens, reads := 2000, smallReads
	if p.rnd.IntN(5) == 0 {
		tokens, reads = 10000, largeReads
	}
	q := Query{Service: "s", Version: "v1", Zone: zone, Model: "m", Bytes: tokens, Now: now, Blocks: []Block{{fmt.Sprint("own", p.asked), tokens}}}
	e, _ := b.Select(p.fleet, q)
	w := b.Begin(e, q)
	p.asked++
	if e.Zone == zone {
		p.home++
	}
	if p.free[e.ID]-now > largeReads {
		p.queued++
	}
	p.free[e.ID] = max(p.free[e.ID], now) + reads
	heap.Push(&p.events, event{p.free[e.ID], func(now clock.Millis) {
		w.FirstByte(now)
		b.RecordActivity(e.ID, now)
		w.End()
	}})
}
