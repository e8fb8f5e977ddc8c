package node

import (
	"context"
	"math"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/provider"
)

// gateHoldsEvery is the span between two readings of the holds by a gate, which
// mostly hears of them from entries. A thousand gates that waited on the log
// would read it hundreds of times a second.
const gateHoldsEvery = 10 * clock.Second

// tailHolds reads the holds until the context ends. The log keeps records for a
// limited time, and holds that stand are written again before: a reader whose
// place is no longer kept goes on at the first record there is.
func (n *Node) tailHolds(ctx context.Context) {
	from := int64(0)
	for ctx.Err() == nil {
		page, err := n.cfg.Store.Read(ctx, provider.HoldStream, from, logWait)
		if errorx.IsOfType(err, provider.ErrExpired) {
			page, err = n.cfg.Store.Read(ctx, provider.HoldStream, math.MaxInt64, 0)
			from = max(from, page.First)
		}
		if err != nil {
			n.loop.Post(ctx, event.LogFailed{Now: n.cfg.Clock.Now(), Stream: provider.HoldStream, Err: err})
			clock.Pause(ctx, logRetry)
			continue
		}
		n.loop.Post(ctx, event.LogRead{Now: n.cfg.Clock.Now(), Stream: provider.HoldStream, Page: page})
		if k := len(page.Records); k > 0 {
			from = page.Records[k-1].Offset + 1
		}
		if n.cfg.Settings.Endpoint.Pool != "" {
			clock.Pause(ctx, gateHoldsEvery)
		}
	}
}
