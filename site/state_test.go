package site

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/upgrade"
	"pgregory.net/rapid"
)

// TestScripts runs the scripts in testdata. Each command is an event at a time in milliseconds;
// its output is the externally visible effects. The command "view" prints the published view.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := NewState(Self{Name: "entry-b", Process: "entry-b/1", Zone: "a", Exposure: 0.2}, 0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "view" {
				return viewText(s.View(), s.now)
			}
			return effectsText(Reduce(s, parseEvent(t, d)))
		})
	})
}

// args holds the arguments of a command.
type args struct {
	t *testing.T
	d *datadriven.TestData
}

func (a args) text(key string) string {
	for _, x := range a.d.CmdArgs {
		if x.Key == key && len(x.Vals) > 0 {
			return x.Vals[0]
		}
	}
	return ""
}

func (a args) has(key string) bool { return a.d.HasArg(key) }

func (a args) number(key string) int64 {
	text := a.text(key)
	if text == "" {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		a.t.Fatalf("%s: %v", key, err)
	}
	return n
}

func parseEvent(t *testing.T, d *datadriven.TestData) Event {
	t.Helper()
	a := args{t, d}
	now := clock.Millis(a.number("at"))
	switch d.Cmd {
	case "tick":
		return Tick{Now: now}
	case "failed":
		return StoreFailed{Now: now}
	case "stood-still":
		return StoodStill{Now: now, For: clock.Millis(a.number("for"))}
	case "operator":
		return OperatorRead{Now: now, SentAt: clock.Millis(a.number("sent")), Full: a.has("whole"), Update: parseUpdate(t, d.Input), Next: Position{Era: a.number("era"), Offset: a.number("next")}, From: a.number("from")}
	case "endpoints":
		return EndpointsRead{Now: now, SentAt: now, Full: a.has("whole"), Changes: parseChanges(t, d.Input)}
	case "verdicts":
		return VerdictsRead{Now: now, Verdicts: parseVerdicts(t, d.Input), Next: Position{Era: a.number("era"), Offset: a.number("next")}}
	case "entries":
		addresses := make(map[string]string)
		for _, name := range strings.Fields(d.Input) {
			addresses[name] = "10.0.0.1:" + name
		}
		return EntriesRead{Now: now, Addresses: addresses}
	case "written":
		v := parseVerdicts(t, d.Input)[0]
		if a.has("moved") {
			return WriteDone{Now: now, Verdict: v, At: Position{Era: a.number("era"), Offset: a.number("offset")}, Era: a.number("era"), Err: ErrMoved.New("elsewhere")}
		}
		return WriteDone{Now: now, Verdict: v, At: Position{Era: a.number("era"), Offset: a.number("offset")}, Era: a.number("era")}
	case "counted":
		return parseCounts(a, now)
	case "heard":
		return parseReport(a, now)
	}
	t.Fatalf("unknown command %q", d.Cmd)
	return nil
}

// parseUpdate parses lines such as "config 4", "zone a out" and "order pool v2 24000 7".
func parseUpdate(t *testing.T, text string) (u OperatorUpdate) {
	for _, line := range lines(text) {
		f := strings.Fields(line)
		switch f[0] {
		case "config":
			version, _ := strconv.ParseInt(f[1], 10, 64)
			u.Config = configOf(version)
		case "zone":
			u.Zones = append(u.Zones, ZoneChange{Zone: f[1], Out: f[2] == "out"})
		case "order":
			duration, _ := strconv.ParseInt(f[3], 10, 64)
			number, _ := strconv.ParseInt(f[4], 10, 64)
			u.Orders = append(u.Orders, upgrade.Order{Service: f[1], Target: f[2], Duration: clock.Millis(duration), Number: number})
		default:
			t.Fatalf("unknown update %q", line)
		}
	}
	return u
}

// parseChanges parses lines such as "i-1 v1 a ready born=1 sequence=2" and "i-1 gone".
func parseChanges(t *testing.T, text string) (out []fleet.Change) {
	for _, line := range lines(text) {
		f := strings.Fields(line)
		if f[1] == "gone" {
			out = append(out, fleet.Change{ID: f[0]})
			continue
		}
		e := &fleet.Endpoint{ID: f[0], Service: "pool", Version: f[1], Zone: f[2], Slots: 4, Leaving: f[3] == "leaving", Address: "10.0.1.1:1"}
		for _, x := range f[4:] {
			key, value, _ := strings.Cut(x, "=")
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			switch key {
			case "born":
				e.Incarnation = n
			case "sequence":
				e.Sequence = n
			case "cold-until":
				e.ColdUntil = clock.Millis(n)
			}
		}
		out = append(out, fleet.Change{ID: e.ID, Endpoint: e})
	}
	return out
}

var phases = map[string]upgrade.Phase{"running": upgrade.Running, "completed": upgrade.Completed, "rolled-back": upgrade.RolledBack}

