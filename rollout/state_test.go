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

func envOf(self string, now clock.Millis, t *table.Tables) Env {
	vms := []provider.VM{{ID: "a", Role: provider.EntryRole}, {ID: "b", Role: provider.EntryRole}}
	return Env{Self: self, Now: now, Tables: t, VMs: vms}
}

func deltasOf(version, org string, t evidence.Stats) []evidence.Delta {
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

func logPage(data ...[]byte) event.LogRead {
	e := event.LogRead{Stream: provider.HoldStream}
	for i, d := range data {
		e.Page.Records = append(e.Page.Records, provider.Record{Offset: int64(i), Data: d})
	}
	return e
}

// judges returns the first two judges of version m@2, the processes that sum its outcome counts
// and decide whether to hold it.
func judges() (first, second string) {
	names := evidence.Judges(envOf("", 0, nil).VMs, "m@2")
	return names[0], names[1]
}

var bad = evidence.Stats{Started: 20, Errors: 20}

// A version fails half of its requests. Its first judge appends a hold to the log; every other
// process reads it and gives the version no new work. The log's reply to the append is lost, so
// that the record appears twice, which must change nothing. The operators then publish a higher
// release. It must end the hold for good, even when the first record is read again.
func TestHoldFromEvidenceToRelease(t *testing.T) {
	is := is.New(t)
	first, _ := judges()
	s, other := NewState(), NewState()
	effects, changed := s.Reduce(event.Tick{}, deltasOf("m@2", "o", bad), envOf(first, 0, tables(0)))
	is.Equal(len(effects), 0) // ticks carry no evidence
	is.True(!changed)
	effects, changed = s.Reduce(event.AttemptEnded{}, deltasOf("m@2", "o", bad), envOf(first, 0, tables(0)))
	is.True(changed)
	is.True(s.Holds(tables(0)).Held("m@2", "o")) // in force here before it is on the log
	records := appends(effects)
	is.Equal(len(records), 1)

	_, changed = other.Reduce(logPage(records[0].Data, records[0].Data), nil, envOf("z", 0, tables(0)))
	is.True(changed)
	is.True(other.Holds(tables(0)).Held("m@2", "anyone"))
	is.True(!other.Holds(tables(0)).Held("m@1", "anyone"))
	is.True(!other.Holds(tables(1)).Held("m@2", "anyone"))
	other.Reduce(event.Tick{}, nil, envOf("z", 0, tables(1)))
	other.Reduce(logPage(records[0].Data), nil, envOf("z", 0, tables(1)))
	is.True(!other.Holds(tables(1)).Held("m@2", "anyone"))
}

// The first judge becomes unreachable, or its append fails, just after the evidence arrived. In
// the first case the second judge, which has the same counts, must append the hold; in the second,
// the first judge must try again.
func TestSecondJudgeTakesOver(t *testing.T) {
	is := is.New(t)
	first, second := judges()
	s := NewState()
	effects, _ := s.Reduce(event.AttemptEnded{}, deltasOf("m@2", "o", bad), envOf(second, 0, tables(0)))
	is.Equal(len(appends(effects)), 0) // the second judge first waits for takeoverDelay
	effects, _ = s.Reduce(event.Tick{}, nil, envOf(second, takeoverDelay, tables(0)))
	is.Equal(len(appends(effects)), 1)

	s = NewState()
	effects, _ = s.Reduce(event.AttemptEnded{}, deltasOf("m@2", "o", bad), envOf(first, 0, tables(0)))
	done := event.AppendDone{Stream: provider.HoldStream, ID: appends(effects)[0].ID, Err: errors.New("log is down")}
	s.Reduce(done, nil, envOf(first, 100, tables(0)))
	effects, _ = s.Reduce(event.Tick{}, nil, envOf(first, 100+retryInterval, tables(0)))
	is.Equal(len(appends(effects)), 1)
}

// A version is good for a million requests and then turns bad. It must be held soon: the good
// outcomes must not offset the later failures.
func TestVersionThatTurnsBadLateIsHeld(t *testing.T) {
	is := is.New(t)
	s := NewState()
	for range 1000 {
		_, changed := s.Reduce(event.AttemptEnded{}, deltasOf("m@2", "o", evidence.Stats{Started: 990, Errors: 10}), envOf("a", 0, tables(0)))
		is.True(!changed)
	}
	_, changed := s.Reduce(event.AttemptEnded{}, deltasOf("m@2", "o", bad), envOf("a", 0, tables(0)))
	is.True(changed)
}

// A version fails for the requests of one organisation only. It must be held for that organisation
// and remain in use for the others.
func TestVersionIsHeldForOneOrganisation(t *testing.T) {
	is := is.New(t)
	s := NewState()
	s.Reduce(event.AttemptEnded{}, deltasOf("m@2", "bad", evidence.Stats{Started: 1, Errors: 1}), envOf("a", 0, tables(0)))
	s.Reduce(event.AttemptEnded{}, deltasOf("m@2", "good", evidence.Stats{Started: 35}), envOf("a", 0, tables(0)))
	s.Reduce(event.AttemptEnded{}, deltasOf("m@2", "bad", evidence.Stats{Started: 20, Errors: 20}), envOf("a", 0, tables(0)))
	is.True(s.Holds(tables(0)).Held("m@2", "bad"))
	is.True(!s.Holds(tables(0)).Held("m@2", "good"))
}

// Engines of both versions fail together, for example because a network switch failed. No version
// must be held: it would be whichever happens to be new, and a good roll-out would stop.
func TestCommonCauseHoldsNothing(t *testing.T) {
	is := is.New(t)
	s := NewState()
	s.Reduce(event.AttemptEnded{}, deltasOf("m@1", "o", evidence.Stats{Started: 90_000}), envOf("a", 0, tables(0)))
	s.Reduce(event.AttemptEnded{}, deltasOf("m@2", "o", evidence.Stats{Started: 10_000}), envOf("a", 0, tables(0)))
	for range 300 {
		s.Reduce(event.AttemptEnded{}, deltasOf("m@1", "o", evidence.Stats{Started: 42, Errors: 18}), envOf("a", 0, tables(0)))
		s.Reduce(event.AttemptEnded{}, deltasOf("m@2", "o", evidence.Stats{Started: 5, Errors: 2}), envOf("a", 0, tables(0)))
	}
	is.Equal(len(s.Holds(tables(0)).List()), 0)
}

// The old version is withdrawn during a roll-out and the new one turns bad. Holding it too would
// refuse the whole route; operators must be alerted instead.
func TestLastVersionIsReportedNotHeld(t *testing.T) {
	is := is.New(t)
	s := NewState()
	last := tables(0)
	last.Versions["m@1"] = table.Version{Withdrawn: true}
	effects, _ := s.Reduce(event.AttemptEnded{}, deltasOf("m@2", "o", bad), envOf("a", 0, last))
	is.Equal(len(s.Holds(last).List()), 0)
	is.Equal(len(appends(effects)), 0)
	is.Equal(len(effects), 1) // the alert to operators
}

// The expensive model fails on a route whose quality target the cheap model does not meet. It must
// not be held: the route would be left with versions that may not answer.
func TestHoldLeavesAVersionThatMeetsTheTarget(t *testing.T) {
	is := is.New(t)
	target := tables(0)
	target.Versions["m@1"] = table.Version{Quality: 0.5}
	r := target.Routes["r"]
	r.QualityTarget = 0.8
	target.Routes["r"] = r
	s := NewState()
	for range 200 {
		s.Reduce(event.AttemptEnded{}, deltasOf("m@2", "o", bad), envOf("a", 0, target))
	}
	is.Equal(len(s.Holds(target).List()), 0)
}

// A rating counts as a fraction of a bad outcome, its difference from 1. The configured quality is
// 0.9. A mean rating of 0.85 is tolerated, but when ratings fall to 0.6 the version must be held
// although no request fails.
func TestPoorRatingsHoldVersion(t *testing.T) {
	is := is.New(t)
	s := NewState()
	s.Reduce(event.Rated{}, deltasOf("m@2", "o", evidence.Stats{Ratings: 200, RatingSum: 170}), envOf("a", 0, tables(0)))
	is.True(!s.Holds(tables(0)).Held("m@2", "o"))
	s.Reduce(event.Rated{}, deltasOf("m@2", "o", evidence.Stats{Ratings: 200, RatingSum: 120}), envOf("a", 0, tables(0)))
	is.True(s.Holds(tables(0)).Held("m@2", "o"))
}

// The log retains records for a limited time, and processes that start later do not read older
// ones. A hold in force must be appended again before its record is removed.
func TestHoldIsRenewedBeforeRetentionEnds(t *testing.T) {
	is := is.New(t)
	first, _ := judges()
	s := NewState()
	effects, _ := s.Reduce(event.AttemptEnded{}, deltasOf("m@2", "o", bad), envOf(first, 0, tables(0)))
	s.Reduce(logPage(appends(effects)[0].Data), nil, envOf(first, 0, tables(0)))
	effects, _ = s.Reduce(event.Tick{}, nil, envOf(first, renewInterval-1, tables(0)))
	is.Equal(len(appends(effects)), 0)
	effects, _ = s.Reduce(event.Tick{}, nil, envOf(first, renewInterval, tables(0)))
	is.Equal(len(appends(effects)), 1)
	effects, _ = s.Reduce(event.Tick{}, nil, envOf(first, renewInterval+1, tables(0)))
	is.Equal(len(appends(effects)), 0) // already renewed
}

// An invalid record on the stream must not prevent the holds after it.
func TestMalformedRecordIsSkipped(t *testing.T) {
	is := is.New(t)
	first, _ := judges()
	s := NewState()
	effects, _ := s.Reduce(event.AttemptEnded{}, deltasOf("m@2", "o", bad), envOf(first, 0, tables(0)))
	other := NewState()
	other.Reduce(logPage([]byte("rubbish"), appends(effects)[0].Data), nil, envOf("z", 0, tables(0)))
	is.True(other.Holds(tables(0)).Held("m@2", "o"))
}

// One judge finds version m@1 bad and another one finds m@2 bad at the same time, and both holds
// reach the log. Together they would refuse the whole route. Every process must ignore the hold
// that is later on the log, in whatever order it received the two.
func TestRacingHoldsLeaveOneVersion(t *testing.T) {
	is := is.New(t)
	one, err := Encode(&wire.Hold{Version: "m@1"})
	is.NoErr(err)
	two, err := Encode(&wire.Hold{Version: "m@2"})
	is.NoErr(err)
	s := NewState()
	s.Reduce(logPage(two, one), nil, envOf("z", 0, tables(0)))
	is.True(s.Holds(tables(0)).Held("m@2", "o"))
	is.True(!s.Holds(tables(0)).Held("m@1", "o"))
}

// A process that reads the log rarely must receive a hold from any peer that has read it from the
// log, but not from the judge whose append of it is still pending. A judge that keeps receiving its hold
// from peers must still renew it on the log.
func TestHoldIsReceivedInDigests(t *testing.T) {
	is := is.New(t)
	first, _ := judges()
	s, receiver := NewState(), NewState()
	digest := func(now clock.Millis) event.DigestReceived {
		return event.DigestReceived{Now: now, Digest: &wire.Digest{Holds: s.Holds(tables(0)).Logged()}}
	}
	effects, _ := s.Reduce(event.AttemptEnded{}, deltasOf("m@2", "o", bad), envOf(first, 0, tables(0)))
	receiver.Reduce(digest(0), nil, envOf("z", 0, tables(0)))
	is.True(!receiver.Holds(tables(0)).Held("m@2", "o")) // not on the log yet
	s.Reduce(logPage(appends(effects)[0].Data), nil, envOf(first, 0, tables(0)))
	_, changed := receiver.Reduce(digest(0), nil, envOf("z", 0, tables(0)))
	is.True(changed)
	is.True(receiver.Holds(tables(0)).Held("m@2", "o"))
	_, changed = receiver.Reduce(digest(0), nil, envOf("z", 0, tables(0)))
	is.True(!changed)
	s.Reduce(digest(renewInterval-1), nil, envOf(first, renewInterval-1, tables(0)))
	effects, _ = s.Reduce(event.Tick{}, nil, envOf(first, renewInterval, tables(0)))
	is.Equal(len(appends(effects)), 1)
}
