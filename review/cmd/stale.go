package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/parsleydeal/parsleydeal/review/harness"
)

const (
	heartbeat = 1200 * time.Millisecond
	// drainTime is drainMs of the site.
	drainTime = 2 * time.Second
	// workTime is how long a replica works on a request, sendInterval the time between two requests of the clients.
	workTime     = 60 * time.Millisecond
	sendInterval = 16 * time.Millisecond
	// warmUp is the time from the start to the disruption.
	warmUp = 4 * time.Second
	// coldAt, goneAt and wakeAt are the times from the stop of the machine until the replica turns cold, until its entry
	// is removed, and until the machine goes on.
	coldAt   = 100 * time.Millisecond
	goneAt   = 300 * time.Millisecond
	wakeAt   = 1900 * time.Millisecond
	coldTime = 3 * time.Second
	// watchTime is how long arrivals are watched after the machine goes on.
	watchTime = 6 * time.Second
)

// arrivals holds when requests reached each replica.
type arrivals struct {
	mu sync.Mutex
	at map[string][]time.Time
}

func (a *arrivals) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at[id] = append(a.at[id], time.Now())
}

// stale freezes a machine while its read of the replicas' list waits. The read gets the record of a replica that turns
// cold and then leaves. The machine goes on, and what it has read reaches the other machines.
func stale(s *harness.Site, trouble bool) (held bool, err error) {
	got := &arrivals{at: make(map[string][]time.Time)}
	replicas, err := startRecords(s, got)
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
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	frozen, leaving := entries[1], replicas[len(replicas)-1]
	beats := &lastBeat{}
	go beat(ctx, replicas, beats)
	go sendAll(ctx, s, []*harness.Entry{entries[0], entries[2]})
	time.Sleep(warmUp)
	if !waitForRead(frozen, beats) {
		return false, errors.New("no read of the replicas' list waits")
	}
	stopped := time.Now()
	if trouble {
		s.Record.Logf("%s is frozen", frozen.Name)
		frozen.Signal(syscall.SIGSTOP)
	}
	time.Sleep(time.Until(stopped.Add(coldAt)))
	leaving.TurnCold(coldTime)
	s.Record.Logf("%s is cold again for %v", leaving.ID, coldTime)
	time.Sleep(time.Until(stopped.Add(goneAt)))
	leaving.Leave()
	gone := time.Now()
	s.Record.Logf("the store has acknowledged that %s is gone; it goes on serving", leaving.ID)
	time.Sleep(time.Until(stopped.Add(wakeAt)))
	if trouble {
		s.Record.Logf("%s goes on", frozen.Name)
		frozen.Signal(syscall.SIGCONT)
	}
	time.Sleep(watchTime)
	cancel()
	time.Sleep(2 * workTime)
	return got.judge(s, leaving.ID, gone), nil
}

// judge reports whether no request reached a replica later than drainTime after it was gone.
func (a *arrivals) judge(s *harness.Site, id string, gone time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	late := 0
	for _, at := range a.at[id] {
		if d := at.Sub(gone); d > drainTime {
			late++
			s.Record.Logf("a request reached %s %d ms after it was gone", id, d.Milliseconds())
		}
	}
	s.Record.Logf("%d requests reached %s later than %v after it was gone", late, id, drainTime)
	return late == 0
}

// startRecords starts the replicas of a plain service and writes the configuration.
func startRecords(s *harness.Site, got *arrivals) (replicas []*harness.Replica, err error) {
	for i, zone := range []string{"anadolu-a", "anadolu-b", "anadolu-c", "anadolu-a", "anadolu-b", "anadolu-c"} {
		id := fmt.Sprintf("records-%d", i+1)
		p, err := s.StartReplica(id, "records", zone, "v1", func(w http.ResponseWriter, r *http.Request) {
			got.add(id)
			s.Record.Logf("%s reaches %s, which runs it", r.Header.Get("Request-Id"), id)
			time.Sleep(workTime)
			w.Header().Set("Response-Signature", "sig."+id)
			_, _ = io.WriteString(w, "standing of "+r.URL.Path)
		})
		if err != nil {
			return nil, err
		}
		replicas = append(replicas, p)
	}
	return replicas, s.PutConfig(map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "status", "host": "records.example", "pathPrefix": "/status/", "kind": "idempotent", "timeoutMs": 1000, "targetLatencyMs": 150, "service": "records", "maxAttempts": 2, "priority": 0}},
		"services": []map[string]any{{"name": "records", "coldPerS": 14, "maxConnections": 100}},
		"limits":   harness.Limits(),
		"tenants":  []map[string]any{{"name": "court", "apiKeys": []string{"key-1"}}},
	})
}

// lastBeat is when the replicas last wrote their entries.
type lastBeat struct {
	mu sync.Mutex
	at time.Time
}

// beat writes the entries of all replicas, which were started together, at each heartbeat.
func beat(ctx context.Context, replicas []*harness.Replica, last *lastBeat) {
	for ctx.Err() == nil {
		for _, p := range replicas {
			p.Beat()
		}
		last.mu.Lock()
		last.at = time.Now()
		last.mu.Unlock()
		time.Sleep(heartbeat)
	}
}

// waitForRead waits until a machine's read of the replicas' list has begun to wait for records, and the next heartbeat
// is later than what the scenario does first.
func waitForRead(e *harness.Entry, beats *lastBeat) bool {
	const (
		patience = 30 * time.Second
		begun    = 40 * time.Millisecond
		margin   = 100 * time.Millisecond
	)
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		beats.mu.Lock()
		next := beats.at.Add(heartbeat)
		beats.mu.Unlock()
		if d := e.Store.WaitingFor(); d > 0 && d < begun && time.Until(next) > coldAt+margin {
			return true
		}
	}
	return false
}

// sendAll sends requests to the entries in turn until the context ends.
func sendAll(ctx context.Context, s *harness.Site, entries []*harness.Entry) {
	for i := 0; ctx.Err() == nil; i++ {
		go send(s, entries[i%len(entries)], i)
		time.Sleep(sendInterval)
	}
}

func send(s *harness.Site, e *harness.Entry, i int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/status/%d", e.Callers, i), nil)
	if err != nil {
		return
	}
	r.Host = "records.example"
	id := fmt.Sprintf("request-%d", i)
	r.Header.Set("Request-Id", id)
	r.Header.Set("Api-Key", "key-1")
	r.Header.Set("Request-Timeout-Ms", "1000")
	s.Record.Logf("%s is sent to %s", id, e.Name)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		s.Record.Logf("%s has no answer", id)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	s.Record.Logf("%s is answered with %d", id, resp.StatusCode)
}
