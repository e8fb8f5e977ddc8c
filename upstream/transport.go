package upstream

import (
	"context"
	"net"
	"net/http"
)

// Transport is a transport for clients of net/http whose connections return io.EOF only if the server has ended them in
// order.
type Transport struct {
	*http.Transport
}

// NewTransport returns a transport with the settings of base, which it takes over.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
		// net/http tries HTTP/2 by itself only if it dials itself.
		base.ForceAttemptHTTP2 = true
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newCheckedConn(c), nil
	}
	return &Transport{base}
}
