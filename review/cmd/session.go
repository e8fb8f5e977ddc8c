package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/parsleydeal/parsleydeal/review/harness"
)

const (
	sessionCount = 240
	// rolloutTime is durationS of the roll-out.
	rolloutTime = 24 * time.Second
	// probeAt is the time from the first probe of the platform to the order. lastAt and nextAt are the times from the order
	// until the last requests of the sessions before the stop and until their next ones: less than sessionTtlS apart.
	// stopAt is when the first machine is stopped.
	probeAt = 500 * time.Millisecond
	lastAt  = 1600 * time.Millisecond
	stopAt  = 2200 * time.Millisecond
	nextAt  = 6100 * time.Millisecond
	// stopLimit is graceS, restartDelay the time until the platform starts a process again.
	stopLimit    = 8 * time.Second
	restartDelay = 500 * time.Millisecond
	// sendGap is the time between the requests of two sessions.
	sendGap = 1300 * time.Microsecond
	// maxMoved is how many requests of sessions may run on another version.
	maxMoved = 3
)

// versions holds on which version the last request of each session ran.
type versions struct {
	mu   sync.Mutex
	last map[string]string
}

func (v *versions) set(session, version string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.last[session] = version
}

func (v *versions) copy() map[string]string {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make(map[string]string, len(v.last))
	for session, version := range v.last {
		out[session] = version
	}
	return out
}

// session has a machine stopped and started again as planned in the first half of a roll-out.
func session(s *harness.Site, trouble bool) (held bool, err error) {
	ran := &versions{last: make(map[string]string)}
	start := func(id, zone, version string) error {
		_, err := s.StartReplica(id, "pool", zone, version, func(w http.ResponseWriter, r *http.Request) {
			s.Record.Logf("%s (%s) runs %s of %s", id, version, r.Header.Get("Request-Id"), r.Header.Get("Session"))
			ran.set(r.Header.Get("Session"), version)
			time.Sleep(10 * time.Millisecond)
			w.Header().Set("Response-Signature", "sig."+id)
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, piece(1))
		})
		return err
	}
	zones := []string{"anadolu-a", "anadolu-b", "anadolu-c"}
	for i := range 6 {
		if err = start(fmt.Sprintf("pool-%d", i+1), zones[i%len(zones)], "v1"); err != nil {
			return false, err
		}
	}
	err = s.PutConfig(map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "draft", "host": "records.example", "pathPrefix": "/draft/", "kind": "streaming", "timeoutMs": 8000, "targetLatencyMs": 2000, "targetGapMs": 800, "service": "pool", "maxAttempts": 3, "resumable": true, "priority": 0}},
		"services": []map[string]any{{"name": "pool", "coldPerS": 17, "maxConnections": 360}},
		"limits":   harness.Limits(),
		"tenants":  []map[string]any{{"name": "court", "apiKeys": []string{"key-1"}}},
	})
	if err != nil {
		return false, err
	}
	var entries []*harness.Entry
	for _, z := range []string{"a", "b", "c"} {
		e, err := s.StartEntry("frontend-"+z+"-1", "anadolu-"+z)
		if err != nil {
			return false, err
		}
		entries = append(entries, e)
	}
	time.Sleep(warmUp)
	for i := range 3 {
		if err = start(fmt.Sprintf("pool-new-%d", i+1), zones[i], "v2"); err != nil {
			return false, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sendSessions(s, entries[0], "before")
	rotation := s.NewRotation(ctx)
	time.Sleep(probeAt)
	s.Store.Put("keyed.op", "rollout/pool", fmt.Appendf(nil, `{"service":"pool","target":"v2","durationS":%g}`, rolloutTime.Seconds()))
	ordered := time.Now()
	s.Record.Logf("operator: roll-out of pool to v2 in %v is acknowledged", rolloutTime)
	time.Sleep(time.Until(ordered.Add(lastAt)))
	sendSessions(s, rotation.Pick(), "last")
	before := ran.copy()
	time.Sleep(time.Until(ordered.Add(stopAt)))
	if trouble {
		go s.Restart(entries[0], stopLimit, restartDelay)
	}
	time.Sleep(time.Until(ordered.Add(nextAt)))
	sendSessions(s, rotation.Pick(), "next")
	after := ran.copy()
	moved := 0
	for name, version := range after {
		if before[name] == "v1" && version == "v2" {
			moved++
			s.Record.Logf("%s ran on v1 and then on v2", name)
		}
	}
	s.Record.Logf("%d sessions of %d moved to v2 in the first half of the roll-out", moved, len(after))
	return moved <= maxMoved, nil
}

// sendSessions sends one request of each session to an entry.
func sendSessions(s *harness.Site, e *harness.Entry, what string) {
	var all sync.WaitGroup
	for i := range sessionCount {
		all.Go(func() { sendSession(s, e, what, i) })
		time.Sleep(sendGap)
	}
	all.Wait()
}

func sendSession(s *harness.Site, e *harness.Entry, what string, i int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/draft/%d", e.Callers, i), strings.NewReader("case history"))
	if err != nil {
		return
	}
	r.Host = "records.example"
	id := fmt.Sprintf("%s-%d", what, i)
	for name, value := range map[string]string{
		"Request-Id": id, "Api-Key": "key-1", "Request-Timeout-Ms": "8000", "Model": "m", "Token-Usage": "100,100", "Prompt-Prefix": fmt.Sprintf("aa:50,%x:50", i+1), "Session": fmt.Sprintf("session-%d", i),
	} {
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		s.Record.Logf("%s has no answer: %v", id, err)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	s.Record.Logf("%s is answered with %d by %s", id, resp.StatusCode, e.Name)
}
