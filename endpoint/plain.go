package endpoint

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// plainPiece is how much of a service's answer one piece carries at most.
const plainPiece = 32 << 10

// runPlain carries one call to a plain service. The body streams through; it
// is never held whole.
func (e *Endpoint) runPlain(ctx context.Context, stream wire.DRPCGate_RunStream, first *wire.RunFrame) (err error) {
	head := first.GetHead()
	body := &frameReader{stream: stream, rest: first.GetBody(), last: first.GetLast()}
	req, err := http.NewRequestWithContext(ctx, head.GetMethod(), e.node.Settings().Endpoint.Engine+"/"+head.GetPath(), body)
	if err != nil {
		return refusal.New(refusal.Malformed, err.Error())
	}
	if first.GetLast() {
		req.Body = io.NopCloser(bytes.NewReader(first.GetBody()))
		req.ContentLength = int64(len(first.GetBody()))
	}
	for _, h := range head.GetHeaders() {
		req.Header.Add(h.GetName(), h.GetValue())
	}
	resp, err := e.plain.Do(req)
	if err != nil {
		return plainRefusal(err)
	}
	defer resp.Body.Close()
	a := &attempt{head: head, stream: stream}
	if err = a.send(&wire.Piece{Status: int32(resp.StatusCode), Headers: headersOf(resp.Header)}); err != nil {
		return err
	}
	if err = a.copy(resp.Body); err != nil {
		return refusal.New(refusal.EngineFailed, err.Error()).WithRun(refusal.Ran)
	}
	return a.finishPlain(e)
}

func plainRefusal(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return refusal.New(refusal.EngineFailed, "service cannot be reached")
	}
	return refusal.New(refusal.EngineFailed, err.Error()).WithRun(refusal.Unknown)
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

func (a *attempt) finishPlain(e *Endpoint) error {
	v := e.node.View()
	fee := v.Tables().Services[a.head.GetService()].Fee
	return a.send(&wire.Piece{
		Last:     true,
		Step:     &wire.Step{Attempt: a.head.GetAttempt(), Service: a.head.GetService(), Vm: e.node.Settings().VM, Cost: fee, Whole: true},
		Load:     e.load(),
		Revision: v.Revision(),
	})
}

// frameReader reads a request's body from the frames of a stream.
type frameReader struct {
	stream wire.DRPCGate_RunStream
	rest   []byte
	last   bool
}

func (f *frameReader) Read(p []byte) (n int, err error) {
	for len(f.rest) == 0 {
		if f.last {
			return 0, io.EOF
		}
		frame, err := f.stream.Recv()
		if err != nil {
			return 0, io.ErrUnexpectedEOF
		}
		f.rest = frame.GetBody()
		f.last = frame.GetLast()
	}
	n = copy(p, f.rest)
	f.rest = f.rest[n:]
	return n, nil
}
