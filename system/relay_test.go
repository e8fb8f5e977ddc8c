package system

import (
	"net"
	"sync"
	"testing"
)

// relay stands between processes and one address, and can be cut: open
// connections then hang without an end, as they do when a switch is lost.
type relay struct {
	target string
	lis    net.Listener
	mu     sync.Mutex
	// healed is closed while the relay carries bytes, open while it is cut.
	healed chan struct{}
	done   chan struct{}
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{target: target, lis: lis, healed: make(chan struct{}), done: make(chan struct{})}
	close(r.healed)
	go r.accept()
	t.Cleanup(func() {
		close(r.done)
		_ = lis.Close()
	})
	return r
}

func (r *relay) address() string { return r.lis.Addr().String() }

// cut stops all bytes without closing a connection.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.healed = make(chan struct{})
}

// heal lets the bytes go on.
func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.healed)
}

func (r *relay) accept() {
	for {
		in, err := r.lis.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		go r.carry(in, out)
		go r.carry(out, in)
	}
}

func (r *relay) carry(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		r.mu.Lock()
		healed := r.healed
		r.mu.Unlock()
		select {
		case <-healed:
		case <-r.done:
			return
		}
		if _, writeErr := to.Write(buf[:n]); writeErr != nil || err != nil {
			return
		}
	}
}
