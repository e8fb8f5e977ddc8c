package entry

import (
	"context"

	"github.com/parsleydeal/parsleydeal/bill"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/platform"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// finish puts the bill on the log before the last piece is released.
func (e *Entry) finish(ctx context.Context, req *work, p *wire.Piece, emit func(*wire.Piece) error) (err error) {
	req.steps = append(req.steps, p.GetStep())
	b := &wire.Bill{Request: req.id, Organisation: req.organisation, Route: req.routeName, Steps: req.steps, IdempotencyKey: req.key}
	data, err := bill.Encode([]*wire.Bill{b})
	if err != nil {
		return refusal.New(refusal.BillingFull, err.Error()).WithRun(refusal.Ran)
	}
	if _, err = e.node.Store().Append(ctx, platform.BillStream, data); err != nil {
		return refusal.New(refusal.LogDown, err.Error()).WithRun(refusal.Ran)
	}
	return emit(p)
}
