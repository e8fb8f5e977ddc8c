package chat

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// A caller who asked for no stream gets a tool call that came in parts. Lost
// parts, or parts of two calls run together, would call the wrong tool.
func TestAssemblyMergesToolCallsByIndex(t *testing.T) {
	is := is.New(t)
	var a Assembly
	for _, delta := range []string{
		`{"role":"assistant","content":null,"tool_calls":[{"index":0,"id":"a","type":"function","function":{"name":"renew","arguments":""}}]}`,
		`{"tool_calls":[{"index":1,"id":"b","type":"function","function":{"name":"bill","arguments":"{\"fee\":"}}]}`,
		`{"tool_calls":[{"index":0,"type":"function","function":{"arguments":"{}"}}]}`,
		`{"tool_calls":[{"index":1,"function":{"arguments":"5}"}}],"reasoning_content":"first "}`,
		`{"reasoning_content":"then"}`,
	} {
		is.NoErr(a.AddDelta([]byte(delta)))
	}
	data, err := json.Marshal(a.Message())
	is.NoErr(err)
	is.Equal(string(data), `{"content":null,"reasoning_content":"first then","role":"assistant","tool_calls":[`+
		`{"function":{"arguments":"{}","name":"renew"},"id":"a","type":"function"},`+
		`{"function":{"arguments":"{\"fee\":5}","name":"bill"},"id":"b","type":"function"}]}`)
}

func TestParseRejectsUnsupportedRequests(t *testing.T) {
	is := is.New(t)
	for body, reason := range map[string]string{
		`{`:                              "unexpected end of JSON input",
		`{"messages":[{"role":"user"}]}`: "model: is missing",
		`{"model":"quick"}`:              "messages: is missing or empty",
		`{"model":"quick","messages":[{"role":"user"}],"n":2}`: "n: is 2, 1 is allowed",
	} {
		_, err := Parse([]byte(body))
		is.Equal(err.Error(), "chat: parse request: "+reason)
	}
	_, err := Parse([]byte(`{"model":"quick","messages":[{"role":"user"}],"n":1,"tools":[]}`))
	is.NoErr(err)
}
