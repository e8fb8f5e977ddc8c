// Package engine is the client of a model engine that speaks chat completions
// over HTTP, on the endpoint's own VM.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/chat"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("engine")

// Kinds of errors.
var (
	// ErrNotStarted marks a request that the engine provably did not start.
	ErrNotStarted = Errors.NewType("not-started")
	// ErrBroken marks a stream that ended before its end.
	ErrBroken = Errors.NewType("broken")
)

const maxLineBytes = 1 << 20

// Engine is one engine.
type Engine struct {
	base   string
	client *http.Client
}

// New makes a client of the engine at a base URL.
func New(base string, client *http.Client) *Engine {
	return &Engine{base: base, client: client}
}

// Order is one request as the engine gets it.
type Order struct {
	Request  string
	Body     []byte
	Priority int32
}

// Chat runs a request and hands each chunk to emit in order. It returns nil
// only when the engine said that the stream is whole.
func (e *Engine) Chat(ctx context.Context, o Order, emit func(*chat.Chunk) error) (err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/v1/chat/completions", bytes.NewReader(o.Body))
	if err != nil {
		return ErrNotStarted.Wrap(err, "make request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", o.Request)
	req.Header.Set("X-Priority", strconv.Itoa(int(o.Priority)))
	resp, err := e.client.Do(req)
	if err != nil {
		return ErrBroken.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return ErrNotStarted.New("engine answered status %d", resp.StatusCode)
	}
	return readStream(resp.Body, emit)
}

func readStream(r io.Reader, emit func(*chat.Chunk) error) (err error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return nil
		}
		c := &chat.Chunk{}
		if err = json.Unmarshal(data, c); err != nil {
			return ErrBroken.Wrap(err, "read chunk")
		}
		if err = emit(c); err != nil {
			return err
		}
	}
	if err = sc.Err(); err != nil {
		return ErrBroken.Wrap(err, "read stream")
	}
	return ErrBroken.Wrap(fmt.Errorf("no end mark"), "read stream")
}

// Load is what an engine reports of itself.
type Load struct {
	Running    int    `json:"running"`
	Queued     int    `json:"queued"`
	Generation uint64 `json:"generation"`
}

// Load asks the engine for its load.
func (e *Engine) Load(ctx context.Context) (l Load, err error) {
	defer func() {
		if err != nil {
			err = ErrBroken.Wrap(err, "read load")
		}
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+"/load", nil)
	if err != nil {
		return l, err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return l, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return l, fmt.Errorf("status %d", resp.StatusCode)
	}
	return l, json.NewDecoder(io.LimitReader(resp.Body, maxLineBytes)).Decode(&l)
}
