// Package peer connects the processes of the system over drpc.
package peer

import (
	"context"
	"net"
	"time"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("peer")

// ErrNotReached marks a call whose peer could not be dialled. The call cannot have reached the
// peer.
var ErrNotReached = Errors.NewType("not-reached")

const (
	dialTimeout = 500 * clock.Millis(1)
	// idleExpiration is how long an unused connection stays in the pool.
	idleExpiration = 30 * clock.Second
	// idlePerPeer is the maximum number of idle connections to one peer.
	idlePerPeer = 64
)

// Pool pools connections to peers by address. A drpc connection carries one call at
// a time, so concurrent calls use separate connections and do not wait for each other.
// It is safe for concurrent use.
type Pool struct {
	conns *drpcpool.Pool[string, drpcpool.Conn]
	dial  func(ctx context.Context, address string) (net.Conn, error)
}

// NewPool returns a pool that dials plain TCP.
func NewPool() *Pool {
	return NewPoolWith((&net.Dialer{Timeout: dialTimeout.Duration()}).DialContext)
}

// NewPoolWith returns a pool that connects with dial, for example over TLS.
func NewPoolWith(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Pool {
	return &Pool{
		conns: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: idleExpiration.Duration(), KeyCapacity: idlePerPeer}),
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dial(ctx, "tcp", address)
		},
	}
}

// Gate returns a client of the Gate service of the endpoint process at an address. The connection
// is dialled at the first call.
func (p *Pool) Gate(ctx context.Context, address string) wire.DRPCGateClient {
	return wire.NewDRPCGateClient(p.conn(ctx, address))
}

// Peer returns a client of the Peer service of the process at an address. The connection is dialled
// at the first call.
func (p *Pool) Peer(ctx context.Context, address string) wire.DRPCPeerClient {
	return wire.NewDRPCPeerClient(p.conn(ctx, address))
}

// Close closes all idle connections.
func (p *Pool) Close() error { return p.conns.Close() }

func (p *Pool) conn(ctx context.Context, address string) drpcpool.Conn {
	return p.conns.Get(ctx, address, func(ctx context.Context, address string) (drpcpool.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, time.Duration(dialTimeout.Duration()))
		defer cancel()
		c, err := p.dial(ctx, address)
		if err != nil {
			return nil, ErrNotReached.Wrap(err, "dial %s", address)
		}
		return drpcconn.New(c), nil
	})
}
