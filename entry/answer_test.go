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

// maxPieceAllocations bounds the allocations per streamed piece: one, for passing the text to the
// encoder.
const maxPieceAllocations = 1

// discardWriter is a response writer that discards the answer.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Flush()                      {}

func newTestAnswerWriter(w http.ResponseWriter, stream bool) *answerWriter {
	req := &requestState{id: "r-1", version: "small@1", chat: &chat.Request{Stream: stream}}
	return newAnswerWriter(w, req, 30*clock.Second)
}

func TestPieceAllocationsAreBounded(t *testing.T) {
	if raceEnabled {
		t.Skip("the race detector allocates for itself")
	}
	is := is.New(t)
	a := newTestAnswerWriter(&discardWriter{header: make(http.Header)}, true)
	p := &wire.Piece{Text: "renewal <&> \"due\" "}
	is.NoErr(a.writePiece(p))
	n := testing.AllocsPerRun(1000, func() { _ = a.writePiece(p) })
	is.True(n <= maxPieceAllocations)
}

func BenchmarkAnswerPiece(b *testing.B) {
	a := newTestAnswerWriter(&discardWriter{header: make(http.Header)}, true)
	p := &wire.Piece{Text: "renewal "}
	b.ReportAllocs()
	for b.Loop() {
		_ = a.writePiece(p)
	}
}

// A tool call arrives as a delta that plain text cannot represent. A streaming caller must get it
// unchanged, any other caller as part of the message.
func TestToolCallsPassThrough(t *testing.T) {
	is := is.New(t)
	const delta = `{"tool_calls":[{"index":0,"id":"a","function":{"name":"renew","arguments":"{}"}}]}`
	for _, stream := range []bool{true, false} {
		w := httptest.NewRecorder()
		a := newTestAnswerWriter(w, stream)
		is.NoErr(a.writePiece(&wire.Piece{Data: []byte(delta)}))
		is.NoErr(a.writePiece(&wire.Piece{Last: true, FinishReason: "tool_calls"}))
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
