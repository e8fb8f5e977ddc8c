package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
)

// pausedConn is a connection whose first read times out while the process does not run; the answer arrives meanwhile.
type pausedConn struct {
	net.Conn
	reads  int
	answer io.Reader
	pause  func()
}

func (c *pausedConn) Read(buf []byte) (n int, err error) {
	c.reads++
	if c.reads == 1 {
		c.pause()
		return 0, os.ErrDeadlineExceeded
	}
	return c.answer.Read(buf)
}

func (c *pausedConn) Write(buf []byte) (n int, err error)   { return len(buf), nil }
func (c *pausedConn) SetReadDeadline(time.Time) (err error) { return nil }
func (c *pausedConn) Close() (err error)                    { return nil }

// An answer was found late, and its body breaks off. Guards against a break that is taken for this process's own delay.
func TestBreakAfterPauseIsNotDelayed(t *testing.T) {
	is := is.New(t)
	var now atomic.Int64
	p := NewPoolWith(clock.New(func() clock.Millis { return clock.Millis(now.Load()) }), func(context.Context, string, string) (net.Conn, error) {
		return &pausedConn{answer: strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok"), pause: func() { now.Add(2000) }}, nil
	})
	a, err := p.Do(context.Background(), Call{Address: "x", Method: http.MethodGet, Target: "/", Host: "h", FirstByteTimeout: func(waited clock.Millis) clock.Millis { return 200 - waited }})
	is.NoErr(err)
	is.True(!a.Delayed())
	_, err = io.ReadAll(a)
	is.Equal(err, io.ErrUnexpectedEOF)
	is.True(!a.Delayed())
}

// Guards against an answer that is dropped although it arrived in time, because the process did not run when its time was
// up, and against a timeout in time that is taken for such a one.
func TestAnswerThatArrivedDuringPauseIsRead(t *testing.T) {
	for _, pause := range []clock.Millis{2000, 210} {
		t.Run(pause.String(), func(t *testing.T) {
			is := is.New(t)
			var now atomic.Int64
			p := NewPoolWith(clock.New(func() clock.Millis { return clock.Millis(now.Load()) }), func(context.Context, string, string) (net.Conn, error) {
				return &pausedConn{answer: strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), pause: func() { now.Add(int64(pause)) }}, nil
			})
			a, err := p.Do(context.Background(), Call{Address: "x", Method: http.MethodGet, Target: "/", Host: "h", FirstByteTimeout: func(waited clock.Millis) clock.Millis { return 200 - waited }})
			if pause < 200+maxTimerDelay {
				is.True(err != nil)
				is.True(!Delayed(err))
				return
			}
			is.NoErr(err)
			is.Equal(a.Status, http.StatusOK)
		})
	}
}
