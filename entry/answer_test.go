package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/chat"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// maxPieceAllocations bounds what one piece of a stream costs the entry: the
// piece's text as a value to encode.
const maxPieceAllocations = 1

// discard takes an answer and keeps nothing.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}
func (d *discard) Flush()                      {}

func newTestAnswer(w http.ResponseWriter, stream bool) *answer {
	req := &work{id: "r-1", version: "small@1", chat: &chat.Request{Stream: stream}}
	return newAnswer(w, req, 30*clock.Second)
}

func TestPieceAllocationsAreBounded(t *testing.T) {
	if raceEnabled {
		t.Skip("the race detector allocates for itself")
	}
	is := is.New(t)
	a := newTestAnswer(&discard{header: make(http.Header)}, true)
	p := &wire.Piece{Text: "renewal <&> \"due\" "}
	is.NoErr(a.take(p))
	n := testing.AllocsPerRun(1000, func() { _ = a.take(p) })
	is.True(n <= maxPieceAllocations)
}

func BenchmarkAnswerPiece(b *testing.B) {
	a := newTestAnswer(&discard{header: make(http.Header)}, true)
	p := &wire.Piece{Text: "renewal "}
	b.ReportAllocs()
	for b.Loop() {
		_ = a.take(p)
	}
}

// A tool call comes as a delta that text cannot stand for. It must reach a
// streaming caller as the engine wrote it, and any other caller in the message.
func TestToolCallsPassThrough(t *testing.T) {
	is := is.New(t)
	const delta = `{"tool_calls":[{"index":0,"id":"a","function":{"name":"renew","arguments":"{}"}}]}`
	for _, stream := range []bool{true, false} {
		w := httptest.NewRecorder()
		a := newTestAnswer(w, stream)
		is.NoErr(a.take(&wire.Piece{Data: []byte(delta)}))
		is.NoErr(a.take(&wire.Piece{Last: true, FinishReason: "tool_calls"}))
		a.end()
		if stream {
			is.True(strings.Contains(w.Body.String(), `"choices":[{"index":0,"delta":`+delta+`,"finish_reason":null}]}`))
			is.True(strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n"))
			continue
		}
		is.True(strings.Contains(w.Body.String(), `"message":{"content":null,"role":"assistant","tool_calls":[{"function"`))
		is.True(strings.Contains(w.Body.String(), `"finish_reason":"tool_calls"`))
	}
}
