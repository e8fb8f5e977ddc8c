package rollout

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/evidence"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/table"
)

func tables(released int) *table.Tables {
	return &table.Tables{
		Versions: map[string]table.Version{"m@1": {Quality: 0.9}, "m@2": {Quality: 0.9, Released: released}},
		Routes: map[string]table.Route{"r": {Models: []table.RouteModel{
			{Model: "m", Shares: map[string]float64{"1": 0.9, "2": 0.1}},
		}}},
	}
}

func known(self string, now clock.Millis, t *table.Tables) Env {
	vms := []provider.VM{{ID: "a", Role: provider.EntryRole}, {ID: "b", Role: provider.EntryRole}}
	return Env{Self: self, Now: now, Tables: t, VMs: vms}
}

func seen(version, org string, t evidence.Stats) []evidence.Delta {
	return []evidence.Delta{{Key: evidence.Key{Route: "r", Version: version, Organisation: org}, Stats: t}}
}

func appends(effects []event.Effect) (out []event.Append) {
	for _, f := range effects {
		if a, ok := f.(event.Append); ok {
			out = append(out, a)
		}
	}
	return out
}

func page(data ...[]byte) event.LogRead {
	e := event.LogRead{Stream: provider.HoldStream}
	for i, d := range data {
		e.Page.Records = append(e.Page.Records, provider.Record{Offset: int64(i), Data: d})
	}
	return e
}

// judges returns who acts first and second on the version under test.
func judges() (first, second string) {
	names := evidence.Judges(known("", 0, nil).VMs, "m@2")
	return names[0], names[1]
}

var bad = evidence.Stats{Started: 20, Errors: 20}

// A version fails half of its requests. The first judge puts a hold on the log;
// every other process reads it and gives the version no new work. The record
// stands there twice, since an answer was lost, and that changes nothing. The
// operators publish a higher release, which ends the hold for good, also when
// the first record is read once more.
func TestHoldFromEvidenceToRelease(t *testing.T) {
	is := is.New(t)
	first, _ := judges()
	s, other := NewState(), NewState()
	effects, changed := s.Reduce(event.Tick{}, seen("m@2", "o", bad), known(first, 0, tables(0)))
	is.Equal(len(effects), 0) // ticks carry no evidence
	is.True(!changed)
	effects, changed = s.Reduce(event.Observed{}, seen("m@2", "o", bad), known(first, 0, tables(0)))
	is.True(changed)
	is.True(s.Holds(tables(0)).Held("m@2", "o")) // obeyed here before the log has it
	records := appends(effects)
	is.Equal(len(records), 1)

	_, changed = other.Reduce(page(records[0].Data, records[0].Data), nil, known("z", 0, tables(0)))
	is.True(changed)
	is.True(other.Holds(tables(0)).Held("m@2", "anyone"))
	is.True(!other.Holds(tables(0)).Held("m@1", "anyone"))
	is.True(!other.Holds(tables(1)).Held("m@2", "anyone"))
	other.Reduce(event.Tick{}, nil, known("z", 0, tables(1)))
	other.Reduce(page(records[0].Data), nil, known("z", 0, tables(1)))
	is.True(!other.Holds(tables(1)).Held("m@2", "anyone"))
}

// The first judge vanishes, or its append fails, just after the evidence came.
// The second one, which got the same counts, must put the hold on the log.
func TestSecondJudgeTakesOver(t *testing.T) {
	is := is.New(t)
	first, second := judges()
	s := NewState()
	effects, _ := s.Reduce(event.Observed{}, seen("m@2", "o", bad), known(second, 0, tables(0)))
	is.Equal(len(appends(effects)), 0) // not its turn yet
	effects, _ = s.Reduce(event.Tick{}, nil, known(second, stepIn, tables(0)))
	is.Equal(len(appends(effects)), 1)

	s = NewState()
	effects, _ = s.Reduce(event.Observed{}, seen("m@2", "o", bad), known(first, 0, tables(0)))
	done := event.AppendDone{Stream: provider.HoldStream, ID: appends(effects)[0].ID, Err: errors.New("log is down")}
	s.Reduce(done, nil, known(first, 100, tables(0)))
	effects, _ = s.Reduce(event.Tick{}, nil, known(first, 100+retryEvery, tables(0)))
	is.Equal(len(appends(effects)), 1)
}

