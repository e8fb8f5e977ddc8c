package node

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/rollout"
)

// The log has dropped the first holds. If an entry that starts now gave up at the expired offset,
// it would never read the hold that was appended again later, and would use a bad version.
func TestHoldsAreReadAfterFirstRecordsExpired(t *testing.T) {
	is := is.New(t)
	data, err := rollout.Encode(&wire.Hold{Version: "m@2"})
	is.NoErr(err)
	read := func(_ context.Context, _ string, from int64, _ clock.Millis) (p provider.Page, err error) {
		if from < 7 {
			return p, provider.ErrExpired.New("records no longer kept")
		}
		p = provider.Page{First: 7, Head: 8}
		if from == 7 {
			p.Records = []provider.Record{{Offset: 7, Data: data}}
		}
		return p, nil
	}
	n := New(Config{Clock: clock.System(), Log: log.New(io.Discard), Store: provider.Log{Read: read}})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go n.loop.Run(ctx)
	go n.tailHolds(ctx)
	const timeout = 30 * time.Second
	for deadline := time.Now().Add(timeout); !n.View().Holds().Held("m@2", "o"); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the hold was never read")
		}
	}
}
