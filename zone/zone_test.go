package zone

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/membership"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/table"
)

// site drives the reducer with tables and members.
type fixture struct {
	state   State
	members membership.State
	tables  *table.Tables
}

func newFixture() *fixture {
	f := &fixture{state: NewState(), members: membership.New("e"), tables: &table.Tables{Zones: map[string]table.Site{}}}
	f.members.Reduce(event.VMsListed{VMs: []provider.VM{
		{ID: "a", Role: provider.EndpointRole, Zone: "a", Pool: "p"},
		{ID: "b", Role: provider.EndpointRole, Zone: "b", Pool: "p"},
		{ID: "c", Role: provider.EndpointRole, Zone: "b", Pool: "p"},
	}})
	f.at(0)
	return f
}

func (f *fixture) at(now clock.Millis) (changed bool) {
	return f.state.Reduce(now, f.tables, f.members.Members())
}

func (f *fixture) place(zone string, p table.Placement, now clock.Millis) {
	f.tables = &table.Tables{Zones: map[string]table.Site{zone: {State: p}}}
	f.at(now)
}

// Operators bring a zone back whose engines are all cold. Were it given its
// whole share at once, its gates would refuse a third of all requests.
func TestReturningZoneRampsUp(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.Equal(f.state.Ramps().Fraction("b", 0), 1.0) // up since before this process
	f.place("b", table.Out, 1000)
	f.place("b", table.In, 5000)
	is.Equal(f.state.Ramps().Fraction("b", 5000), rampFirst)
	is.True(f.state.Ramps().Fraction("b", 5000+rampSpan/2) < 0.6)
	is.Equal(f.state.Ramps().Fraction("b", 5000+rampSpan), 1.0)
	is.Equal(f.state.Ramps().Fraction("a", 5000), 1.0)
}

// A zone's switch fails: all its endpoints can't be reached, while the tables
// and the list say nothing. When they answer again the zone ramps as a whole; one
// endpoint alone that comes back is its gate's matter.
func TestUnreachableZoneRampsUpOnRecovery(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	fail := func(vm string) {
		for range 10 {
			f.members.Reduce(event.PeerFailed{Now: 1000, VM: vm})
		}
	}
	fail("b")
	is.True(!f.at(1000))
	fail("c")
	f.at(1001)
	is.True(f.members.Members().Suspected("b") && f.members.Members().Suspected("c"))
	for now := clock.Millis(1200); f.members.Members().Suspected("b") && now < clock.Hour; now += 200 {
		f.members.Reduce(event.Tick{Now: now})
		f.at(now)
	}
	is.True(f.state.Ramps().Fraction("b", 1200) < 1)
}

// Two zones come and go every few seconds. Each return must be trusted less than
// the one before, or the load would swing with them; a calm time forgives.
func TestFlappingZoneRampsSlowerEachTime(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	now := clock.Millis(0)
	last := clock.Millis(0)
	for range 4 {
		f.place("b", table.Out, now+1000)
		f.place("b", table.In, now+2000)
		now += 2000
		is.True(f.state.sites["b"].span > last)
		last = f.state.sites["b"].span
	}
	now += calmSpan + 1
	f.place("b", table.Out, now)
	f.place("b", table.In, now+1)
	is.Equal(f.state.sites["b"].span, rampSpan)
}