// The version was good for a million requests and turns bad. The good past must
// not have to be outweighed first.
func TestVersionThatTurnsBadLateIsHeld(t *testing.T) {
	is := is.New(t)
	s := NewState()
	for range 1000 {
		_, changed := s.Reduce(event.Observed{}, seen("m@2", "o", evidence.Stats{Started: 990, Errors: 10}), known("a", 0, tables(0)))
		is.True(!changed)
	}
	_, changed := s.Reduce(event.Observed{}, seen("m@2", "o", bad), known("a", 0, tables(0)))
	is.True(changed)
}

// One organisation's requests make the version fail while those of the others
// are answered well. Only that organisation is moved away from it.
func TestVersionIsHeldForOneOrganisation(t *testing.T) {
	is := is.New(t)
	s := NewState()
	s.Reduce(event.Observed{}, seen("m@2", "bad", evidence.Stats{Started: 1, Errors: 1}), known("a", 0, tables(0)))
	s.Reduce(event.Observed{}, seen("m@2", "good", evidence.Stats{Started: 35}), known("a", 0, tables(0)))
	s.Reduce(event.Observed{}, seen("m@2", "bad", evidence.Stats{Started: 20, Errors: 20}), known("a", 0, tables(0)))
	is.True(s.Holds(tables(0)).Held("m@2", "bad"))
	is.True(!s.Holds(tables(0)).Held("m@2", "good"))
}

// Engines of both versions fail together, say for a lost switch. Holding
// whichever version happens to be new would stop a good roll-out.
func TestCommonCauseHoldsNothing(t *testing.T) {
	is := is.New(t)
	s := NewState()
	s.Reduce(event.Observed{}, seen("m@1", "o", evidence.Stats{Started: 90_000}), known("a", 0, tables(0)))
	s.Reduce(event.Observed{}, seen("m@2", "o", evidence.Stats{Started: 10_000}), known("a", 0, tables(0)))
	for range 300 {
		s.Reduce(event.Observed{}, seen("m@1", "o", evidence.Stats{Started: 42, Errors: 18}), known("a", 0, tables(0)))
		s.Reduce(event.Observed{}, seen("m@2", "o", evidence.Stats{Started: 5, Errors: 2}), known("a", 0, tables(0)))
	}
	is.Equal(len(s.Holds(tables(0)).List()), 0)
}

// The old version is withdrawn halfway through a roll-out and the new one turns
// bad. Holding it too would refuse the whole route; operators are told instead.
func TestLastVersionIsReportedNotHeld(t *testing.T) {
	is := is.New(t)
	s := NewState()
	last := tables(0)
	last.Versions["m@1"] = table.Version{Withdrawn: true}
	effects, _ := s.Reduce(event.Observed{}, seen("m@2", "o", bad), known("a", 0, last))
	is.Equal(len(s.Holds(last).List()), 0)
	is.Equal(len(appends(effects)), 0)
	is.Equal(len(effects), 1) // the report
}

// The dear model fails on a route whose target the cheap one does not reach.
// Holding it would leave versions in the route and none that may answer.
func TestHoldLeavesAVersionThatMeetsTheTarget(t *testing.T) {
	is := is.New(t)
	target := tables(0)
	target.Versions["m@1"] = table.Version{Quality: 0.5}
	r := target.Routes["r"]
	r.QualityTarget = 0.8
	target.Routes["r"] = r
	s := NewState()
	for range 200 {
		s.Reduce(event.Observed{}, seen("m@2", "o", bad), known("a", 0, target))
	}
	is.Equal(len(s.Holds(target).List()), 0)
}

