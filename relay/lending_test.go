package relay

import (
	"fmt"
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/placement"
	"github.com/parsleydeal/parsleydeal/site"
	"github.com/parsleydeal/parsleydeal/upstream"
)

// An entry uses its quotas on a site where only entries of one zone report their work to each other. Guards against loans
// that stay within a zone, and against an entry that asks all others at once.
func TestEntryOfLargeSiteBorrowsFromOtherZones(t *testing.T) {
	is := is.New(t)
	const entries, rate = 80, 400.0
	now := clock.Millis(1000)
	c := clock.New(func() clock.Millis { return now })
	addresses := make(map[string]string)
	for i := range entries {
		addresses[fmt.Sprintf("e%02d", i)] = fmt.Sprintf("e%02d:1", i)
	}
	target := &fleet.Endpoint{ID: "i-1", Service: "app", Version: "v1", Zone: "a", Slots: 4000}
	serverOf := func(name string) *Server {
		state := site.NewState(site.Self{Name: name, Zone: "a"}, 0)
		site.Reduce(state, site.EntriesRead{Now: 1, Addresses: addresses})
		site.Reduce(state, site.EndpointsRead{Now: 1, Full: true, Changes: []fleet.Change{{ID: target.ID, Endpoint: target}}})
		s := New(Config{Clock: c, Log: log.New(io.Discard), View: state.View, Pool: upstream.NewPool(c), Name: name, Zone: "a"})
		s.selector.RecordAdvertisement(target, placement.Advertisement{Rate: rate, HasRate: true}, 0, 1)
		return s
	}
	busy, idle := serverOf("e00"), serverOf("e40")
	v := busy.cfg.View()
	selectAll := func() (n int) {
		for ; ; n++ {
			if _, reason := busy.selector.Select(v.Fleet(), placement.Query{Service: "app", Version: "v1", Zone: "a", Now: now, Bounds: placement.Bounds{Shares: v.Shares()}}); reason != placement.Selected {
				return n
			}
		}
	}
	is.True(selectAll() > 0)
	var rotation, unused placement.Rotation
	asked := make(map[string]int)
	for range 5 {
		reports := busy.addLoans(&wire.EntryReport{Process: "e00"}, &rotation, now)
		is.Equal(len(reports), 1)
		is.True(len(reports[0].to) <= 16)
		for _, to := range reports[0].to {
			asked[to]++
		}
		idle.ReceiveReport(reports[0].report)
	}
	is.Equal(len(asked), entries-1)
	lent := idle.addLoans(&wire.EntryReport{Process: "e40"}, &unused, now)
	is.Equal(len(lent), 1)
	is.Equal(lent[0].to, []string{"e00:1"})
	busy.ReceiveReport(lent[0].report)
	is.True(selectAll() > 0)
}
