// Package gossip carries short reports between the entries of a site: datagrams
// that each sends to all others a few times a second. A lost one costs nothing,
// since the next repeats what it said.
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

// ErrTooLarge marks a report that no datagram can carry.
var ErrTooLarge = Errors.NewType("too-large")

// maxDatagram is the most that an IPv4 datagram carries, less a kilobyte.
const maxDatagram = 63 << 10

// Socket sends and receives reports.
type Socket struct {
	conn *net.UDPConn
	// lost counts datagrams that could not be sent or read.
	lost atomic.Int64
}

// Open opens a socket on an IP number and port.
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

// Lost returns how many datagrams could not be sent or read.
func (s *Socket) Lost() int64 { return s.lost.Load() }

// Send sends a report to some addresses.
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

// Receive hands each report on until the context ends.
func (s *Socket) Receive(ctx context.Context, take func(r *wire.EntryReport)) {
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
		take(r)
	}
}
