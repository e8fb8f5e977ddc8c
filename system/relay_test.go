package system

import (
	"net"
	"sync"
	"testing"
)

// relay forwards TCP connections to a target. While it is blocked, open connections remain open but
// transfer no data, as when a network switch fails.
type relay struct {
	target string
	lis    net.Listener
	mu     sync.Mutex
	// unblocked is a closed channel while the relay forwards data, and an open one while it is
	// blocked.
	unblocked chan struct{}
	done      chan struct{}
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{target: target, lis: lis, unblocked: make(chan struct{}), done: make(chan struct{})}
	close(r.unblocked)
	go r.accept()
	t.Cleanup(func() {
		close(r.done)
		_ = lis.Close()
	})
	return r
}

func (r *relay) address() string { return r.lis.Addr().String() }

// block stops forwarding without closing a connection.
func (r *relay) block() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unblocked = make(chan struct{})
}

// unblock resumes forwarding.
func (r *relay) unblock() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.unblocked)
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
		go r.forward(in, out)
		go r.forward(out, in)
	}
}

func (r *relay) forward(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		r.mu.Lock()
		unblocked := r.unblocked
		r.mu.Unlock()
		select {
		case <-unblocked:
		case <-r.done:
			return
		}
		if _, writeErr := to.Write(buf[:n]); writeErr != nil || err != nil {
			return
		}
	}
}
