package control

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/rollout"
)

// newSettledCluster returns a cluster whose first tables are in force everywhere.
func newSettledCluster(t *testing.T, n, zones int) *cluster {
	t.Helper()
	c := newCluster(n, zones)
	c.publish()
	c.run(settleTime, nil)
	if !c.inForce(nil)() {
		t.Fatal("the first tables are not in force")
	}
	return c
}

// All entries restart at once while the log is unavailable. Callers would be refused until the log
// is back or, worse, requests would be handled according to old tables. The new processes must get
// the latest revision from endpoints of other zones, and none may be ready before it has it.
func TestEntriesRestartInOutage(t *testing.T) {
	is := is.New(t)
	c := newSettledCluster(t, 36, 12)
	c.publish()
	c.run(settleTime, nil)
	c.readable = func(*proc) bool { return false }
	restarted := make(map[*proc]bool)
	for i, vm := range c.listed {
		if vm.Role == provider.EntryRole {
			restarted[c.start(i, uint64(1000+i))] = true
		}
	}
	early := false
	c.run(settleTime, func() bool {
		for p := range restarted {
			early = early || p.state.View().Ready() && p.revision != int64(len(c.log))-1
		}
		return false
	})
	is.True(!early) // no process is ready with old tables
	for p := range restarted {
		is.True(p.state.View().Ready())
	}
}

// All processes restart while the log is unavailable. None has the tables, so none may report
// that it is ready. All become ready when the log is back.
func TestAllRestartInOutage(t *testing.T) {
	is := is.New(t)
	c := newSettledCluster(t, 12, 3)
	c.readable = func(*proc) bool { return false }
	for i := range c.listed {
		c.start(i, uint64(1000+i))
	}
	c.run(settleTime, nil)
	for _, p := range c.procs {
		is.True(p.dead || !p.state.View().Ready())
	}
	c.readable = func(*proc) bool { return true }
	c.run(settleTime, nil)
	is.True(c.inForce(func(p *proc) bool { return p.state.View().Ready() })())
}

// The log comes back from an outage without its last records. A process that rebuilt its tables
// from the shortened log would revert to tables that operators have replaced.
func TestShortenedLog(t *testing.T) {
	is := is.New(t)
	c := newSettledCluster(t, 12, 3)
	c.publish()
	c.publish()
	c.run(settleTime, nil)
	c.hiddenRecords = 2
	c.run(settleTime, nil)
	for _, p := range c.procs {
		is.Equal(p.state.tables.Revision(), int64(2))
		is.True(c.at(p)-p.state.spread.ConfirmedAt() >= settleTime-2*clock.Second) // not confirmed by reads of the shortened log
	}
}

// The processes that read the log for their zone fail without notice. If no other process
// took over, the zone would use old tables permanently.
func TestReaderTakeover(t *testing.T) {
	is := is.New(t)
	c := newSettledCluster(t, 36, 2)
	c.partitioned = func(from, to *proc) bool { return from.vm.Zone != to.vm.Zone }
	failed := 0
	for _, p := range c.procs {
		if p.following && p.vm.Zone == "zone-0" {
			p.dead = true
			failed++
		}
	}
	is.Equal(failed, 2)
	c.publish()
	is.True(c.run(20*clock.Second, c.inForce(nil)) < 20*clock.Second)
}

// A peer sends records with one missing. A process that applied them would reject the next
// change, which is based on the missing one, and differ from all others permanently.
func TestRecordsWithGap(t *testing.T) {
	is := is.New(t)
	c := newSettledCluster(t, 1, 1)
	p := c.procs[0]
	c.log = append(c.log, nil, nil)
	c.reduce(p, event.RecordsReceived{Now: c.at(p), From: "x", Reply: &wire.RecordsReply{
		From: 2, Head: 3, Records: []*wire.Record{{Offset: 2, Data: []byte("id = \"late\"\nkind = \"patch\"\nbase = 0\n")}},
	}})
	is.Equal(p.state.tables.Offset(), int64(1))
}

