package site

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// behind makes the state of an entry that has so many others before it by name.
func behind(before int) *State {
	s := NewState(Self{Name: "entry-m", Process: "entry-m/1", Zone: "a"}, 0)
	Reduce(s, VerdictsRead{Now: 10})
	Reduce(s, EndpointsRead{Now: 10, SentAt: 9, Full: true})
	Reduce(s, OperatorRead{Now: 10, SentAt: 9, Full: true, Next: 5, Update: OperatorUpdate{Config: (&catalog.Config{Version: 1}).Index()}})
	for i := range before {
		name := fmt.Sprintf("entry-a%02d", i)
		Reduce(s, ReportReceived{Now: 20, Report: &wire.EntryReport{Process: name, Name: name, Address: name, OperatorNext: 5}})
	}
	return s
}

// An upgrade ends at a site of 68 entries. Each of them read the status stream until it
// found the verdict there, and those that the store turned away went on trying: a fifth
// of a day's calls. Those that may have to write it read; the others hear that it
// stands.
func TestOnlyJudgesReadVerdicts(t *testing.T) {
	is := is.New(t)
	for _, x := range []struct {
		before int
		reads  bool
	}{{0, true}, {2, true}, {3, false}, {60, false}} {
		s := behind(x.before)
		s.upgrades["pool"] = upgrade.New(upgrade.Order{Service: "pool", Target: "v2", Duration: 24 * clock.Second, Number: 7}, 20)
		from := "entry-z"
		report := func(agreed bool) *wire.EntryReport {
			return &wire.EntryReport{Process: from, Name: from, Address: from, OperatorNext: 5, Upgrades: []*wire.UpgradeReport{{
				Service: "pool", Target: "v2", Number: 7, Phase: int32(upgrade.RolledBack), Reason: "failing", Agreed: agreed,
			}}}
		}
		Reduce(s, ReportReceived{Now: 30, Report: report(false)})
		is.True(s.View().moving())
		is.Equal(s.View().wants(StatusStream, 30), x.reads)
		Reduce(s, ReportReceived{Now: 40, Report: report(true)})
		is.True(!s.View().moving())
		is.True(!s.View().wants(StatusStream, 40))
	}
}

// All entries of a site start in the same moment. Until each had heard those before it
// by name it took itself for the first, and read the store for all.
func TestSimultaneousStartDefersReading(t *testing.T) {
	is := is.New(t)
	s := behind(0)
	is.True(s.reader()) // nobody else is known
	addresses := map[string]string{"entry-m": "m"}
	for i := range 20 {
		name := fmt.Sprintf("entry-a%02d", i)
		addresses[name] = name
	}
	Reduce(s, EntriesRead{Now: 100, Addresses: addresses})
	is.True(!s.reader())
	is.True(!s.View().wants(OperatorStream, 101))
	// They are not heard: their machines are gone, and only their addresses are left.
	reads := clock.Millis(0)
	for now := clock.Millis(200); now < 3000 && reads == 0; now += 100 {
		Reduce(s, Tick{Now: now})
		if s.View().wants(OperatorStream, now) {
			reads = now
		}
	}
	is.True(reads > 0 && reads <= 100+peerLive+100)
}

// The store turns some entries away and serves the others, from which these hear of all
// changes. An entry that was turned away tried on with each of its reads more than once
// a second.
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
	begun := f.total()
	time.Sleep(7 * time.Second) // what was known is too old after 3.5 s
	t.Logf("%d calls in 7 s", f.total()-begun)
	is.True(f.total()-begun <= 6)
}