// A bad rating is worth as much as what lacks to 1: the mean falls from 0.9 to
// 0.6 while no request fails.
func TestPoorRatingsHoldVersion(t *testing.T) {
	is := is.New(t)
	s := NewState()
	s.Reduce(event.Rated{}, seen("m@2", "o", evidence.Stats{Ratings: 200, RatingSum: 170}), known("a", 0, tables(0)))
	is.True(!s.Holds(tables(0)).Held("m@2", "o"))
	s.Reduce(event.Rated{}, seen("m@2", "o", evidence.Stats{Ratings: 200, RatingSum: 120}), known("a", 0, tables(0)))
	is.True(s.Holds(tables(0)).Held("m@2", "o"))
}

// The log keeps records for a limited time, and processes that start later read
// none of the older ones. A hold that stands must be written again by then.
func TestHoldIsRenewedBeforeRetentionEnds(t *testing.T) {
	is := is.New(t)
	first, _ := judges()
	s := NewState()
	effects, _ := s.Reduce(event.Observed{}, seen("m@2", "o", bad), known(first, 0, tables(0)))
	s.Reduce(page(appends(effects)[0].Data), nil, known(first, 0, tables(0)))
	effects, _ = s.Reduce(event.Tick{}, nil, known(first, renewEvery-1, tables(0)))
	is.Equal(len(appends(effects)), 0)
	effects, _ = s.Reduce(event.Tick{}, nil, known(first, renewEvery, tables(0)))
	is.Equal(len(appends(effects)), 1)
	effects, _ = s.Reduce(event.Tick{}, nil, known(first, renewEvery+1, tables(0)))
	is.Equal(len(appends(effects)), 0) // once
}

// Somebody writes rubbish to the stream. It must not stop the holds after it.
func TestMalformedRecordIsSkipped(t *testing.T) {
	is := is.New(t)
	first, _ := judges()
	s := NewState()
	effects, _ := s.Reduce(event.Observed{}, seen("m@2", "o", bad), known(first, 0, tables(0)))
	other := NewState()
	other.Reduce(page([]byte("rubbish"), appends(effects)[0].Data), nil, known("z", 0, tables(0)))
	is.True(other.Holds(tables(0)).Held("m@2", "o"))
}

// Two judges find one version bad each, at the same moment, and both holds come
// to the log. Together they would refuse the whole route; every process must
// drop the later one, whichever order it heard of them in.
func TestRacingHoldsLeaveOneVersion(t *testing.T) {
	is := is.New(t)
	one, err := Encode(&wire.Hold{Version: "m@1"})
	is.NoErr(err)
	two, err := Encode(&wire.Hold{Version: "m@2"})
	is.NoErr(err)
	s := NewState()
	s.Reduce(page(two, one), nil, known("z", 0, tables(0)))
	is.True(s.Holds(tables(0)).Held("m@2", "o"))
	is.True(!s.Holds(tables(0)).Held("m@1", "o"))
}

// A gate reads the log seldom. It must learn of a hold from any peer that knows
// it from the log, and not from one that only found it due itself; and a judge
// that keeps hearing of its hold must still renew it on the log.
func TestHoldIsReceivedInDigests(t *testing.T) {
	is := is.New(t)
	first, _ := judges()
	s, gate := NewState(), NewState()
	tell := func(now clock.Millis) event.DigestReceived {
		return event.DigestReceived{Now: now, Digest: &wire.Digest{Holds: s.Holds(tables(0)).Logged()}}
	}
	effects, _ := s.Reduce(event.Observed{}, seen("m@2", "o", bad), known(first, 0, tables(0)))
	gate.Reduce(tell(0), nil, known("z", 0, tables(0)))
	is.True(!gate.Holds(tables(0)).Held("m@2", "o")) // the log does not have it yet
	s.Reduce(page(appends(effects)[0].Data), nil, known(first, 0, tables(0)))
	_, changed := gate.Reduce(tell(0), nil, known("z", 0, tables(0)))
	is.True(changed)
	is.True(gate.Holds(tables(0)).Held("m@2", "o"))
	_, changed = gate.Reduce(tell(0), nil, known("z", 0, tables(0)))
	is.True(!changed)
	s.Reduce(tell(renewEvery-1), nil, known(first, renewEvery-1, tables(0)))
	effects, _ = s.Reduce(event.Tick{}, nil, known(first, renewEvery, tables(0)))
	is.Equal(len(appends(effects)), 1)
}
