package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
)

// cutConn is a connection that ends after the text.
type cutConn struct {
	pausedConn
	text io.Reader
}

func (c *cutConn) Read(buf []byte) (n int, err error) { return c.text.Read(buf) }

// Guards against a head that was cut off, by itself or after others on its connection, and is taken for a whole one.
func TestHeadCutShortIsNoAnswer(t *testing.T) {
	const late, interim = "HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: 4\r\n\r\nlate", "HTTP/1.1 100 Continue\r\nId: 1\r\n\r\n"
	head := func(fields string) string { return "HTTP/1.1 200 OK\r\nId: 1\r\n" + fields + "\r\n" }
	for _, method := range []string{http.MethodGet, http.MethodHead} {
		for _, before := range []string{"", interim, late, interim + late} {
			if method == http.MethodHead && strings.Contains(before, late) {
				// The answer to a HEAD request has no body.
				continue
			}
			for _, fields := range []string{"", "Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\nContent-Type: text/plain\r\n"} {
				text := before + head(fields)
				for cut := range len(text) {
					p := NewPoolWith(clock.System(), func(context.Context, string, string) (net.Conn, error) {
						return &cutConn{text: strings.NewReader(text[:cut])}, nil
					})
					call := callTo("x")
					call.Method = method
					a, err := p.Do(context.Background(), call)
					if err == nil {
						t.Fatalf("%s: %q counts as an answer with status %d", method, text[:cut], a.Status)
					}
					if !errorx.IsOfType(err, ErrLost) {
						t.Fatalf("%s: %q: %v", method, text[:cut], err)
					}
				}
			}
		}
	}
}

// Guards against a head that is cut off on a connection that was used before.
func TestHeadCutShortOnKeptConnectionIsNoAnswer(t *testing.T) {
	is := is.New(t)
	second := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-"
	address := serveConns(t, func(c net.Conn, r *bufio.Reader) {
		for _, text := range []string{matchingAnswer, second} {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, text)
		}
	})
	p := NewPool(clock.System())
	a, err := p.Do(context.Background(), callTo(address))
	is.NoErr(err)
	_, err = io.ReadAll(a)
	is.NoErr(err)
	a.Close()
	_, err = p.Do(context.Background(), callTo(address))
	is.True(errorx.IsOfType(err, ErrLost))
	is.Equal(p.TotalConns(), int64(1))
}
