// Package zone lets availability zones that come back take their share of work
// step by step.
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
	// rampFirst is the part of its share that a zone gets when it comes back.
	rampFirst = 0.1
	// rampSpan is how long a zone takes to its whole share; it doubles with each
	// return in a row, up to rampMost.
	rampSpan = 20 * clock.Second
	rampMost = 5 * clock.Minute
	// calmSpan is how long a zone must stay before its returns are forgotten.
	calmSpan = 10 * clock.Minute
	// maxZones bounds the zones known; further ones get their share at once.
	maxZones = 256
)

// site is what is known of one zone.
type site struct {
	down bool
	// returns counts how often the zone came back without a calm span between.
	returns int
	// backAt and span are the last return and its ramp; span is 0 for a zone
	// that was never seen down.
	backAt clock.Millis
	span   clock.Millis
}

// State reduces the tables and the members to the ramps of zones.
type State struct {
	// sites holds at most maxZones zones.
	sites map[string]*site
	ramps *Ramps
	// tables and members are those looked at last. Both are replaced when they
	// change, so nothing has to be looked at again while they are the same.
	tables  *table.Tables
	members *membership.Members
}

// NewState returns the state of a process that knows no zone. Zones that it
// finds up at its start are open: it can't know that they just came back.
func NewState() State {
	return State{sites: make(map[string]*site), ramps: &Ramps{}}
}

// Reduce looks at all zones when the tables or the members have changed, and
// reports whether a ramp changed. It must run before the tables that the event
// brought are published: otherwise a zone taken in again would get its whole
// share until the next look.
func (s *State) Reduce(now clock.Millis, t *table.Tables, m *membership.Members) (changed bool) {
	if t == nil || t == s.tables && m == s.members {
		return false
	}
	s.tables, s.members = t, m
	for _, vm := range m.VMs() {
		if _, known := s.sites[vm.Zone]; !known && len(s.sites) < maxZones {
			s.sites[vm.Zone] = &site{down: down(vm.Zone, t, m)}
		}
	}
	for name, z := range s.sites {
		changed = z.look(now, down(name, t, m)) || changed
	}
	if changed {
		s.ramps = s.draw()
	}
	return changed
}

// down reports whether a zone gets no work: operators took it out, or none of
// its endpoints is listed, staying and reachable.
func down(name string, t *table.Tables, m *membership.Members) bool {
	if t.ZoneOut(name) {
		return true
	}
	return !slices.ContainsFunc(m.Zone(name), func(vm provider.VM) bool {
		return vm.Role == provider.EndpointRole && !m.Leaving(vm) && !m.Suspected(vm.ID)
	})
}

// look takes a zone's state and reports whether its ramp changed.
func (z *site) look(now clock.Millis, isDown bool) (changed bool) {
	if z.down == isDown {
		return false
	}
	z.down = isDown
	if isDown {
		return false
	}
	if z.span > 0 && now-z.backAt > calmSpan {
		z.returns = 0
	}
	const mostDoublings = 8
	z.span = min(rampSpan<<min(z.returns, mostDoublings), rampMost)
	z.returns++
	z.backAt = now
	return true
}

func (s *State) draw() *Ramps {
	r := &Ramps{ramps: make(map[string]ramp)}
	for _, name := range slices.Sorted(maps.Keys(s.sites)) {
		if z := s.sites[name]; z.span > 0 {
			r.ramps[name] = ramp{from: z.backAt, span: z.span}
		}
	}
	return r
}

// Ramps returns the ramps, which later events do not change.
func (s *State) Ramps() *Ramps { return s.ramps }

type ramp struct {
	from clock.Millis
	span clock.Millis
}

// Ramps is an immutable picture of the zones that came back. The nil value has
// none.
type Ramps struct {
	ramps map[string]ramp
}

// Fraction is the part of its share that a zone gets at an instant, between 0 and 1.
func (r *Ramps) Fraction(name string, now clock.Millis) float64 {
	if r == nil {
		return 1
	}
	z, ok := r.ramps[name]
	if !ok {
		return 1
	}
	done := float64(max(now-z.from, 0)) / float64(z.span)
	return min(rampFirst+(1-rampFirst)*done, 1)
}

// Names lists the zones that ever came back, sorted.
func (r *Ramps) Names() []string {
	if r == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(r.ramps))
}
