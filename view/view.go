// Package view holds the immutable picture of the control state on which
// traffic decides. Control publishes a new one; nothing in it ever changes.
package view

import (
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/membership"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/quality"
	"github.com/parsleydeal/parsleydeal/rollout"
	"github.com/parsleydeal/parsleydeal/spread"
	"github.com/parsleydeal/parsleydeal/table"
	"github.com/parsleydeal/parsleydeal/zone"
)

// View is what a process knows at one instant.
type View struct {
	tables      *table.Tables
	revision    int64
	confirmedAt clock.Millis
	members     *membership.Members
	draining    bool
	// holds is nil in a view made for a test.
	holds *rollout.Holds
	// counts is the report of evidence to other processes.
	counts []*wire.Count
	// quality is nil in a view made for a test.
	quality *quality.Snapshot
	// subsets holds the endpoints this entry works with by pool; nil elsewhere.
	subsets map[string][]provider.VM
	// zones is nil in a view made for a test.
	zones  *zone.Ramps
	spread spread.Snapshot
	// checkpoint is of the same offset as the tables.
	checkpoint *table.Checkpoint
}

// New makes a view.
func New(tables *table.Tables, revision int64, confirmedAt clock.Millis, members *membership.Members, draining bool) *View {
	return &View{tables: tables, revision: revision, confirmedAt: confirmedAt, members: members, draining: draining}
}

// WithEvidence returns a view that also knows the holds in force, this process's
// report of evidence and what raters said of the versions.
func (v *View) WithEvidence(holds *rollout.Holds, counts []*wire.Count, q *quality.Snapshot) *View {
	c := *v
	c.holds = holds
	c.counts = counts
	c.quality = q
	return &c
}

// WithSubsets returns a view that also knows which endpoints of each pool this
// entry works with.
func (v *View) WithSubsets(subsets map[string][]provider.VM) *View {
	c := *v
	c.subsets = subsets
	return &c
}

// WithZones returns a view that also knows the zones that came back lately.
func (v *View) WithZones(ramps *zone.Ramps) *View {
	c := *v
	c.zones = ramps
	return &c
}

// Zones returns the zones that came back lately.
func (v *View) Zones() *zone.Ramps { return v.zones }

// Subset returns the endpoints of a pool that this entry works with, or the
// whole pool. Callers may not change it.
func (v *View) Subset(pool string, whole bool) []provider.VM {
	if vms, ok := v.subsets[pool]; ok && !whole {
		return vms
	}
	return v.members.Pool(pool)
}

// Holds returns the versions held back from new work.
func (v *View) Holds() *rollout.Holds { return v.holds }

// Quality returns what raters said of the versions.
func (v *View) Quality() *quality.Snapshot { return v.quality }

// Counts returns what this process tells others of the versions it used.
func (v *View) Counts() []*wire.Count { return v.counts }

// Tables returns the configuration in force; nil before the first one.
func (v *View) Tables() *table.Tables { return v.tables }

// Revision returns the log offset of the configuration; -1 before the first.
func (v *View) Revision() int64 { return v.revision }

// ConfirmedAt returns when the revision was last known to be current, on this
// process's clock.
func (v *View) ConfirmedAt() clock.Millis { return v.confirmedAt }

// Confirmed reports whether the revision was ever known to be current.
func (v *View) Confirmed() bool { return v.confirmedAt > spread.NeverConfirmed }

// Members returns the VMs.
func (v *View) Members() *membership.Members { return v.members }

// Draining reports whether this process takes no new work.
func (v *View) Draining() bool { return v.draining }

// WithSpread adds what peers are told.
func (v *View) WithSpread(p spread.Snapshot) *View {
	next := *v
	next.spread = p
	return &next
}

// WithCheckpoint adds the checkpoint of the tables in force.
func (v *View) WithCheckpoint(c *table.Checkpoint) *View {
	v.checkpoint = c
	return v
}

// Checkpoint returns the checkpoint of the tables in force, for peers that lack
// records which are no longer kept; nil before the first tables.
func (v *View) Checkpoint() *table.Checkpoint { return v.checkpoint }

// Tail returns the configuration's last records, for peers that are behind.
func (v *View) Tail() spread.Tail { return v.spread.Tail }

// Digest returns what this process tells its peers at an instant.
func (v *View) Digest(now clock.Millis) *wire.Digest {
	d := v.spread.Digest(v.revision, now-v.confirmedAt, v.draining, v.members)
	d.Holds = v.holds.Logged()
	return d
}

// Started reports whether the process knows the tables in force, so far as the
// log or several peers could tell.
func (v *View) Started() bool { return v.tables != nil && !v.spread.Starting }

// Ready reports whether the process may receive work.
func (v *View) Ready() bool { return v.Started() && !v.draining }
