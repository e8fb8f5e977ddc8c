// Package engine is the client of a model engine that speaks chat completions
// over HTTP, on the endpoint's own VM.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("engine")

// Kinds of errors.
var (
	// ErrNotStarted marks an engine that took no connection, so that the request
	// provably did not run.
	ErrNotStarted = Errors.NewType("not-started")
	// ErrBusy marks a request that the engine refused to start for now.
	ErrBusy = Errors.NewType("busy")
	// ErrRejected marks a request that the engine refused for its content.
	ErrRejected = Errors.NewType("rejected")
	// ErrBroken marks a stream that ended before its end, or an answer that leaves
	// open whether the request ran.
	ErrBroken = Errors.NewType("broken")
	// ErrFenced marks an order that carried an old fencing number.
	ErrFenced = Errors.NewType("fenced")
)

const (
	maxLineBytes  = 1 << 20
	maxErrorBytes = 2 << 10
)

// Engine is one engine.
type Engine struct {
	base   string
	client *http.Client
}

// New makes a client of the engine at a base URL.
func New(base string, client *http.Client) *Engine {
	return &Engine{base: base, client: client}
}

// ChatRequest is one request as the engine gets it.
type ChatRequest struct {
	RequestID string
	Body      []byte
	Priority  int32
	// Session names the session whose KV cache the engine may use; empty outside
	// a pool whose engines move caches.
	Session string
	// ResumeAfter and ResumeText ask the engine to go on after an answer's first
	// tokens; only engines that resume get them.
	ResumeAfter int32
	ResumeText  string
}

// Chat runs a request and hands each chunk to emit in order. It returns nil
// only when the engine said that the stream is whole.
func (e *Engine) Chat(ctx context.Context, o ChatRequest, emit func(Chunk) error) (err error) {
	body, err := o.body()
	if err != nil {
		return ErrRejected.Wrap(err, "make request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return ErrRejected.Wrap(err, "make request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", o.RequestID)
	req.Header.Set("X-Priority", strconv.Itoa(int(o.Priority)))
	if o.Session != "" {
		req.Header.Set("X-Session", o.Session)
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return sendError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusError(resp)
	}
	return readStream(resp.Body, emit)
}

// body adds what a resumed request must follow.
func (o ChatRequest) body() (body []byte, err error) {
	if o.ResumeText == "" {
		return o.Body, nil
	}
	var fields map[string]json.RawMessage
	if err = json.Unmarshal(o.Body, &fields); err != nil {
		return nil, err
	}
	text, err := json.Marshal(o.ResumeText)
	if err != nil {
		return nil, err
	}
	fields["resume_text"] = text
	fields["resume_after"] = strconv.AppendInt(nil, int64(o.ResumeAfter), 10)
	return json.Marshal(fields)
}

// sendError names a failed exchange. Only a failed dial proves that the engine
// got nothing.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrNotStarted.Wrap(err, "reach engine")
	}
	return ErrBroken.Wrap(err, "send request")
}

// statusError names an answer without a stream. The engine's own refusals prove
// that the request did not run; a fault inside it does not.
func statusError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
		return ErrBusy.New("engine answered status %d", resp.StatusCode)
	case resp.StatusCode >= http.StatusBadRequest && resp.StatusCode < http.StatusInternalServerError:
		return ErrRejected.New("engine answered status %d: %s", resp.StatusCode, text)
	}
	return ErrBroken.New("engine answered status %d", resp.StatusCode)
}

// Load is what an engine reports of itself.
type Load struct {
	Running    int    `json:"running"`
	Queued     int    `json:"queued"`
	Generation uint64 `json:"generation"`
	// Versions are those that the engine has loaded; nil when it does not tell.
	Versions []string `json:"versions"`
	Role     string   `json:"role"`
}

// Load asks the engine for its load.
func (e *Engine) Load(ctx context.Context) (l Load, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+"/load", nil)
	if err != nil {
		return l, ErrBroken.Wrap(err, "read load")
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return l, sendError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return l, ErrBroken.Wrap(fmt.Errorf("status %d", resp.StatusCode), "read load")
	}
	if err = json.NewDecoder(io.LimitReader(resp.Body, maxLineBytes)).Decode(&l); err != nil {
		return l, ErrBroken.Wrap(err, "read load")
	}
	return l, nil
}
