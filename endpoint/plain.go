package endpoint

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
	"github.com/parsleydeal/parsleydeal/upstream"
)

// plainPieceBytes is the maximum number of bytes of a service's answer in one piece.
const plainPieceBytes = 32 << 10

// runPlain forwards one call to a plain service. The body is streamed and never buffered in full.
// The call is dispatched at most once: its body is a stream and the request has no GetBody, so that
// the transport of net/http cannot resend it on another connection.
func (e *Endpoint) runPlain(ctx context.Context, a *attempt, first *wire.RunFrame) (err error) {
	body := &frameReader{a: a, unread: first.GetBody()}
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
	a.recordFirstToken()
	if err = a.send(&wire.Piece{Status: int32(resp.StatusCode), Headers: headersOf(resp.Header)}); err != nil {
		return err
	}
	size, err := a.sendBody(resp.Body)
	if err == nil {
		err = upstream.CheckWhole(ctx, resp, size)
	}
	if err != nil {
		// The service responded, so the call took effect and its fee is due.
		a.step = a.feeStep(false)
		return a.interruptedAnswer(ctx, err)
	}
	return a.sendLastOfPlain()
}

// plainRefusal reports a call as not run only if no connection to the service was obtained:
// then no byte of the call can have been sent.
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

func (a *attempt) interruptedAnswer(ctx context.Context, err error) error {
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

// sendBody sends a body in pieces and returns its size in bytes.
func (a *attempt) sendBody(r io.Reader) (size int, err error) {
	buf := make([]byte, plainPieceBytes)
	for {
		n, err := r.Read(buf)
		size += n
		if n > 0 {
			if sendErr := a.send(&wire.Piece{Data: buf[:n]}); sendErr != nil {
				return size, sendErr
			}
		}
		if err == io.EOF {
			return size, nil
		}
		if err != nil {
			return size, err
		}
	}
}

func (a *attempt) sendLastOfPlain() error { return a.sendLast(a.feeStep(true), &wire.Piece{}) }

// feeStep returns the billing step of a call to a plain service.
func (a *attempt) feeStep(whole bool) *wire.Step {
	service := a.head.GetService()
	return &wire.Step{
		Attempt: a.head.GetAttempt(), Service: service, Vm: a.e.node.Settings().VM, Whole: whole,
		Cost: a.e.node.View().Tables().Services[service].Fee,
	}
}

// frameReader reads a request body from the frames of a stream.
type frameReader struct {
	a      *attempt
	unread []byte
}

func (f *frameReader) Read(p []byte) (n int, err error) {
	for len(f.unread) == 0 {
		if f.a.bodyReceived.Load() {
			return 0, io.EOF
		}
		frame, err := f.a.stream.Recv()
		if err != nil {
			return 0, io.ErrUnexpectedEOF
		}
		f.unread = frame.GetBody()
		f.a.bodyReceived.Store(frame.GetLast())
	}
	n = copy(p, f.unread)
	f.unread = f.unread[n:]
	return n, nil
}
