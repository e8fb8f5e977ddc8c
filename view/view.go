// Package view holds the immutable snapshot of the control state that requests are routed by.
// The control loop publishes a new snapshot for each change.
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

// View is the control state of a process at one instant. It must not be changed once it is
// published.
type View struct {
	tables      *table.Tables
	revision    int64
	confirmedAt clock.Millis
	members     *membership.Members
	draining    bool
	// holds may be nil in tests.
	holds *rollout.Holds
	// counts is the evidence that this process reports to others.
	counts []*wire.Count
	// quality may be nil in tests.
	quality *quality.Snapshot
	// subsets holds the endpoints that this entry works with, by pool; nil in processes other
	// than entries.
	subsets map[string][]provider.VM
	// zones may be nil in tests.
	zones  *zone.Ramps
	spread spread.Snapshot
	// checkpoint has the same log offset as the tables.
	checkpoint *table.Checkpoint
}

// New returns a view without holds, ratings, subsets, zones, peer state and checkpoint.
func New(tables *table.Tables, revision int64, confirmedAt clock.Millis, members *membership.Members, draining bool) *View {
	return &View{tables: tables, revision: revision, confirmedAt: confirmedAt, members: members, draining: draining}
}

// WithEvidence returns a copy of the view with the holds in force, the evidence that this
// process reports and the ratings of versions.
func (v *View) WithEvidence(holds *rollout.Holds, counts []*wire.Count, q *quality.Snapshot) *View {
	c := *v
	c.holds = holds
	c.counts = counts
	c.quality = q
	return &c
}

// WithSubsets returns a copy of the view with the endpoints of each pool that this entry works
// with.
func (v *View) WithSubsets(subsets map[string][]provider.VM) *View {
	c := *v
	c.subsets = subsets
	return &c
}

// WithZones returns a copy of the view with the zones that have recovered recently.
func (v *View) WithZones(ramps *zone.Ramps) *View {
	c := *v
	c.zones = ramps
	return &c
}

// Zones returns the zones that have recovered recently; it may be nil in tests.
func (v *View) Zones() *zone.Ramps { return v.zones }

// Subset returns the endpoints of a pool that this entry works with, or the full pool. Callers
// must not modify the result.
func (v *View) Subset(pool string, full bool) []provider.VM {
	if vms, ok := v.subsets[pool]; ok && !full {
		return vms
	}
	return v.members.Pool(pool)
}

// Holds returns the versions that get no new work.
func (v *View) Holds() *rollout.Holds { return v.holds }

// Quality returns the ratings of the versions.
func (v *View) Quality() *quality.Snapshot { return v.quality }

// Counts returns the evidence that this process reports to others on the versions that it used.
func (v *View) Counts() []*wire.Count { return v.counts }

// Tables returns the configuration in force; nil before the first one.
func (v *View) Tables() *table.Tables { return v.tables }

// Revision returns the log offset of the configuration; -1 before the first one.
func (v *View) Revision() int64 { return v.revision }

// ConfirmedAt returns when the revision was last confirmed to be current, on this process's
// clock.
func (v *View) ConfirmedAt() clock.Millis { return v.confirmedAt }

// Confirmed reports whether the revision was ever confirmed to be current.
func (v *View) Confirmed() bool { return v.confirmedAt > spread.NeverConfirmed }

// Members returns the VMs.
func (v *View) Members() *membership.Members { return v.members }

// Draining reports whether this process accepts no new work.
func (v *View) Draining() bool { return v.draining }

// WithSpread returns a copy of the view with the state that peers receive.
func (v *View) WithSpread(p spread.Snapshot) *View {
	next := *v
	next.spread = p
	return &next
}

// WithCheckpoint sets the checkpoint of the tables in force on v itself and returns v. It must
// be called before the view is published.
func (v *View) WithCheckpoint(c *table.Checkpoint) *View {
	v.checkpoint = c
	return v
}

// Checkpoint returns the checkpoint of the tables in force, for peers that need records which
// the log no longer holds; nil before the first tables.
func (v *View) Checkpoint() *table.Checkpoint { return v.checkpoint }

// Tail returns the last records of the configuration, for peers that are behind.
func (v *View) Tail() spread.Tail { return v.spread.Tail }

// Digest returns the state that this process sends to its peers at the given time.
func (v *View) Digest(now clock.Millis) *wire.Digest {
	d := v.spread.Digest(v.revision, now-v.confirmedAt, v.draining, v.members)
	d.Holds = v.holds.Logged()
	return d
}

// Started reports whether the process has the tables in force, as far as the log or several
// peers could confirm it.
func (v *View) Started() bool { return v.tables != nil && !v.spread.Starting }

// Ready reports whether the process may receive work.
func (v *View) Ready() bool { return v.Started() && !v.draining }
