package chat

import (
	"encoding/json"
	"strings"
)

// Assembly merges the deltas of a stream into one message, for callers that did not request a
// stream. The zero value is empty.
type Assembly struct {
	text strings.Builder
	// fields holds all fields of the deltas except the content, merged field by field.
	fields map[string]any
}

// AddText appends text to the content.
func (a *Assembly) AddText(text string) { a.text.WriteString(text) }

// AddDelta merges a delta as the engine sent it. It returns an error if raw is not a JSON object.
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

// Message returns the merged message. Its content is null when there is no text but other fields,
// such as tool calls.
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

// repeatedFields lists the fields that engines may repeat in full in every delta. Their first value
// is used; other strings are concatenated.
var repeatedFields = map[string]bool{"id": true, "type": true, "role": true, "name": true, "index": true}

func mergeFields(into, delta map[string]any) {
	for name, value := range delta {
		old, ok := into[name]
		switch {
		case !ok || old == nil:
			into[name] = mergeValue(nil, value)
		case !repeatedFields[name]:
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

// mergeList merges elements with the same index and appends the others.
func mergeList(list, add []any) []any {
	for _, element := range add {
		if position := findByIndex(list, element); position >= 0 {
			list[position] = mergeValue(list[position], element)
			continue
		}
		list = append(list, element)
	}
	return list
}

// findByIndex returns the position of the element with the same index field, or -1.
func findByIndex(list []any, element any) (position int) {
	fields, ok := element.(map[string]any)
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

// withoutIndex removes the index field from the elements of a list. Elements have it only in a
// stream.
func withoutIndex(value any) any {
	list, ok := value.([]any)
	if !ok {
		return value
	}
	for _, element := range list {
		if fields, ok := element.(map[string]any); ok {
			delete(fields, "index")
		}
	}
	return value
}
