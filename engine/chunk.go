package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// Chunk is one event of an engine's stream.
type Chunk struct {
	Text string
	// Raw is the delta as the engine sent it, set only if it has more than text and role.
	Raw []byte
	// FinishReason is empty until the engine sends one.
	FinishReason string
	// Usage is nil until the engine sends it.
	Usage *Usage
}

// Usage counts the tokens of a request and its answer.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	Details          struct {
		CachedTokens int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type rawChunk struct {
	Choices []rawChoice `json:"choices"`
	Usage   *Usage      `json:"usage"`
}

type rawChoice struct {
	Delta        json.RawMessage `json:"delta"`
	FinishReason string          `json:"finish_reason"`
}

// reset clears a chunk for the next one and reuses its memory. The JSON decoder leaves fields that
// the next chunk lacks unchanged, so an old text or finish reason would appear again.
func (r *rawChunk) reset() {
	for i := range r.Choices {
		r.Choices[i] = rawChoice{Delta: r.Choices[i].Delta[:0]}
	}
	r.Usage = nil
}

// readStream passes each chunk of an event stream to emit, until the end mark.
func readStream(r io.Reader, emit func(Chunk) error) (err error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 4096), maxLineBytes)
	var raw rawChunk
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			return nil
		}
		c, err := raw.parse(data)
		if err != nil {
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

func (r *rawChunk) parse(data []byte) (c Chunk, err error) {
	r.reset()
	if err = json.Unmarshal(data, r); err != nil {
		return c, err
	}
	c.Usage = r.Usage
	if len(r.Choices) == 0 {
		return c, nil
	}
	choice := r.Choices[0]
	c.FinishReason = choice.FinishReason
	err = c.parseDelta(choice.Delta)
	return c, err
}

// parseDelta decodes a delta. Most have only content, which is decoded without a map.
func (c *Chunk) parseDelta(raw json.RawMessage) (err error) {
	if len(raw) == 0 {
		return nil
	}
	inner, ok := bytes.CutPrefix(raw, []byte(`{"content":`))
	if ok && json.Unmarshal(bytes.TrimSuffix(inner, []byte("}")), &c.Text) == nil {
		return nil
	}
	c.Text = ""
	var fields map[string]json.RawMessage
	if err = json.Unmarshal(raw, &fields); err != nil {
		return err
	}
	if text, ok := fields["content"]; ok {
		if err = json.Unmarshal(text, &c.Text); err != nil {
			return err
		}
	}
	if hasOtherFields(fields) {
		c.Raw = bytes.Clone(raw)
	}
	return nil
}

// hasOtherFields reports whether a delta has more than content and the role, which never changes.
func hasOtherFields(fields map[string]json.RawMessage) bool {
	for name, value := range fields {
		if name != "content" && name != "role" && string(value) != "null" {
			return true
		}
	}
	return false
}
