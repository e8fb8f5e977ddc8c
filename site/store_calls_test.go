package site

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// stateWithPeers returns the state of an entry that knows the given number of peers, all of which
// precede it in the order of names.
func stateWithPeers(before int) *State {
	s := NewState(Self{Name: "entry-m", Process: "entry-m/1", Zone: "a"}, 0)
	Reduce(s, VerdictsRead{Now: 10})
	Reduce(s, EndpointsRead{Now: 10, SentAt: 9, Full: true})
	Reduce(s, OperatorRead{Now: 10, SentAt: 9, Full: true, Next: Position{Offset: 5}, Update: OperatorUpdate{Config: configOf(1)}})
	for i := range before {
		name := fmt.Sprintf("entry-a%02d", i)
		Reduce(s, ReportReceived{Now: 20, Report: &wire.EntryReport{Process: name, Name: name, Address: name, OperatorNext: 5}})
	}
	return s
}

// Guards against every entry of a large site polling the status stream until it finds the verdict
// of an upgrade, and retrying when the store rejects the call; on a site of 68 entries these reads
// were a fifth of all calls to the store in a day. Only entries that may have to write the verdict
// read the stream; the others receive the verdict from their peers.
func TestOnlyJudgesReadVerdicts(t *testing.T) {
	is := is.New(t)
	for _, x := range []struct {
		before int
		reads  bool
	}{{0, true}, {2, true}, {3, false}, {60, false}} {
		s := stateWithPeers(x.before)
		s.upgrades["pool"] = upgrade.New(upgrade.Order{Service: "pool", Target: "v2", Duration: 24 * clock.Second, Number: 7}, 20)
		from := "entry-z"
		report := func(agreed bool) *wire.EntryReport {
			return &wire.EntryReport{Process: from, Name: from, Address: from, OperatorNext: 5, Upgrades: []*wire.UpgradeReport{{
				Service: "pool", Target: "v2", Number: 7, Phase: int32(upgrade.RolledBack), Reason: "failing", Agreed: agreed,
			}}}
		}
		Reduce(s, ReportReceived{Now: 30, Report: report(false)})
		is.True(s.View().hasActiveUpgrade())
		is.Equal(s.View().wants(StatusStream, 30), x.reads)
		Reduce(s, ReportReceived{Now: 40, Report: report(true)})
		is.True(!s.View().hasActiveUpgrade())
		is.True(!s.View().wants(StatusStream, 40))
	}
}

// Guards against every entry reading the store when all entries of a site start at once: an entry
// that has received no report yet must not assume that it is the first in the order of names, and
// thus a reader.
func TestSimultaneousStartDefersReading(t *testing.T) {
	is := is.New(t)
	s := stateWithPeers(0)
	is.True(s.reader()) // no other entry is known
	addresses := map[string]string{"entry-m": "m"}
	for i := range 20 {
		name := fmt.Sprintf("entry-a%02d", i)
		addresses[name] = name
	}
	Reduce(s, EntriesRead{Now: 100, Addresses: addresses})
	is.True(!s.reader())
	is.True(!s.View().wants(OperatorStream, 101))
	// No reports arrive: the VMs of these entries are gone and only their registrations are left.
	readAt := clock.Millis(0)
	for now := clock.Millis(200); now < 3000 && readAt == 0; now += 100 {
		Reduce(s, Tick{Now: now})
		if s.View().wants(OperatorStream, now) {
			readAt = now
		}
	}
	is.True(readAt > 0 && readAt <= 100+peerTimeout+100)
}

// Guards against needless retries by an entry whose calls the store rejects: it must not retry each
// of its reads more than once a second. The store serves the peers of this entry, and they send it
// all changes.
func TestEntryRejectedByStoreBacksOff(t *testing.T) {
	is := is.New(t)
	f := &flakyStore{calls: make(map[Stream]int)}
	l := f.loop(Self{Name: "entry-m", Process: "entry-m/1", Zone: "a"})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	go func() {
		for clock.Pause(ctx, 200) {
			for _, name := range []string{"entry-a", "entry-b", "entry-c"} {
				l.Receive(&wire.EntryReport{Process: name, Name: name, Address: name, Zone: "a"})
			}
		}
	}()
	time.Sleep(time.Second)
	f.fails.Store(true)
	callsBefore := f.total()
	time.Sleep(7 * time.Second) // the state is too old after 3.5 s
	t.Logf("%d calls in 7 s", f.total()-callsBefore)
	is.True(f.total()-callsBefore <= 6)
}
