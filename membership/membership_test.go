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

// Each script in testdata is a sequence of faults of the VM list, of VMs or of messages, with the
// expected members after each step.
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
				var seconds int64
				scan("seconds", &seconds)
				now += clock.Millis(seconds) * clock.Second
				do(event.Tick{Now: now})
			case "fail":
				do(event.PeerFailed{Now: now, VM: vm})
			case "load":
				do(event.LoadReceived{Now: now, Load: &wire.Load{Vm: vm, Epoch: epoch, Sequence: sequence, Held: held, Leaving: d.HasArg("leaving")}})
			case "digest":
				do(event.DigestReceived{Now: now, Digest: &wire.Digest{Vm: vm, Epoch: epoch, Leaving: d.HasArg("leaving")}})
			}
			return describe(s.Members(), changed)
		})
	})
}

// parseVMs parses lines of "id zone address", optionally followed by "leaving".
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

func describe(m *Members, changed bool) string {
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

// Every answer carries a load, which must not cause a new snapshot: in a large site, this would
// cost more than everything else that control does.
func TestLoadReportBuildsNoSnapshot(t *testing.T) {
	is := is.New(t)
	s := newLargeState()
	e := event.LoadReceived{Now: 1, Load: &wire.Load{Vm: "vm-0007", Epoch: 1}}
	s.Reduce(e)
	before := s.Members()
	allocs := testing.AllocsPerRun(100, func() { e.Load.Sequence++; s.Reduce(e) })
	is.Equal(before, s.Members())
	is.True(allocs < 1)
}

// The number of polls must stay within its bound, or a process would exceed its share of the
// network. Busy endpoints must not be polled: their loads already come with answers.
func TestPollsAreBounded(t *testing.T) {
	is := is.New(t)
	s := newLargeState()
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
	is.True(polls <= 60*5*maxPollsPerTick)
}

func newLargeState() State {
	s := New("self")
	var vms []provider.VM
	for i := range 1380 {
		vms = append(vms, provider.VM{ID: fmt.Sprintf("vm-%04d", i), Role: provider.EndpointRole, Pool: fmt.Sprint(i % 13), Zone: fmt.Sprint(i % 12), Address: fmt.Sprint(i)})
	}
	s.Reduce(event.VMsListed{VMs: vms})
	return s
}

// BenchmarkEvents measures the cost of each kind of event with 1,380 VMs.
func BenchmarkEvents(b *testing.B) {
	s := newLargeState()
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