// parseVerdicts parses lines such as "pool v2 running".
func parseVerdicts(_ *testing.T, text string) (out []Verdict) {
	for _, line := range lines(text) {
		f := strings.Fields(line)
		out = append(out, Verdict{Service: f[0], Target: f[1], Phase: phases[f[2]]})
	}
	return out
}

// parseCounts parses the arguments "new" and "old", which hold the counts of the two versions on
// the route chat as "ended/bad", and "running", the number of requests running on the old version.
func parseCounts(a args, now clock.Millis) Event {
	pair := func(key string) upgrade.Count {
		ended, bad, _ := strings.Cut(a.text(key), "/")
		n, _ := strconv.ParseInt(ended, 10, 64)
		m, _ := strconv.ParseInt(bad, 10, 64)
		return upgrade.Count{Ended: n, Bad: m}
	}
	return TrafficCounts{
		Now:     now,
		Counts:  map[string]upgrade.Counts{"pool": {{Route: "chat", Target: true}: pair("new"), {Route: "chat"}: pair("old")}},
		Orders:  map[string]int64{"pool": max(a.number("order"), 1)},
		Running: map[string]map[string]int{"pool": {"v1": int(a.number("running"))}},
	}
}

func parseReport(a args, now clock.Millis) Event {
	name := a.text("from")
	r := &wire.EntryReport{
		Process: name + "/1", Name: name, Address: "10.0.0.1:" + name, OperatorNext: a.number("next"), StoreEra: a.number("era"), OperatorFrom: a.number("since"), Version: a.number("version"),
		StoreAgeMillis: a.number("store-age"), ServedMillis: a.number("served"), Standby: a.has("standby"), AskMillis: a.number("ask"), ReplyMillis: a.number("reply"), ReplyTo: a.text("reply-to"),
		ConfirmedAgeMillis: a.number("age"), FleetAgeMillis: a.number("age"),
	}
	e := ReportReceived{Now: now, Report: r}
	if a.d.Input != "" {
		e.Update = parseUpdate(a.t, a.d.Input)
		r.Records = []*wire.StoreRecord{{Stream: int32(OperatorStream), Key: "x"}}
	}
	if a.has("upgrade") {
		r.Upgrades = []*wire.UpgradeReport{{
			Service: "pool", Target: "v2", Number: a.number("upgrade"), AgeMillis: a.number("upgrade-age"), Phase: int32(phases[a.text("phase")]), Reason: "theirs", Old: int32(a.number("old")),
		}}
	}
	return e
}

func lines(text string) []string {
	return slices.DeleteFunc(strings.Split(text, "\n"), func(l string) bool { return strings.TrimSpace(l) == "" })
}

func effectsText(effects []Effect) string {
	var b strings.Builder
	for _, f := range effects {
		switch f := f.(type) {
		case LogLine:
			fmt.Fprintf(&b, "say %s", f.Message)
			for i := 0; i+1 < len(f.Fields); i += 2 {
				fmt.Fprintf(&b, " %v=%v", f.Fields[i], f.Fields[i+1])
			}
			b.WriteString("\n")
		case Write:
			fmt.Fprintf(&b, "write %s %s %s at %d\n", f.Verdict.Service, f.Verdict.Target, f.Verdict.Phase, f.At.Offset)
		case SendReport:
			if r := f.Report; r.GetReplyMillis() > 0 {
				fmt.Fprintf(&b, "reply to %s: asked %d, confirmed %d ago\n", f.To, r.GetReplyMillis(), r.GetConfirmedAgeMillis())
			} else if len(r.GetRecords()) > 0 {
				fmt.Fprintf(&b, "push %d records\n", len(r.GetRecords()))
			}
		}
	}
	if b.Len() == 0 {
		return "nothing\n"
	}
	return b.String()
}

func viewText(v *View, now clock.Millis) string {
	var b strings.Builder
	if v.Config() == nil {
		return "knows nothing\n"
	}
	fmt.Fprintf(&b, "config %d, confirmed at %d, entries %d, reader %t\n", v.Config().Version(), v.ConfirmedAt(), v.Entries(), v.Reader())
	for _, id := range slices.Sorted(maps.Keys(v.Fleet().All())) {
		e := v.Fleet().Find(id)
		fmt.Fprintf(&b, "%s %s zone %s usable %t", id, e.Version, e.Zone, v.Fleet().Usable(e))
		if v.Fleet().Cold(e, now) {
			b.WriteString(" cold")
		}
		b.WriteString("\n")
	}
	r := v.Rule("pool", now)
	fmt.Fprintf(&b, "pool: current %q target %q banned %q share %.2f pinned %t\n", r.Current, r.Target, r.Banned, r.Share, r.Pinned)
	return b.String()
}

