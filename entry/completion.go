package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/parsleydeal/parsleydeal/chat"
	"github.com/parsleydeal/parsleydeal/choice"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/gen/completions"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
	"github.com/parsleydeal/parsleydeal/session"
	"github.com/parsleydeal/parsleydeal/table"
	"github.com/parsleydeal/parsleydeal/view"
)

// defaultDeadline bounds a request whose route sets no deadline.
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

// WriteTo runs the request and writes the whole response.
func (c *completion) WriteTo(w io.Writer) (n int64, err error) {
	rw := w.(http.ResponseWriter)
	request := uuid.NewString()
	req, err := c.parse(request)
	if err != nil {
		writeRefusal(rw, request, err)
		return 0, nil
	}
	answer := newAnswer(rw, req)
	if err = c.entry.run(c.ctx, req, answer.take); err != nil {
		answer.fail(err)
		return 0, nil
	}
	answer.end()
	return 0, nil
}

// work is one request on its way through the entry.
type work struct {
	id           string
	view         *view.View
	organisation string
	routeName    string
	route        table.Route
	chat         *chat.Request
	body         []byte
	session      session.Token
	// token is the signed session handed back to the caller.
	token    string
	version  string
	deadline clock.Millis
	priority int32
	key      string
	attempts uint32
	steps    []*wire.Step
}

func (c *completion) parse(id string) (req *work, err error) {
	e := c.entry
	v, err := e.current()
	if err != nil {
		return nil, err
	}
	org, err := e.caller(v, value(c.payload.Authorization))
	if err != nil {
		return nil, err
	}
	body, err := readBody(c.body, e.node.Settings().Entry.MaxBody)
	if err != nil {
		return nil, err
	}
	parsed, err := chat.Parse(body)
	if err != nil {
		return nil, refusal.New(refusal.Malformed, err.Error())
	}
	req = &work{id: id, view: v, organisation: org, routeName: parsed.Model, chat: parsed, body: body, key: value(c.payload.IdempotencyKey)}
	if req.priority, err = priorityOf(value(c.payload.Priority)); err != nil {
		return nil, err
	}
	if err = e.admit(req); err != nil {
		return nil, err
	}
	if err = e.plan(req, value(c.payload.Session)); err != nil {
		return nil, err
	}
	req.token, err = e.sessions.Sign(req.session)
	return req, err
}

func readBody(r io.Reader, limit int64) (body []byte, err error) {
	var buf bytes.Buffer
	n, err := buf.ReadFrom(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, refusal.New(refusal.Malformed, "body could not be read")
	}
	if n > limit {
		return nil, refusal.New(refusal.TooLarge, "body is larger than allowed")
	}
	return buf.Bytes(), nil
}

var priorities = map[string]int32{"": 0, "low": -1, "normal": 0, "high": 1}

func priorityOf(name string) (p int32, err error) {
	p, ok := priorities[name]
	if !ok {
		return 0, refusal.New(refusal.Malformed, "priority is low, normal or high")
	}
	return p, nil
}

// admit checks that the organisation may use the route now.
func (e *Entry) admit(req *work) (err error) {
	route, ok := req.view.Tables().Routes[req.routeName]
	if !ok {
		return refusal.New(refusal.NoRoute, "no model "+req.routeName)
	}
	if !contains(route.Organisations, req.organisation) {
		return refusal.New(refusal.NoRoute, "no model "+req.routeName)
	}
	req.route = route
	req.deadline = route.Deadline
	if req.deadline == 0 {
		req.deadline = defaultDeadline
	}
	return e.fresh(req.view, route.WhenStale, int64(route.StaleAfter))
}

// plan chooses the version: the session's own, or the one its hash falls on.
func (e *Entry) plan(req *work, token string) (err error) {
	if token != "" {
		if req.session, err = e.sessions.Verify(token); err != nil {
			return refusal.New(refusal.SessionRejected, err.Error())
		}
		if req.session.Organisation != req.organisation || req.session.Route != req.routeName {
			return refusal.New(refusal.SessionRejected, "session belongs to another organisation or model")
		}
	}
	t := req.view.Tables()
	if kept := req.session.Version; kept != "" && req.route.Allows(kept) && !t.Versions[kept].Withdrawn {
		req.version = kept
		return nil
	}
	if req.session.ID == "" {
		req.session = session.Token{ID: req.id, Organisation: req.organisation, Route: req.routeName}
	}
	version, ok := choice.Version(t, req.route, xxhash.Sum64String(req.session.ID))
	if !ok {
		return refusal.New(refusal.NoEndpoint, "no version meets the quality target").WithRetryAfter(startingRetry)
	}
	req.version = version
	req.session.Version = version
	return nil
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
