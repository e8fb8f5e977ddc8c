package zone

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/membership"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/table"
)

// reach has the endpoints answer.
func (f *fixture) reach(now clock.Millis, vms ...string) {
	for _, vm := range vms {
		f.members.Reduce(event.DigestReceived{Now: now, Digest: &wire.Digest{Vm: vm, Epoch: 1, Loads: []*wire.Load{{Vm: vm, Epoch: 1}}}})
	}
	f.reduceAt(now)
}

// fixture drives the reducer with tables and members.
type fixture struct {
	state   State
	members membership.State
	tables  *table.Tables
}

func newFixture() *fixture {
	f := &fixture{state: NewState(), members: membership.New("e"), tables: &table.Tables{Zones: map[string]table.Location{}}}
	f.members.Reduce(event.VMsListed{VMs: []provider.VM{
		{ID: "a", Role: provider.EndpointRole, Zone: "a", Pool: "p"},
		{ID: "b", Role: provider.EndpointRole, Zone: "b", Pool: "p"},
		{ID: "c", Role: provider.EndpointRole, Zone: "b", Pool: "p"},
	}})
	f.reduceAt(0)
	return f
}

func (f *fixture) reduceAt(now clock.Millis) (changed bool) {
	return f.state.Reduce(now, f.tables, f.members.Members())
}

func (f *fixture) setAdminState(zone string, p table.AdminState, now clock.Millis) {
	f.tables = &table.Tables{Zones: map[string]table.Location{zone: {State: p}}}
	f.reduceAt(now)
}

// Operators put a zone back into service whose engines are all cold. Its share must rise slowly:
// with the full share at once, its gates would refuse a third of all requests.
func TestReturningZoneRampsUp(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.Equal(f.state.Ramps().Fraction("b", 0), 1.0) // in service when first seen: no ramp
	f.setAdminState("b", table.Out, 1000)
	f.setAdminState("b", table.In, 5000)
	is.Equal(f.state.Ramps().Fraction("b", 5000), rampStartFraction)
	is.True(f.state.Ramps().Fraction("b", 5000+minRampDuration/2) < 0.6)
	is.Equal(f.state.Ramps().Fraction("b", 5000+minRampDuration), 1.0)
	is.Equal(f.state.Ramps().Fraction("a", 5000), 1.0)
}

// A zone's network switch fails: none of its endpoints can be reached, while the tables and the VM
// list still include them. When they become reachable again the zone must ramp up as a whole. If
// only one endpoint returns there must be no ramp; its gate limits what it accepts.
func TestUnreachableZoneRampsUpOnRecovery(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.reach(0, "b", "c")
	fail := func(vm string) {
		for range 10 {
			f.members.Reduce(event.PeerFailed{Now: 1000, VM: vm})
		}
	}
	fail("b")
	is.True(!f.reduceAt(1000))
	fail("c")
	f.reduceAt(1001)
	is.True(f.members.Members().Suspected("b") && f.members.Members().Suspected("c"))
	for now := clock.Millis(1200); f.members.Members().Suspected("b") && now < clock.Hour; now += 200 {
		f.members.Reduce(event.Tick{Now: now})
		f.reduceAt(now)
	}
	is.True(f.state.Ramps().Fraction("b", 1200) < 1)
}

// An entry calls endpoints that start a moment after it. Guards against their zone ramping up as if it had returned, which
// moves the first sessions to other zones.
func TestZoneThatStartsWithTheProcessHasNoRamp(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.members.Reduce(event.PeerFailed{Now: 10, VM: "a"})
	f.reduceAt(10)
	is.True(f.members.Members().Suspected("a"))
	f.reach(30, "a")
	is.True(!f.members.Members().Suspected("a"))
	is.Equal(f.state.Ramps().Fraction("a", 30), 1.0)
	f.members.Reduce(event.PeerFailed{Now: 100, VM: "a"})
	f.reduceAt(100)
	f.reach(200, "a")
	is.Equal(f.state.Ramps().Fraction("a", 200), rampStartFraction)
}

// Guards against a zone that comes back long after the entry's start being taken for one that starts with it.
func TestZoneThatIsFirstReachedLateRampsUp(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	for now := clock.Millis(0); now <= maxStartTime; now += clock.Second {
		f.members.Reduce(event.PeerFailed{Now: now, VM: "a"})
		f.reduceAt(now)
	}
	f.tables = &table.Tables{Zones: map[string]table.Location{}}
	f.reduceAt(maxStartTime)
	f.reach(maxStartTime+100, "a")
	is.Equal(f.state.Ramps().Fraction("a", maxStartTime+100), rampStartFraction)
}

// A zone goes down and returns every few seconds. Each ramp must be longer than the one before, or
// the load would swing with the zone. After a stable period the ramp must be short again.
func TestFlappingZoneRampsSlowerEachTime(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	now := clock.Millis(0)
	last := clock.Millis(0)
	for range 4 {
		f.setAdminState("b", table.Out, now+1000)
		f.setAdminState("b", table.In, now+2000)
		now += 2000
		is.True(f.state.zones["b"].rampDuration > last)
		last = f.state.zones["b"].rampDuration
	}
	now += stableDuration + 1
	f.setAdminState("b", table.Out, now)
	f.setAdminState("b", table.In, now+1)
	is.Equal(f.state.zones["b"].rampDuration, minRampDuration)
}
