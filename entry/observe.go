package entry

import (
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
	"github.com/parsleydeal/parsleydeal/table"
)

// observer times one attempt on a version and reports its outcome to the event loop.
type observer struct {
	entry  *Entry
	req    *requestState
	vm     string
	sentAt clock.Millis
	// firstAt and lastAt are 0 until the first token arrives.
	firstAt clock.Millis
	lastAt  clock.Millis
	tokens  int64
	// sample is nil if the answer is not to be rated, for example because it resumes another
	// attempt's answer.
	sample *sampleText
}

// observe starts to time an attempt. Only chat completions may be sampled for rating, as calls of
// plain services have no version to rate.
func (e *Entry) observe(req *requestState, vm string) *observer {
	o := &observer{entry: e, req: req, vm: vm, sentAt: e.node.Clock().Now()}
	if req.service == "" && !req.judging && !req.progress.HasOutput() && e.raterClient.sampler.Sample(o.sentAt, req.ratingCount(), req.trial) {
		o.sample = &sampleText{}
	}
	return o
}

// recordPiece records the arrival of one piece.
func (o *observer) recordPiece(p *wire.Piece) {
	if o.req.service != "" || p.GetText() == "" {
		return
	}
	o.lastAt = o.entry.node.Clock().Now()
	o.tokens += int64(max(p.GetTokens(), 1))
	if o.sample != nil {
		o.sample.add(p.GetText())
	}
	if o.firstAt != 0 {
		return
	}
	o.firstAt = o.lastAt
	o.entry.node.Loop().Offer(event.AnswerStarted{Now: o.lastAt, Route: o.req.routeName, Version: o.req.version, Organisation: o.req.organisation})
}

// end reports how the attempt ended. It reports nothing for a failure that is not the version's
// fault, or for a plain service.
func (o *observer) end(err error) {
	failed := versionFailed(err)
	if o.req.service != "" || err != nil && !failed {
		return
	}
	if o.sample != nil && err == nil {
		o.entry.raterClient.submit(o.req, o.sample)
	}
	now := o.entry.node.Clock().Now()
	first, gap := o.latencies()
	o.entry.countAttempt(o.req, o.vm, first, gap)
	o.entry.node.Loop().Offer(event.AttemptEnded{
		Now: now, Route: o.req.routeName, Version: o.req.version, Organisation: o.req.organisation, VM: o.vm,
		Failed: failed, FirstToken: first, TokenGap: gap, Slow: missesObjective(o.req.route.Objective, first, gap),
	})
}

func (o *observer) latencies() (first, gap clock.Millis) {
	if o.firstAt == 0 {
		return 0, 0
	}
	first = o.firstAt - o.sentAt
	if o.tokens > 1 {
		gap = (o.lastAt - o.firstAt) / clock.Millis(o.tokens-1)
	}
	return first, gap
}

// versionFailed reports whether an attempt failed because of its version, that is in the engine. A
// full, unreachable or leaving endpoint, a deadline or a caller that disconnected does not reflect
// on the version.
func versionFailed(err error) bool {
	r, ok := refusal.As(err)
	return ok && r.Code() == refusal.EngineFailed
}

func missesObjective(o table.Objective, first, gap clock.Millis) bool {
	return o.FirstToken > 0 && first > o.FirstToken || o.TokenGap > 0 && gap > o.TokenGap
}
