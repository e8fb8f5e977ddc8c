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

// maxFrameBody is the maximum number of body bytes in one frame.
const maxFrameBody = 32 << 10

// serviceCall is one call of a plain service and its response.
type serviceCall struct {
	requestState
	r *http.Request
	w http.ResponseWriter
	// callerBody is the caller's body with its read timeout.
	callerBody *timeoutBody
	// headSent is true once the status has been sent and can no longer change.
	headSent bool
	// savedFingerprint is the call's fingerprint, or nil before it is first computed.
	savedFingerprint []byte
}

// serveService answers one call of a plain service. Bodies stream in both directions.
func (e *Entry) serveService(w http.ResponseWriter, r *http.Request, name, path string) {
	s := e.node.Settings().Entry
	body := newTimeoutBody(w, r, s.BodyTimeout)
	r.Body = body
	w = newTimeoutWriter(w, s.WriteTimeout)
	id := uuid.NewString()
	c := &serviceCall{requestState: requestState{id: id, queueID: id, service: name, path: path, method: r.Method}, r: r, w: w}
	c.stopBody = body.stop
	c.callerBody = body
	end := e.meter.Begin()
	err := e.prepareCall(c)
	if err == nil {
		err = e.runBilled(r.Context(), &c.requestState, c.writePiece)
	}
	end(c.label(), c.attempts, err)
	e.countRequest(&c.requestState, c.label(), err)
	if err == nil {
		return
	}
	if !c.headSent {
		body.closeUnlessEnded(w.Header())
		writeRefusal(w, c.id, err)
		return
	}
	// The status is already sent. Aborting the connection is the only way left to signal an
	// incomplete answer.
	panic(http.ErrAbortHandler)
}

// label returns the name under which metrics count the call, or "" if the call was not admitted.
func (c *serviceCall) label() string {
	if c.pool == "" {
		return ""
	}
	return "services/" + c.service
}

func (e *Entry) prepareCall(c *serviceCall) (err error) {
	if c.view, err = e.currentView(); err != nil {
		return err
	}
	if c.organisation, err = e.authenticate(c.view, c.r.Header.Get("Authorization")); err != nil {
		return err
	}
	s, ok := c.view.Tables().Services[c.service]
	if !ok || !slices.Contains(s.Organisations, c.organisation) {
		return refusal.New(refusal.NoRoute, "no service "+c.service)
	}
	if hasDotSegment(c.path) {
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
	// Without full duplex net/http reads the whole body before it writes the first byte of the
	// answer.
	_ = http.NewResponseController(c.w).EnableFullDuplex()
	c.fingerprint = c.computeFingerprint
	return e.checkStaleness(c.view, s.WhenStale, int64(s.StaleAfter))
}

// hopHeaders apply to a single connection and are not forwarded, nor is the caller's bearer key.
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

// sendBody sends the head with the first part of the body, then the rest. A body that fits into the
// first frame is retained and can be sent again.
func (c *serviceCall) sendBody(stream wire.DRPCGate_RunClient, head *wire.RunHead) (err error) {
	if c.body != nil {
		return stream.Send(&wire.RunFrame{Head: head, Body: c.body, Last: true})
	}
	buf := make([]byte, maxFrameBody)
	for {
		n, readErr := io.ReadFull(c.r.Body, buf)
		last := readErr == io.EOF || readErr == io.ErrUnexpectedEOF
		if readErr != nil && !last {
			return fmt.Errorf("%w: %w", errBodyIncomplete, readErr)
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

// writePiece handles the next piece in order.
func (c *serviceCall) writePiece(p *wire.Piece) (err error) {
	if p.GetStatus() != 0 {
		c.writeHead(p)
	}
	if len(p.GetData()) == 0 {
		return nil
	}
	if _, err = c.w.Write(p.GetData()); err != nil {
		return refusal.New(refusal.Cancelled, "caller went away").WithRun(refusal.Ran)
	}
	return http.NewResponseController(c.w).Flush()
}

func (c *serviceCall) writeHead(p *wire.Piece) {
	h := c.w.Header()
	for _, x := range p.GetHeaders() {
		if !slices.Contains(hopHeaders, x.GetName()) {
			h.Add(x.GetName(), x.GetValue())
		}
	}
	// A replayed answer is billed under the request that ran, so callers need that ID to match their
	// bills.
	h.Set(requestHeader, p.GetRequest())
	h.Set(runHeader, string(refusal.Ran))
	c.callerBody.closeUnlessEnded(h)
	c.w.WriteHeader(int(p.GetStatus()))
	c.headSent = true
}
