package site

import (
	"context"
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// Guards against an entry that starts from the state of one that has resumed an order, and begins with the order anew and
// without anything to compare the new version with.
func TestEntryThatStartsInheritsResumedOrder(t *testing.T) {
	is := is.New(t)
	o := upgrade.Order{Service: "pool", Target: "v2", Duration: 20 * clock.Second, Number: 7}
	key := upgrade.LatencyKey{Model: "m", Shared: true}
	sample := func(target bool, millis float64) upgrade.LatencyBucket {
		return upgrade.LatencyBucket{LatencyKey: key, Target: target, Index: upgrade.BucketIndex(millis)}
	}
	codec := contentCodec
	codec.Operator = func(records []Record) OperatorUpdate {
		u := contentCodec.Operator(records)
		u.Orders = []upgrade.Order{o}
		return u
	}
	giver := runningEntry(3)
	giver.upgrades["pool"] = giver.resume(o, OrderStart{Number: 7, Age: 8 * clock.Second, Latencies: upgrade.Latencies{sample(false, 20): 100}})
	m := stateOf(t, giver, 1500)
	s := NewState(Self{Name: "entry-z", Process: "entry-z/2", Zone: "b"}, 90_000)
	e, err := decodeState(codec, m, 91_000, 91_020)
	is.NoErr(err)
	Reduce(s, e)
	u := s.upgrades["pool"]
	is.True(u.Resumed())
	// Half a second has passed since the giver resumed it.
	is.Equal(giver.upgrades["pool"].Schedule().Span()-u.Schedule().Span(), 500*clock.Millis(1))
	u.AddLatencies("entry-z/2", upgrade.Latencies{sample(true, 160): 4}, 0.08)
	is.Equal(u.Total().Timed, int64(4))
	is.Equal(u.Ungraded(), int64(0))
}

// Guards against an order that begins anew because the store was busy when the entry read the order's start.
func TestStartsAreReadAgainWhenStoreIsBusy(t *testing.T) {
	is := is.New(t)
	value, err := deflate(&wire.UpgradeStart{Number: 7, Era: 1, StartedMillis: 4000})
	is.NoErr(err)
	calls := 0
	l := NewLoop(Config{Clock: clock.Boot(), Log: log.New(io.Discard), TimeOfDay: func() int64 { return 9000 }, Store: Store{
		Newest: func(_ context.Context, stream Stream) ([]Record, Position, error) {
			is.Equal(stream, UpgradeStream)
			if calls++; calls < 4 {
				return nil, Position{}, provider.ErrBusy.New("too many calls")
			}
			return []Record{{Key: "pool", Value: value}}, Position{}, nil
		},
	}})
	starts := l.readStarts(context.Background())
	is.Equal(starts["pool"].Age, 5*clock.Second)
	is.Equal(starts["pool"].Number, Position{1, 7}.Number())
}
