package entry

import (
	"context"
	"io"
	"net/http"

	"github.com/google/uuid"
	"github.com/parsleydeal/parsleydeal/chat"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/gen/completions"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// defaultDeadline bounds a request whose route or service sets no deadline.
const defaultDeadline = 5 * clock.Minute

// completion is one chat request; goa calls WriteTo with the response writer.
type completion struct {
	entry   *Entry
	ctx     context.Context
	payload *completions.CreatePayload
	body    io.ReadCloser
}

// Read is never called: goa prefers WriteTo.
func (c *completion) Read([]byte) (n int, err error) { return 0, io.EOF }

// Close releases the caller's body.
func (c *completion) Close() error { return c.body.Close() }

// WriteTo runs the request and writes the full response.
func (c *completion) WriteTo(w io.Writer) (n int64, err error) {
	rw := w.(http.ResponseWriter)
	request := uuid.NewString()
	end := c.entry.meter.Begin()
	req, err := c.parse(rw, request)
	if err != nil {
		end("", 0, err)
		writeRefusal(rw, request, err)
		return 0, nil
	}
	answer := newAnswerWriter(rw, req, c.entry.node.Settings().Entry.WriteTimeout)
	req.discardAnswer = answer.reset
	err = c.entry.runBilled(c.ctx, req, answer.writePiece)
	end(req.routeName, req.attempts, err)
	c.entry.countRequest(req, req.routeName, err)
	if err != nil {
		answer.fail(err)
		return 0, nil
	}
	answer.end()
	return 0, nil
}

func (c *completion) parse(w http.ResponseWriter, id string) (req *requestState, err error) {
	e := c.entry
	v, err := e.currentView()
	if err != nil {
		return nil, err
	}
	org, err := e.authenticate(v, stringOrEmpty(c.payload.Authorization))
	if err != nil {
		return nil, err
	}
	body, err := c.readBody(w)
	if err != nil {
		return nil, err
	}
	parsed, err := chat.Parse(body)
	if err != nil {
		return nil, refusal.New(refusal.Malformed, err.Error())
	}
	req = &requestState{
		id: id, queueID: id, view: v, organisation: org, routeName: parsed.Model, chat: parsed, body: body, key: stringOrEmpty(c.payload.IdempotencyKey),
		repeatable: true, prefix: parsed.PrefixHash(), stream: parsed.Stream,
	}
	if req.key != "" {
		req.id = keyedRequestID(org, req.routeName, req.key, body)
	}
	req.send = func(stream wire.DRPCGate_RunClient, head *wire.RunHead) error {
		return stream.Send(&wire.RunFrame{Head: head, Body: req.body, Last: true})
	}
	if req.priority, err = priorityOf(stringOrEmpty(c.payload.Priority)); err != nil {
		return nil, err
	}
	if err = e.admit(req); err != nil {
		return nil, err
	}
	if err = e.plan(req, stringOrEmpty(c.payload.Session)); err != nil {
		return nil, err
	}
	req.token, err = e.sessions.Sign(req.session)
	return req, err
}

func (c *completion) readBody(w http.ResponseWriter) (body []byte, err error) {
	s := c.entry.node.Settings().Entry
	return readLimited(w, c.body, s.MaxBody, s.BodyTimeout)
}

var priorities = map[string]int32{"": 0, "low": -1, "normal": 0, "high": 1}

func priorityOf(name string) (p int32, err error) {
	p, ok := priorities[name]
	if !ok {
		return 0, refusal.New(refusal.Malformed, "priority is low, normal or high")
	}
	return p, nil
}
