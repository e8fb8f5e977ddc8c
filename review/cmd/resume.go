package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleydeal/parsleydeal/review/harness"
)

const (
	// streamEvents is the number of events of a stream, eventInterval the time between two.
	streamEvents  = 20
	eventInterval = 50 * time.Millisecond
	streamCount   = 24
	// crashAfter is when the first replica crashes, counted from the first stream.
	crashAfter = 400 * time.Millisecond
)

// pool is a service of three model replicas. The first one crashes in the middle of its streams.
type pool struct {
	site    *harness.Site
	crashed atomic.Bool
}

// handler returns how a replica answers. The second one answers 408 to streams that go on from another replica.
func (p *pool) handler(id string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		request := r.Header.Get("Request-Id")
		w.Header().Set("Response-Signature", "sig."+id+"."+request)
		if id == "pool-1" && p.crashed.Load() {
			panic(http.ErrAbortHandler)
		}
		if id == "pool-2" && last > 0 {
			p.site.Record.Logf("%s refuses %s with 408, which goes on after event %d", id, request, last)
			w.Header().Set("Content-Type", "text/plain")
			w.WriteHeader(http.StatusRequestTimeout)
			_, _ = io.WriteString(w, "request was not read in time\n")
			return
		}
		p.site.Record.Logf("%s runs %s from event %d", id, request, last+1)
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		for i := last + 1; i <= streamEvents; i++ {
			time.Sleep(eventInterval)
			if id == "pool-1" && p.crashed.Load() {
				_, _ = fmt.Fprintf(w, "id: %d\nda", i)
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, piece(i))
			_ = http.NewResponseController(w).Flush()
		}
	}
}

func piece(i int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i) }

// resume lets a replica crash in the middle of its streams, which the entry resumes at others.
func resume(s *harness.Site, trouble bool) (held bool, err error) {
	p := &pool{site: s}
	for _, id := range []string{"pool-1", "pool-2", "pool-3"} {
		if _, err = s.StartReplica(id, "pool", "anadolu-a", "v1", p.handler(id)); err != nil {
			return false, err
		}
	}
	err = s.PutConfig(map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "draft", "host": "records.example", "pathPrefix": "/draft/", "kind": "streaming", "timeoutMs": 8000, "targetLatencyMs": 2000, "targetGapMs": 800, "service": "pool", "maxAttempts": 3, "resumable": true, "priority": 0}},
		"services": []map[string]any{{"name": "pool", "coldPerS": 14, "maxConnections": 360}},
		"limits":   harness.Limits(),
		"tenants":  []map[string]any{{"name": "court", "apiKeys": []string{"key-1"}}},
	})
	if err != nil {
		return false, err
	}
	var entries []*harness.Entry
	for _, z := range []string{"a", "b"} {
		e, err := s.StartEntry("frontend-"+z+"-1", "anadolu-"+z)
		if err != nil {
			return false, err
		}
		entries = append(entries, e)
	}
	if trouble {
		time.AfterFunc(crashAfter, func() {
			s.Record.Logf("pool-1 crashes")
			p.crashed.Store(true)
		})
	}
	var all sync.WaitGroup
	var wrong atomic.Int64
	for i := range streamCount {
		all.Go(func() {
			if !readStream(s, entries[i%len(entries)], i) {
				wrong.Add(1)
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	all.Wait()
	s.Record.Logf("%d of %d streams ended as complete and are not", wrong.Load(), streamCount)
	return wrong.Load() == 0, nil
}

// readStream reads a stream as a client, and reports whether it is whole if it ends as complete.
func readStream(s *harness.Site, e *harness.Entry, i int) bool {
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/draft/%d", e.Callers, i), strings.NewReader("case history"))
	if err != nil {
		return true
	}
	id := fmt.Sprintf("stream-%d", i)
	r.Host = "records.example"
	for name, value := range map[string]string{
		"Request-Id": id, "Api-Key": "key-1", "Request-Timeout-Ms": "8000", "Model": "m", "Token-Usage": "100,100", "Prompt-Prefix": fmt.Sprintf("aa:50,%x:50", i+1),
	} {
		r.Header.Set(name, value)
	}
	s.Record.Logf("%s is sent to %s", id, e.Name)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		s.Record.Logf("%s has no answer: %v", id, err)
		return true
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	var whole strings.Builder
	for n := 1; n <= streamEvents; n++ {
		whole.WriteString(piece(n))
	}
	switch {
	case resp.StatusCode != http.StatusOK || err != nil:
		s.Record.Logf("%s: status %d, not complete: %v", id, resp.StatusCode, err)
		return true
	case string(body) == whole.String():
		s.Record.Logf("%s: status 200, whole, signature %s", id, resp.Header.Get("Response-Signature"))
		return true
	}
	s.Record.Logf("%s: status 200 and ended as complete, signature %s, but its end is %q", id, resp.Header.Get("Response-Signature"), body[max(len(body)-90, 0):])
	return false
}
