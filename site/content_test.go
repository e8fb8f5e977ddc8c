package site

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/upgrade"
	"google.golang.org/protobuf/proto"
)

// contentCodec decodes the records of these tests: the key "config" is a configuration whose
// version is the record's offset.
var contentCodec = Codec{
	Operator: func(records []Record) (u OperatorUpdate) {
		for _, r := range records {
			if r.Key == "config" {
				u.Config, u.ConfigRecord = configOf(r.Offset), r
				continue
			}
			u.Records = append(u.Records, r)
		}
		return u
	},
	Verdicts: func(records []Record) (out []Verdict) {
		for _, r := range records {
			out = append(out, Verdict{Service: r.Key, Target: string(r.Value), Phase: upgrade.Completed})
		}
		return out
	},
}

// runningEntry returns the state of an entry that read the store at time 1000.
func runningEntry(endpoints int) *State {
	s := NewState(Self{Name: "entry-a", Process: "entry-a/1", Zone: "a"}, 0)
	records := []Record{{Key: "config", Value: []byte("x"), Offset: 7}}
	var changes []fleet.Change
	for i := range endpoints {
		id := fmt.Sprint("i-", i)
		changes = append(changes, fleet.Change{ID: id, Endpoint: &fleet.Endpoint{ID: id, Service: "pool", Zone: "a", Address: "10.0.0.1:1", Version: "v1", Slots: 4, ColdUntil: 3000}})
	}
	Reduce(s, VerdictsRead{Now: 1000, Next: Position{Offset: 3}})
	Reduce(s, OperatorRead{Now: 1000, SentAt: 1000, Full: true, Next: Position{Offset: 8}, Records: records, Update: contentCodec.Operator(records)})
	Reduce(s, EndpointsRead{Now: 1000, SentAt: 1000, Full: true, Changes: changes})
	Reduce(s, EntriesRead{Now: 1000, Addresses: map[string]string{"entry-a": "a:1", "entry-z": "z:1"}})
	return s
}

// stateOf returns the message by which an entry gives its state at the time now.
func stateOf(t *testing.T, s *State, now clock.Millis) *wire.SiteState {
	t.Helper()
	s.now = now
	packed, err := packContent(s.content())
	if err != nil {
		t.Fatal(err)
	}
	return &wire.SiteState{Packed: packed, ConfirmedAgeMillis: int64(now - s.confirmedAt), FleetAgeMillis: int64(now - s.fleetConfirmedAt)}
}

// An entry that starts from another one's state must know the same as that one, and must not take
// it for newer than the other's own confirmation.
func TestStateOfOtherEntryIsTakenOver(t *testing.T) {
	is := is.New(t)
	other := runningEntry(642)
	m := stateOf(t, other, 1500)
	t.Logf("%d bytes for 642 endpoints", len(m.GetPacked()))
	s := NewState(Self{Name: "entry-z", Process: "entry-z/2", Zone: "b"}, 90_000)
	e, err := decodeState(contentCodec, m, 91_000, 91_020)
	is.NoErr(err)
	Reduce(s, e)
	is.True(s.started())
	is.Equal(s.View().Config().Version(), int64(7))
	is.Equal(s.fleet.Snapshot().Digest(), other.fleet.Snapshot().Digest())
	is.Equal(s.confirmedAt, clock.Millis(90_500)) // 500 ms before it was asked for
	is.Equal(s.fleet.Find("i-0").ColdUntil, clock.Millis(92_500))
	is.Equal(s.operator, Position{Offset: 8})
	is.Equal(s.statusEnd, Position{Offset: 3})
	is.Equal(s.registeredAt, "z:1")
	is.True(!s.reader()) // the other entry reads the store
	for now := clock.Millis(91_100); now < 91_000+peerTimeout+2*clock.Second; now += 100 {
		Reduce(s, Tick{Now: now})
	}
	is.True(s.reader()) // unless nothing more is heard of it
}

