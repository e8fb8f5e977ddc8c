package endpoint

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// plainPiece is how much of a service's answer one piece carries at most.
const plainPiece = 32 << 10

// runPlain carries one call to a plain service. The body streams through; it
// is never held whole. The call is dispatched at most once: the body of the
// request given to net/http can be read only once, so its transport never sends
// the call again on another connection.
func (e *Endpoint) runPlain(ctx context.Context, a *attempt, first *wire.RunFrame) (err error) {
	body := &frameReader{a: a, rest: first.GetBody()}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	url := e.node.Settings().Endpoint.Engine + "/" + a.head.GetPath()
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), a.head.GetMethod(), url, body)
	if err != nil {
		return refusal.New(refusal.Malformed, err.Error())
	}
	if first.GetLast() {
		req.ContentLength = int64(len(first.GetBody()))
	}
	for _, h := range a.head.GetHeaders() {
		req.Header.Add(h.GetName(), h.GetValue())
	}
	resp, err := e.plain.Do(req)
	if err != nil {
		return a.plainRefusal(ctx, err, connected)
	}
	defer resp.Body.Close()
	a.firstToken()
	if err = a.send(&wire.Piece{Status: int32(resp.StatusCode), Headers: headersOf(resp.Header)}); err != nil {
		return err
	}
	if err = a.copy(resp.Body); err != nil {
		// The service answered, so the call had its effect and its fee is due.
		a.step = a.fee(false)
		return a.brokenAnswer(ctx, err)
	}
	return a.lastOfPlain()
}

// plainRefusal says "not run" only of a call for which no connection to the
// service was had: then no byte of it can have left.
func (a *attempt) plainRefusal(ctx context.Context, err error, connected bool) error {
	if !connected {
		if ctx.Err() != nil {
			return refusal.New(refusal.DeadlinePassed, "deadline passed before dispatch")
		}
		return refusal.New(refusal.EngineUnreachable, "service cannot be reached")
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.New(refusal.DeadlinePassed, "deadline passed").WithRun(refusal.Unknown)
	}
	return refusal.New(refusal.EngineFailed, err.Error()).WithRun(refusal.Unknown)
}

func (a *attempt) brokenAnswer(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.New(refusal.DeadlinePassed, "deadline passed").WithRun(refusal.Ran)
	}
	return refusal.New(refusal.EngineFailed, err.Error()).WithRun(refusal.Ran)
}

func headersOf(h http.Header) (out []*wire.Header) {
	for name, values := range h {
		for _, v := range values {
			out = append(out, &wire.Header{Name: name, Value: v})
		}
	}
	return out
}

func (a *attempt) copy(r io.Reader) (err error) {
	buf := make([]byte, plainPiece)
	for {
		n, err := r.Read(buf)
		if n > 0 {
			if sendErr := a.send(&wire.Piece{Data: buf[:n]}); sendErr != nil {
				return sendErr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (a *attempt) lastOfPlain() error { return a.last(a.fee(true), &wire.Piece{}) }

// fee is the step of a call of a plain service.
func (a *attempt) fee(whole bool) *wire.Step {
	service := a.head.GetService()
	return &wire.Step{
		Attempt: a.head.GetAttempt(), Service: service, Vm: a.e.node.Settings().VM, Whole: whole,
		Cost: a.e.node.View().Tables().Services[service].Fee,
	}
}

// frameReader reads a request's body from the frames of a stream.
type frameReader struct {
	a    *attempt
	rest []byte
}

func (f *frameReader) Read(p []byte) (n int, err error) {
	for len(f.rest) == 0 {
		if f.a.bodyRead.Load() {
			return 0, io.EOF
		}
		frame, err := f.a.stream.Recv()
		if err != nil {
			return 0, io.ErrUnexpectedEOF
		}
		f.rest = frame.GetBody()
		f.a.bodyRead.Store(frame.GetLast())
	}
	n = copy(p, f.rest)
	f.rest = f.rest[n:]
	return n, nil
}
