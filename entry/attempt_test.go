package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/node"
	"github.com/parsleydeal/parsleydeal/peer"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/refusal"
	"github.com/parsleydeal/parsleydeal/settings"
	"github.com/parsleydeal/parsleydeal/standin"
)

// scriptedGate is a gate that sends the pieces listed by a test.
type scriptedGate struct {
	wire.DRPCGateUnimplementedServer
	run  []*wire.Piece
	kept []*wire.Piece
	// requests receives the entry's requests for the rest of a retained answer.
	requests chan *wire.KeptRequest
}

// Run sends the pieces of g.run and then closes the stream, even if the answer is incomplete.
func (g *scriptedGate) Run(stream wire.DRPCGate_RunStream) (err error) {
	if _, err = stream.Recv(); err != nil {
		return err
	}
	for _, p := range g.run {
		if err = stream.Send(p); err != nil {
			return err
		}
	}
	return nil
}

// Kept sends the retained pieces, starting with the requested one.
func (g *scriptedGate) Kept(in *wire.KeptRequest, stream wire.DRPCGate_KeptStream) (err error) {
	g.requests <- in
	for _, p := range g.kept[min(int(in.GetAfter()), len(g.kept)):] {
		if err = stream.Send(p); err != nil {
			return err
		}
	}
	return nil
}

// runKeyedAttempt runs one attempt of a keyed request at a scripted gate and returns the text that
// the caller received.
func runKeyedAttempt(t *testing.T, g *scriptedGate) (text string, err error) {
	return runAttempt(t, g, &requestState{key: "k", repeatable: true, stream: true})
}

func runAttempt(t *testing.T, g *scriptedGate, req *requestState) (text string, err error) {
	is := is.New(t)
	p := httptest.NewServer(standin.NewPlatform().Handler())
	t.Cleanup(p.Close)
	h := provider.NewHTTP(p.URL, http.DefaultClient)
	s := settings.Default()
	s.VM = "entry-1"
	n := node.New(node.Config{Settings: s, Clock: clock.System(), Log: log.New(io.Discard), Store: h.Log(), VMs: h.VMList(), Peers: peer.NewPool()})
	n.Start(t.Context())
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	g.requests = make(chan *wire.KeptRequest, 1)
	go func() { _ = peer.Serve(t.Context(), lis, n, g) }()
	req.id, req.view, req.organisation = "r1", n.View(), "desk"
	req.send = func(stream wire.DRPCGate_RunClient, head *wire.RunHead) error {
		return stream.Send(&wire.RunFrame{Head: head, Last: true})
	}
	is.NoErr(n.Billing().Reserve())
	ctx, cancel := context.WithTimeout(t.Context(), clock.Minute.Duration())
	defer cancel()
	err = New(n).attempt(ctx, req, provider.VM{ID: "endpoint-1", Address: lis.Addr().String()}, func(p *wire.Piece) error {
		text += p.GetText()
		return nil
	})
	return text, err
}

func piece(number uint32, text string) *wire.Piece {
	return &wire.Piece{Request: "r1", Attempt: 1, Number: number, Text: text, Tokens: 1}
}

func lastPiece(number uint32) *wire.Piece {
	return &wire.Piece{
		Request: "r1", Attempt: 1, Number: number, Last: true, TotalPieces: number + 1, TotalTokens: int32(number),
		Step: &wire.Step{Attempt: 1, Version: "small@1", Cost: 1, Whole: true},
	}
}

// The connection to an endpoint breaks in the middle of the answer to a request with an idempotency
// key. The stream also contains a piece of another request, one of another attempt and a repeated
// one. The run continues at the endpoint and the entry fetches the rest, so that the caller gets
// exactly its own answer in full.
func TestReattachAfterDisconnect(t *testing.T) {
	is := is.New(t)
	otherRequest := piece(1, "stranger ")
	otherRequest.Request = "r2"
	otherAttempt := piece(1, "late ")
	otherAttempt.Attempt = 9
	all := []*wire.Piece{piece(0, "one "), piece(1, "two "), piece(2, "three "), lastPiece(3)}
	g := &scriptedGate{run: []*wire.Piece{all[0], otherRequest, otherAttempt, all[0], all[1]}, kept: all}
	text, err := runKeyedAttempt(t, g)
	is.NoErr(err)
	is.Equal(text, "one two three ")
	request := <-g.requests
	is.Equal(request.GetAfter(), uint32(2))
	is.Equal(request.GetOrganisation(), "desk")
}

// A piece is lost in transit. The caller must not get an answer with a gap.
func TestMissingPieceEndsAttempt(t *testing.T) {
	is := is.New(t)
	text, err := runKeyedAttempt(t, &scriptedGate{run: []*wire.Piece{piece(0, "one "), piece(2, "three "), lastPiece(3)}})
	is.Equal(text, "one ")
	r, ok := refusal.As(err)
	is.True(ok)
	is.Equal(r.Code(), refusal.EndpointLost)
	is.Equal(r.Run(), refusal.Unknown)
}

// The endpoint no longer retains the answer when the entry asks for the rest. The caller must get
// the error of the broken connection, not the refusal that nothing is retained.
func TestReattachToLostAnswerReportsDisconnect(t *testing.T) {
	is := is.New(t)
	notKept := &wire.Piece{Request: "r1", Attempt: 1, Last: true, Refusal: refusal.New(refusal.NotKept, "").WithRun(refusal.Unknown).Wire()}
	text, err := runKeyedAttempt(t, &scriptedGate{run: []*wire.Piece{piece(0, "one ")}, kept: []*wire.Piece{nil, notKept}})
	is.Equal(text, "one ")
	r, ok := refusal.As(err)
	is.True(ok)
	is.Equal(r.Code(), refusal.EndpointLost)
}

// A service charges a fee and its answer breaks off. The caller must learn that the call ran, and
// the fee must be in the request's only bill.
func TestInterruptedCallIsBilled(t *testing.T) {
	is := is.New(t)
	interrupted := refusal.New(refusal.EngineFailed, "answer broke off").WithRun(refusal.Ran).Wire()
	g := &scriptedGate{run: []*wire.Piece{piece(0, ""), {Request: "r1", Attempt: 1, Number: 1, Last: true, Refusal: interrupted, Step: &wire.Step{Attempt: 1, Cost: 5}}}}
	req := &requestState{}
	_, err := runAttempt(t, g, req)
	r, ok := refusal.As(err)
	is.True(ok)
	is.Equal(r.Run(), refusal.Ran)
	is.Equal(len(req.steps), 1)
}
