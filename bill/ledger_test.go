package bill

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/parsleydeal/parsleydeal/batch"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// TestLedger runs the scripts under testdata/ledger, which send events to one ledger and print its
// effects.
func TestLedger(t *testing.T) {
	datadriven.Walk(t, "testdata/ledger", func(t *testing.T, path string) {
		l := NewLedger("zone-a", 2)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var now int64
			d.MaybeScanArgs(t, "now", &now)
			if d.Cmd == "reserve" {
				return fmt.Sprintln(l.Reserve())
			}
			effects := l.Reduce(newEvent(t, d, clock.Millis(now)))
			return effectsText(effects) + fmt.Sprintf("secure=%v\n", l.Replicated())
		})
	})
}

func newEvent(t *testing.T, d *datadriven.TestData, now clock.Millis) Event {
	var vm, zone, request string
	d.MaybeScanArgs(t, "vm", &vm)
	d.MaybeScanArgs(t, "zone", &zone)
	d.MaybeScanArgs(t, "request", &request)
	b := &wire.Bill{Request: request, Steps: []*wire.Step{{Attempt: 1, Cost: 5, Whole: true}}}
	switch d.Cmd {
	case "place":
		return MembersChanged{Now: now, Assignment: newAssignment(d.Input)}
	case "finish":
		return Finish{Now: now, Bill: b, Reserved: true}
	case "orphan":
		return Finish{Now: now, Bill: &wire.Bill{Request: request, Steps: []*wire.Step{{Attempt: 2, Cost: 3, Whole: true}}}}
	case "held", "refused":
		return HoldReplied{Now: now, Request: request, VM: vm, Held: d.Cmd == "held"}
	case "take":
		return HoldRequested{Now: now, Zone: zone, Keeper: vm, Bills: []*wire.Bill{b}}
	case "stored":
		return Stored{IDs: []string{request}}
	case "released":
		return Released{Requests: []string{request}}
	case "drain":
		return Drain{Now: now}
	}
	return Tick{Now: now}
}

// newAssignment parses lines of the form "vm zone".
func newAssignment(input string) *batch.Assignment {
	var members []batch.Member
	for line := range strings.Lines(input) {
		f := strings.Fields(line)
		members = append(members, batch.Member{ID: f[0], Zone: f[1], Entry: true})
	}
	return batch.NewAssignment(batch.Member{ID: "self", Zone: "zone-a"}, members)
}

func effectsText(effects []Effect) string {
	var b strings.Builder
	for _, x := range effects {
		switch x := x.(type) {
		case Hold:
			fmt.Fprintf(&b, "hold %s at %s\n", x.Bill.GetRequest(), x.VM)
		case Append:
			fmt.Fprintf(&b, "append %s cost %d\n", x.ID, Cost(x.Bill))
		case Safe:
			fmt.Fprintf(&b, "safe %s\n", x.Request)
		case Release:
			fmt.Fprintf(&b, "release %v at %s\n", x.Requests, x.VM)
		case Withdraw:
			fmt.Fprintf(&b, "withdraw %v\n", x.IDs)
		case ReplyHold:
			fmt.Fprintf(&b, "accept %v %s\n", x.Held, x.Reason)
		}
	}
	return b.String()
}

// BenchmarkWaitingBill measures the memory of one bill that is not on the log yet and has a holder.
// It does not include the memory of its Append in package batch.
func BenchmarkWaitingBill(b *testing.B) {
	l := NewLedger("zone-a", b.N)
	l.Reduce(MembersChanged{Assignment: newAssignment("vm-b zone-b")})
	b.ReportAllocs()
	for i := range b.N {
		if err := l.Reserve(); err != nil {
			b.Fatal(err)
		}
		id := fmt.Sprintf("%08x-0000-4000-8000-%012x", i, i)
		step := &wire.Step{Attempt: 1, Version: "large@12", Vm: "endpoint-0417", Usage: &wire.Usage{InputTokens: 2100, OutputTokens: 270}, Cost: 2619, Whole: true}
		l.Reduce(Finish{Reserved: true, Bill: &wire.Bill{Request: id, Organisation: "registry-desk", Route: "dossier", Steps: []*wire.Step{step}}})
		l.Reduce(HoldReplied{Request: id, VM: "vm-b", Held: true})
	}
	b.StopTimer()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(m.HeapAlloc)/float64(b.N), "heap-B/bill")
	runtime.KeepAlive(l)
}
