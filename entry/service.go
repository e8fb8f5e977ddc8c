package entry

import (
	"fmt"
	"io"
	"net/http"
	"slices"

	"github.com/google/uuid"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// servicePiece is how much of a caller's body one frame carries at most.
const servicePiece = 32 << 10

// call is one call of a plain service and its response.
type call struct {
	work
	r *http.Request
	w http.ResponseWriter
	// paced is the caller's body under its limits.
	paced *pacedBody
	// started is true when the status has been sent and cannot change.
	started bool
	// printed is the call's fingerprint once it was made.
	printed []byte
}

// service answers one call of a plain service. Bodies stream both ways.
func (e *Entry) service(w http.ResponseWriter, r *http.Request, name, path string) {
	s := e.node.Settings().Entry
	body := newPacedBody(w, r, s.BodyTimeout)
	r.Body = body
	w = newPatientWriter(w, s.WriteTimeout)
	id := uuid.NewString()
	c := &call{work: work{id: id, ticket: id, service: name, path: path, method: r.Method}, r: r, w: w}
	c.stopBody = body.stop
	c.paced = body
	end := e.meter.Begin()
	err := e.openCall(c)
	if err == nil {
		err = e.billed(r.Context(), &c.work, c.take)
	}
	end(c.label(), c.attempts, err)
	e.burnRequest(&c.work, c.label(), err)
	if err == nil {
		return
	}
	if !c.started {
		body.closeUnlessEnded(w.Header())
		writeRefusal(w, c.id, err)
		return
	}
	// The status is sent. Breaking the connection is the only way left to tell
	// the caller that the answer is not whole.
	panic(http.ErrAbortHandler)
}

// label names the service in metrics, once the call was admitted.
func (c *call) label() string {
	if c.pool == "" {
		return ""
	}
	return "services/" + c.service
}

func (e *Entry) openCall(c *call) (err error) {
	if c.view, err = e.current(); err != nil {
		return err
	}
	if c.organisation, err = e.caller(c.view, c.r.Header.Get("Authorization")); err != nil {
		return err
	}
	s, ok := c.view.Tables().Services[c.service]
	if !ok || !slices.Contains(s.Organisations, c.organisation) {
		return refusal.New(refusal.NoRoute, "no service "+c.service)
	}
	if dotted(c.path) {
		return refusal.New(refusal.Malformed, "path has a segment . or ..")
	}
	c.pool = s.Pool
	c.repeatable = slices.Contains(s.Repeatable, c.method)
	c.key = c.r.Header.Get("Idempotency-Key")
	c.deadline = s.Deadline
	if c.deadline == 0 {
		c.deadline = defaultDeadline
	}
	if q := c.r.URL.RawQuery; q != "" {
		c.path += "?" + q
	}
	c.headers = headersOf(c.r.Header)
	c.send = c.sendBody
	// Without full duplex net/http reads the whole body before it writes the
	// first byte of the answer.
	_ = http.NewResponseController(c.w).EnableFullDuplex()
	c.fingerprint = c.print
	return e.fresh(c.view, s.WhenStale, int64(s.StaleAfter))
}

// hopHeaders are meant for one connection only and are not passed on, nor is
// the caller's key.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization"}

func headersOf(h http.Header) (out []*wire.Header) {
	for name, values := range h {
		for _, v := range values {
			if !slices.Contains(hopHeaders, name) {
				out = append(out, &wire.Header{Name: name, Value: v})
			}
		}
	}
	return out
}

// sendBody sends the head with the first part of the body, then the rest. A
// body that fits the first frame is kept and can be sent again.
func (c *call) sendBody(stream wire.DRPCGate_RunClient, head *wire.RunHead) (err error) {
	if c.body != nil {
		return stream.Send(&wire.RunFrame{Head: head, Body: c.body, Last: true})
	}
	buf := make([]byte, servicePiece)
	for {
		n, readErr := io.ReadFull(c.r.Body, buf)
		last := readErr == io.EOF || readErr == io.ErrUnexpectedEOF
		if readErr != nil && !last {
			return fmt.Errorf("%w: %w", errBody, readErr)
		}
		if last && head != nil {
			c.body = buf[:n]
		} else {
			c.bodySpent = true
		}
		if err = stream.Send(&wire.RunFrame{Head: head, Body: buf[:n], Last: last}); err != nil || last {
			return err
		}
		head = nil
	}
}

// take handles the next piece in order.
func (c *call) take(p *wire.Piece) (err error) {
	if p.GetStatus() != 0 {
		c.start(p)
	}
	if len(p.GetData()) == 0 {
		return nil
	}
	if _, err = c.w.Write(p.GetData()); err != nil {
		return refusal.New(refusal.Cancelled, "caller went away").WithRun(refusal.Ran)
	}
	return http.NewResponseController(c.w).Flush()
}

func (c *call) start(p *wire.Piece) {
	h := c.w.Header()
	for _, x := range p.GetHeaders() {
		if !slices.Contains(hopHeaders, x.GetName()) {
			h.Add(x.GetName(), x.GetValue())
		}
	}
	// A kept answer is billed under the request that ran, which is what a caller
	// compares its bill with.
	h.Set(requestHeader, p.GetRequest())
	h.Set(runHeader, string(refusal.Ran))
	c.paced.closeUnlessEnded(h)
	c.w.WriteHeader(int(p.GetStatus()))
	c.started = true
}
