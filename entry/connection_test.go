package entry

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Callers open more connections than the entry may hold. Each costs memory
// before it sends a byte, so the one too many must wait until another closes.
func TestConnectionOverLimitWaits(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	lis := limitConnections(inner, 1)
	accepted := make(chan net.Conn)
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				close(accepted)
				return
			}
			accepted <- c
		}
	}()
	for range 2 {
		c, err := net.Dial("tcp", lis.Addr().String())
		is.NoErr(err)
		defer c.Close()
	}
	first := <-accepted
	is.Equal(len(lis.(*limitedListener).places), 1)
	select {
	case <-accepted:
		t.Fatal("a second connection was accepted while the first was open")
	default:
	}
	is.NoErr(first.Close())
	_ = first.Close() // a second close gives no second place
	<-accepted
	is.NoErr(lis.Close())
	<-accepted // closing ends the wait for a place
}
