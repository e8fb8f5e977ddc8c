// Package gossip sends short reports between the entries of a site: UDP datagrams that each entry
// sends to others up to a few times a second. A lost datagram does no harm, since the next one
// repeats its content.
package gossip

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"google.golang.org/protobuf/proto"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("gossip")

// ErrTooLarge is returned for a report that does not fit into one datagram.
var ErrTooLarge = Errors.NewType("too-large")

// maxDatagram is the maximum size of a report in bytes: one kilobyte less than the maximum payload
// of an IPv4 datagram.
const maxDatagram = 63 << 10

// Socket sends and receives reports over UDP. Its methods may be called from several goroutines.
type Socket struct {
	conn *net.UDPConn
	// lost counts datagrams that could not be sent or read.
	lost atomic.Int64
}

// Open opens a socket on an IP address and port, such as "10.0.0.1:8445". Receive closes it.
func Open(address string) (s *Socket, err error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	return &Socket{conn: conn}, nil
}

// Lost returns the number of datagrams that could not be sent or read.
func (s *Socket) Lost() int64 { return s.lost.Load() }

// Send sends a report to the given addresses. It returns an error if the report cannot be encoded
// or is too large. A failed send to one of the addresses is only counted in Lost.
func (s *Socket) Send(r *wire.EntryReport, to []string) (err error) {
	data, err := proto.Marshal(r)
	if err != nil {
		return err
	}
	if len(data) > maxDatagram {
		return ErrTooLarge.New("report of %d bytes", len(data))
	}
	for _, address := range to {
		at, err := netip.ParseAddrPort(address)
		if err != nil {
			s.lost.Add(1)
			continue
		}
		if _, err = s.conn.WriteToUDPAddrPort(data, at); err != nil {
			s.lost.Add(1)
		}
	}
	return nil
}

// Receive calls handle for each report until the context ends, then closes the socket. It
// discards and counts datagrams that are not valid reports.
func (s *Socket) Receive(ctx context.Context, handle func(r *wire.EntryReport)) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram+1)
	for {
		n, err := s.conn.Read(buf)
		if ctx.Err() != nil {
			return
		}
		r := &wire.EntryReport{}
		if err != nil || proto.Unmarshal(buf[:n], r) != nil || r.GetProcess() == "" {
			s.lost.Add(1)
			continue
		}
		handle(r)
	}
}
