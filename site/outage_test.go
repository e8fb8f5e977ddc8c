package site

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// flakyStore is a store whose calls fail on demand. It counts calls by stream.
type flakyStore struct {
	fails atomic.Bool
	mu    sync.Mutex
	calls map[Stream]int
}

func (f *flakyStore) call(s Stream) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[s]++
	if f.fails.Load() {
		return errors.New("connection refused")
	}
	return nil
}

func (f *flakyStore) total() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.calls {
		n += c
	}
	return n
}

func (f *flakyStore) store() Store {
	return Store{
		Sample: func(_ context.Context, s Stream) ([]Record, error) { return nil, f.call(s) },
		Newest: func(_ context.Context, s Stream) ([]Record, Position, error) {
			return []Record{{Key: "x"}}, Position{}, f.call(s)
		},
		Read: func(ctx context.Context, s Stream, from int64, wait clock.Millis) ([]Record, Position, error) {
			err := f.call(s)
			if err == nil {
				clock.Pause(ctx, wait)
			}
			return nil, Position{Offset: from}, err
		},
		Append: func(_ context.Context, s Stream, _ string, _ []byte, _ int64) (int64, error) { return 0, f.call(s) },
	}
}

// loop returns the loop of an entry that calls the store.
func (f *flakyStore) loop(self Self) *Loop {
	return NewLoop(Config{
		Self: self, Clock: clock.Boot(), Log: log.New(io.Discard), Store: f.store(),
		Codec: Codec{
			Operator:  func([]Record) OperatorUpdate { return OperatorUpdate{Config: configOf(1)} },
			Endpoints: func([]Record, clock.Millis) []fleet.Change { return nil },
			Verdicts:  func([]Record) []Verdict { return nil },
		},
		Send: func(*wire.EntryReport, []string) error { return nil }, Counts: func() TrafficCounts { return TrafficCounts{} },
	})
}

// Every call to the store costs money, even a refused one. A process has several feeds, each of
// which reads one stream of the store. Guards against each feed probing a failing store on its own,
// for example when all entries start after a power failure while the store is down for ten seconds.
// That makes four times as many calls as are needed to notice that the store is back. Only the feed
// of the operators' stream must probe the store; the others must resume as soon as it succeeds.
func TestFailingStoreIsProbedByOneFeed(t *testing.T) {
	is := is.New(t)
	f := &flakyStore{calls: make(map[Stream]int)}
	f.fails.Store(true)
	l := f.loop(Self{Name: "entry-a", Process: "entry-a/1"})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	time.Sleep(2 * time.Second)
	t.Logf("%d calls in 2 s", f.total())
	is.True(f.total() <= 10) // 17 with each feed probing on its own
	is.True(f.total() >= 5)
	f.fails.Store(false)
	time.Sleep(time.Second)
	is.True(l.View().started) // all streams were read
}

// The first entry of a site registers itself, and the read of the register that follows hangs. Guards
// against it sharing its limits with entries that do not exist: its callers got the small model's
// answers, because an attempt at the larger model counts against a share of the retry budget.
func TestFirstEntryKnowsThatItIsAlone(t *testing.T) {
	is := is.New(t)
	f := &flakyStore{calls: make(map[Stream]int)}
	l := f.loop(Self{Name: "entry-a", Process: "entry-a/1"})
	registered := make(chan struct{})
	l.cfg.Store.Sample = func(context.Context, Stream) ([]Record, error) {
		select {
		case <-registered:
			return []Record{{Key: "entry-a", Value: []byte("10.0.0.1:1")}}, nil
		default:
			return nil, nil
		}
	}
	l.cfg.Store.Append = func(context.Context, Stream, string, []byte, int64) (int64, error) { close(registered); return 0, nil }
	newest := l.cfg.Store.Newest
	l.cfg.Store.Newest = func(ctx context.Context, s Stream) ([]Record, Position, error) {
		if s == EntryStream {
			<-ctx.Done()
		}
		return newest(ctx, s)
	}
	l.cfg.TakeState = func(context.Context, []EntryAddress, bool) error { return errors.New("no entry runs") }
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go l.Run(ctx)
	<-l.Started()
	is.Equal(l.View().Entries(), 1)
}
