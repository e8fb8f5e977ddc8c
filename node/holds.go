package node

import (
	"context"
	"math"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/provider"
)

// endpointHoldsInterval is the interval at which an endpoint reads the holds from the log. Most
// holds reach it earlier through entries. If a thousand endpoints waited on the log for new
// records, they would read it hundreds of times per second.
const endpointHoldsInterval = 10 * clock.Second

// tailHolds reads the holds (versions that get no new requests) from the log until the context
// ends. The log retains records for a limited time, and holds in force are appended again before it
// ends. If the next offset is no longer retained, reading continues at the first record that is.
func (n *Node) tailHolds(ctx context.Context) {
	from := int64(0)
	for ctx.Err() == nil {
		page, err := n.cfg.Store.Read(ctx, provider.HoldStream, from, logReadWait)
		if errorx.IsOfType(err, provider.ErrExpired) {
			page, err = n.cfg.Store.Read(ctx, provider.HoldStream, math.MaxInt64, 0)
			from = max(from, page.First)
		}
		if err != nil {
			n.loop.Post(ctx, event.LogFailed{Now: n.cfg.Clock.Now(), Stream: provider.HoldStream, Err: err})
			clock.Pause(ctx, logRetryDelay)
			continue
		}
		n.loop.Post(ctx, event.LogRead{Now: n.cfg.Clock.Now(), Stream: provider.HoldStream, Page: page})
		if count := len(page.Records); count > 0 {
			from = page.Records[count-1].Offset + 1
		}
		if n.cfg.Settings.Endpoint.Pool != "" {
			clock.Pause(ctx, endpointHoldsInterval)
		}
	}
}
