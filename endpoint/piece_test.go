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

// discardStream is a stream that encodes pieces as drpc does and discards them.
type discardStream struct {
	drpc.Stream
	buf []byte
}

func (s *discardStream) Context() context.Context { return context.Background() }

func (s *discardStream) Recv() (*wire.RunFrame, error) { return nil, io.EOF }

func (s *discardStream) Send(p *wire.Piece) (err error) {
	s.buf, err = proto.MarshalOptions{}.MarshalAppend(s.buf[:0], p)
	return err
}

// fixedEngine is an engine that answers every request with the same stream.
type fixedEngine struct{ response string }

func (s fixedEngine) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(s.response))}, nil
}

const pieceCount = 1000

// streamOf returns a stream of the given number of tokens in the engines' format.
func streamOf(tokens int) string {
	var b strings.Builder
	for range tokens {
		b.WriteString(`data: {"id":"x","object":"chat.completion.chunk","created":1,"model":"small@1","choices":[{"index":0,"delta":{"content":"renewal "},"finish_reason":null}]}` + "\n\n")
	}
	b.WriteString("data: [DONE]\n\n")
	return b.String()
}

// runStream passes one stream from an engine through an attempt, without a network.
func (r *rig) runStream(e *engine.Engine) error {
	a := newAttempt(r.e, &discardStream{}, &wire.RunFrame{Head: r.head("r1"), Last: true})
	a.ticket = r.e.gate.Submit(r.n.Clock().Now(), r.e.gateRequest(a))
	err := e.Chat(r.t.Context(), engine.ChatRequest{RequestID: "r1", Body: []byte("{}")}, a.chunk)
	a.e.close(a)
	return err
}

// At 1.8 million tokens per second in the fleet, every allocation per piece costs about one
// core. The bound allows one allocation more than a piece needs.
func TestAllocationsPerPiece(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1)
	e := engine.New("http://engine", &http.Client{Transport: fixedEngine{streamOf(pieceCount)}})
	runs := testing.AllocsPerRun(10, func() { is.NoErr(r.runStream(e)) })
	t.Logf("%.2f allocations per piece", runs/pieceCount)
	is.True(runs/pieceCount <= 11)
}

// BenchmarkPiece measures the processing of one piece in the endpoint without a network.
func BenchmarkPiece(b *testing.B) {
	e := engine.New("http://engine", &http.Client{Transport: fixedEngine{streamOf(b.N)}})
	a := newAttempt(&Endpoint{}, &discardStream{}, &wire.RunFrame{Head: &wire.RunHead{Request: "r1", Attempt: 1}, Last: true})
	b.ReportAllocs()
	b.ResetTimer()
	emit := func(c engine.Chunk) error {
		p := a.emptyPiece()
		p.Text, p.Data, p.Tokens = c.Text, c.Raw, 1
		return a.send(p)
	}
	if err := e.Chat(b.Context(), engine.ChatRequest{Body: []byte("{}")}, emit); err != nil {
		b.Fatal(err)
	}
}
