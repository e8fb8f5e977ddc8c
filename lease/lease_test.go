package lease

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/provider"
	"pgregory.net/rapid"
)

// script applies the lines of a data file to one State and prints its effects.
type script struct {
	s   State
	env Env
	now clock.Millis
	gen uint64
	out strings.Builder
}

func (c *script) line(line string) {
	f := strings.Fields(line)
	n, _ := strconv.Atoi(f[len(f)-1])
	switch f[0] {
	case "tables":
		c.env.Versions = f[1:]
		c.env.Revision++
	case "role":
		c.env.Role = f[1]
	case "tick":
		c.now += clock.Millis(n)
		c.reduce(event.Tick{Now: c.now})
	case "restart":
		c.gen++
		fallthrough
	case "engine":
		c.reduce(event.EngineReported{Now: c.now, Generation: c.gen, Versions: append([]string{}, f[1:]...), Revision: c.env.Revision})
	case "busy":
		c.reduce(event.EngineReported{Now: c.now, Generation: c.gen, Versions: f[1:], Busy: f[1:2], Revision: c.env.Revision})
	case "role-seen":
		c.reduce(event.EngineReported{Now: c.now, Generation: c.gen, Versions: c.env.Versions, Role: f[1], Revision: c.env.Revision})
	case "weights":
		c.reduce(event.WeightsDone{Now: c.now, Version: f[1]})
	case "weights-busy":
		c.reduce(event.WeightsDone{Now: c.now, Version: f[1], Err: provider.ErrBusy.New("rate limit")})
	case "lease":
		c.reduce(event.AppendDone{Now: c.now, Stream: provider.LeaseStream, ID: c.s.pendingLease, Offset: int64(n)})
	case "lease-lost":
		c.reduce(event.AppendDone{Now: c.now, Stream: provider.LeaseStream, ID: c.s.pendingLease, Err: errors.New("answer lost")})
	default:
		c.reduce(event.OrderDone{Now: c.now, ID: c.s.lastID, Outcome: outcomes[f[0]]})
	}
}

var outcomes = map[string]event.OrderOutcome{
	"taken": event.OrderAccepted, "refused": event.OrderRefused, "fenced": event.OrderFenced, "unknown": event.OrderUnknown,
}

func (c *script) reduce(e event.Event) {
	for _, f := range c.s.Reduce(e, c.env) {
		switch f := f.(type) {
		case event.FetchWeights:
			fmt.Fprintf(&c.out, "%d fetch %s\n", c.now, f.Version)
		case event.Append:
			fmt.Fprintf(&c.out, "%d take a lease\n", c.now)
		case event.SendOrder:
			fmt.Fprintf(&c.out, "%d %s %s fence %d\n", c.now, f.Kind, f.Version+f.Role, f.Fence)
		}
	}
}

// Each script is a sequence of engine reports, changes of the tables and failures.
func TestOrders(t *testing.T) {
	datadriven.RunTest(t, "testdata/orders", func(_ *testing.T, d *datadriven.TestData) string {
		c := &script{gen: 1, env: Env{VM: "vm-1", ChecksFencing: d.HasArg("checks-fencing")}}
		c.env.Withdrawn = func(v string) bool { return strings.HasPrefix(v, "bad") }
		for line := range strings.Lines(d.Input) {
			c.line(line)
		}
		return c.out.String()
	})
}

// engineModel models the engine and the log for two processes of one VM. Either process may be
// paused for any time and then send an order that it decided on before the pause.
type engineModel struct {
	checksFencing bool
	log           []provider.Record
	epochs        []uint64
	// seen is the highest fencing number that the engine acted on.
	seen int64
	// accepted holds the fencing numbers of the orders that the engine acted on, in this sequence.
	accepted []int64
}