// State that is old, torn, empty or from the future must not be used.
func TestUnusableStateIsRejected(t *testing.T) {
	other := runningEntry(3)
	for name, test := range map[string]struct {
		change func(m *wire.SiteState)
		want   *errorx.Type
	}{
		"old configuration": {func(m *wire.SiteState) { m.ConfirmedAgeMillis = int64(maxStateAge) }, ErrStale},
		"old endpoints":     {func(m *wire.SiteState) { m.FleetAgeMillis = int64(clock.Hour) }, ErrStale},
		"from the future":   {func(m *wire.SiteState) { m.ConfirmedAgeMillis = -5000 }, ErrStale},
		"torn":              {func(m *wire.SiteState) { m.Packed = m.Packed[:len(m.Packed)-9] }, ErrUnpack},
		"no content":        {func(m *wire.SiteState) { m.Packed = nil }, ErrUnpack},
		"forged endpoint": {func(m *wire.SiteState) {
			repack(t, m, func(c *wire.SiteContent) { c.Endpoints[0].Address = "10.9.9.9:1" })
		}, ErrTorn},
		"no configuration": {func(m *wire.SiteState) { repack(t, m, func(c *wire.SiteContent) { c.Records = nil }) }, ErrTorn},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := stateOf(t, other, 1100)
			test.change(m)
			_, err := decodeState(contentCodec, m, 50_000, 50_010)
			is.True(errorx.IsOfType(err, test.want))
		})
	}
}

func repack(t *testing.T, m *wire.SiteState, change func(c *wire.SiteContent)) {
	t.Helper()
	c, err := unpackContent(m.GetPacked())
	if err != nil {
		t.Fatal(err)
	}
	c = proto.CloneOf(c)
	change(c)
	if m.Packed, err = packContent(c); err != nil {
		t.Fatal(err)
	}
}

// An entry that asks for state because it missed an update must not go back to older endpoints or
// an older configuration of an entry that has missed more.
func TestOlderStateChangesNothing(t *testing.T) {
	is := is.New(t)
	old := stateOf(t, runningEntry(3), 1100)
	s := runningEntry(4)
	Reduce(s, OperatorRead{Now: 1200, SentAt: 1200, Next: Position{Offset: 12}, Records: []Record{{Key: "config", Value: []byte("y"), Offset: 11}}, Update: contentCodec.Operator([]Record{{Key: "config", Value: []byte("y"), Offset: 11}})})
	Reduce(s, EndpointsRead{Now: 1200, SentAt: 1200})
	e, err := decodeState(contentCodec, old, 1150, 1160)
	is.NoErr(err)
	Reduce(s, e)
	is.Equal(s.View().Config().Version(), int64(11))
	is.Equal(s.fleet.Snapshot().Size(), 4)
	is.Equal(s.operator, Position{Offset: 12})
}

// Guards against shares of limits that are too large, after many entries have started at once: each
// was given a list that lacked those which started later. An entry that knows more says so in its
// reports, and the list is taken from it.
func TestMissingEntriesAreNoticed(t *testing.T) {
	is := is.New(t)
	s := runningEntry(1)
	reply := &wire.EntryReport{Process: "r/1", Name: "entry-0", Zone: "a", Address: "r", ReplyMillis: 1000, ReplyTo: s.self.Process, Entries: 5}
	Reduce(s, ReportReceived{Now: 1100, Report: reply})
	is.Equal(s.View().fullerList, EntryAddress{"entry-0", "r", "a"})
	Reduce(s, EntriesListed{Now: 1200, Entries: []EntryAddress{{"entry-0", "r", "a"}, {"entry-x", "x", "b"}, {"entry-y", "y", "b"}, {"entry-z", "z:1", "b"}}})
	is.Equal(s.View().fullerList, EntryAddress{})
	is.Equal(s.View().Entries(), 5)
	Reduce(s, ReportReceived{Now: 1300, Report: reply})
	is.Equal(s.View().fullerList, EntryAddress{})
}

