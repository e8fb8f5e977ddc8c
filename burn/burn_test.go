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

var routes = &table.Tables{Routes: map[string]table.Route{
	"dossier": {QualityTarget: 0.9, Objective: table.Objective{Target: 0.95, Availability: 0.99, FirstToken: 390, TokenGap: 69}},
}}

type timed struct {
	now clock.Millis
	r   *Recorder
}

func newTimed() *timed {
	t := &timed{}
	t.r = NewRecorder(clock.New(func() clock.Millis { return t.now }))
	return t
}

// report makes a report as it comes over the wire.
func (t *timed) report(is *is.I, vm string, epoch uint64) *Report {
	r, err := t.r.Report(vm, epoch, routes, 1)
	is.NoErr(err)
	data, err := json.Marshal(r)
	is.NoErr(err)
	out := &Report{}
	is.NoErr(json.Unmarshal(data, out))
	return out
}

func (v *Evaluation) find(is *is.I, objective string) Line {
	for _, l := range v.Lines {
		if l.Objective == objective {
			return l
		}
	}
	is.Fail()
	return Line{}
}

// An entry is asked twice, since the first answer came late, and another was
// restarted. Counting a life twice, or dropping one, would show a burn that never
// was, or hide one.
func TestMergeCountsEachIncarnationOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		var reports []*Report
		want, bad := int64(0), int64(0)
		for epoch := range uint64(3) {
			x := newTimed()
			n := rapid.Int64Range(1, 50).Draw(rt, "requests")
			x.r.Add(Key{Route: "dossier", Zone: "z1"}, Counts{Requests: n, Unanswered: 1})
			x.r.RecordLatency("dossier", 100, 10)
			x.now += clock.Second
			reports = append(reports, x.report(is, "entry-1", epoch))
			x.r.Add(Key{Route: "dossier", Zone: "z2"}, Counts{Requests: 1})
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
		v := m.Evaluate()
		l := v.find(is, "availability")
		is.Equal(l.Events, want)
		is.Equal(l.Bad, float64(bad))
		is.Equal(v.Latencies[0].Attempts, int64(3))
	})
}

// A version fails in one zone for ten minutes. The short windows must page while
// it lasts, and stop once it has ended, while the budget stays spent.
func TestAlertsBeginAndEnd(t *testing.T) {
	is := is.New(t)
	x := newTimed()
	serve := func(span clock.Millis, unanswered int64) Line {
		for end := x.now + span; x.now < end; x.now += 10 * clock.Second {
			x.r.Add(Key{Route: "dossier", Version: "a@1", Zone: "z1"}, Counts{Requests: 10})
			x.r.Add(Key{Route: "dossier", Version: "a@2", Zone: "z2"}, Counts{Requests: 10, Unanswered: unanswered})
		}
		m, err := Merge([]*Report{x.report(is, "e", 1)})
		is.NoErr(err)
		return m.Evaluate().find(is, "availability")
	}
	is.Equal(serve(clock.Hour, 0).Alert, NoAlert)
	during := serve(30*clock.Minute, 8)
	is.Equal(during.Alert, Page)
	is.Equal(during.Causes[0].Fraction, 1.0)
	is.True(math.Abs(during.Rates["5m"]-40) < 1e-9) // 40 in 100 unanswered, 1 allowed
	after := serve(20*clock.Minute, 0)
	is.True(after.Alert != Page)
	is.Equal(after.Rates["5m"], 0.0)
	is.True(after.BudgetRemaining < 0)
	is.True(serve(4*24*clock.Hour, 0).BudgetRemaining > 0.999) // left the longest window
}

// A page with parts from elsewhere shows nothing on an operator's phone beside a
// broken network, which is when it is read.
func TestPageIsSelfContained(t *testing.T) {
	is := is.New(t)
	x := newTimed()
	x.r.Add(Key{Route: "dossier", Version: "a@1", Zone: "<z1>", Organisation: "desk"}, Counts{Requests: 100, Unanswered: 40, FirstTokens: 100, LateFirstTokens: 3, Ratings: 10, RatingSum: 9.5})
	x.r.RecordLatency("dossier", 350, 20)
	m, err := Merge([]*Report{x.report(is, "e", 1)})
	is.NoErr(err)
	v := m.Evaluate()
	v.Missing = []string{"entry-2"}
	var b, text bytes.Buffer
	is.NoErr(v.WriteHTML(&b))
	is.NoErr(v.WriteText(&text))
	page := b.String()
	is.Equal(strings.Count(page, "<svg"), len(v.Lines))
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

// A caller who makes up organisations could fill the memory of every entry.
func TestKeysAreBounded(t *testing.T) {
	is := is.New(t)
	x := newTimed()
	for i := range 3 * maxKeys {
		x.r.Add(Key{Route: "dossier", Organisation: string(rune(i + 1000))}, Counts{Requests: 1})
	}
	r := x.report(is, "e", 1)
	is.True(len(r.Windows["3d"]) <= maxKeys+1)
	m, err := Merge([]*Report{r})
	is.NoErr(err)
	is.Equal(m.Evaluate().find(is, "availability").Events, int64(3*maxKeys))
}

// Entries are replaced one after the other all day. A report that lost what each
// had served, or counted it at both heirs, would show a budget that is not there.
func TestPlannedStopHandsOverCounts(t *testing.T) {
	is := is.New(t)
	first, second, third := newTimed(), newTimed(), newTimed()
	second.now, third.now = 5*clock.Hour, 90*clock.Hour // clocks of their own
	hand := func(from *timed, vm string, to ...*timed) {
		for _, l := range from.r.Handovers(vm, 1) {
			data, err := l.Encode()
			is.NoErr(err)
			got, err := DecodeHandover(data)
			is.NoErr(err)
			for _, x := range to {
				x.r.Inherit(got)
				x.r.Inherit(got)
			}
		}
	}
	judge := func() Line {
		m, err := Merge([]*Report{second.report(is, "b", 1), third.report(is, "c", 1)})
		is.NoErr(err)
		return m.Evaluate().find(is, "availability")
	}
	first.r.Add(Key{Route: "dossier"}, Counts{Requests: 100, Unanswered: 50})
	first.now += clock.Minute
	hand(first, "a", second, third)
	is.Equal(judge().Events, int64(100))
	is.True(judge().Rates["5m"] > 0)
	second.now += 10 * clock.Minute
	third.now += 10 * clock.Minute
	_, recent := judge().Rates["5m"]
	is.True(!recent) // it left the short window at both heirs
	second.r.Add(Key{Route: "dossier"}, Counts{Requests: 10})
	hand(second, "b", third)
	is.Equal(judge().Events, int64(110))
	third.now += 80 * clock.Hour
	m, err := Merge([]*Report{third.report(is, "c", 1)})
	is.NoErr(err)
	is.Equal(m.Evaluate().find(is, "availability").Events, int64(0))
}

func BenchmarkAdd(b *testing.B) {
	x := newTimed()
	b.ReportAllocs()
	for b.Loop() {
		x.now++
		x.r.Add(Key{Route: "dossier", Version: "a@1", Zone: "z1", Organisation: "desk"}, Counts{Requests: 1})
	}
}

// An operator on call reads "-1900%" and has to work out what it means.
func TestOverspentBudgetText(t *testing.T) {
	is := is.New(t)
	is.Equal(Line{BudgetRemaining: 0.41}.left(), "41%")
	is.Equal(Line{BudgetRemaining: 0}.left(), "0%")
	is.Equal(Line{BudgetRemaining: -19}.left(), "0%, spent 20.0 times")
}
