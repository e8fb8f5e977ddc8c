package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
)

// Plain is the stand-in of a plain service. It echoes bodies and counts calls.
type Plain struct {
	mu    sync.Mutex
	calls map[string]int
}

// NewPlain makes a plain service.
func NewPlain() *Plain {
	return &Plain{calls: make(map[string]int)}
}

// Calls returns how often a path was called with a method.
func (p *Plain) Calls(method, path string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls[method+" "+path]
}

// Handler returns the service's interface.
func (p *Plain) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.calls[r.Method+" "+r.URL.Path]++
		p.mu.Unlock()
		w.Header().Set("X-Service", "standin")
		fmt.Fprintf(w, "%s %s\n", r.Method, r.URL.Path)
		_, _ = io.Copy(w, r.Body)
	})
}
