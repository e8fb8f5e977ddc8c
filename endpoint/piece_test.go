package endpoint

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/engine"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
)

// sink is a stream that encodes pieces as drpc does and drops them.
type sink struct {
	drpc.Stream
	buf []byte
}

func (s *sink) Context() context.Context { return context.Background() }

func (s *sink) Recv() (*wire.RunFrame, error) { return nil, io.EOF }

func (s *sink) Send(p *wire.Piece) (err error) {
	s.buf, err = proto.MarshalOptions{}.MarshalAppend(s.buf[:0], p)
	return err
}

// source is an engine that answers every request with the same stream.
type source struct{ stream string }

func (s source) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(s.stream))}, nil
}

const pieceCount = 1000

// streamOf is a stream of so many tokens as engines write it.
func streamOf(tokens int) string {
	var b strings.Builder
	for range tokens {
		b.WriteString(`data: {"id":"x","object":"chat.completion.chunk","created":1,"model":"small@1","choices":[{"index":0,"delta":{"content":"renewal "},"finish_reason":null}]}` + "\n\n")
	}
	b.WriteString("data: [DONE]\n\n")
	return b.String()
}

// pass carries one stream from an engine through an attempt, without network.
func (r *rig) pass(e *engine.Engine) error {
	a := newAttempt(r.e, &sink{}, &wire.RunFrame{Head: r.head("r1"), Last: true})
	a.ticket = r.e.gate.Submit(r.n.Clock().Now(), r.e.request(a))
	err := e.Chat(r.t.Context(), engine.ChatRequest{RequestID: "r1", Body: []byte("{}")}, a.chunk)
	a.e.close(a)
	return err
}

// At 1.8 million tokens a second every allocation for a piece costs the fleet a
// core somewhere. The bound is what one piece took when this was written, and one
// more.
func TestAllocationsPerPiece(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1)
	e := engine.New("http://engine", &http.Client{Transport: source{streamOf(pieceCount)}})
	runs := testing.AllocsPerRun(10, func() { is.NoErr(r.pass(e)) })
	t.Logf("%.2f allocations a piece", runs/pieceCount)
	is.True(runs/pieceCount <= 11)
}

// BenchmarkPiece measures a piece's way through the gate without network.
func BenchmarkPiece(b *testing.B) {
	e := engine.New("http://engine", &http.Client{Transport: source{streamOf(b.N)}})
	a := newAttempt(&Endpoint{}, &sink{}, &wire.RunFrame{Head: &wire.RunHead{Request: "r1", Attempt: 1}, Last: true})
	b.ReportAllocs()
	b.ResetTimer()
	emit := func(c engine.Chunk) error {
		p := a.next()
		p.Text, p.Data, p.Tokens = c.Text, c.Raw, 1
		return a.send(p)
	}
	if err := e.Chat(b.Context(), engine.ChatRequest{Body: []byte("{}")}, emit); err != nil {
		b.Fatal(err)
	}
}
