package site

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// Guards against a report without upgrades, such as a reply to a query, erasing the sessions and
// request counts that the same process reported before. A session kept on the old version at one
// entry would move to the new version when its next request reached another entry, and the old
// version's requests at the first entry would no longer count.
func TestReplyKeepsReportedUpgrades(t *testing.T) {
	is := is.New(t)
	s := upgradingState()
	report := &wire.EntryReport{Name: "entry-a", Process: "a/1", Zone: "a", Upgrades: []*wire.UpgradeReport{{Service: "pool", Target: "v2", Number: 7, Old: 3, Kept: []uint64{42}}}}
	effects := Reduce(s, ReportReceived{Now: 1000, Report: report})
	is.True(publishes(effects)) // the view must show at once that the session stays on the old version
	is.True(s.View().KeptByPeer("pool", 42))
	Reduce(s, ReportReceived{Now: 1100, Report: &wire.EntryReport{Name: "entry-a", Process: "a/1", Zone: "a", ReplyMillis: 5}})
	is.True(s.View().KeptByPeer("pool", 42))
	is.Equal(s.oldRequests(s.upgrades["pool"].Order()), 3)
	// The sessions of a process that was restarted go on at other entries, its requests do not.
	Reduce(s, ReportReceived{Now: 1200, Report: &wire.EntryReport{Name: "entry-a", Process: "a/2", Zone: "a"}})
	is.True(s.View().KeptByPeer("pool", 42))
	is.Equal(s.oldRequests(s.upgrades["pool"].Order()), 0)
	Reduce(s, Tick{Now: 1100 + defaultSessionTTL - 1})
	is.True(s.View().KeptByPeer("pool", 42))
	Reduce(s, Tick{Now: 1100 + defaultSessionTTL})
	is.True(!s.View().KeptByPeer("pool", 42))
	is.Equal(len(s.retained), 0)
}

// Each entry is restarted again and again. Guards against sessions of processes that are gone without a bound.
func TestRetainedSessionsAreBounded(t *testing.T) {
	is := is.New(t)
	s := upgradingState()
	kept := make([]uint64, 1000)
	for i := range 20 {
		Reduce(s, ReportReceived{Now: 1000, Report: &wire.EntryReport{
			Name: "entry-a", Process: fmt.Sprint("a/", i), Zone: "a", Upgrades: []*wire.UpgradeReport{{Service: "pool", Target: "v2", Number: 7, Kept: kept}},
		}})
	}
	n := 0
	for _, r := range s.retained {
		n += len(r.hashes)
	}
	is.True(n > maxRetainedSessions/2 && n <= maxRetainedSessions)
}

// Entries start one after another, each with the handover of the one before. Guards against a handover that grows with
// each start.
func TestHandoverNamesSessionsOnce(t *testing.T) {
	is := is.New(t)
	var handed []*wire.KeptSessions
	for range 5 {
		s := upgradingState()
		s.takeHandover(handoverFromWire(&wire.SiteContent{Sessions: handed}, 1000))
		Reduce(s, ReportReceived{Now: 1000, Report: &wire.EntryReport{
			Name: "entry-a", Process: "a/1", Zone: "a", Upgrades: []*wire.UpgradeReport{{Service: "pool", Target: "v2", Number: 7, Kept: []uint64{1, 2, 3}}},
		}})
		handed = s.sessionsToWire()
	}
	n := 0
	for _, x := range handed {
		n += len(x.GetHashes())
	}
	is.Equal(n, 3)
}

// The last version was bad, and this entry has not counted anything of the new one yet. Guards against
// the last version's failures counting as those of the new one.
func TestCountsOfEarlierOrderRollNothingBack(t *testing.T) {
	is := is.New(t)
	s := upgradingState()
	Reduce(s, TrafficCounts{
		Now: 1000, Orders: map[string]int64{"pool": 6},
		Counts: map[string]upgrade.Counts{"pool": {{Route: "r"}: {Ended: 1000}, {Route: "r", Target: true}: {Ended: 60, Bad: 50}}},
	})
	is.Equal(s.upgrades["pool"].Phase(), upgrade.Running)
	is.Equal(s.upgrades["pool"].Total(), upgrade.Count{})
}

// Datagrams are lost, and judges change. Guards against samples that never reach a judge, and against
// reports that repeat all samples each time.
func TestLatenciesReachJudges(t *testing.T) {
	is := is.New(t)
	var l latencyReports
	bucket := func(index int) upgrade.LatencyBucket { return upgrade.LatencyBucket{Index: index} }
	all := upgrade.Latencies{bucket(1): 5}
	l.begin([]string{"a"}, 0)
	is.Equal(l.changed("s", all), all)
	all = upgrade.Latencies{bucket(1): 5, bucket(2): 1}
	for i := range latencyRepeats {
		l.begin([]string{"a"}, clock.Millis(300*(i+1)))
		is.Equal(l.changed("s", all)[bucket(2)], int64(1))
	}
	l.begin([]string{"a"}, 1200)
	is.Equal(len(l.changed("s", all)), 0)
	l.begin([]string{"a", "b"}, 1500)
	is.Equal(l.changed("s", all), all) // a judge was added
	is.Equal(latenciesFromWire(latenciesToWire(all)), all)
}

// upgradingState returns the state of an entry during an upgrade.
func upgradingState() *State {
	s := NewState(Self{Name: "entry-c", Process: "c/1", Zone: "c", Exposure: 0.15}, 0)
	s.current["pool"] = "v1"
	s.upgrades["pool"] = upgrade.New(upgrade.Order{Service: "pool", Target: "v2", Duration: 24 * clock.Second, Number: 7}, 0)
	return s
}

func publishes(effects []Effect) bool {
	for _, f := range effects {
		if _, ok := f.(Publish); ok {
			return true
		}
	}
	return false
}
