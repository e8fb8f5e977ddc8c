package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
)

// PlainFaults tells a plain service how to fail.
type PlainFaults struct {
	// DropConnection takes a call and closes the connection without an answer.
	DropConnection bool
	// BreakAfter breaks an answer off after so many bytes of the echo; 0 never.
	BreakAfter int64
	// Stall holds calls until it is lifted.
	Stall bool
}

// Plain is the stand-in of a plain service. It echoes bodies and counts calls.
type Plain struct {
	mu     sync.Mutex
	calls  map[string]int
	faults PlainFaults
}

// NewPlain makes a plain service.
func NewPlain() *Plain {
	return &Plain{calls: make(map[string]int)}
}

// SetFaults replaces the faults.
func (p *Plain) SetFaults(f PlainFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Calls returns how often a path was called with a method.
func (p *Plain) Calls(method, path string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls[method+" "+path]
}

func (p *Plain) count(r *http.Request) PlainFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[r.Method+" "+r.URL.Path]++
	return p.faults
}

func (p *Plain) current() PlainFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Handler returns the service's interface.
func (p *Plain) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults := p.count(r)
		if faults.DropConnection {
			panic(http.ErrAbortHandler)
		}
		for faults.Stall && r.Context().Err() == nil {
			time.Sleep(time.Millisecond)
			faults = p.current()
		}
		rc := http.NewResponseController(w)
		_ = rc.EnableFullDuplex()
		w.Header().Set("X-Service", "standin")
		w.Header().Set("X-Standin-Run", uuid.NewString())
		fmt.Fprintf(w, "%s %s\n", r.Method, r.URL.Path)
		if faults.BreakAfter > 0 {
			_, _ = io.CopyN(w, r.Body, faults.BreakAfter)
			_ = rc.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.Copy(w, r.Body)
	})
}
