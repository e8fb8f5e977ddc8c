package chat

import (
	"encoding/json"
	"strings"
)

// Assembly puts the deltas of a stream together into one message, for callers
// that asked for no stream. The zero value is empty.
type Assembly struct {
	text strings.Builder
	// fields holds what the deltas had beside text, merged field by field.
	fields map[string]any
}

// AddText adds text.
func (a *Assembly) AddText(text string) { a.text.WriteString(text) }

// AddDelta adds a delta as the engine wrote it.
func (a *Assembly) AddDelta(raw []byte) (err error) {
	var delta map[string]any
	if err = json.Unmarshal(raw, &delta); err != nil {
		return err
	}
	if text, ok := delta["content"].(string); ok {
		a.text.WriteString(text)
	}
	delete(delta, "content")
	if a.fields == nil {
		a.fields = make(map[string]any)
	}
	mergeFields(a.fields, delta)
	return nil
}

// Message returns the message. Its content is null when there are only other
// fields, such as tool calls.
func (a *Assembly) Message() map[string]any {
	message := map[string]any{"role": "assistant", "content": a.text.String()}
	if a.text.Len() == 0 && len(a.fields) > 0 {
		message["content"] = nil
	}
	for name, value := range a.fields {
		message[name] = withoutIndex(value)
	}
	return message
}

// Reset empties the assembly.
func (a *Assembly) Reset() {
	a.text.Reset()
	a.fields = nil
}

// constant names fields that engines may repeat whole in every delta.
var constant = map[string]bool{"id": true, "type": true, "role": true, "name": true, "index": true}

func mergeFields(into, delta map[string]any) {
	for name, value := range delta {
		old, ok := into[name]
		switch {
		case !ok || old == nil:
			into[name] = mergeValue(nil, value)
		case !constant[name]:
			into[name] = mergeValue(old, value)
		}
	}
}

func mergeValue(old, add any) any {
	switch add := add.(type) {
	case nil:
		return old
	case string:
		text, _ := old.(string)
		return text + add
	case map[string]any:
		fields, ok := old.(map[string]any)
		if !ok {
			fields = make(map[string]any)
		}
		mergeFields(fields, add)
		return fields
	case []any:
		list, _ := old.([]any)
		return mergeList(list, add)
	}
	return add
}

// mergeList merges parts with the same index and appends the others.
func mergeList(list, add []any) []any {
	for _, part := range add {
		if at := find(list, part); at >= 0 {
			list[at] = mergeValue(list[at], part)
			continue
		}
		list = append(list, part)
	}
	return list
}

func find(list []any, part any) (at int) {
	fields, ok := part.(map[string]any)
	if !ok || fields["index"] == nil {
		return -1
	}
	for i, other := range list {
		if o, ok := other.(map[string]any); ok && o["index"] == fields["index"] {
			return i
		}
	}
	return -1
}

// withoutIndex drops the index that parts of a list have only in a stream.
func withoutIndex(value any) any {
	list, ok := value.([]any)
	if !ok {
		return value
	}
	for _, part := range list {
		if fields, ok := part.(map[string]any); ok {
			delete(fields, "index")
		}
	}
	return value
}
