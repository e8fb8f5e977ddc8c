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

// A site grows, and with it the reports of work and the entries that hear them; long
// prompts come all the time, each of which others should hear of at once. What an entry
// sends for it in a second stays the same; its word becomes older.
func TestReportsStayWithinByteBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size, to := rapid.IntRange(60, 60000).Draw(t, "size"), rapid.IntRange(1, 400).Draw(t, "to")
		span := 100 * clock.Second
		spent := allowance{}
		bytes, now := 0, clock.Millis(0)
		for now < span {
			spent.pass(now)
			now += max(spent.wait(), shareLeast)
			spent.pass(now)
			spent.left -= float64(size * to)
			bytes += size * to
		}
		// The last report may be as large as it is; it is paid for afterwards.
		perSecond := float64(bytes-size*to) * float64(clock.Second) / float64(now)
		if perSecond > shareBytes*1.01 {
			t.Fatalf("%g bytes a second", perSecond)
		}
	})
}

// An entry starts while its neighbours work. It asks one of them for what endpoints keep, once
// it knows one, and takes nothing over that it did not ask for; strangers get no answer.
func TestStartedEntryRequestsSnapshot(t *testing.T) {
	is := is.New(t)
	c := clock.Boot()
	// serverOf makes the server of an entry that knows another one near by.
	serverOf := func(name, other string) *Server {
		view := site.NewState(site.Self{Name: name, Zone: "a"}, 0)
		site.Reduce(view, site.EntriesRead{Now: 1, Addresses: map[string]string{name: name + ":1", other: other + ":1"}})
		return New(Config{Clock: c, Log: log.New(io.Discard), View: view.View, Pool: upstream.NewPool(c)})
	}
	old, started := serverOf("old", "e"), serverOf("e", "old")
	at := &fleet.Endpoint{ID: "i-1", Service: "app", Version: "v1", Slots: 4}
	q := placement.Query{Service: "app", Model: "m", Now: c.Now(), Blocks: []placement.Block{{ID: "case", Tokens: 900}, {ID: "own", Tokens: 100}}}
	old.board.Begin(at, q).FirstByte(c.Now() + 20)
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
	_, speeds := started.board.Snapshot(c.Now())
	_, want := old.board.Snapshot(c.Now())
	is.Equal(speeds, want)
}

// Speeds that no model has come from a broken or strange process. They would send all prompts
// to one model's endpoints, or none.
func TestInvalidSpeedsAreDropped(t *testing.T) {
	is := is.New(t)
	for _, s := range []*wire.ModelSpeed{{Model: "m", Measured: 1}, {Model: "m", TokenMillis: -1, Measured: 1}, {Model: "m", TokenMillis: math.NaN(), Measured: 1}, {Model: "m", TokenMillis: 1}, {Model: "m", TokenMillis: 99, Measured: 1}, {Model: "m", TokenMillis: 1, Measured: 1, BeyondMillis: math.NaN()}, {Model: "m", TokenMillis: 1, Measured: 1, BeyondMillis: -1e9}} {
		is.Equal(len(measuredOf([]*wire.ModelSpeed{s})), 0)
	}
}
