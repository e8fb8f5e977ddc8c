package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does with the data of its connections.
type mode int

const (
	// pass forwards data in both directions.
	pass mode = iota
	// slow delays each read by slowDelay.
	slow
	// reset resets open connections and each new one.
	reset
	// oneWay forwards data from the side that opened the connection, but none to it.
	oneWay
	// silent forwards nothing in either direction and keeps connections open.
	silent
	modeCount
)

func (m mode) String() string {
	return [...]string{"pass", "slow", "reset", "one-way", "silent"}[m]
}

// proxy forwards TCP connections to a target and injects network faults.
type proxy struct {
	lis    net.Listener
	target string
	mu     sync.Mutex
	mode   mode
	// open holds the connections of both sides.
	open map[net.Conn]bool
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
	p.setMode(reset)
}

// setMode changes the mode of all connections, including those that are open.
func (p *proxy) setMode(m mode) {
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

func (p *proxy) currentMode() mode {
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
	if p.currentMode() == reset {
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

// slowDelay is the delay of each read in mode slow.
const slowDelay = 150 * time.Millisecond

func (p *proxy) copy(to, from net.Conn, toOpener bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		for m := p.currentMode(); n > 0 && (m == silent || m == oneWay && toOpener); m = p.currentMode() {
			time.Sleep(5 * time.Millisecond)
		}
		if n > 0 && p.currentMode() == slow {
			time.Sleep(slowDelay)
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
