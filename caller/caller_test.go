package caller

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// connect returns both ends of a connection.
func connect(t testing.TB) (near *Conn, far net.Conn) {
	t.Helper()
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	if far, err = net.Dial("tcp4", lis.Addr().String()); err != nil {
		t.Fatal(err)
	}
	accepted, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close(); _ = far.Close() })
	return Of(WithConn(context.Background(), accepted)), far
}

// waitLeft waits until the kernel has told the near end of the close.
func waitLeft(c *Conn) bool {
	for range 100 {
		if c.Left() {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// Guards against a caller that counts as present after its close, because bytes before it were not read.
func TestLeftBehindUnreadBytes(t *testing.T) {
	is := is.New(t)
	near, far := connect(t)
	_, err := far.Write([]byte("POST / HTTP/1.1\r\n\r\nbody"))
	is.NoErr(err)
	is.True(!near.Left())
	is.NoErr(far.Close())
	is.True(waitLeft(near))
}

// A caller that resets its connection has left, like one that closes it.
func TestLeftByReset(t *testing.T) {
	is := is.New(t)
	near, far := connect(t)
	is.NoErr(far.(*net.TCPConn).SetLinger(0))
	is.NoErr(far.Close())
	is.True(waitLeft(near))
}

// Guards against a request whose time in the socket is not counted.
func TestUnreadIsTheAgeOfTheLastBytes(t *testing.T) {
	is := is.New(t)
	near, far := connect(t)
	_, err := far.Write([]byte("x"))
	is.NoErr(err)
	time.Sleep(80 * time.Millisecond)
	age := near.Unread()
	is.True(age >= 60 && age < 1000)
}

// Nothing is known of connections that are not sockets.
func TestUnknownConnection(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	c := Of(WithConn(context.Background(), near))
	is.True(!c.Left())
	is.Equal(c.Unread().Duration(), time.Duration(0))
}

func BenchmarkLeft(b *testing.B) {
	near, _ := connect(b)
	for b.Loop() {
		near.Left()
	}
}

func BenchmarkUnread(b *testing.B) {
	near, _ := connect(b)
	for b.Loop() {
		near.Unread()
	}
}
