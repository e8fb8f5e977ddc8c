package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/parsleydeal/parsleydeal/review/harness"
)

const (
	resumeEvents  = 10
	eventInterval = 30 * time.Millisecond
)

func resume(s *harness.Site, trouble bool) (held bool, err error) {
	var first atomic.Bool
	handle := func(id string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			s.Record.Logf("replica %s runs %s from event %d", id, r.Header.Get("Request-Id"), last+1)
			w.Header().Set("Response-Signature", "sig."+id)
			if last > 0 {
				w.Header().Set("Content-Type", "text/plain")
				w.WriteHeader(http.StatusConflict)
				_, _ = io.WriteString(w, "event is not known here\n")
				return
			}
			crash := trouble && first.CompareAndSwap(false, true)
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
			for i := last + 1; i <= resumeEvents; i++ {
				time.Sleep(eventInterval)
				if crash && i == 4 {
					_, _ = io.WriteString(w, "id: 4\nda")
					panic(http.ErrAbortHandler)
				}
				fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
				_ = http.NewResponseController(w).Flush()
			}
		}
	}
	for _, id := range []string{"pool-1", "pool-2"} {
		if _, err = s.StartReplica(id, "pool", "anadolu-a", "v1", handle(id)); err != nil {
			return false, err
		}
	}
	err = s.PutConfig(map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "draft", "host": "records.example", "pathPrefix": "/draft/", "kind": "streaming", "timeoutMs": 8000, "targetLatencyMs": 2000, "targetGapMs": 800, "service": "pool", "maxAttempts": 3, "resumable": true, "priority": 0}},
		"services": []map[string]any{{"name": "pool", "coldPerS": 14, "maxConnections": 360}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "court", "apiKeys": []string{"key-1"}}},
	})
	if err != nil {
		return false, err
	}
	e, err := s.StartEntry("frontend-a-1", "anadolu-a")
	if err != nil {
		return false, err
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+e.Callers+"/draft/1", strings.NewReader("case history"))
	if err != nil {
		return false, err
	}
	r.Host = "records.example"
	for name, value := range map[string]string{"Request-Id": "req-1", "Api-Key": "key-1", "Request-Timeout-Ms": "8000", "Model": "m", "Token-Usage": "100,100", "Prompt-Prefix": "aa:50,bb:50"} {
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	s.Record.Logf("client: status %d, signature %q, end %v, body %q", resp.StatusCode, resp.Header.Get("Response-Signature"), err, body)
	whole := strings.Contains(string(body), fmt.Sprintf("id: %d\n", resumeEvents))
	return err != nil || whole, nil
}
