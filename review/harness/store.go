package harness

import (
	"net/http"
	"sync"
	"time"
)

// StoreAccess serves the store to one entry and knows which reads of the replicas' list wait for records.
type StoreAccess struct {
	handler http.Handler
	mu      sync.Mutex
	waiting map[*http.Request]time.Time
}

// ServeHTTP serves a call.
func (a *StoreAccess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if r.URL.Path == "/log-read" && q.Get("topic") == "keyed.servers" && q.Get("waitMs") != "0" {
		a.mu.Lock()
		if a.waiting == nil {
			a.waiting = make(map[*http.Request]time.Time)
		}
		a.waiting[r] = time.Now()
		a.mu.Unlock()
		defer func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			delete(a.waiting, r)
		}()
	}
	a.handler.ServeHTTP(w, r)
}

// WaitingFor returns for how long a read of the replicas' list has waited; 0 if none waits.
func (a *StoreAccess) WaitingFor() (d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.waiting {
		d = max(d, time.Since(at))
	}
	return d
}
