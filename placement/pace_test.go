package placement

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
	"github.com/parsleydeal/parsleydeal/fleet"
)

func paceSite() (*fleet.Snapshot, Query) {
	f := fleet.New()
	for _, id := range []string{"i-1", "i-2"} {
		f.Apply([]fleet.Change{{ID: id, Endpoint: &fleet.Endpoint{ID: id, Service: "pool", Zone: "a", Slots: 64}}}, false)
	}
	return f.Snapshot(), Query{Service: "pool", Zone: "a", Model: "m", Blocks: []Block{{ID: "x", Tokens: 9000}}, Now: 1000}
}

// Guards against prompts for an endpoint whose VM is busy with other work, and against avoiding it
// when that work has ended: its last report says nothing any more.
func TestBusyNeighbourIsAvoidedWhileItLasts(t *testing.T) {
	is := is.New(t)
	s, q := paceSite()
	sel := NewSelector()
	for range 3 {
		sel.RecordPace("i-1", 1, q.Now-paceTTL)
		sel.RecordPace("i-2", 1.2, q.Now-paceTTL)
	}
	first := func(now clock.Millis) string {
		q.Now = now
		e, _ := sel.Select(s, q)
		return e.ID
	}
	is.Equal(first(1000), "i-1")
	sel.RecordPace("i-1", 2.5, 1000)
	is.Equal(first(1001), "i-2")
	is.Equal(first(1000+paceTTL), "i-1")
}

// Guards against a model that looks slow because the VMs of its endpoints are busy: prompts would
// be refused that could be answered in time.
func TestBusyNeighbourDoesNotSlowModelEstimate(t *testing.T) {
	is := is.New(t)
	s, q := paceSite()
	sel := NewSelector()
	for i := range 40 {
		q.Now = clock.Millis(i) * clock.Second
		w := sel.Begin(s.Find("i-1"), q)
		w.FirstByte(q.Now+450, 2.5) // 180 ms at the usual pace: 0.02 ms per token
		w.End()
	}
	perToken := sel.estimates.millisPerToken["m"]
	is.True(perToken > 0.018 && perToken < 0.023)
}

// A report of one endpoint's pace reaches other entries at once if it is a large change, and with
// the next full report otherwise. Reports that entries only passed on are not sent again.
func TestPaceIsReportedBetweenEntries(t *testing.T) {
	is := is.New(t)
	s, q := paceSite()
	a, b := NewSelector(), NewSelector()
	b.Begin(s.Find("i-1"), q).End()
	a.RecordPace("i-1", 1, 1000)
	b.Receive("a", a.Report(1010, true), true, 1020)
	is.Equal(b.states["i-1"].pace.expected(decision.Recent, 1020), 1.0)
	a.RecordPace("i-1", 1.1, 1030)
	is.Equal(len(a.Report(1040, false)), 0) // a small change waits
	a.RecordPace("i-1", 2.5, 1100)
	b.Receive("a", a.Report(1110, false), false, 1110)
	is.True(b.states["i-1"].pace.expected(decision.Recent, 1110) > 2.4)
	is.Equal(len(b.Report(1120, true)), 0) // b has it from a only
}

// An older report of an endpoint's pace must not replace a newer one.
func TestOldPaceReportIsIgnored(t *testing.T) {
	is := is.New(t)
	p := pace{}
	p.record(2, 1000)
	p.record(1, 900)
	is.Equal(p.reported, 2.0)
	is.Equal(p.expected(decision.Ignored, 1000), usualPace)
	is.True(p.expected(decision.Typical, 1000) < 2)
}
