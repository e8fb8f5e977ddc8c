// Package chat holds the parts of the OpenAI chat-completions shape that the
// system reads and writes. What it does not know passes through unchanged.
package chat

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Request is a caller's body. Unknown fields stay in the raw body.
type Request struct {
	Model         string         `json:"model"`
	Stream        bool           `json:"stream"`
	StreamOptions *StreamOptions `json:"stream_options,omitempty"`
	Messages      []Message      `json:"messages"`
	// N is how many answers the caller wants; 0 stands for 1.
	N int `json:"n"`
}

// StreamOptions are the caller's wishes for a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Message is one turn. Content is kept raw: it is a string or a list of parts.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
	// Details is nil where the engine did not say more.
	Details *UsageDetails `json:"prompt_tokens_details,omitempty"`
}

// UsageDetails says how many tokens of the prompt came from the cache.
type UsageDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// Delta is what a chunk adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// ChunkChoice is the only choice of a chunk.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Chunk is one server-sent event of a stream.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// Answer is the whole answer of a request that did not ask for a stream.
type Answer struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []AnswerChoice `json:"choices"`
	Usage   Usage          `json:"usage"`
}

// AnswerChoice is the only choice of an answer.
type AnswerChoice struct {
	Index int `json:"index"`
	// Message is what an Assembly made.
	Message      map[string]any `json:"message"`
	FinishReason string         `json:"finish_reason"`
}

// ErrorBody is the typed error that callers receive.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Error says what went wrong, whether the request ran and when to come back.
type Error struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	// Param is always null; clients of chat completions expect the field.
	Param *string `json:"param"`
	Run   string  `json:"run"`
	// RetryAfterMillis is 0 when coming back makes no difference.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// Parse reads a body and checks what the system depends on.
func Parse(body []byte) (r *Request, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("chat: parse request: %w", err)
		}
	}()
	r = &Request{}
	if err = json.Unmarshal(body, r); err != nil {
		return nil, err
	}
	if r.Model == "" {
		return nil, fmt.Errorf("model: is missing")
	}
	if len(r.Messages) == 0 {
		return nil, fmt.Errorf("messages: is missing or empty")
	}
	if r.N != 0 && r.N != 1 {
		return nil, fmt.Errorf("n: is %d, 1 is allowed", r.N)
	}
	return r, nil
}

// ForEngine rewrites a body for an engine: the version as model, and a stream
// with usage whatever the caller asked for.
func ForEngine(body []byte, version string) (out []byte, err error) {
	var fields map[string]json.RawMessage
	if err = json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	name, err := json.Marshal(version)
	if err != nil {
		return nil, err
	}
	fields["model"] = name
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(fields)
}

// minPrefixBytes is how long a prefix must be to be named. A short one costs an
// engine less to compute again than it costs callers when all requests that
// happen to share it go to one endpoint.
const minPrefixBytes = 1 << 10

// PrefixHash names the part of the prompt that a conversation's later requests
// share: everything before the last message. It is 0 when that is short.
func (r *Request) PrefixHash() uint64 {
	h := xxhash.New()
	n := 0
	for i, m := range r.Messages {
		if i > 0 && i == len(r.Messages)-1 {
			break
		}
		_, _ = h.WriteString(m.Role)
		_, _ = h.Write(m.Content)
		n += len(m.Content)
	}
	if n < minPrefixBytes {
		return 0
	}
	return h.Sum64()
}