// Guards against using a reply that was meant for the previous process with this address. That
// process had another clock, so the reply would make the configuration look newer than it is, by
// seconds.
func TestReplyToPreviousProcessIsIgnored(t *testing.T) {
	is := is.New(t)
	s := NewState(Self{Name: "b", Process: "b/2"}, 0)
	Reduce(s, VerdictsRead{Now: 100})
	Reduce(s, EndpointsRead{Now: 100, SentAt: 90})
	Reduce(s, OperatorRead{Now: 100, SentAt: 90, Full: true, Next: Position{Offset: 5}, Update: parseUpdate(t, "config 1")})
	r := &wire.EntryReport{Process: "a/1", Name: "a", OperatorNext: 5, Version: 1, ReplyMillis: 4000, ReplyTo: "b/1"}
	Reduce(s, ReportReceived{Now: 5000, Report: r})
	is.Equal(s.View().ConfirmedAt(), clock.Millis(90))
	r.ReplyTo = "b/2"
	r.ConfirmedAgeMillis = 700
	Reduce(s, ReportReceived{Now: 5000, Report: r})
	is.Equal(s.View().ConfirmedAt(), clock.Millis(3300))
}

// Guards against limits being exceeded during a rolling restart, when the last entry has nearly
// all callers. It takes over the shares of the leaving entries, which keep a small part for their
// current requests, so that the sum stays within the limit.
func TestLeavingEntryReleasesItsShare(t *testing.T) {
	is := is.New(t)
	s := NewState(Self{Name: "b", Process: "b/1"}, 0)
	Reduce(s, EntriesRead{Now: 10, Addresses: map[string]string{"a": "x", "b": "y", "c": "z"}})
	Reduce(s, ReportReceived{Now: 20, Report: &wire.EntryReport{Process: "a/1", Name: "a", Address: "x"}})
	Reduce(s, ReportReceived{Now: 20, Report: &wire.EntryReport{Process: "c/1", Name: "c", Address: "z"}})
	is.Equal(s.View().Entries(), 3)
	Reduce(s, ReportReceived{Now: 30, Report: &wire.EntryReport{Process: "a/1", Name: "a", Address: "x", Leaving: true}})
	is.Equal(s.View().Entries(), 2)
	Reduce(s, ReportReceived{Now: 40, Report: &wire.EntryReport{Process: "a/2", Name: "a", Address: "x"}})
	is.Equal(s.View().Entries(), 3)
	Reduce(s, EndpointsRead{Now: 50, Full: true, Changes: parseChanges(t, "i-1 v1 a ready")})
	before := s.View().Shares()["a"].Entries
	Reduce(s, Leave{})
	is.Equal(s.View().Shares()["a"].Entries, 4*before)
}

// Entries of several zones share an endpoint's limit, of which localFraction is reserved for the
// entries of its own zone. The sum of all shares must never exceed the limit.
func TestSharesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d", "e", "f", "g"}[:rapid.IntRange(1, 7).Draw(t, "entries")]
		zones := make(map[string]string)
		for _, name := range names {
			zones[name] = rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "zone")
		}
		total := float64(rapid.IntRange(1, 40).Draw(t, "bound"))
		sum := 0
		for _, name := range names {
			s := NewState(Self{Name: name, Process: name, Zone: zones[name]}, 0)
			addresses := make(map[string]string)
			for _, other := range names {
				addresses[other] = other
			}
			Reduce(s, EntriesRead{Now: 1, Addresses: addresses})
			for _, other := range names {
				Reduce(s, ReportReceived{Now: 2, Report: &wire.EntryReport{Process: other, Name: other, Zone: zones[other], Address: other}})
			}
			Reduce(s, EndpointsRead{Now: 3, Full: true, Changes: []fleet.Change{{ID: "i", Endpoint: &fleet.Endpoint{ID: "i", Zone: "x"}}}})
			sum += s.View().Shares()["x"].Quota(total, "i")
		}
		if sum > int(total) {
			t.Fatalf("the shares sum to %d, the limit is %g", sum, total)
		}
	})
}

// Guards against operators' changes going unread when both readers of the store freeze without
// notice. The others notice that their reports have stopped, and read the store themselves in time
// for a configuration that is published meanwhile.
func TestFrozenReadersAreReplaced(t *testing.T) {
	is := is.New(t)
	s := NewState(Self{Name: "c", Process: "c/1"}, 0)
	Reduce(s, VerdictsRead{Now: 100})
	Reduce(s, EndpointsRead{Now: 100, SentAt: 90})
	Reduce(s, OperatorRead{Now: 100, SentAt: 90, Full: true, Next: Position{Offset: 5}, Update: parseUpdate(t, "config 1")})
	for _, name := range []string{"a", "b"} {
		Reduce(s, ReportReceived{Now: 1000, Report: &wire.EntryReport{Process: name, Name: name, Address: name, OperatorNext: 5}})
	}
	view := s.View()
	readAt := clock.Millis(0)
	for now := clock.Millis(1000); now <= 4000 && readAt == 0; now += 100 {
		for _, f := range Reduce(s, Tick{Now: now}) {
			if _, ok := f.(Publish); ok {
				view = s.View()
			}
		}
		if view.wants(OperatorStream, now) && now > 1100 {
			readAt = now
		}
	}
	is.True(readAt > 0 && readAt <= 2700) // 1.7 s after their last report
}
