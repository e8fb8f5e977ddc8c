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

// Guards against prompts that queue behind long ones while other endpoints are idle. 66 entries in
// six zones report their work only within their zone and use three fifths of the prefill capacity
// of 72 endpoints. When entries sent three quarters of their prompts to other zones, from which
// they get no reports, callers waited several times as long as the prefill takes. Entries must
// prefer endpoints whose work is reported to them, and report long prompts at once. Over 80% of the
// prompts must then stay in the zone of their entry, and under 10% wait for longer than the prefill
// of a long prompt (300 ms).
func TestEntriesPreferEndpointsWithReportedWork(t *testing.T) {
	is := is.New(t)
	sim := newZoneSimulation(6, 11, 12)
	sim.simulate(12 * clock.Second)
	t.Logf("%d prompts, %d to endpoints of the same zone, %d queued for longer than a long prefill", sim.requests, sim.sameZone, sim.queued)
	is.True(sim.sameZone*10 > sim.requests*8)
	is.True(sim.queued*10 < sim.requests)
}

// zoneSimulation simulates entries of several zones and endpoints that prefill one prompt after
// another.
type zoneSimulation struct {
	rnd        *rand.Rand
	fleet      *fleet.Snapshot
	zones      int
	entries    []*Selector
	reportedAt []clock.Millis
	freeAt     map[string]clock.Millis
	events     eventQueue
	// requests counts the prompts, sameZone those sent to an endpoint of the entry's zone, and
	// queued those that waited for longer than the prefill of a long prompt.
	requests, sameZone, queued int
}

func newZoneSimulation(zones, entries, endpoints int) *zoneSimulation {
	sim := &zoneSimulation{rnd: rand.New(rand.NewPCG(5, 6)), zones: zones, freeAt: make(map[string]clock.Millis)}
	sim.fleet = fleetOf(zones*endpoints, func(i int, e *fleet.Endpoint) { e.Zone = fmt.Sprint("z", i%zones) })
	for range zones * entries {
		sim.entries = append(sim.entries, NewSelector())
	}
	sim.reportedAt = make([]clock.Millis, len(sim.entries))
	return sim
}

const (
	// longPrefill is the prefill time of a fifth of the prompts, and shortPrefill that of the
	// others.
	longPrefill  = 300 * clock.Millis(1)
	shortPrefill = 60 * clock.Millis(1)
	// promptsPerMillis is the rate of all callers: three fifths of the prefill capacity.
	promptsPerMillis = 0.4
	// minReportInterval is the minimum interval between two reports of an entry, and
	// reportInterval the interval without urgent reports.
	minReportInterval = 150 * clock.Millis(1)
	reportInterval    = 300 * clock.Millis(1)
)

func (sim *zoneSimulation) simulate(duration clock.Millis) {
	for now := clock.Millis(0); now < duration; now++ {
		for len(sim.events) > 0 && sim.events[0].at <= now {
			heap.Pop(&sim.events).(event).fire(now)
		}
		sim.exchangeReports(now)
		if sim.rnd.Float64() < promptsPerMillis {
			sim.send(now, sim.rnd.IntN(len(sim.entries)))
		}
	}
}

// exchangeReports sends the reports that are due or urgent to the other entries of a zone.
func (sim *zoneSimulation) exchangeReports(now clock.Millis) {
	for i, sel := range sim.entries {
		due := now-sim.reportedAt[i] >= reportInterval
		select {
		case <-sel.Urgent():
			due = true
		default:
		}
		if !due {
			continue
		}
		if now-sim.reportedAt[i] < minReportInterval {
			sel.signalUrgent()
			continue
		}
		sim.reportedAt[i] = now
		reports := sel.Report(now, true)
		for j := i % sim.zones; j < len(sim.entries); j += sim.zones {
			if j != i {
				sim.entries[j].Receive(fmt.Sprint("entry", i), reports, true, now)
			}
		}
	}
}

func (sim *zoneSimulation) send(now clock.Millis, i int) {
	sel, zone := sim.entries[i], fmt.Sprint("z", i%sim.zones)
	tokens, prefill := 2000, shortPrefill
	if sim.rnd.IntN(5) == 0 {
		tokens, prefill = 10000, longPrefill
	}
	q := Query{Service: "s", Version: "v1", Zone: zone, Model: "m", Bytes: tokens, Now: now, Blocks: []Block{{fmt.Sprint("own", sim.requests), tokens}}}
	e, _ := sel.Select(sim.fleet, q)
	w := sel.Begin(e, q)
	sim.requests++
	if e.Zone == zone {
		sim.sameZone++
	}
	if sim.freeAt[e.ID]-now > longPrefill {
		sim.queued++
	}
	sim.freeAt[e.ID] = max(sim.freeAt[e.ID], now) + prefill
	heap.Push(&sim.events, event{sim.freeAt[e.ID], func(now clock.Millis) {
		w.FirstByte(now, 0)
		sel.RecordActivity(e.ID, now)
		w.End()
	}})
}