// Entries that start together were each given a list with nobody but the entry that gave it, which
// comes last in the order of names. The failure was that each of them took itself for a reader, asked
// nobody, and never knew the others, so that all used too large a share of limits.
func TestEntriesWithShortListsFindAllOthers(t *testing.T) {
	for _, n := range []int{4, 60, 355} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			all := make(map[string]*State)
			var queue []func(now clock.Millis)
			deliver := func(from *State, effects []Effect) {
				for _, e := range effects {
					f, ok := e.(SendReport)
					if !ok {
						continue
					}
					f.Report.Address = from.self.Name
					to := []string{f.To}
					if f.To == "" {
						to = slices.Collect(maps.Values(from.addresses))
					}
					for _, name := range to {
						if s := all[name]; s != nil && s != from {
							queue = append(queue, func(now clock.Millis) { Reduce(s, ReportReceived{Now: now, Report: f.Report}) })
						}
					}
				}
			}
			giver := fmt.Sprintf("entry-%03d", n-1)
			for i := range n {
				name := fmt.Sprintf("entry-%03d", i)
				s := NewState(Self{Name: name, Process: name + "/1", Zone: fmt.Sprint("zone-", i%6)}, 0)
				all[name] = s
				given := []EntryAddress{{giver, giver, ""}}
				deliver(s, Reduce(s, StateReceived{Now: 1, ConfirmedAt: 1, FleetConfirmedAt: 1, Update: contentCodec.Operator([]Record{{Key: "config", Offset: 1}}), Entries: given}))
			}
			names := slices.Sorted(maps.Keys(all))
			knowsAll := func() bool {
				return !slices.ContainsFunc(names, func(name string) bool { return len(all[name].sharers()) != n })
			}
			now := clock.Millis(100)
			for ; now < 10*clock.Second && !knowsAll(); now += 100 {
				due := queue
				queue = nil
				for _, f := range due {
					f(now)
				}
				for _, name := range names {
					s := all[name]
					deliver(s, Reduce(s, Tick{Now: now}))
					if fuller := all[s.fullerList.Address]; fuller != nil && now%entriesInterval == 0 {
						deliver(s, Reduce(s, EntriesListed{Now: now, Entries: fuller.liveEntries()}))
					}
				}
			}
			t.Logf("all know all after %s", now)
			is.True(now < 6*clock.Second)
		})
	}
}

