package entry

import (
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
	"github.com/parsleydeal/parsleydeal/table"
)

// observer times one attempt on a version and tells control what came of it.
type observer struct {
	entry  *Entry
	req    *work
	vm     string
	sentAt clock.Millis
	// firstAt and lastAt are 0 until the first token came.
	firstAt clock.Millis
	lastAt  clock.Millis
	tokens  int64
	// sample is nil when the answer shall not be rated, such as one that another
	// attempt began.
	sample *sampled
}

// observe begins to time an attempt of a chat completion; calls of plain
// services have no version to judge.
func (e *Entry) observe(req *work, vm string) *observer {
	o := &observer{entry: e, req: req, vm: vm, sentAt: e.node.Clock().Now()}
	if req.service == "" && !req.judging && !req.progress.Taken() && e.raters.sampler.Sample(o.sentAt, req.ratingsOf(), req.trial) {
		o.sample = &sampled{}
	}
	return o
}

// piece takes note of one piece that came.
func (o *observer) piece(p *wire.Piece) {
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
	o.entry.node.Loop().Offer(event.Begun{Now: o.lastAt, Route: o.req.routeName, Version: o.req.version, Organisation: o.req.organisation})
}

// end tells control how the attempt ended, if that says anything of the version.
func (o *observer) end(err error) {
	failed := versionFailed(err)
	if o.req.service != "" || err != nil && !failed {
		return
	}
	if o.sample != nil && err == nil {
		o.entry.raters.submit(o.req, o.sample)
	}
	now := o.entry.node.Clock().Now()
	first, gap := o.spans()
	o.entry.burnAttempt(o.req, o.vm, first, gap)
	o.entry.node.Loop().Offer(event.Observed{
		Now: now, Route: o.req.routeName, Version: o.req.version, Organisation: o.req.organisation, VM: o.vm,
		Failed: failed, FirstToken: first, TokenGap: gap, Slow: missed(o.req.route.Objective, first, gap),
	})
}

func (o *observer) spans() (first, gap clock.Millis) {
	if o.firstAt == 0 {
		return 0, 0
	}
	first = o.firstAt - o.sentAt
	if o.tokens > 1 {
		gap = (o.lastAt - o.firstAt) / clock.Millis(o.tokens-1)
	}
	return first, gap
}

// versionFailed reports whether an attempt ended through the version's fault:
// the engine gave up on it. A full, lost or leaving endpoint, a deadline or a
// caller that went away says nothing of the version.
func versionFailed(err error) bool {
	r, ok := refusal.As(err)
	return ok && r.Code() == refusal.EngineFailed
}

func missed(o table.Objective, first, gap clock.Millis) bool {
	return o.FirstToken > 0 && first > o.FirstToken || o.TokenGap > 0 && gap > o.TokenGap
}
