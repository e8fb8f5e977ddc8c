package burn

import (
	"bytes"
	"encoding/json"
	"math"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/table"
	"pgregory.net/rapid"
)

var testTables = &table.Tables{Routes: map[string]table.Route{
	"dossier": {QualityTarget: 0.9, Objective: table.Objective{Target: 0.95, Availability: 0.99, FirstToken: 390, TokenGap: 69}},
}}

type testRecorder struct {
	now      clock.Millis
	recorder *Recorder
}

func newTestRecorder() *testRecorder {
	t := &testRecorder{}
	t.recorder = NewRecorder(clock.New(func() clock.Millis { return t.now }))
	return t
}

// report returns a report as it is received over the wire.
func (t *testRecorder) report(is *is.I, vm string, epoch uint64) *Report {
	r, err := t.recorder.Report(vm, epoch, testTables, 1)
	is.NoErr(err)
	data, err := json.Marshal(r)
	is.NoErr(err)
	out := &Report{}
	is.NoErr(json.Unmarshal(data, out))
	return out
}

func (e *Evaluation) find(is *is.I, objective string) Line {
	for _, l := range e.Lines {
		if l.Objective == objective {
			return l
		}
	}
	is.Fail()
	return Line{}
}

// An entry reports twice because its first reply was late, and another entry restarts. Counting an
// incarnation twice would show too high a burn rate, and dropping one too low a rate.
func TestMergeCountsEachIncarnationOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		var reports []*Report
		want, bad := int64(0), int64(0)
		for epoch := range uint64(3) {
			x := newTestRecorder()
			n := rapid.Int64Range(1, 50).Draw(rt, "requests")
			x.recorder.Add(Key{Route: "dossier", Zone: "z1"}, Counts{Requests: n, Unanswered: 1})
			x.recorder.RecordLatency("dossier", 100, 10)
			x.now += clock.Second
			reports = append(reports, x.report(is, "entry-1", epoch))
			x.recorder.Add(Key{Route: "dossier", Zone: "z2"}, Counts{Requests: 1})
			x.now += clock.Second
			for range rapid.IntRange(1, 3).Draw(rt, "asked") {
				reports = append(reports, x.report(is, "entry-1", epoch))
			}
			want += n + 1
			bad++
		}
		reports = rapid.Permutation(reports).Draw(rt, "order")
		m, err := Merge(reports)
		is.NoErr(err)
		evaluation := m.Evaluate()
		l := evaluation.find(is, "availability")
		is.Equal(l.Events, want)
		is.Equal(l.Bad, float64(bad))
		is.Equal(evaluation.Latencies[0].Attempts, int64(3))
	})
}

// A version fails in one zone for 30 minutes. The page alert must be raised during the failure and
// end soon after it, while the budget remains spent.
func TestAlertsBeginAndEnd(t *testing.T) {
	is := is.New(t)
	x := newTestRecorder()
	serve := func(duration clock.Millis, unanswered int64) Line {
		for end := x.now + duration; x.now < end; x.now += 10 * clock.Second {
			x.recorder.Add(Key{Route: "dossier", Version: "a@1", Zone: "z1"}, Counts{Requests: 10})
			x.recorder.Add(Key{Route: "dossier", Version: "a@2", Zone: "z2"}, Counts{Requests: 10, Unanswered: unanswered})
		}
		m, err := Merge([]*Report{x.report(is, "e", 1)})
		is.NoErr(err)
		return m.Evaluate().find(is, "availability")
	}
	is.Equal(serve(clock.Hour, 0).Alert, NoAlert)
	during := serve(30*clock.Minute, 8)
	is.Equal(during.Alert, Page)
	is.Equal(during.Causes[0].Fraction, 1.0)
	is.True(math.Abs(during.Rates["5m"]-40) < 1e-9) // 40% unanswered, 1% allowed
	after := serve(20*clock.Minute, 0)
	is.True(after.Alert != Page)
	is.Equal(after.Rates["5m"], 0.0)
	is.True(after.BudgetRemaining < 0)
	is.True(serve(4*24*clock.Hour, 0).BudgetRemaining > 0.999) // the failure has left the longest window
}

