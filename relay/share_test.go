package relay

import (
	"context"
	"io"
	"math"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/placement"
	"github.com/parsleydeal/parsleydeal/site"
	"github.com/parsleydeal/parsleydeal/upstream"
	"pgregory.net/rapid"
)

// A site grows, and with it the size of reports and the number of entries that receive them; long
// prompts arrive all the time, and each is reported as soon as possible. The bytes that an entry
// sends per second for reports must stay bounded: when the budget is used up, reports are delayed.
func TestReportsStayWithinByteBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size, to := rapid.IntRange(60, 60000).Draw(t, "size"), rapid.IntRange(1, 400).Draw(t, "to")
		duration := 100 * clock.Second
		budget := byteBudget{}
		bytes, now := 0, clock.Millis(0)
		for now < duration {
			budget.refill(now)
			now += max(budget.wait(), minReportInterval)
			budget.refill(now)
			budget.available -= float64(size * to)
			bytes += size * to
		}
		// A report may exceed the budget and delays the next one, so the last one is not counted.
		perSecond := float64(bytes-size*to) * float64(clock.Second) / float64(now)
		if perSecond > reportBytesPerSecond*1.01 {
			t.Fatalf("%g bytes per second", perSecond)
		}
	})
}

// An entry starts while its neighbours, the entries that it exchanges reports with, are running. It
// requests a snapshot from one of them as soon as it knows an address, and ignores a snapshot that
// it did not request. A neighbour must not send snapshots to addresses that it does not know.
func TestStartedEntryRequestsSnapshot(t *testing.T) {
	is := is.New(t)
	c := clock.Boot()
	// serverOf returns the server of an entry that knows one other entry.
	serverOf := func(name, other string) *Server {
		view := site.NewState(site.Self{Name: name, Zone: "a"}, 0)
		site.Reduce(view, site.EntriesRead{Now: 1, Addresses: map[string]string{name: name + ":1", other: other + ":1"}})
		return New(Config{Clock: c, Log: log.New(io.Discard), View: view.View, Pool: upstream.NewPool(c)})
	}
	old, started := serverOf("old", "e"), serverOf("e", "old")
	at := &fleet.Endpoint{ID: "i-1", Service: "app", Version: "v1", Slots: 4}
	q := placement.Query{Service: "app", Model: "m", Now: c.Now(), Blocks: []placement.Block{{ID: "case", Tokens: 900}, {ID: "own", Tokens: 100}}}
	old.selector.Begin(at, q).FirstByte(c.Now()+20, 0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go old.ServeSnapshots(ctx, "old", func(r *wire.EntryReport, to []string) error {
		is.Equal(to, []string{"e:1"})
		started.ReceiveReport(r)
		return nil
	})
	old.ReceiveReport(&wire.EntryReport{Process: "x", Address: "stranger:1", AskParts: true})
	started.ReceiveReport(&wire.EntryReport{Process: "x", Partial: true, Speeds: []*wire.ModelSpeed{{Model: "m", TokenMillis: 9, Measured: 9}}})
	started.RequestSnapshot(ctx, "e", "e:1", func(r *wire.EntryReport, to []string) error {
		is.Equal(to, []string{"old:1"})
		old.ReceiveReport(r)
		return nil
	})
	_, speeds := started.selector.Snapshot(c.Now())
	_, want := old.selector.Snapshot(c.Now())
	is.Equal(speeds, want)
}

// A faulty or foreign process sends impossible speeds. If they were used, all prompts would go to
// the endpoints of one model, or none would.
func TestInvalidSpeedsAreDropped(t *testing.T) {
	is := is.New(t)
	for _, s := range []*wire.ModelSpeed{{Model: "m", Measured: 1}, {Model: "m", TokenMillis: -1, Measured: 1}, {Model: "m", TokenMillis: math.NaN(), Measured: 1}, {Model: "m", TokenMillis: 1}, {Model: "m", TokenMillis: 99, Measured: 1}, {Model: "m", TokenMillis: 1, Measured: 1, BeyondMillis: math.NaN()}, {Model: "m", TokenMillis: 1, Measured: 1, BeyondMillis: -1e9}} {
		is.Equal(len(speedsFromWire([]*wire.ModelSpeed{s})), 0)
	}
}