// A process is paused for minutes, its VM ID gets a new process, and the old one resumes. The old
// process's reports are outdated. Peers that accepted them would treat a live VM as leaving or a
// leaving one as live, or mistake the old process's load for the new one's.
func TestTwoProcessesOneVM(t *testing.T) {
	is := is.New(t)
	c := newSettledCluster(t, 12, 3)
	watcher, old := c.procs[0], c.procs[1]
	load := func(epoch, sequence uint64, held int32, leaving bool) {
		l := &wire.Load{Vm: old.vm.ID, Epoch: epoch, Sequence: sequence, Held: held, Leaving: leaving}
		c.reduce(watcher, event.LoadReceived{Now: c.at(watcher), Load: l})
	}
	held := func() int32 { return watcher.state.View().Members().Load(old.vm.ID).GetHeld() }
	load(2, 90, 9, false)
	old.paused = true
	c.run(settleTime, nil)
	successor := c.start(1, 500)
	old.dead = false
	c.run(settleTime, nil)
	load(500, 1, 3, false)
	is.Equal(held(), int32(3)) // the successor's sequence restarts
	old.paused = false
	load(2, 91, 9, true)
	is.Equal(held(), int32(3))
	is.True(!watcher.state.View().Members().Leaving(old.vm))
	c.publish()
	c.run(settleTime, nil)
	is.Equal(successor.revision, int64(1))
}

// A VM is asked to stop. Entries that learn of it only from the VM list would keep sending it
// requests for as long as the list lags.
func TestLeavingIsReportedAtOnce(t *testing.T) {
	is := is.New(t)
	c := newSettledCluster(t, 36, 12)
	p := c.procs[1]
	c.reduce(p, event.Draining{Now: c.at(p)})
	c.run(2*clock.Second, nil)
	for _, x := range c.procs {
		is.True(x == p || x.state.View().Members().Leaving(p.vm))
	}
	c.start(1, 600)
	c.run(settleTime, nil)
	for _, x := range c.procs {
		is.True(x.dead || !x.state.View().Members().Leaving(p.vm)) // the new process is not leaving
	}
}

// A zone is partitioned from all others during a log outage and uses old tables. A process
// that starts in it receives reports only from its own zone, which agree on the old tables.
// If it became ready with these, it would send requests to versions that operators have
// withdrawn.
func TestStartInPartitionedZone(t *testing.T) {
	is := is.New(t)
	c := newSettledCluster(t, 36, 3)
	c.partitioned = func(from, to *proc) bool { return (from.vm.Zone == "zone-0") != (to.vm.Zone == "zone-0") }
	c.readable = func(p *proc) bool { return p.vm.Zone != "zone-0" }
	c.publish()
	c.run(settleTime, nil)
	c.readable = func(*proc) bool { return false }
	p := c.start(3, 900)
	is.Equal(p.vm.Zone, "zone-0")
	c.run(settleTime, nil)
	is.Equal(p.revision, int64(0)) // the tables of its zone
	is.True(!p.state.View().Ready())
	c.partitioned = func(_, _ *proc) bool { return false }
	c.run(settleTime, nil)
	is.Equal(p.revision, int64(1))
	is.True(p.state.View().Ready())
}

// A version is put on hold while most processes cannot read the log. Without the hold they would
// keep sending requests to it, and each would have to detect by itself that it is bad.
func TestHoldReachesProcessesWithoutLog(t *testing.T) {
	is := is.New(t)
	c := newSettledCluster(t, 36, 12)
	c.readable = func(p *proc) bool { return p.vm.Zone == "zone-0" }
	data, err := rollout.Encode(&wire.Hold{Version: "m@2"})
	is.NoErr(err)
	c.holds = append(c.holds, data)
	c.run(6*clock.Second, nil)
	for _, p := range c.procs {
		is.True(p.state.View().Holds().Held("m@2", "any"))
	}
	successor := c.start(5, 800)
	c.run(settleTime, nil)
	is.True(successor.state.View().Holds().Held("m@2", "any")) // also in a process that starts later
}
