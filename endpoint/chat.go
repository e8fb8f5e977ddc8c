package endpoint

import (
	"context"
	"errors"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/chat"
	"github.com/parsleydeal/parsleydeal/engine"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
)

func (e *Endpoint) runChat(ctx context.Context, a *attempt, raw []byte) (err error) {
	body, err := chat.ForEngine(raw, a.head.GetVersion())
	if err != nil {
		return refusal.New(refusal.Malformed, err.Error())
	}
	req := engine.ChatRequest{
		RequestID: a.head.GetRequest(), Body: body, Priority: a.head.GetPriority(),
		ResumeAfter: a.head.GetResumeAfter(), ResumeText: a.head.GetResumeText(),
	}
	if pool, ok := e.pool(); ok && pool.MovesCache {
		req.Session = a.head.GetSession()
	}
	e.moveCache(ctx, a.head)
	if err = e.engine.Chat(ctx, req, a.chunk); err != nil {
		return a.engineRefusal(ctx, err)
	}
	return a.sendLastOfChat()
}

func (a *attempt) engineRefusal(ctx context.Context, err error) error {
	switch {
	case errorx.IsOfType(err, engine.ErrNotStarted):
		return refusal.New(refusal.EngineUnreachable, err.Error())
	case errorx.IsOfType(err, engine.ErrBusy):
		return refusal.New(refusal.EngineFailed, err.Error()).WithRetryAfter(a.e.gate.RetryAfter())
	case errorx.IsOfType(err, engine.ErrRejected):
		return refusal.New(refusal.Malformed, err.Error())
	case a.e.aborted.Err() != nil:
		return refusal.New(refusal.Leaving, "endpoint was stopped before the answer was whole").WithRun(refusal.Ran)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refusal.New(refusal.DeadlinePassed, "deadline passed").WithRun(refusal.Ran)
	case ctx.Err() != nil:
		return refusal.New(refusal.Cancelled, "cancelled").WithRun(refusal.Ran)
	default:
		return refusal.New(refusal.EngineFailed, err.Error()).WithRun(refusal.Unknown)
	}
}

// chunk forwards one chunk of the engine's stream. Chunks that contain more than text are
// passed through unchanged.
func (a *attempt) chunk(c engine.Chunk) error {
	if c.Usage != nil {
		a.usage.InputTokens = c.Usage.PromptTokens
		a.usage.OutputTokens = c.Usage.CompletionTokens + int64(a.head.GetResumeAfter())
		a.usage.CachedTokens = c.Usage.Details.CachedTokens
	}
	if c.FinishReason != "" {
		a.finishReason = c.FinishReason
	}
	if c.Text == "" && c.Raw == nil {
		return nil
	}
	a.recordFirstToken()
	p := a.emptyPiece()
	p.Text, p.Data, p.Tokens = c.Text, c.Raw, 1
	return a.send(p)
}

func (a *attempt) sendLastOfChat() error {
	version := a.e.node.View().Tables().Versions[a.head.GetVersion()]
	step := &wire.Step{
		Attempt: a.head.GetAttempt(),
		Version: a.head.GetVersion(),
		Vm:      a.e.node.Settings().VM,
		Usage:   &a.usage,
		Cost:    version.Cost(a.usage.GetInputTokens(), a.usage.GetOutputTokens()),
		Whole:   true,
	}
	return a.sendLast(step, &wire.Piece{FinishReason: a.finishReason, Usage: &a.usage})
}
