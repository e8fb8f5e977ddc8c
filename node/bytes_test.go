package node

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/settings"
	"google.golang.org/protobuf/proto"
)

// countingConn counts the bytes in both directions, and the writes.
type countingConn struct {
	net.Conn
	bytes  *atomic.Int64
	writes *atomic.Int64
}

func (c countingConn) Write(p []byte) (n int, err error) {
	n, err = c.Conn.Write(p)
	c.bytes.Add(int64(n))
	c.writes.Add(1)
	return n, err
}

func (c countingConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Simulations of the network traffic, such as callOverhead in package control, assume 160 bytes per
// message for drpc, TCP and IP. If an exchange took more, a process would exceed its network budget
// unnoticed.
func TestExchangeBytes(t *testing.T) {
	const (
		exchanges = 100
		overhead  = 160
		// headers is the number of bytes of the TCP and IP headers in each segment. acks is the
		// number of acknowledgements per exchange that are sent without data.
		headers = 52
		acks    = 2
	)
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	n := New(Config{Settings: settings.Settings{VM: "endpoint-0001", Zone: "zone-a"}, Clock: clock.System()})
	go func() { _ = peer.Serve(t.Context(), lis, n, nil) }()
	var bytes, writes atomic.Int64
	pool := peer.NewPoolWith(func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{Conn: c, bytes: &bytes, writes: &writes}, err
	})
	defer pool.Close()
	in := &wire.Digest{Vm: "entry-0001", Zone: "zone-b", Epoch: 1 << 60, Revision: 7, Offset: 8, Started: true, StalenessMillis: 1500}
	var out *wire.Digest
	for i := range exchanges + 1 {
		if i == 1 { // the first exchange opens the connection
			bytes.Store(0)
			writes.Store(0)
		}
		out, err = pool.Peer(t.Context(), lis.Addr().String()).Exchange(t.Context(), in)
		is.NoErr(err)
	}
	frames := int(bytes.Load())/exchanges - proto.Size(in) - proto.Size(out)
	segments := int(writes.Load())/exchanges + 1
	t.Logf("an exchange: digests %d and %d bytes, frames %d, %d segments", proto.Size(in), proto.Size(out), frames, segments)
	is.True(frames+(segments+acks)*headers <= 2*overhead)
}

// BenchmarkExchange measures the cost of one exchange at both ends together.
func BenchmarkExchange(b *testing.B) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	n := New(Config{Settings: settings.Settings{VM: "endpoint-0001", Zone: "zone-a"}, Clock: clock.System()})
	go func() { _ = peer.Serve(b.Context(), lis, n, nil) }()
	pool := peer.NewPool()
	defer pool.Close()
	in := &wire.Digest{Vm: "entry-0001", Zone: "zone-b", Epoch: 1 << 60, Revision: 7, Offset: 8, Started: true}
	b.ReportAllocs()
	for b.Loop() {
		if _, err = pool.Peer(b.Context(), lis.Addr().String()).Exchange(b.Context(), in); err != nil {
			b.Fatal(err)
		}
	}
}
