package site

import (
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/placement"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// View is what a process believes at one instant. Nothing in it changes.
type View struct {
	config      *catalog.Config
	confirmedAt clock.Millis
	fleet       *fleet.Snapshot
	// entries is how many entries share the bounds of the site; at least 1.
	entries    int
	shares     map[string]placement.Share
	started    bool
	leaving    bool
	moves      map[string]move
	addresses  map[string]string
	neighbours []string
	allTold    bool
	// busy is true while an upgrade is under way or its verdict still due, duties
	// while this process is among those that may have to write one.
	busy   bool
	duties bool
	// reader is true when this process reads the store for others too.
	reader       bool
	operatorNext int64
	heardNext    int64
	fleetAt      clock.Millis
	strayAt      clock.Millis
	// served is true while the store answers others that read it for all.
	served bool
	// leftToOthers is true while the store fails all entries and others try it.
	leftToOthers bool
}

// move is what decides the version of a service's requests.
type move struct {
	rule upgrade.Rule
	// running says that the fields below it hold.
	running   bool
	upgrade   upgrade.Order
	startedAt clock.Millis
	exposure  float64
	kept      map[uint64]bool
}

// Config returns the configuration in force; nil before the first one.
func (v *View) Config() *catalog.Config { return v.config }

// ConfirmedAt returns when a read was sent that found the configuration to be
// the newest.
func (v *View) ConfirmedAt() clock.Millis { return v.confirmedAt }

// Fleet returns the endpoints.
func (v *View) Fleet() *fleet.Snapshot { return v.fleet }

// Entries returns how many entries share the bounds of the site.
func (v *View) Entries() int { return v.entries }

// Shares returns this entry's share of what endpoints may get, by their zone.
func (v *View) Shares() map[string]placement.Share { return v.shares }

// Neighbours returns the addresses of the entries that are told of this one's work at
// endpoints: all of them on a small site, those of its zone on a large one, which
// mostly use the same endpoints.
func (v *View) Neighbours() []string { return v.neighbours }

// FullMesh reports whether the entries of all zones tell this one of their work.
func (v *View) FullMesh() bool { return v.allTold }

// Started reports whether the process knows its site.
func (v *View) Started() bool { return v.started }

// Reader reports whether this process reads the store for others too.
func (v *View) Reader() bool { return v.reader }

// wants reports whether this process has to read a stream itself at an instant.
func (v *View) wants(s Stream, now clock.Millis) bool {
	switch s {
	case OperatorStream:
		return v.reader || now-v.confirmedAt > confirmWithin || v.heardNext > v.operatorNext
	case EndpointStream:
		return v.reader || now-v.fleetAt > fleetWithin || v.strayAt > 0 && now-v.strayAt > strayFor
	case StatusStream:
		return v.busy && (v.reader || v.duties)
	default:
		return true
	}
}

// moving reports whether an upgrade is under way or its verdict still due.
func (v *View) moving() bool { return v.busy }

// Leaving reports whether the process was asked to stop.
func (v *View) Leaving() bool { return v.leaving }

// Addresses returns the registered entries' addresses by name.
func (v *View) Addresses() map[string]string { return v.addresses }

// Rule returns the rule by which a service's version is chosen at an instant.
func (v *View) Rule(service string, now clock.Millis) upgrade.Rule {
	m := v.moves[service]
	if !m.running {
		return m.rule
	}
	return upgrade.RuleAt(m.upgrade, m.startedAt, now, m.rule.Current, m.exposure)
}

// Upgrade returns the order of a service that is under way.
func (v *View) Upgrade(service string) (o upgrade.Order, running bool) {
	m := v.moves[service]
	return m.upgrade, m.running
}

// KeptByPeer reports whether another entry keeps a session, by its hash, on
// the old version of a service.
func (v *View) KeptByPeer(service string, session uint64) bool {
	return v.moves[service].kept[session]
}
