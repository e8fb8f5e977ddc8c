// Package view provides the immutable snapshot of the control state by which requests are routed.
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
	// counts holds the outcome counts of versions in this process, as reported to the judges,
	// which are the processes that sum them and decide on holds.
	counts []*wire.Count
	// quality may be nil in tests.
	quality *quality.Snapshot
	// subsets holds, by pool, the endpoints that this entry sends to; nil in processes other than
	// entries.
	subsets map[string][]provider.VM
	// zones may be nil in tests.
	zones  *zone.Ramps
	spread spread.Snapshot
	// checkpoint is a checkpoint of the tables, at the same log offset.
	checkpoint *table.Checkpoint
}

// New returns a view with the given parts. The With methods add the others.
func New(tables *table.Tables, revision int64, confirmedAt clock.Millis, members *membership.Members, draining bool) *View {
	return &View{tables: tables, revision: revision, confirmedAt: confirmedAt, members: members, draining: draining}
}

// WithEvidence returns a copy of the view with the holds in force, the outcome counts that this
// process reports and the ratings of versions.
func (v *View) WithEvidence(holds *rollout.Holds, counts []*wire.Count, q *quality.Snapshot) *View {
	c := *v
	c.holds = holds
	c.counts = counts
	c.quality = q
	return &c
}

// WithSubsets returns a copy of the view with the endpoints of each pool that this entry sends to.
func (v *View) WithSubsets(subsets map[string][]provider.VM) *View {
	c := *v
	c.subsets = subsets
	return &c
}

// WithZones returns a copy of the view with the ramps of zones that have returned to service.
func (v *View) WithZones(ramps *zone.Ramps) *View {
	c := *v
	c.zones = ramps
	return &c
}

// Zones returns the ramps of zones that have returned to service; may be nil in tests.
func (v *View) Zones() *zone.Ramps { return v.zones }

// Subset returns the endpoints of a pool that this entry sends to, or the full pool if full is
// true or there is no subset. Callers must not modify the result.
func (v *View) Subset(pool string, full bool) []provider.VM {
	if vms, ok := v.subsets[pool]; ok && !full {
		return vms
	}
	return v.members.Pool(pool)
}

// Holds returns the holds in force: which versions get no new work. It may be nil in tests.
func (v *View) Holds() *rollout.Holds { return v.holds }

// Quality returns the ratings of the versions; may be nil in tests.
func (v *View) Quality() *quality.Snapshot { return v.quality }

// Counts returns the outcome counts of versions in this process, as reported to the judges.
func (v *View) Counts() []*wire.Count { return v.counts }

// Tables returns the configuration in force; nil before any was received.
func (v *View) Tables() *table.Tables { return v.tables }

// Revision returns the log offset of the configuration; -1 before any was received.
func (v *View) Revision() int64 { return v.revision }

// ConfirmedAt returns the time, on this process's clock, at which the revision was last confirmed
// to be current; spread.NeverConfirmed if it never was.
func (v *View) ConfirmedAt() clock.Millis { return v.confirmedAt }

// Confirmed reports whether the revision was ever confirmed to be current.
func (v *View) Confirmed() bool { return v.confirmedAt > spread.NeverConfirmed }

// Members returns the VMs and which of them are leaving or suspected.
func (v *View) Members() *membership.Members { return v.members }

// Draining reports whether this process is stopping and accepts no new work.
func (v *View) Draining() bool { return v.draining }

// WithSpread returns a copy of the view with how far this process has read the log, which its
// digests report to peers.
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

// Digest returns the digest to send to peers; now is the current time on this process's clock.
func (v *View) Digest(now clock.Millis) *wire.Digest {
	d := v.spread.Digest(v.revision, now-v.confirmedAt, v.draining, v.members)
	d.Holds = v.holds.Logged()
	return d
}

// Started reports whether the process has the tables in force, as confirmed by the log or by
// several peers.
func (v *View) Started() bool { return v.tables != nil && !v.spread.Starting }

// Listed reports whether the process knows any VMs. Before that an entry has no endpoints to send to.
func (v *View) Listed() bool { return len(v.members.VMs()) > 0 }

// Ready reports whether the process may receive work.
func (v *View) Ready() bool { return v.Started() && !v.draining }
