// Package chat defines the parts of the OpenAI chat-completions format that the system reads and
// writes. Unknown fields of a request pass through unchanged.
package chat

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Request is the body of a caller's request. Unknown fields remain in the raw body.
type Request struct {
	Model         string         `json:"model"`
	Stream        bool           `json:"stream"`
	StreamOptions *StreamOptions `json:"stream_options,omitempty"`
	Messages      []Message      `json:"messages"`
	// N is the number of answers that the caller requests; 0 means 1.
	N int `json:"n"`
}

// StreamOptions are the caller's options for a stream.
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
	// Details is nil if the engine did not report it.
	Details *UsageDetails `json:"prompt_tokens_details,omitempty"`
}

// UsageDetails counts the tokens of the prompt that came from the engine's cache.
type UsageDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// Delta is what a chunk adds to the message.
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

// Answer is the answer to a request that did not ask for a stream.
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
	// Message is the result of Assembly.Message.
	Message      map[string]any `json:"message"`
	FinishReason string         `json:"finish_reason"`
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Error describes what went wrong, whether the request ran and when to retry.
type Error struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	// Param is always null; clients of chat completions expect the field.
	Param *string `json:"param"`
	Run   string  `json:"run"`
	// RetryAfterMillis is the delay after which to retry, or 0 if a retry would fail in the same
	// way.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// Parse parses a body and checks the fields that the system depends on.
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

// ForEngine rewrites a body for an engine: the model is the version, and the engine always streams
// with usage, whatever the caller requested.
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

// minPrefixBytes is the minimum length of a prefix that gets a hash. Requests with the same hash go
// to one endpoint, where the prefix is cached. For a shorter prefix, sending all its requests to
// one endpoint would delay callers more than recomputing the prefix does.
const minPrefixBytes = 1 << 10

// PrefixHash returns a hash of the part of the prompt that later requests of the conversation share:
// everything before the last message, or the only message. It is 0 if that part is shorter than
// minPrefixBytes.
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
