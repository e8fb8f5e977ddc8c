package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// endlessGate is a gate whose answers never end. failed gets the error of the first
// write that fails.
type endlessGate struct {
	wire.DRPCGateUnimplementedServer
	failed chan error
}

func (e *endlessGate) Run(stream wire.DRPCGate_RunStream) (err error) {
	p := &wire.Piece{Data: make([]byte, 32<<10)}
	for err == nil {
		err = stream.Send(p)
	}
	e.failed <- err
	return err
}

// An entry is paused during an answer: its connection stays open and it reads nothing.
// The gate's write must fail, so that the run does not keep its slot for ever.
func TestWriteToStalledPeerFails(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	g := &endlessGate{failed: make(chan error, 1)}
	go func() {
		_ = serve(ctx, stallListener{Listener: lis, limit: 50}, &wire.DRPCPeerUnimplementedServer{}, g)
	}()
	stream, err := NewPool().Gate(ctx, lis.Addr().String()).Run(ctx)
	is.NoErr(err)
	is.NoErr(stream.Send(&wire.RunFrame{Last: true}))
	select {
	case err = <-g.failed:
		is.True(err != nil)
	case <-time.After(time.Minute):
		t.Fatal("the gate's write to a stalled peer did not fail")
	}
}
