package peer

import (
	"context"
	"net"

	"github.com/parsleydeal/parsleydeal/peer/wire"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Serve serves drpc calls of peers on a listener until the context ends. gate is nil
// in an entry.
func Serve(ctx context.Context, lis net.Listener, p wire.DRPCPeerServer, gate wire.DRPCGateServer) (err error) {
	return serve(ctx, stallListener{Listener: lis, limit: stallLimit}, p, gate)
}

func serve(ctx context.Context, lis net.Listener, p wire.DRPCPeerServer, gate wire.DRPCGateServer) (err error) {
	mux := drpcmux.New()
	if err = wire.DRPCRegisterPeer(mux, p); err != nil {
		return Errors.NewType("register").Wrap(err, "register peer")
	}
	if gate != nil {
		if err = wire.DRPCRegisterGate(mux, gate); err != nil {
			return Errors.NewType("register").Wrap(err, "register gate")
		}
	}
	return drpcserver.New(mux).Serve(ctx, lis)
}
