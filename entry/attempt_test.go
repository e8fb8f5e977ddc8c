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

// scriptedGate is a gate whose calls a test writes.
type scriptedGate struct {
	wire.DRPCGateUnimplementedServer
	run  []*wire.Piece
	kept []*wire.Piece
	// asked gets what the entry asks for of a kept answer.
	asked chan *wire.KeptRequest
}

// Run sends its pieces and breaks off unless one was the last.
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

// Kept sends the kept pieces from the one asked for on.
func (g *scriptedGate) Kept(in *wire.KeptRequest, stream wire.DRPCGate_KeptStream) (err error) {
	g.asked <- in
	for _, p := range g.kept[min(int(in.GetAfter()), len(g.kept)):] {
		if err = stream.Send(p); err != nil {
			return err
		}
	}
	return nil
}

// attemptAt makes one attempt of a keyed request at a scripted gate and returns
// the text that the caller got.
func attemptAt(t *testing.T, g *scriptedGate) (text string, err error) {
	return attemptOf(t, g, &work{key: "k", repeatable: true, stream: true})
}

func attemptOf(t *testing.T, g *scriptedGate, req *work) (text string, err error) {
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
	g.asked = make(chan *wire.KeptRequest, 1)
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

// The connection to an endpoint breaks in the middle of a keyed answer, after a
// stranger's piece and a repeated one got into it. The run goes on at the
// endpoint, and the entry asks it for the rest: the caller gets its own answer
// whole.
func TestReattachAfterDisconnect(t *testing.T) {
	is := is.New(t)
	stranger := piece(1, "stranger ")
	stranger.Request = "r2"
	late := piece(1, "late ")
	late.Attempt = 9
	whole := []*wire.Piece{piece(0, "one "), piece(1, "two "), piece(2, "three "), lastPiece(3)}
	g := &scriptedGate{run: []*wire.Piece{whole[0], stranger, late, whole[0], whole[1]}, kept: whole}
	text, err := attemptAt(t, g)
	is.NoErr(err)
	is.Equal(text, "one two three ")
	asked := <-g.asked
	is.Equal(asked.GetAfter(), uint32(2))
	is.Equal(asked.GetOrganisation(), "desk")
}

// A piece is lost on the way. The caller must not get an answer with a hole.
func TestMissingPieceEndsAttempt(t *testing.T) {
	is := is.New(t)
	text, err := attemptAt(t, &scriptedGate{run: []*wire.Piece{piece(0, "one "), piece(2, "three "), lastPiece(3)}})
	is.Equal(text, "one ")
	r, ok := refusal.As(err)
	is.True(ok)
	is.Equal(r.Code(), refusal.EndpointLost)
	is.Equal(r.Run(), refusal.Unknown)
}

// The endpoint no longer keeps the answer when the entry asks for the rest. What
// broke is told, not that nothing is kept.
func TestReattachToLostAnswerReportsDisconnect(t *testing.T) {
	is := is.New(t)
	gone := &wire.Piece{Request: "r1", Attempt: 1, Last: true, Refusal: refusal.New(refusal.NotKept, "").WithRun(refusal.Unknown).Wire()}
	text, err := attemptAt(t, &scriptedGate{run: []*wire.Piece{piece(0, "one ")}, kept: []*wire.Piece{nil, gone}})
	is.Equal(text, "one ")
	r, ok := refusal.As(err)
	is.True(ok)
	is.Equal(r.Code(), refusal.EndpointLost)
}

// A service charges a fee and breaks off its answer. The caller is told that the
// call ran, and the fee stands on the request's only bill.
func TestInterruptedCallIsBilled(t *testing.T) {
	is := is.New(t)
	broken := refusal.New(refusal.EngineFailed, "answer broke off").WithRun(refusal.Ran).Wire()
	g := &scriptedGate{run: []*wire.Piece{piece(0, ""), {Request: "r1", Attempt: 1, Number: 1, Last: true, Refusal: broken, Step: &wire.Step{Attempt: 1, Cost: 5}}}}
	req := &work{}
	_, err := attemptOf(t, g, req)
	r, ok := refusal.As(err)
	is.True(ok)
	is.Equal(r.Run(), refusal.Ran)
	is.Equal(len(req.steps), 1)
}
