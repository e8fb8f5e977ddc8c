package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/parsleydeal/parsleydeal/chat"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/refusal"
)

const (
	maxEventBytes = 4 << 20
	maxErrorBytes = 64 << 10
	maxListBytes  = 1 << 20
)

// Caller sends requests to an entry or to the load balancer in front of the entries. Any
// chat-completions client can send the same requests; Caller also reads run states, sessions and
// versions.
type Caller struct {
	// Base is the base URL, such as "http://10.0.0.1:8080".
	Base string
	// Key is the organisation's bearer key.
	Key  string
	HTTP *http.Client
}

// Options are the optional headers of a request; empty fields are not sent.
type Options struct {
	IdempotencyKey string
	Session        string
	// Priority is "low", "normal" or "high".
	Priority string
}

// Answer is a complete chat answer.
type Answer struct {
	// Request is the request ID that the system assigned.
	Request string
	Version string
	// Session is the token to send in the Options of the session's next request.
	Session string
	// Moved is the reason why the session got another version; empty if the version did not change.
	Moved        string
	Text         string
	FinishReason string
	Usage        chat.Usage
}

// Complete streams one chat completion and returns the complete answer. It calls onText, which may be
// nil, with each part of the text as it arrives. It returns a refusal.Refusal when the system sent
// one, and ErrBroken when the answer ended without its end marker or could not be parsed.
func (c *Caller) Complete(ctx context.Context, body []byte, o Options, onText func(text string)) (a Answer, err error) {
	resp, err := c.Do(ctx, http.MethodPost, "/v1/chat/completions", bytes.NewReader(body), o)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	a.Request = resp.Header.Get("Parsleydeal-Request")
	a.Version = resp.Header.Get("Parsleydeal-Version")
	a.Session = resp.Header.Get("Parsleydeal-Session")
	a.Moved = resp.Header.Get("Parsleydeal-Session-Moved")
	return a, a.read(resp.Body, onText)
}

func (a *Answer) read(r io.Reader, onText func(text string)) (err error) {
	var text strings.Builder
	defer func() { a.Text = text.String() }()
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return nil
		}
		var ev streamEvent
		if err = json.Unmarshal(data, &ev); err != nil {
			return ErrBroken.Wrap(err, "read event")
		}
		if ev.Error != nil {
			return refusalOf(*ev.Error)
		}
		part := a.apply(&ev.Chunk)
		text.WriteString(part)
		if part != "" && onText != nil {
			onText(part)
		}
	}
	return ErrBroken.New("answer ended without its end mark: %v", sc.Err())
}

// streamEvent is a chunk or an error event.
type streamEvent struct {
	chat.Chunk
	Error *chat.Error `json:"error"`
}

// apply adds a chunk to the answer, except for its text, which it returns.
func (a *Answer) apply(c *chat.Chunk) (text string) {
	if c.Usage != nil {
		a.Usage = *c.Usage
	}
	if len(c.Choices) == 0 {
		return ""
	}
	if r := c.Choices[0].FinishReason; r != nil {
		a.FinishReason = *r
	}
	return c.Choices[0].Delta.Content
}

// Do sends one request. It returns the response if its status is below 400, and otherwise the
// refusal, or ErrBroken if the body holds none. A path under /v1/services reaches a plain service; an
// error status from the service itself is returned as a response. The caller closes the body.
func (c *Caller) Do(ctx context.Context, method, path string, body io.Reader, o Options) (resp *http.Response, err error) {
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	for name, value := range map[string]string{"Idempotency-Key": o.IdempotencyKey, "Parsleydeal-Session": o.Session, "Parsleydeal-Priority": o.Priority} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	resp, err = c.HTTP.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode < http.StatusBadRequest || refusal.Run(resp.Header.Get("Parsleydeal-Run")) == refusal.Ran {
		return resp, nil
	}
	defer resp.Body.Close()
	var e chat.ErrorBody
	if err = json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&e); err != nil {
		return nil, ErrBroken.New("status %d without a typed error", resp.StatusCode)
	}
	return nil, refusalOf(e.Error)
}

func refusalOf(e chat.Error) *refusal.Refusal {
	return refusal.New(refusal.Code(e.Code), e.Message).WithRun(refusal.Run(e.Run)).WithRetryAfter(clock.Millis(e.RetryAfterMillis))
}

// Models returns the names of the routes that the caller's organisation may use as models.
func (c *Caller) Models(ctx context.Context) (names []string, err error) {
	resp, err := c.Do(ctx, http.MethodGet, "/v1/models", nil, Options{})
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var list struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if err = json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&list); err != nil {
		return nil, ErrBroken.Wrap(err, "read models")
	}
	for _, m := range list.Data {
		names = append(names, m.ID)
	}
	return names, nil
}
