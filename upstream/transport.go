package upstream

import (
	"context"
	"net"
	"net/http"
)

// Transport is a transport for clients of net/http. It returns no answer whose head is not valid, and its connections
// return io.EOF only if the server has ended them in order.
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
		return Checked(c), nil
	}
	return &Transport{base}
}

// RoundTrip sends a request. Of a framing that is told twice or in two ways it sees only what net/http chose.
func (t *Transport) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	resp, err = t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err = checkHead(resp.StatusCode, resp.Header); err != nil {
		_ = resp.Body.Close()
		return nil, ErrInvalidHead.Wrap(err, "answer from %s", r.URL.Host)
	}
	return resp, nil
}
