package site

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// A session runs on the old version at a reader while a new one is brought in, and its
// next request reaches another entry. The reader had told that it keeps the session, and
// then answered how fresh its knowledge is: the answer, which says nothing of upgrades,
// wiped out what it had told. The session changed to the new version, at each such
// request, and the old version's requests there did not count any more.
func TestReplyKeepsReportedUpgrades(t *testing.T) {
	is := is.New(t)
	s := movingState()
	told := &wire.EntryReport{Name: "entry-a", Process: "a/1", Zone: "a", Upgrades: []*wire.UpgradeReport{{Service: "pool", Target: "v2", Number: 7, Old: 3, Kept: []uint64{42}}}}
	effects := Reduce(s, ReportReceived{Now: 1000, Report: told})
	is.True(publishes(effects)) // traffic must know of the session at once
	is.True(s.View().KeptByPeer("pool", 42))
	Reduce(s, ReportReceived{Now: 1100, Report: &wire.EntryReport{Name: "entry-a", Process: "a/1", Zone: "a", ReplyMillis: 5}})
	is.True(s.View().KeptByPeer("pool", 42))
	is.Equal(s.old(s.upgrades["pool"].Order()), 3)
	// Another start of the entry holds nothing of before.
	Reduce(s, ReportReceived{Now: 1200, Report: &wire.EntryReport{Name: "entry-a", Process: "a/2", Zone: "a"}})
	is.True(!s.View().KeptByPeer("pool", 42))
	is.Equal(s.old(s.upgrades["pool"].Order()), 0)
}

// movingState is that of an entry while an upgrade is under way.
func movingState() *State {
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