// Guards against keyed requests that are refused because other entries are asked for too long: a
// delegate that accepts a question and hangs must leave time to read the store before the lease of
// keys ends, 4.7 s after the last confirmation.
func TestHangingDelegateDoesNotCostTheLease(t *testing.T) {
	is := is.New(t)
	const lease = 4700 * clock.Millis(1)
	is.True(maxConfirmationAge+maxAgedPatience+catchUpTimeout < lease)
	f := &flakyStore{calls: make(map[Stream]int)}
	l := f.loop(Self{Name: "entry-m", Process: "entry-m/1", Zone: "a"})
	l.agedPatience = maxAgedPatience
	taken := giveStates(l, func(int) int64 { return 5 })
	first := l.cfg.TakeState
	l.cfg.TakeState = func(ctx context.Context, from []EntryAddress, starts bool) error {
		if starts {
			return first(ctx, from, starts)
		}
		<-ctx.Done()
		return ctx.Err()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	go reportDelegates(ctx, l, func() int64 { return 5 })
	clock.Pause(ctx, lease)
	f.mu.Lock()
	defer f.mu.Unlock()
	is.Equal(taken.Load(), int64(1))
	is.True(f.calls[OperatorStream] > 0)
}

// The store keeps silent for a while, so that the confirmations of all entries become too old at the
// same moment. Guards against all of them reading the store then: a moment later the readers have a
// new confirmation, and replies bring it to the others.
func TestAgedConfirmationsAreAwaited(t *testing.T) {
	is := is.New(t)
	f := &flakyStore{calls: make(map[Stream]int)}
	l := f.loop(Self{Name: "entry-m", Process: "entry-m/1", Zone: "a"})
	l.agedPatience = maxAgedPatience
	taken := giveStates(l, func(taken int) int64 {
		if taken > 1 {
			return -1
		}
		return 5
	})
	silentUntil := l.cfg.Clock.Now() + maxConfirmationAge + maxAgedPatience/2
	l.cfg.Send = func(r *wire.EntryReport, _ []string) error {
		if now := l.cfg.Clock.Now(); r.GetAskMillis() > 0 && now > silentUntil {
			l.Receive(&wire.EntryReport{Process: "entry-a", Name: "entry-a", Address: "a", Zone: "a", OperatorNext: 5, Version: r.GetVersion(), FleetDigest: r.GetFleetDigest(), ReplyMillis: r.GetAskMillis(), ReplyTo: "entry-m/1"})
		}
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	go reportDelegates(ctx, l, func() int64 { return 5 })
	clock.Pause(ctx, maxConfirmationAge+2*clock.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	t.Logf("%v calls, state asked for %d times", f.calls, taken.Load())
	is.Equal(f.calls[OperatorStream]+f.calls[EndpointStream], 0)
}

// A reader reads a stream anew, so that all entries miss the change at the same moment and the
// delegates cannot give their state to all of them at once. Guards against those that were referred
// elsewhere reading the store.
func TestMissedChangeIsAskedForAgain(t *testing.T) {
	is := is.New(t)
	f := &flakyStore{calls: make(map[Stream]int)}
	l := f.loop(Self{Name: "entry-m", Process: "entry-m/1", Zone: "a"})
	taken := giveStates(l, func(taken int) int64 {
		switch {
		case taken == 1:
			return 5
		case taken < 4:
			return -1
		}
		return 9
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	startedAt := l.cfg.Clock.Now()
	go reportDelegates(ctx, l, func() int64 {
		if l.cfg.Clock.Since(startedAt) < clock.Second {
			return 5
		}
		return 9
	})
	clock.Pause(ctx, 2*clock.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	t.Logf("%v calls, state asked for %d times", f.calls, taken.Load())
	is.Equal(f.calls[OperatorStream]+f.calls[EndpointStream], 0)
	is.Equal(l.View().operator, Position{Offset: 9})
}

// giveStates lets other entries give a loop their state, up to the offset of the operators' stream
// that next returns for the number of times they were asked; a negative one refuses it.
func giveStates(l *Loop, next func(taken int) int64) *atomic.Int64 {
	l.cfg.Codec.Operator, l.cfg.Codec.Verdicts = contentCodec.Operator, contentCodec.Verdicts
	var taken atomic.Int64
	l.cfg.TakeState = func(ctx context.Context, _ []EntryAddress, _ bool) error {
		offset := next(int(taken.Add(1)))
		if offset < 0 {
			return errors.New("no entry gave its state")
		}
		now := l.cfg.Clock.Now()
		l.post(ctx, StateReceived{
			Now: now, ConfirmedAt: now, FleetConfirmedAt: now, OperatorNext: Position{Offset: offset}, Update: contentCodec.Operator([]Record{{Key: "config", Offset: offset}}),
			Entries: []EntryAddress{{"entry-a", "a", "a"}},
		})
		return nil
	}
	return &taken
}

// reportDelegates lets three other entries report to a loop that they have the operators' stream up
// to the offset that next returns.
func reportDelegates(ctx context.Context, l *Loop, next func() int64) {
	for clock.Pause(ctx, 200) {
		for _, name := range []string{"entry-a", "entry-b", "entry-c"} {
			l.Receive(&wire.EntryReport{Process: name, Name: name, Address: name, Zone: "a", OperatorNext: next()})
		}
	}
}

// FuzzState decodes states of other entries from arbitrary data. Nothing may panic, and no state
// without a configuration may be accepted.
func FuzzState(f *testing.F) {
	good, err := packContent(runningEntry(2).content())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good, int64(0), int64(100))
	f.Add(good[:len(good)/2], int64(-1), int64(1)<<62)
	f.Fuzz(func(t *testing.T, packed []byte, held, age int64) {
		m := &wire.SiteState{Packed: packed, HeldMillis: held, ConfirmedAgeMillis: age, FleetAgeMillis: age}
		e, err := decodeState(contentCodec, m, 1000, 1010)
		if err == nil && (e.Update.Config == nil || e.ConfirmedAt > 1010) {
			t.Fatalf("state without configuration or from the future: %+v", e)
		}
	})
}

// All entries that start must ask the same few ones, and those must be far apart by name.
func TestSeedsAreTheSameEverywhere(t *testing.T) {
	is := is.New(t)
	var records []Record
	for i := range 12 {
		records = append(records, Record{Key: fmt.Sprintf("entry-%c-%d", 'a'+i/4, i%4), Value: []byte{byte('0' + i)}})
	}
	want := []EntryAddress{{Name: "entry-a-0", Address: "0"}, {Name: "entry-b-0", Address: "4"}, {Name: "entry-c-0", Address: "8"}}
	is.Equal(seedsOf(records), want)
	slices.Reverse(records)
	is.Equal(seedsOf(append(records, Record{Key: "entry-deleted"})), want)
	is.Equal(len(seedsOf(records[:2])), 2)
	is.Equal(len(seedsOf(nil)), 0)
}