// Operators read the page during network failures, when resources from other hosts cannot be
// loaded.
func TestPageIsSelfContained(t *testing.T) {
	is := is.New(t)
	x := newTestRecorder()
	x.recorder.Add(Key{Route: "dossier", Version: "a@1", Zone: "<z1>", Organisation: "desk"}, Counts{Requests: 100, Unanswered: 40, FirstTokens: 100, LateFirstTokens: 3, Ratings: 10, RatingSum: 9.5})
	x.recorder.RecordLatency("dossier", 350, 20)
	m, err := Merge([]*Report{x.report(is, "e", 1)})
	is.NoErr(err)
	evaluation := m.Evaluate()
	evaluation.Missing = []string{"entry-2"}
	var b, text bytes.Buffer
	is.NoErr(evaluation.WriteHTML(&b))
	is.NoErr(evaluation.WriteText(&text))
	page := b.String()
	is.Equal(strings.Count(page, "<svg"), len(evaluation.Lines))
	is.True(!strings.Contains(page, "<z1>")) // names are escaped
	for _, outside := range []string{"<link", "<script", "src=", "@import", "url("} {
		is.True(!strings.Contains(page, outside))
	}
	is.True(strings.Contains(page, "entry-2") && strings.Contains(text.String(), "entry-2"))
	if out := os.Getenv("BURN_PAGE"); out != "" {
		is.NoErr(os.WriteFile(out, b.Bytes(), 0o600))
		is.NoErr(os.WriteFile(out+".txt", text.Bytes(), 0o600))
	}
}

// A caller that invents organisations must not be able to fill the memory of every entry.
func TestKeysAreBounded(t *testing.T) {
	is := is.New(t)
	x := newTestRecorder()
	for i := range 3 * maxKeys {
		x.recorder.Add(Key{Route: "dossier", Organisation: string(rune(i + 1000))}, Counts{Requests: 1})
	}
	r := x.report(is, "e", 1)
	is.True(len(r.Windows["3d"]) <= maxKeys+1)
	m, err := Merge([]*Report{r})
	is.NoErr(err)
	is.Equal(m.Evaluate().find(is, "availability").Events, int64(3*maxKeys))
}

// Entries are replaced one after the other. A report that loses the counts of a stopped entry, or
// counts them at both processes that inherited them, would show a wrong budget.
func TestPlannedStopHandsOverCounts(t *testing.T) {
	is := is.New(t)
	first, second, third := newTestRecorder(), newTestRecorder(), newTestRecorder()
	second.now, third.now = 5*clock.Hour, 90*clock.Hour // different clocks
	handOver := func(from *testRecorder, vm string, to ...*testRecorder) {
		for _, h := range from.recorder.Handovers(vm, 1) {
			data, err := h.Encode()
			is.NoErr(err)
			got, err := DecodeHandover(data)
			is.NoErr(err)
			for _, x := range to {
				x.recorder.Inherit(got)
				x.recorder.Inherit(got)
			}
		}
	}
	evaluate := func() Line {
		m, err := Merge([]*Report{second.report(is, "b", 1), third.report(is, "c", 1)})
		is.NoErr(err)
		return m.Evaluate().find(is, "availability")
	}
	first.recorder.Add(Key{Route: "dossier"}, Counts{Requests: 100, Unanswered: 50})
	first.now += clock.Minute
	handOver(first, "a", second, third)
	is.Equal(evaluate().Events, int64(100))
	is.True(evaluate().Rates["5m"] > 0)
	second.now += 10 * clock.Minute
	third.now += 10 * clock.Minute
	_, recent := evaluate().Rates["5m"]
	is.True(!recent) // the failure has left the short window of both reports
	second.recorder.Add(Key{Route: "dossier"}, Counts{Requests: 10})
	handOver(second, "b", third)
	is.Equal(evaluate().Events, int64(110))
	third.now += 80 * clock.Hour
	m, err := Merge([]*Report{third.report(is, "c", 1)})
	is.NoErr(err)
	is.Equal(m.Evaluate().find(is, "availability").Events, int64(0))
}

func BenchmarkAdd(b *testing.B) {
	x := newTestRecorder()
	b.ReportAllocs()
	for b.Loop() {
		x.now++
		x.recorder.Add(Key{Route: "dossier", Version: "a@1", Zone: "z1", Organisation: "desk"}, Counts{Requests: 1})
	}
}

// An overspent budget must be shown in a form that operators understand at once, unlike "-1900%".
func TestOverspentBudgetText(t *testing.T) {
	is := is.New(t)
	is.Equal(Line{BudgetRemaining: 0.41}.budgetText(), "41%")
	is.Equal(Line{BudgetRemaining: 0}.budgetText(), "0%")
	is.Equal(Line{BudgetRemaining: -19}.budgetText(), "0%, spent 20.0 times")
}
