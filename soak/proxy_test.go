package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/parsleydeal/parsleydeal/upstream"
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

// modeChange is when a proxy got a mode.
type modeChange struct {
	at   time.Time
	mode mode
}

// proxy forwards TCP connections to a target and injects network faults.
type proxy struct {
	lis    net.Listener
	target string
	mu     sync.Mutex
	mode   mode
	// changes are those of the mode.
	changes []modeChange
	// open holds the connections of both sides, with the pair that each belongs to.
	open map[net.Conn]*pair
}

// pair is a connection through a proxy.
type pair struct {
	// severed is true once the connection is silent for good: it stays open and carries nothing.
	severed bool
}

func newProxy(target string) (p *proxy, err error) {
	p = &proxy{target: target, open: make(map[net.Conn]*pair)}
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
	p.mode, p.changes = m, append(p.changes, modeChange{time.Now(), m})
	if m != reset {
		return
	}
	for c := range p.open {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// passedOn reports whether the proxy passed all data on at once between two times.
func (p *proxy) passedOn(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range p.changes {
		until := to
		if i+1 < len(p.changes) {
			until = p.changes[i+1].at
		}
		if c.mode != pass && c.at.Before(to) && !until.Before(from) {
			return false
		}
	}
	return true
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// sever makes all open connections silent for good. New ones work.
func (p *proxy) sever() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.open {
		x.severed = true
	}
}

// track notes an open connection, or with a nil pair that it is closed.
func (p *proxy) track(c net.Conn, x *pair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x != nil {
		p.open[c] = x
	} else {
		delete(p.open, c)
	}
}

// holds reports whether n bytes from one side, or its end if n is 0, are not passed on for now.
func (p *proxy) holds(x *pair, n int, toOpener bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.mode == reset:
		return false
	case x.severed:
		return true
	}
	return n > 0 && (p.mode == silent || p.mode == oneWay && toOpener)
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
	x := &pair{}
	p.track(c, x)
	defer p.track(c, nil)
	defer c.Close()
	if p.currentMode() == reset {
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	t, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	p.track(t, x)
	defer p.track(t, nil)
	defer t.Close()
	done := make(chan error, 2)
	target := upstream.Checked(t)
	go func() { done <- p.copy(x, target, c, t.(*net.TCPConn), false) }()
	go func() { done <- p.copy(x, c, target, c.(*net.TCPConn), true) }()
	if err := <-done; err != nil {
		// A reset is passed on as one, in both directions.
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = t.(*net.TCPConn).SetLinger(0)
	}
}

// slowDelay is the delay of each read in mode slow.
const slowDelay = 150 * time.Millisecond

// copy passes on what is read from one side until its end, which it passes on to the socket of the other one.
func (p *proxy) copy(x *pair, to, from net.Conn, socket *net.TCPConn, toOpener bool) (err error) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		for p.holds(x, n, toOpener) {
			time.Sleep(5 * time.Millisecond)
		}
		if n > 0 && p.currentMode() == slow {
			time.Sleep(slowDelay)
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return socket.CloseWrite()
		}
		if err != nil {
			return err
		}
	}
}
