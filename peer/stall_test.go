package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// endless is a gate whose answers never end.
type endless struct {
	wire.DRPCGateUnimplementedServer
	failed chan error
}

func (e *endless) Run(stream wire.DRPCGate_RunStream) (err error) {
	p := &wire.Piece{Data: make([]byte, 32<<10)}
	for err == nil {
		err = stream.Send(p)
	}
	e.failed <- err
	return err
}

// An entry is paused in the middle of an answer: its connection stays open and
// takes nothing. The gate must not hold its place for it for ever.
func TestWriteToStalledPeerFails(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	g := &endless{failed: make(chan error, 1)}
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
		t.Fatal("the gate still waits for a stalled peer")
	}
}
