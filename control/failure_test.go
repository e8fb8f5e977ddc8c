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

func settled(t *testing.T, n, zones int) *cluster {
	t.Helper()
	c := newCluster(n, zones)
	c.publish()
	c.run(settle, nil)
	if !c.inForce(nil)() {
		t.Fatal("the first tables are not in force")
	}
	return c
}

// All entries are replaced at once while the log is out. Callers would see
// refusals until the log is back, or, worse, work decided on old tables. The
// new processes must take the newest revision from endpoints of other zones,
// and none may be ready before it stands there.
func TestEntriesRestartInOutage(t *testing.T) {
	is := is.New(t)
	c := settled(t, 36, 12)
	c.publish()
	c.run(settle, nil)
	c.readable = func(*proc) bool { return false }
	begun := make(map[*proc]bool)
	for i, vm := range c.listed {
		if vm.Role == provider.EntryRole {
			begun[c.start(i, uint64(1000+i))] = true
		}
	}
	early := false
	c.run(settle, func() bool {
		for p := range begun {
			early = early || p.state.View().Ready() && p.revision != int64(len(c.log))-1
		}
		return false
	})
	is.True(!early) // ready on old tables
	for p := range begun {
		is.True(p.state.View().Ready())
	}
}

// Everything is restarted while the log is out: nobody knows the tables, so
// nobody may say that it does. When the log is back all start.
func TestAllRestartInOutage(t *testing.T) {
	is := is.New(t)
	c := settled(t, 12, 3)
	c.readable = func(*proc) bool { return false }
	for i := range c.listed {
		c.start(i, uint64(1000+i))
	}
	c.run(settle, nil)
	for _, p := range c.procs {
		is.True(p.dead || !p.state.View().Ready())
	}
	c.readable = func(*proc) bool { return true }
	c.run(settle, nil)
	is.True(c.inForce(func(p *proc) bool { return p.state.View().Ready() })())
}

// The log comes back from an outage with its last records gone. A process that
// believed it would revert to tables that operators have replaced.
func TestShortenedLog(t *testing.T) {
	is := is.New(t)
	c := settled(t, 12, 3)
	c.publish()
	c.publish()
	c.run(settle, nil)
	c.cut = 2
	c.run(settle, nil)
	for _, p := range c.procs {
		is.Equal(p.state.tables.Revision(), int64(2))
		is.True(c.at(p)-p.state.spread.ConfirmedAt() >= settle-2*clock.Second) // a short log confirms nothing
	}
}

// The processes that read the log for their zone vanish without a word. The
// zone would work on old tables for good if nobody took their place.
func TestReaderTakeover(t *testing.T) {
	is := is.New(t)
	c := settled(t, 36, 2)
	c.parted = func(from, to *proc) bool { return from.vm.Zone != to.vm.Zone }
	gone := 0
	for _, p := range c.procs {
		if p.following && p.vm.Zone == "zone-0" {
			p.dead = true
			gone++
		}
	}
	is.Equal(gone, 2)
	c.publish()
	is.True(c.run(20*clock.Second, c.inForce(nil)) < 20*clock.Second)
}

// A peer sends records with one missing in between. A process that applied them
// would reject the next change, which was made on the missing one, and differ
// from all others for ever.
func TestRecordsWithGap(t *testing.T) {
	is := is.New(t)
	c := settled(t, 1, 1)
	p := c.procs[0]
	c.log = append(c.log, nil, nil)
	c.reduce(p, event.RecordsReceived{Now: c.at(p), From: "x", Reply: &wire.RecordsReply{
		From: 2, Head: 3, Records: []*wire.Record{{Offset: 2, Data: []byte("id = \"late\"\nkind = \"patch\"\nbase = 0\n")}},
	}})
	is.Equal(p.state.tables.Offset(), int64(1))
}

// A process is paused for minutes, its VM gets a new process under the same ID,
// and the old one comes back. Its word is as old as the pause: peers that took
// it would see a leaving VM as live, or its load for the new one's.
func TestTwoProcessesOneVM(t *testing.T) {
	is := is.New(t)
	c := settled(t, 12, 3)
	watcher, old := c.procs[0], c.procs[1]
	load := func(epoch, sequence uint64, held int32, leaving bool) {
		l := &wire.Load{Vm: old.vm.ID, Epoch: epoch, Sequence: sequence, Held: held, Leaving: leaving}
		c.reduce(watcher, event.LoadReceived{Now: c.at(watcher), Load: l})
	}
	held := func() int32 { return watcher.state.View().Members().Load(old.vm.ID).GetHeld() }
	load(2, 90, 9, false)
	old.paused = true
	c.run(settle, nil)
	next := c.start(1, 500)
	old.dead = false
	c.run(settle, nil)
	load(500, 1, 3, false)
	is.Equal(held(), int32(3)) // the successor's sequence begins again
	old.paused = false
	load(2, 91, 9, true)
	is.Equal(held(), int32(3))
	is.True(!watcher.state.View().Members().Leaving(old.vm))
	c.publish()
	c.run(settle, nil)
	is.Equal(next.revision, int64(1))
}

// A VM is told to stop. Entries that learn of it only from the lagging list go
// on sending it work for as long as the list lags.
func TestLeavingIsReportedAtOnce(t *testing.T) {
	is := is.New(t)
	c := settled(t, 36, 12)
	p := c.procs[1]
	c.reduce(p, event.Draining{Now: c.at(p)})
	c.run(2*clock.Second, nil)
	for _, x := range c.procs {
		is.True(x == p || x.state.View().Members().Leaving(p.vm))
	}
	c.start(1, 600)
	c.run(settle, nil)
	for _, x := range c.procs {
		is.True(x.dead || !x.state.View().Members().Leaving(p.vm)) // the next process does not leave
	}
}

// A zone is cut off from all others during a log outage and works on old tables.
// A process that starts in it hears only its neighbours, who agree on what is
// old; ready on that, it would send work to what operators have withdrawn.
func TestStartInPartitionedZone(t *testing.T) {
	is := is.New(t)
	c := settled(t, 36, 3)
	c.parted = func(from, to *proc) bool { return (from.vm.Zone == "zone-0") != (to.vm.Zone == "zone-0") }
	c.readable = func(p *proc) bool { return p.vm.Zone != "zone-0" }
	c.publish()
	c.run(settle, nil)
	c.readable = func(*proc) bool { return false }
	p := c.start(3, 900)
	is.Equal(p.vm.Zone, "zone-0")
	c.run(settle, nil)
	is.Equal(p.revision, int64(0)) // its neighbours' tables
	is.True(!p.state.View().Ready())
	c.parted = func(_, _ *proc) bool { return false }
	c.run(settle, nil)
	is.Equal(p.revision, int64(1))
	is.True(p.state.View().Ready())
}

// A version is held while most processes cannot read the log. Those would go on
// sending requests to it, and each of them would find out for itself that it is
// bad.
func TestHoldReachesProcessesWithoutLog(t *testing.T) {
	is := is.New(t)
	c := settled(t, 36, 12)
	c.readable = func(p *proc) bool { return p.vm.Zone == "zone-0" }
	data, err := rollout.Encode(&wire.Hold{Version: "m@2"})
	is.NoErr(err)
	c.holds = append(c.holds, data)
	c.run(6*clock.Second, nil)
	for _, p := range c.procs {
		is.True(p.state.View().Holds().Held("m@2", "any"))
	}
	next := c.start(5, 800)
	c.run(settle, nil)
	is.True(next.state.View().Holds().Held("m@2", "any")) // and one that starts later
}
