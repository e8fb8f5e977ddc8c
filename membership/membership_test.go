package membership

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
)

// Each script tells the story of one failure of the list, of a VM or of a
// message, and shows whom traffic may reach afterwards.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := New("self")
		now := clock.Millis(0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			changed := false
			do := func(e event.Event) {
				_, c := s.Reduce(e)
				changed = changed || c
			}
			scan := func(key string, into any) {
				if d.HasArg(key) {
					d.ScanArgs(t, key, into)
				}
			}
			var vm string
			var epoch, sequence uint64
			var held int32
			scan("vm", &vm)
			scan("epoch", &epoch)
			scan("sequence", &sequence)
			scan("held", &held)
			switch d.Cmd {
			case "list":
				do(event.VMsListed{Now: now, VMs: parseVMs(d.Input)})
			case "wait":
				var span int64
				scan("seconds", &span)
				now += clock.Millis(span) * clock.Second
				do(event.Tick{Now: now})
			case "fail":
				do(event.PeerFailed{Now: now, VM: vm})
			case "load":
				do(event.LoadReceived{Now: now, Load: &wire.Load{Vm: vm, Epoch: epoch, Sequence: sequence, Held: held, Leaving: d.HasArg("leaving")}})
			case "digest":
				do(event.DigestReceived{Now: now, Digest: &wire.Digest{Vm: vm, Epoch: epoch, Leaving: d.HasArg("leaving")}})
			}
			return show(s.Members(), changed)
		})
	})
}

// parseVMs reads lines of "id zone address", with "leaving" at the end of some.
func parseVMs(input string) (vms []provider.VM) {
	for _, line := range strings.Split(strings.TrimSpace(input), "\n") {
		f := strings.Fields(line)
		if len(f) < 3 {
			continue
		}
		vms = append(vms, provider.VM{ID: f[0], Role: provider.EndpointRole, Pool: "p", Zone: f[1], Address: f[2], Leaving: len(f) > 3})
	}
	return vms
}

func show(m *Members, changed bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "new picture: %v\n", changed)
	for _, v := range m.VMs() {
		fmt.Fprintf(&b, "%s at %s", v.ID, v.Address)
		if l := m.Load(v.ID); l != nil {
			fmt.Fprintf(&b, " holds %d", l.GetHeld())
		}
		if m.Leaving(v) {
			b.WriteString(" leaving")
		}
		if m.Suspected(v.ID) {
			b.WriteString(" suspected")
		}
		b.WriteString("\n")
	}
	return b.String()
}

// Every answer carries a load. At the two-year size, a new picture for each
// would cost more than all else that control does.
func TestLoadReportBuildsNoSnapshot(t *testing.T) {
	is := is.New(t)
	s := large()
	e := event.LoadReceived{Now: 1, Load: &wire.Load{Vm: "vm-0007", Epoch: 1}}
	s.Reduce(e)
	before := s.Members()
	allocs := testing.AllocsPerRun(100, func() { e.Load.Sequence++; s.Reduce(e) })
	is.Equal(before, s.Members())
	is.True(allocs < 1)
}

// Polls beyond the budget would take a node over its share of the network, and
// polls of busy endpoints would tell what the answers told already.
func TestPollsAreBounded(t *testing.T) {
	is := is.New(t)
	s := large()
	busy := "vm-0009"
	polls := 0
	for now := clock.Millis(0); now < clock.Minute; now += 200 {
		for i := range 1380 {
			if now == 0 || fmt.Sprintf("vm-%04d", i) == busy {
				s.Reduce(event.LoadReceived{Now: now, Load: &wire.Load{Vm: fmt.Sprintf("vm-%04d", i)}})
			}
		}
		effects, _ := s.Reduce(event.Tick{Now: now})
		for _, f := range effects {
			polls++
			is.True(f.(event.Exchange).VM != busy)
		}
	}
	is.True(polls > 100)
	is.True(polls <= 60*5*pollsPerTick)
}

func large() State {
	s := New("self")
	var vms []provider.VM
	for i := range 1380 {
		vms = append(vms, provider.VM{ID: fmt.Sprintf("vm-%04d", i), Role: provider.EndpointRole, Pool: fmt.Sprint(i % 13), Zone: fmt.Sprint(i % 12), Address: fmt.Sprint(i)})
	}
	s.Reduce(event.VMsListed{VMs: vms})
	return s
}

// BenchmarkEvents shows the cost of each kind of event at 1,380 VMs.
func BenchmarkEvents(b *testing.B) {
	s := large()
	vms := s.Members().VMs()
	load := &wire.Load{Vm: "vm-0007", Epoch: 1}
	now := clock.Millis(0)
	for name, e := range map[string]func() event.Event{
		"load": func() event.Event { load.Sequence++; return event.LoadReceived{Now: now, Load: load} },
		"tick": func() event.Event { now += 200; return event.Tick{Now: now} },
		"digest": func() event.Event {
			return event.DigestReceived{Now: now, Digest: &wire.Digest{Vm: "vm-0008", Epoch: 2}}
		},
		"list": func() event.Event { return event.VMsListed{Now: now, VMs: vms} },
		"fail": func() event.Event { now += 2000; return event.PeerFailed{Now: now, VM: "vm-0009"} },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.Reduce(e())
			}
		})
	}
}
