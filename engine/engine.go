// Package engine is a client for a model engine that serves chat completions over HTTP on the
// endpoint's own VM.
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
	// ErrNotStarted means that the engine accepted no connection, so the request did not run.
	ErrNotStarted = Errors.NewType("not-started")
	// ErrBusy means that the engine temporarily refused to start the request.
	ErrBusy = Errors.NewType("busy")
	// ErrRejected means that the engine refused the request because of its content.
	ErrRejected = Errors.NewType("rejected")
	// ErrBroken means that a stream was truncated or malformed, or that a response leaves open
	// whether the request ran.
	ErrBroken = Errors.NewType("broken")
	// ErrFenced means that an order had an outdated fencing number.
	ErrFenced = Errors.NewType("fenced")
)

const (
	maxLineBytes  = 1 << 20
	maxErrorBytes = 2 << 10
)

// Engine is a client for one engine.
type Engine struct {
	base   string
	client *http.Client
}

// New returns a client for the engine at a base URL.
func New(base string, client *http.Client) *Engine {
	return &Engine{base: base, client: client}
}

// ChatRequest is a request as sent to the engine.
type ChatRequest struct {
	RequestID string
	Body      []byte
	Priority  int32
	// Session is the session whose KV cache the engine may use. It is empty unless the engines of
	// the pool transfer caches.
	Session string
	// ResumeAfter and ResumeText are the number and the text of the answer's tokens that were
	// already received. The engine generates only what follows them. Set them only for engines that
	// can resume; if ResumeText is empty the answer starts from its first token.
	ResumeAfter int32
	ResumeText  string
}

// Chat runs a request and passes each chunk to emit in order. It returns nil only if the engine
// sent the end mark of the stream. An error of emit is returned as it is.
func (e *Engine) Chat(ctx context.Context, r ChatRequest, emit func(Chunk) error) (err error) {
	body, err := r.body()
	if err != nil {
		return ErrRejected.Wrap(err, "make request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return ErrRejected.Wrap(err, "make request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", r.RequestID)
	req.Header.Set("X-Priority", strconv.Itoa(int(r.Priority)))
	if r.Session != "" {
		req.Header.Set("X-Session", r.Session)
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

// body returns the request body, with the text to resume after if there is one.
func (r ChatRequest) body() (body []byte, err error) {
	if r.ResumeText == "" {
		return r.Body, nil
	}
	var fields map[string]json.RawMessage
	if err = json.Unmarshal(r.Body, &fields); err != nil {
		return nil, err
	}
	text, err := json.Marshal(r.ResumeText)
	if err != nil {
		return nil, err
	}
	fields["resume_text"] = text
	fields["resume_after"] = strconv.AppendInt(nil, int64(r.ResumeAfter), 10)
	return json.Marshal(fields)
}

// sendError classifies a failed exchange. Only a failed dial proves that the engine did not receive
// the request.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrNotStarted.Wrap(err, "reach engine")
	}
	return ErrBroken.Wrap(err, "send request")
}

// statusError classifies a response without a stream. Status 503 and any 4xx prove that the request
// did not run; other server errors do not.
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

// Load is the state that an engine reports.
type Load struct {
	Running    int    `json:"running"`
	Queued     int    `json:"queued"`
	Generation uint64 `json:"generation"`
	// Versions are the loaded versions, or nil if the engine does not report them.
	Versions []string `json:"versions"`
	Role     string   `json:"role"`
}

// Load queries the engine's load.
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
