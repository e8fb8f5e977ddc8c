package entry

import (
	"context"
	"strings"
	"sync/atomic"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/logbook"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/quality"
)

const (
	// judgeTimeout bounds the wait for the rater's word on a first answer.
	judgeTimeout = 3 * clock.Second
	// judgeRest is how long cascades go straight to the second version after
	// the rater gave no word.
	judgeRest = 5 * clock.Second
)

// judge remembers when the rater last failed.
type judge struct {
	restUntil atomic.Int64
}

// cascade answers with the first version, holds that answer back until the
// rater judged it, and answers again with the second version when it is poor.
// The bill lists both steps. A poor first answer is never delivered, not even
// when the second version can't be had: that would be below the target.
func (e *Entry) cascade(ctx context.Context, req *work, p quality.Plan, emit func(*wire.Piece) error) (err error) {
	if int64(e.node.Clock().Now()) < e.judge.restUntil.Load() {
		return e.second(ctx, req, p, emit)
	}
	var held []*wire.Piece
	req.judging = true
	drop := req.drop
	req.drop = func() { held = nil }
	err = e.tries(ctx, req, func(p *wire.Piece) error {
		held = append(held, p)
		return nil
	})
	req.judging, req.drop = false, drop
	if err != nil {
		return err
	}
	req.progress.Ran()
	last := held[len(held)-1]
	if e.passes(ctx, req, held) {
		return e.release(ctx, req, held, emit)
	}
	req.steps = append(req.steps, last.GetStep())
	return e.second(ctx, req, p, emit)
}

func (e *Entry) second(ctx context.Context, req *work, p quality.Plan, emit func(*wire.Piece) error) (err error) {
	if req.pinned {
		req.moved = "escalated"
	}
	if err = e.adopt(req, p.Second); err != nil {
		return err
	}
	return e.tries(ctx, req, emit)
}

// release hands a held answer on, the last piece after the bill is safe.
func (e *Entry) release(ctx context.Context, req *work, held []*wire.Piece, emit func(*wire.Piece) error) (err error) {
	for _, p := range held[:len(held)-1] {
		if err = emit(p); err != nil {
			return err
		}
	}
	return e.finish(ctx, req, held[len(held)-1], emit)
}

// passes asks the rater whether a first answer reaches the route's target. No
// word counts as no: the second version is dearer but known to be good enough.
func (e *Entry) passes(ctx context.Context, req *work, held []*wire.Piece) (pass bool) {
	ctx, cancel := context.WithTimeout(ctx, judgeTimeout.Duration())
	defer cancel()
	score, err := e.node.Rater().Judge(ctx, provider.Sample{
		Request: req.id, Route: req.routeName, Version: req.version, Prompt: string(req.body), Answer: textOf(held),
	})
	now := e.node.Clock().Now()
	if err != nil {
		e.judge.restUntil.Store(int64(now + judgeRest))
		e.node.Log().Warn("Rater gave no word on a first answer", "request", req.id, "error", logbook.Text(err))
		return false
	}
	score = min(max(score, 0), 1)
	pass = score >= req.route.QualityTarget
	e.node.Loop().Offer(event.Judged{
		Now: now, Route: req.routeName, Version: req.version, Organisation: req.organisation, Score: score, Passed: pass,
	})
	return pass
}

func textOf(pieces []*wire.Piece) string {
	var text strings.Builder
	for _, p := range pieces {
		text.WriteString(p.GetText())
	}
	return text.String()
}
