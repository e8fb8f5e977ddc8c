// Package zone computes which fraction of its share of work an availability zone gets. It is low
// when a zone returns to service and ramps up from there.
package zone

import (
	"maps"
	"slices"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/membership"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/table"
)

const (
	// rampStartFraction is the fraction of its share of work that a zone gets when it returns.
	rampStartFraction = 0.1
	// minRampDuration is how long a zone takes to ramp up to its full share. The duration doubles
	// with each return within stableDuration of the last one, up to maxRampDuration.
	minRampDuration = 20 * clock.Second
	maxRampDuration = 5 * clock.Minute
	// stableDuration is how long after its last return a zone counts as stable, so that the next
	// ramp is short again.
	stableDuration = 10 * clock.Minute
	// maxStartTime is how long after a zone was first seen its endpoints may still be starting, if none was reached.
	maxStartTime = 10 * clock.Second
	// maxZones bounds the tracked zones; further ones get their full share at once.
	maxZones = 256
)

// zoneState is whether a zone is down, and its last ramp.
type zoneState struct {
	down bool
	// starting is true until the zone was down for another reason than that none of its endpoints was reached since seenAt,
	// when it was first seen.
	starting bool
	seenAt   clock.Millis
	// returns counts the consecutive returns of the zone that were at most stableDuration apart.
	returns int
	// returnedAt is the time of the last return and rampDuration the duration of its ramp; 0 if
	// the zone was never down.
	returnedAt   clock.Millis
	rampDuration clock.Millis
}

// State computes the ramps of zones from the tables and the members.
type State struct {
	// zones holds at most maxZones zones.
	zones map[string]*zoneState
	ramps *Ramps
	// tables and members are the arguments of the last Reduce. Both are immutable, so nothing has
	// changed if the pointers are the same.
	tables  *table.Tables
	members *membership.Members
}

// NewState returns a state without zones. Zones that are up when they are first seen get their
// full share, since the process cannot know whether they have just returned.
func NewState() State {
	return State{zones: make(map[string]*zoneState), ramps: &Ramps{}}
}

// Reduce updates all zones if the tables or the members have changed, and reports whether a ramp
// changed. It must run before new tables are published: otherwise a zone that is put back into
// service would get its full share until the next call.
func (s *State) Reduce(now clock.Millis, t *table.Tables, m *membership.Members) (changed bool) {
	if t == nil || t == s.tables && m == s.members {
		return false
	}
	s.tables, s.members = t, m
	for _, vm := range m.VMs() {
		if _, known := s.zones[vm.Zone]; !known && len(s.zones) < maxZones {
			s.zones[vm.Zone] = &zoneState{down: down(vm.Zone, t, m), starting: true, seenAt: now}
		}
	}
	for name, z := range s.zones {
		isDown := down(name, t, m)
		if isDown {
			z.starting = z.starting && now-z.seenAt < maxStartTime && isUnreached(name, t, m)
		}
		changed = z.update(now, isDown) || changed
	}
	if changed {
		s.ramps = s.newRamps()
	}
	return changed
}

// down reports whether a zone gets no work: operators took it out of service, or all its listed
// endpoints are leaving or suspected, or it has none.
func down(name string, t *table.Tables, m *membership.Members) bool {
	if t.ZoneOut(name) {
		return true
	}
	return !slices.ContainsFunc(m.Zone(name), func(vm provider.VM) bool {
		return vm.Role == provider.EndpointRole && !m.Leaving(vm) && !m.Suspected(vm.ID)
	})
}

// isUnreached reports whether a zone has endpoints, none of which was ever reached: they may start at the same time as this
// process.
func isUnreached(name string, t *table.Tables, m *membership.Members) bool {
	endpoints := 0
	for _, vm := range m.Zone(name) {
		if vm.Role != provider.EndpointRole {
			continue
		}
		endpoints++
		if m.Leaving(vm) || m.Load(vm.ID) != nil {
			return false
		}
	}
	return endpoints > 0 && !t.ZoneOut(name)
}

// update records whether the zone is down, and starts a ramp if it has just returned to service; a zone that was only
// starting has not returned. It reports whether it started one.
func (z *zoneState) update(now clock.Millis, isDown bool) (changed bool) {
	if z.down == isDown {
		return false
	}
	z.down = isDown
	if isDown || z.starting {
		return false
	}
	if z.rampDuration > 0 && now-z.returnedAt > stableDuration {
		z.returns = 0
	}
	const maxDoublings = 8
	z.rampDuration = min(minRampDuration<<min(z.returns, maxDoublings), maxRampDuration)
	z.returns++
	z.returnedAt = now
	return true
}

func (s *State) newRamps() *Ramps {
	r := &Ramps{ramps: make(map[string]ramp)}
	for _, name := range slices.Sorted(maps.Keys(s.zones)) {
		if z := s.zones[name]; z.rampDuration > 0 {
			r.ramps[name] = ramp{from: z.returnedAt, duration: z.rampDuration}
		}
	}
	return r
}

// Ramps returns the current ramps; later events do not change the returned value.
func (s *State) Ramps() *Ramps { return s.ramps }

type ramp struct {
	from     clock.Millis
	duration clock.Millis
}

// Ramps is an immutable snapshot of the ramps of zones. The nil value has none.
type Ramps struct {
	ramps map[string]ramp
}

// Fraction returns the fraction of its share of work that a zone gets at the time now, between 0
// and 1. It is 1 for a zone without a ramp.
func (r *Ramps) Fraction(name string, now clock.Millis) float64 {
	if r == nil {
		return 1
	}
	z, ok := r.ramps[name]
	if !ok {
		return 1
	}
	elapsed := float64(max(now-z.from, 0)) / float64(z.duration)
	return min(rampStartFraction+(1-rampStartFraction)*elapsed, 1)
}

// Names lists, sorted, the zones that have a ramp, even if the ramp has ended.
func (r *Ramps) Names() []string {
	if r == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(r.ramps))
}