// sendOrder models the endpoint's check just before it sends an order, and the engine's own check.
func (m *engineModel) sendOrder(fence int64) {
	if !m.checksFencing && HasNewer(m.log, "vm-1", fence) {
		return
	}
	if m.checksFencing && fence < m.seen {
		return
	}
	m.seen = max(m.seen, fence)
	m.accepted = append(m.accepted, fence)
}

// A process is paused after it acquired a lease. Its successor on the VM acquires another one and
// sends an order; then the first process continues with its old order. For any order of leases and
// orders, the engine never acts on an older lease after a newer one.
func TestNoOrderUnderOldLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &engineModel{checksFencing: rapid.Bool().Draw(t, "checks"), epochs: []uint64{1, 2}, seen: -1}
		states := []*State{{}, {}}
		envOf := func(i int) Env {
			return Env{VM: "vm-1", Epoch: m.epochs[i], Versions: []string{"a@1"}, Withdrawn: func(string) bool { return false }, Role: "decode", ChecksFencing: m.checksFencing}
		}
		var delayed []func()
		now := clock.Millis(0)
		var step func(i int, e event.Event)
		step = func(i int, e event.Event) {
			for _, x := range states[i].Reduce(e, envOf(i)) {
				switch x := x.(type) {
				case event.Append:
					m.log = append(m.log, provider.Record{Offset: int64(len(m.log)), Data: x.Data})
					offset := int64(len(m.log) - 1)
					step(i, event.AppendDone{Now: now, Stream: x.Stream, ID: x.ID, Offset: offset})
				case event.FetchWeights:
					step(i, event.WeightsDone{Now: now, Version: x.Version})
				case event.SendOrder:
					delayed = append(delayed, func() { m.sendOrder(x.Fence) })
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				now += clock.Millis(rapid.IntRange(1, 20_000).Draw(t, "span"))
				i := rapid.IntRange(0, 1).Draw(t, "holder")
				step(i, event.EngineReported{Now: now, Generation: 1, Versions: []string{}})
			},
			"order": func(t *rapid.T) {
				if len(delayed) == 0 {
					t.Skip()
				}
				n := rapid.IntRange(0, len(delayed)-1).Draw(t, "which")
				delayed[n]()
				delayed = slices.Delete(delayed, n, n+1)
			},
			"": func(t *rapid.T) {
				if !slices.IsSorted(m.accepted) {
					t.Fatalf("engine acted on fences %v", m.accepted)
				}
			},
		})
	})
}

// All endpoints of a pool need a new version at once, and the weight store allows five fetches per
// second. Without retry delays that grow and that differ between endpoints, they would send it
// hundreds of requests. The test uses no random numbers, so each run makes the same requests.
func TestWeightFetchesBackOffUnderRateLimit(t *testing.T) {
	is := is.New(t)
	const endpoints, perSecond = 40, 5
	states := make([]State, endpoints)
	fetched := 0
	requests, refused := 0, 0
	now, quota := clock.Millis(0), 0
	for ; fetched < endpoints; now += 100 {
		if now%clock.Second == 0 {
			quota = perSecond
		}
		for i := range states {
			env := Env{VM: fmt.Sprintf("vm-%d", i), Versions: []string{"a@1"}, Withdrawn: func(string) bool { return false }}
			for _, f := range states[i].Reduce(event.EngineReported{Now: now, Generation: 1, Versions: []string{}}, env) {
				x, ok := f.(event.FetchWeights)
				if !ok {
					continue
				}
				requests++
				var err error
				if quota == 0 {
					refused++
					err = provider.ErrBusy.New("rate limit")
				} else {
					quota--
					fetched++
				}
				states[i].Reduce(event.WeightsDone{Now: now, Version: x.Version, Err: err}, env)
			}
		}
		is.True(now < 10*clock.Minute) // every endpoint gets its weights
	}
	t.Logf("%d endpoints had their weights after %v, with %d requests, %d refused", endpoints, now, requests, refused)
	is.True(requests <= 400)
}
