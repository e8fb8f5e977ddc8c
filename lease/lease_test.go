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

// script drives one State by lines of a file and writes its effects.
type script struct {
	s   State
	k   Env
	now clock.Millis
	gen uint64
	out strings.Builder
}

func (c *script) line(line string) {
	f := strings.Fields(line)
	n, _ := strconv.Atoi(f[len(f)-1])
	switch f[0] {
	case "tables":
		c.k.Versions = f[1:]
		c.k.Revision++
	case "role":
		c.k.Role = f[1]
	case "tick":
		c.now += clock.Millis(n)
		c.reduce(event.Tick{Now: c.now})
	case "restart":
		c.gen++
		fallthrough
	case "engine":
		c.reduce(event.EngineReported{Now: c.now, Generation: c.gen, Versions: append([]string{}, f[1:]...), Revision: c.k.Revision})
	case "busy":
		c.reduce(event.EngineReported{Now: c.now, Generation: c.gen, Versions: f[1:], Busy: f[1:2], Revision: c.k.Revision})
	case "role-seen":
		c.reduce(event.EngineReported{Now: c.now, Generation: c.gen, Versions: c.k.Versions, Role: f[1], Revision: c.k.Revision})
	case "weights":
		c.reduce(event.WeightsDone{Now: c.now, Version: f[1]})
	case "weights-busy":
		c.reduce(event.WeightsDone{Now: c.now, Version: f[1], Err: provider.ErrBusy.New("rate limit")})
	case "lease":
		c.reduce(event.AppendDone{Now: c.now, Stream: provider.LeaseStream, ID: c.s.taking, Offset: int64(n)})
	case "lease-lost":
		c.reduce(event.AppendDone{Now: c.now, Stream: provider.LeaseStream, ID: c.s.taking, Err: errors.New("answer lost")})
	default:
		c.reduce(event.OrderDone{Now: c.now, ID: c.s.number, Outcome: outcomes[f[0]]})
	}
}

var outcomes = map[string]event.OrderOutcome{
	"taken": event.OrderAccepted, "refused": event.OrderRefused, "fenced": event.OrderFenced, "unknown": event.OrderUnknown,
}

func (c *script) reduce(e event.Event) {
	for _, f := range c.s.Reduce(e, c.k) {
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

// Each script is one story of an engine, the tables and what fails between them.
func TestOrders(t *testing.T) {
	datadriven.RunTest(t, "testdata/orders", func(_ *testing.T, d *datadriven.TestData) string {
		c := &script{gen: 1, k: Env{VM: "vm-1", ChecksFencing: d.HasArg("checks-fencing")}}
		c.k.Withdrawn = func(v string) bool { return strings.HasPrefix(v, "bad") }
		for line := range strings.Lines(d.Input) {
			c.line(line)
		}
		return c.out.String()
	})
}

// fleet models the engine, the log and two processes of one VM, of which either
// may be paused for any time and act on what it decided before.
type fleet struct {
	checks bool
	log    []provider.Record
	epochs []uint64
	// seen is the highest fence that the engine acted on.
	seen   int64
	passed []int64
}

// give models the last step before the engine, as endpoint.order takes it.
func (f *fleet) give(fence int64) {
	if !f.checks && HasNewer(f.log, "vm-1", fence) {
		return
	}
	if f.checks && fence < f.seen {
		return
	}
	f.seen = max(f.seen, fence)
	f.passed = append(f.passed, fence)
}

// A process is paused after it took a lease; its successor on the VM takes
// another and orders the engine; then the first goes on with its old order. In
// whatever order leases and orders come, the engine never acts on an older lease
// after a newer one.
func TestNoOrderUnderOldLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{checks: rapid.Bool().Draw(t, "checks"), epochs: []uint64{1, 2}, seen: -1}
		states := []*State{{}, {}}
		known := func(i int) Env {
			return Env{VM: "vm-1", Epoch: f.epochs[i], Versions: []string{"a@1"}, Withdrawn: func(string) bool { return false }, Role: "decode", ChecksFencing: f.checks}
		}
		var waiting []func()
		now := clock.Millis(0)
		var act func(i int, e event.Event)
		act = func(i int, e event.Event) {
			for _, x := range states[i].Reduce(e, known(i)) {
				switch x := x.(type) {
				case event.Append:
					f.log = append(f.log, provider.Record{Offset: int64(len(f.log)), Data: x.Data})
					offset := int64(len(f.log) - 1)
					act(i, event.AppendDone{Now: now, Stream: x.Stream, ID: x.ID, Offset: offset})
				case event.FetchWeights:
					act(i, event.WeightsDone{Now: now, Version: x.Version})
				case event.SendOrder:
					waiting = append(waiting, func() { f.give(x.Fence) })
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				now += clock.Millis(rapid.IntRange(1, 20_000).Draw(t, "span"))
				i := rapid.IntRange(0, 1).Draw(t, "holder")
				act(i, event.EngineReported{Now: now, Generation: 1, Versions: []string{}})
			},
			"order": func(t *rapid.T) {
				if len(waiting) == 0 {
					t.Skip()
				}
				n := rapid.IntRange(0, len(waiting)-1).Draw(t, "which")
				waiting[n]()
				waiting = slices.Delete(waiting, n, n+1)
			},
			"": func(t *rapid.T) {
				if !slices.IsSorted(f.passed) {
					t.Fatalf("engine acted on fences %v", f.passed)
				}
			},
		})
	})
}

// All endpoints of a pool need a new version at once, and the weight store lets
// five through a second. Without a pause that grows and differs they would ask it
// hundreds of times; the figures are the same each run.
func TestWeightFetchesBackOffUnderRateLimit(t *testing.T) {
	is := is.New(t)
	const endpoints, perSecond = 40, 5
	states := make([]State, endpoints)
	have := 0
	asked, refused := 0, 0
	now, room := clock.Millis(0), 0
	for ; have < endpoints; now += 100 {
		if now%clock.Second == 0 {
			room = perSecond
		}
		for i := range states {
			k := Env{VM: fmt.Sprintf("vm-%d", i), Versions: []string{"a@1"}, Withdrawn: func(string) bool { return false }}
			for _, f := range states[i].Reduce(event.EngineReported{Now: now, Generation: 1, Versions: []string{}}, k) {
				x, ok := f.(event.FetchWeights)
				if !ok {
					continue
				}
				asked++
				var err error
				if room == 0 {
					refused++
					err = provider.ErrBusy.New("rate limit")
				} else {
					room--
					have++
				}
				states[i].Reduce(event.WeightsDone{Now: now, Version: x.Version, Err: err}, k)
			}
		}
		is.True(now < 10*clock.Minute) // every endpoint gets its weights
	}
	t.Logf("%d endpoints had their weights after %v, asked %d times, refused %d", endpoints, now, asked, refused)
	is.True(asked <= 400)
}
