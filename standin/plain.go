package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
)

// PlainFaults are the failures to simulate in a plain service, that is, one that is not a model.
type PlainFaults struct {
	// DropConnection closes the connection of each call without an answer; the call is still
	// counted.
	DropConnection bool
	// BreakAfter breaks the connection after that many bytes of the echo; 0 never does.
	BreakAfter int64
	// Stall delays calls until the fault is removed.
	Stall bool
}

// Plain is the stand-in for a plain service. It echoes request bodies and counts calls.
type Plain struct {
	mu     sync.Mutex
	calls  map[string]int
	faults PlainFaults
}

// NewPlain returns a plain service without faults.
func NewPlain() *Plain {
	return &Plain{calls: make(map[string]int)}
}

// SetFaults replaces the faults.
func (p *Plain) SetFaults(f PlainFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Calls returns the number of calls with this method and path.
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

func (p *Plain) currentFaults() PlainFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Handler returns the service's HTTP interface.
func (p *Plain) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults := p.count(r)
		if faults.DropConnection {
			panic(http.ErrAbortHandler)
		}
		for faults.Stall && r.Context().Err() == nil {
			time.Sleep(time.Millisecond)
			faults = p.currentFaults()
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
