package endpoint

import (
	"context"
	"errors"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/chat"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/engine"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// Run carries one attempt from an entry to the engine and the pieces back.
func (e *Endpoint) Run(stream wire.DRPCGate_RunStream) (err error) {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	head := first.GetHead()
	if err = e.admit(head); err != nil {
		return e.refuse(stream, head, err)
	}
	good := false
	defer func() { e.window.Release(good) }()
	ctx, cancel := context.WithTimeout(stream.Context(), clock.Millis(head.GetDeadlineMillis()).Duration())
	defer cancel()
	if head.GetService() != "" {
		err = e.runPlain(ctx, stream, first)
	} else {
		err = e.runChat(ctx, stream, first)
	}
	good = err == nil
	if err != nil {
		return e.refuse(stream, head, err)
	}
	return nil
}

func (e *Endpoint) refuse(stream wire.DRPCGate_RunStream, head *wire.RunHead, cause error) error {
	r, ok := refusal.As(cause)
	if !ok {
		r = refusal.New(refusal.EngineFailed, cause.Error()).WithRun(refusal.Unknown)
	}
	return stream.Send(&wire.Piece{
		Request: head.GetRequest(),
		Attempt: head.GetAttempt(),
		Last:    true,
		Refusal: r.Wire(),
		Load:    e.load(),
	})
}

// load is the endpoint's own view of itself.
func (e *Endpoint) load() *wire.Load {
	held, size := e.window.Held()
	l := &wire.Load{Held: int32(held), Window: int32(size), Leaving: e.node.View().Draining()}
	e.node.StampLoad(l)
	return l
}

func (e *Endpoint) runChat(ctx context.Context, stream wire.DRPCGate_RunStream, first *wire.RunFrame) (err error) {
	head := first.GetHead()
	body, err := chat.ForEngine(first.GetBody(), head.GetVersion())
	if err != nil {
		return refusal.New(refusal.Malformed, err.Error())
	}
	a := &attempt{head: head, stream: stream}
	order := engine.Order{Request: head.GetRequest(), Body: body, Priority: head.GetPriority()}
	if err = e.engine.Chat(ctx, order, a.chunk); err != nil {
		return engineRefusal(ctx, err)
	}
	return a.finish(e)
}

func engineRefusal(ctx context.Context, err error) error {
	switch {
	case errorx.IsOfType(err, engine.ErrNotStarted):
		return refusal.New(refusal.EngineFailed, err.Error())
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refusal.New(refusal.DeadlinePassed, "deadline passed").WithRun(refusal.Ran)
	case ctx.Err() != nil:
		return refusal.New(refusal.Cancelled, "cancelled").WithRun(refusal.Ran)
	default:
		return refusal.New(refusal.EngineFailed, err.Error()).WithRun(refusal.Unknown)
	}
}

// attempt numbers the pieces of one attempt.
type attempt struct {
	head   *wire.RunHead
	stream wire.DRPCGate_RunStream
	number uint32
	reason string
	usage  wire.Usage
}

func (a *attempt) chunk(c *chat.Chunk) error {
	if c.Usage != nil {
		a.usage.InputTokens = c.Usage.PromptTokens
		a.usage.OutputTokens = c.Usage.CompletionTokens
	}
	if len(c.Choices) == 0 {
		return nil
	}
	choice := c.Choices[0]
	if choice.FinishReason != nil {
		a.reason = *choice.FinishReason
	}
	if choice.Delta.Content == "" {
		return nil
	}
	return a.send(&wire.Piece{Text: choice.Delta.Content, Tokens: 1})
}

func (a *attempt) send(p *wire.Piece) error {
	p.Request = a.head.GetRequest()
	p.Attempt = a.head.GetAttempt()
	p.Number = a.number
	a.number++
	return a.stream.Send(p)
}

func (a *attempt) finish(e *Endpoint) error {
	v := e.node.View()
	version := v.Tables().Versions[a.head.GetVersion()]
	return a.send(&wire.Piece{
		Last:         true,
		FinishReason: a.reason,
		Usage:        &a.usage,
		Step: &wire.Step{
			Attempt: a.head.GetAttempt(),
			Version: a.head.GetVersion(),
			Vm:      e.node.Settings().VM,
			Usage:   &a.usage,
			Cost:    version.Cost(a.usage.InputTokens, a.usage.OutputTokens),
			Whole:   true,
		},
		Load:     e.load(),
		Revision: v.Revision(),
	})
}
