package entry

import (
	"context"
	"io"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/parsleydeal/parsleydeal/choice"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
	"github.com/parsleydeal/parsleydeal/table"
)

// servicePiece is how much of a caller's body one frame carries at most.
const servicePiece = 32 << 10

// call is one call of a plain service.
type call struct {
	work
	name    string
	service table.Service
	path    string
	r       *http.Request
	w       http.ResponseWriter
	started bool
}

// service answers one call of a plain service. Bodies stream both ways.
func (e *Entry) service(w http.ResponseWriter, r *http.Request, name, path string) {
	c := &call{work: work{id: uuid.NewString()}, name: name, path: path, r: r, w: w}
	err := e.openCall(c)
	if err == nil {
		err = e.runCall(c)
	}
	if err == nil {
		return
	}
	if !c.started {
		writeRefusal(w, c.id, err)
		return
	}
	// The status is sent. Breaking the connection is the only way left to tell
	// the caller that the answer is not whole.
	panic(http.ErrAbortHandler)
}

func (e *Entry) openCall(c *call) (err error) {
	if c.view, err = e.current(); err != nil {
		return err
	}
	if c.organisation, err = e.caller(c.view, c.r.Header.Get("Authorization")); err != nil {
		return err
	}
	s, ok := c.view.Tables().Services[c.name]
	if !ok || !contains(s.Organisations, c.organisation) {
		return refusal.New(refusal.NoRoute, "no service "+c.name)
	}
	c.service = s
	c.key = c.r.Header.Get("Idempotency-Key")
	c.deadline = s.Deadline
	if c.deadline == 0 {
		c.deadline = defaultDeadline
	}
	return e.fresh(c.view, s.WhenStale, int64(s.StaleAfter))
}

func (e *Entry) runCall(c *call) (err error) {
	ctx, cancel := context.WithTimeout(c.r.Context(), c.deadline.Duration())
	defer cancel()
	vm, ok := choice.Endpoint(c.view, e.inflight, choice.Query{Pools: []string{c.service.Pool}, Seed: xxhash.Sum64String(c.id)})
	if !ok {
		return refusal.New(refusal.NoEndpoint, "no endpoint can take the call").WithRetryAfter(startingRetry)
	}
	c.attempts++
	e.inflight.Add(vm.ID, 1)
	defer e.inflight.Add(vm.ID, -1)
	stream, err := e.node.Peers().Gate(ctx, vm.Address).Run(ctx)
	if err != nil {
		return lost(ctx, err)
	}
	defer stream.Close()
	if err = e.sendCall(ctx, c, stream); err != nil {
		return lost(ctx, err)
	}
	return e.receiveCall(ctx, c, stream)
}

// hopHeaders are meant for one connection only and are not passed on, nor is
// the caller's key.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization"}

func (e *Entry) sendCall(ctx context.Context, c *call, stream wire.DRPCGate_RunClient) (err error) {
	head := &wire.RunHead{
		Request:        c.id,
		Attempt:        c.attempts,
		Revision:       c.view.Revision(),
		Organisation:   c.organisation,
		Service:        c.name,
		Method:         c.r.Method,
		Path:           c.path,
		IdempotencyKey: c.key,
		Repeatable:     slices.Contains(c.service.Repeatable, c.r.Method),
		DeadlineMillis: int64(remaining(ctx)),
		Entry:          e.node.Settings().VM,
	}
	if q := c.r.URL.RawQuery; q != "" {
		head.Path += "?" + q
	}
	for name, values := range c.r.Header {
		for _, v := range values {
			if !slices.Contains(hopHeaders, name) {
				head.Headers = append(head.Headers, &wire.Header{Name: name, Value: v})
			}
		}
	}
	return sendBody(stream, head, c.r.Body)
}

// sendBody sends the head with the first part of the body, then the rest.
func sendBody(stream wire.DRPCGate_RunClient, head *wire.RunHead, body io.Reader) (err error) {
	buf := make([]byte, servicePiece)
	for {
		n, readErr := io.ReadFull(body, buf)
		last := readErr == io.EOF || readErr == io.ErrUnexpectedEOF
		if readErr != nil && !last {
			return readErr
		}
		if err = stream.Send(&wire.RunFrame{Head: head, Body: buf[:n], Last: last}); err != nil || last {
			return err
		}
		head = nil
	}
}

func (e *Entry) receiveCall(ctx context.Context, c *call, stream wire.DRPCGate_RunClient) (err error) {
	next := uint32(0)
	for {
		p, err := stream.Recv()
		if err != nil {
			return lost(ctx, err)
		}
		if p.GetLoad() != nil {
			e.node.Loop().Offer(event.LoadReceived{Now: e.node.Clock().Now(), Load: p.GetLoad()})
		}
		if r := p.GetRefusal(); r != nil {
			return refusal.FromWire(r)
		}
		if p.GetNumber() != next {
			return refusal.New(refusal.EndpointLost, "a piece of the answer is missing").WithRun(refusal.Unknown)
		}
		next++
		if p.GetLast() {
			return e.finish(ctx, &c.work, p, func(*wire.Piece) error { return nil })
		}
		if err = c.take(p); err != nil {
			return err
		}
	}
}

func (c *call) take(p *wire.Piece) (err error) {
	if p.GetStatus() != 0 {
		h := c.w.Header()
		for _, x := range p.GetHeaders() {
			if !slices.Contains(hopHeaders, x.GetName()) {
				h.Add(x.GetName(), x.GetValue())
			}
		}
		h.Set(requestHeader, c.id)
		h.Set(runHeader, string(refusal.Ran))
		c.w.WriteHeader(int(p.GetStatus()))
		c.started = true
	}
	if len(p.GetData()) == 0 {
		return nil
	}
	if _, err = c.w.Write(p.GetData()); err != nil {
		return refusal.New(refusal.Cancelled, "caller went away").WithRun(refusal.Ran)
	}
	return http.NewResponseController(c.w).Flush()
}
