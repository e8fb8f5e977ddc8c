package site

import (
	"strconv"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// Guards against entries that start with an older configuration than that of the entry whose state
// they take, which has it from an entry of the release before.
func TestConfigurationFromEarlierReleaseIsHandedOn(t *testing.T) {
	is := is.New(t)
	s := NewState(Self{Name: "entry-b", Process: "entry-b/1", Zone: "a"}, 0)
	config := func(version int64) OperatorUpdate {
		return OperatorUpdate{Config: configOf(version), ConfigRecord: Record{Key: "config", Value: []byte(strconv.FormatInt(version, 10))}}
	}
	Reduce(s, VerdictsRead{Now: 10})
	Reduce(s, EndpointsRead{Now: 10, SentAt: 9, Full: true})
	Reduce(s, OperatorRead{Now: 10, SentAt: 9, Full: true, Next: Position{Era: 1, Offset: 5}, Update: config(1), Records: []Record{{Key: "config", Value: []byte("1")}}})
	report := &wire.EntryReport{Process: "a/1", Name: "entry-a", Address: "a", OperatorNext: 6, OperatorFrom: 5, Version: 2, Records: []*wire.StoreRecord{{Key: "config", Value: []byte("2")}}}
	Reduce(s, ReportReceived{Now: 20, Report: report, Update: config(2)})
	is.Equal(s.View().Config().Version(), int64(2))
	is.True(s.View().wants(OperatorStream, 21)) // what else has changed is not known
	is.Equal(string(s.content().GetRecords()[0].GetValue()), "2")
}

// Entries know sequences of different age. Guards against endpoints that are refused for good because a
// state has an earlier registration than the one that was removed here.
func TestRemovedEndpointComesBackWithAnEarlierSequence(t *testing.T) {
	is := is.New(t)
	s := stateWithPeers(0)
	registered := parseChanges(t, "i-1 v1 a ready born=1 sequence=9")
	Reduce(s, EndpointsRead{Now: 20, SentAt: 20, Full: true, Changes: registered})
	Reduce(s, EndpointsRead{Now: 30, SentAt: 30, Full: true})
	is.True(s.View().Fleet().Find("i-1") == nil)
	Reduce(s, StateReceived{Now: 40, FleetConfirmedAt: 40, OperatorNext: Position{Offset: 5}, Changes: parseChanges(t, "i-1 v1 a ready born=1 sequence=3")})
	is.True(s.View().Fleet().Find("i-1") != nil)
}

// Guards against an endpoint that came back and whose leaving is ignored while a store that came back
// settles.
func TestLeavingOfReturnedEndpointIsNotIgnored(t *testing.T) {
	is := is.New(t)
	s := stateWithPeers(0)
	read := func(at clock.Millis, era int64, text string) {
		Reduce(s, EndpointsRead{Now: at, SentAt: at, Full: true, Next: Position{Era: era}, Changes: parseChanges(t, text)})
	}
	read(20, 1, "i-1 v1 a ready born=1 sequence=9")
	read(30, 1, "")
	read(40, 1, "i-1 v1 a ready born=1 sequence=3")
	read(50, 2, "i-1 v1 a leaving born=1 sequence=4")
	is.True(s.View().Fleet().Find("i-1").Leaving)
}

// Guards against handing on an older configuration than the one in force, from a store that has settled
// and still lacks it.
func TestNewestConfigurationIsHandedOnAfterSettling(t *testing.T) {
	is := is.New(t)
	s := stateWithPeers(0)
	read := func(at clock.Millis, next Position, version int64, value string) {
		u := OperatorUpdate{Config: configOf(version), ConfigRecord: Record{Key: "config", Value: []byte(value)}}
		Reduce(s, OperatorRead{Now: at, SentAt: at, Full: true, Next: next, Update: u, Records: []Record{{Key: "config", Value: []byte(value)}}})
	}
	read(20, Position{Era: 1, Offset: 6}, 3, "3")
	read(40, Position{Era: 2, Offset: 4}, 2, "2")
	Reduce(s, Tick{Now: 40 + settleTime})
	read(60+settleTime, Position{Era: 2, Offset: 4}, 2, "2")
	is.Equal(s.View().Config().Version(), int64(3))
	is.Equal(string(s.content().GetRecords()[0].GetValue()), "3")
}
