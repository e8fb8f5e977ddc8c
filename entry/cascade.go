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
	// judgeTimeout bounds the wait for the rater's score of a first answer.
	judgeTimeout = 3 * clock.Second
	// raterBackoffDuration is how long cascades skip the first version after the rater failed to score
	// an answer.
	raterBackoffDuration = 5 * clock.Second
)

// raterBackoff holds the time until which cascades skip the first version because the rater failed.
type raterBackoff struct {
	until atomic.Int64
}

// cascade runs the request on the plan's first version and buffers the answer until the rater has
// scored it. If the score is missing or below the target, it runs the request again on the second
// version, and the bill lists both steps. A first answer without a sufficient score is never
// delivered, even if the second version is unavailable: only an answer known to meet the quality
// target may be.
func (e *Entry) cascade(ctx context.Context, req *requestState, p quality.Plan, emit func(*wire.Piece) error) (err error) {
	if int64(e.node.Clock().Now()) < e.raterBackoff.until.Load() {
		return e.runSecond(ctx, req, p, emit)
	}
	var buffered []*wire.Piece
	req.judging = true
	discardAnswer := req.discardAnswer
	req.discardAnswer = func() { buffered = nil }
	err = e.runAttempts(ctx, req, func(p *wire.Piece) error {
		buffered = append(buffered, p)
		return nil
	})
	req.judging, req.discardAnswer = false, discardAnswer
	if err != nil {
		return err
	}
	req.progress.RecordRan()
	last := buffered[len(buffered)-1]
	if e.meetsTarget(ctx, req, buffered) {
		return e.deliver(ctx, req, buffered, emit)
	}
	req.steps = append(req.steps, last.GetStep())
	return e.runSecond(ctx, req, p, emit)
}

func (e *Entry) runSecond(ctx context.Context, req *requestState, p quality.Plan, emit func(*wire.Piece) error) (err error) {
	if req.pinned {
		req.sessionMoved = "escalated"
	}
	if err = e.setVersion(req, p.Second); err != nil {
		return err
	}
	return e.runAttempts(ctx, req, emit)
}

// deliver emits a buffered answer. As for any answer, finish emits the last piece once the bill is
// safe.
func (e *Entry) deliver(ctx context.Context, req *requestState, buffered []*wire.Piece, emit func(*wire.Piece) error) (err error) {
	for _, p := range buffered[:len(buffered)-1] {
		if err = emit(p); err != nil {
			return err
		}
	}
	return e.finish(ctx, req, buffered[len(buffered)-1], emit)
}

// meetsTarget reports whether the rater's score of a first answer reaches the route's target. A
// missing score counts as a failure: the second version costs more but is known to be good enough.
func (e *Entry) meetsTarget(ctx context.Context, req *requestState, buffered []*wire.Piece) (pass bool) {
	ctx, cancel := context.WithTimeout(ctx, judgeTimeout.Duration())
	defer cancel()
	score, err := e.node.Rater().Judge(ctx, provider.Sample{
		Request: req.id, Route: req.routeName, Version: req.version, Prompt: string(req.body), Answer: textOf(buffered),
	})
	now := e.node.Clock().Now()
	if err != nil {
		e.raterBackoff.until.Store(int64(now + raterBackoffDuration))
		e.node.Log().Warn("Rater gave no word on a first answer", "request", req.id, "error", logbook.Text(err))
		return false
	}
	score = min(max(score, 0), 1)
	pass = score >= req.route.QualityTarget
	e.node.Loop().Offer(event.CascadeRated{
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
