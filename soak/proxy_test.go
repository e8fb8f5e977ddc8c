package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to its connections.
type mode int

const (
	// pass carries bytes both ways.
	pass mode = iota
	// slow delays each piece.
	slow
	// reset breaks open connections and each new one.
	reset
	// oneWay carries nothing back to the side that opened the connection.
	oneWay
	// silent carries nothing either way and keeps connections open.
	silent
	modes
)

func (m mode) String() string {
	return [...]string{"pass", "slow", "reset", "one-way", "silent"}[m]
}

// proxy carries connections to a target, or fails to.
type proxy struct {
	lis    net.Listener
	target string
	mu     sync.Mutex
	mode   mode
	open   map[net.Conn]bool
}

func newProxy(target string) (p *proxy, err error) {
	p = &proxy{target: target, open: make(map[net.Conn]bool)}
	if p.lis, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.lis.Addr().String() }

func (p *proxy) close() {
	_ = p.lis.Close()
	p.set(reset)
}

// set changes the mode; open connections feel it too.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != reset {
		return
	}
	for c := range p.open {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) now() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) track(c net.Conn, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.open[c] = true
	} else {
		delete(p.open, c)
	}
}

func (p *proxy) accept() {
	for {
		c, err := p.lis.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	p.track(c, true)
	defer p.track(c, false)
	defer c.Close()
	if p.now() == reset {
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	t, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	p.track(t, true)
	defer p.track(t, false)
	defer t.Close()
	done := make(chan struct{}, 2)
	go func() { p.copy(t, c, false); done <- struct{}{} }()
	go func() { p.copy(c, t, true); done <- struct{}{} }()
	<-done
}

// slowness is how long slow holds each piece back.
const slowness = 150 * time.Millisecond

func (p *proxy) copy(to, from net.Conn, back bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		for m := p.now(); n > 0 && (m == silent || m == oneWay && back); m = p.now() {
			time.Sleep(5 * time.Millisecond)
		}
		if n > 0 && p.now() == slow {
			time.Sleep(slowness)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				_ = to.(*net.TCPConn).CloseWrite()
			}
			return
		}
	}
}
