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
	// coldPerSecond, coldOverage and coldSlack are coldPerS of the service, coldOverage and coldSlack of the site.
	coldPerSecond = 17
	coldOverage   = 1.5
	coldSlack     = 5
	// outTime is how long the zone is out of service. leaveAt is the time from its evacuation until its machine is stopped.
	// evacuateAt is the time from the first probe of the platform to the evacuation.
	outTime    = 6 * time.Second
	evacuateAt = 700 * time.Millisecond
	leaveAt    = 2600 * time.Millisecond
	// zoneGap is the time between two requests of the clients of the zone, otherGap that of each other zone.
	zoneGap  = 22 * time.Millisecond
	otherGap = 50 * time.Millisecond
	// beatBefore is the time from the last heartbeat of the replica until the zone comes back.
	beatBefore = 100 * time.Millisecond
)

// failback has a zone taken out and back, while its machine is stopped and started again.
func failback(s *harness.Site, trouble bool) (held bool, err error) {
	got := &arrivals{at: make(map[string][]time.Time)}
	zones := []string{"anadolu-a", "anadolu-b", "anadolu-c"}
	var replicas []*harness.Replica
	for _, zone := range zones {
		id := "pool-" + zone
		p, err := s.StartReplica(id, "pool", zone, "v1", func(w http.ResponseWriter, r *http.Request) {
			got.add(id)
			s.Record.Logf("%s reaches %s, which runs it", r.Header.Get("Request-Id"), id)
			time.Sleep(20 * time.Millisecond)
			w.Header().Set("Response-Signature", "sig."+id)
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, piece(1))
		})
		if err != nil {
			return false, err
		}
		replicas = append(replicas, p)
	}
	err = s.PutConfig(map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "draft", "host": "records.example", "pathPrefix": "/draft/", "kind": "streaming", "timeoutMs": 8000, "targetLatencyMs": 2000, "targetGapMs": 800, "service": "pool", "maxAttempts": 3, "resumable": true, "priority": 0}},
		"services": []map[string]any{{"name": "pool", "coldPerS": coldPerSecond, "maxConnections": 360}},
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
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	time.Sleep(warmUp)
	rotation := s.NewRotation(ctx)
	returning := replicas[1]
	go sendDrafts(ctx, s, "b", zoneGap, func() *harness.Entry { return rotation.PickOf(entries[1], entries[0], entries[2]) })
	go sendDrafts(ctx, s, "a", otherGap, func() *harness.Entry { return entries[0] })
	go sendDrafts(ctx, s, "c", otherGap, func() *harness.Entry { return entries[2] })
	go beatOthers(ctx, replicas[0], replicas[2])
	time.Sleep(evacuateAt)
	s.Store.Put("keyed.op", "evacuate/anadolu-b", []byte(`{"zone":"anadolu-b"}`))
	out := time.Now()
	s.Record.Logf("operator: evacuation of anadolu-b is acknowledged")
	go beatUntil(out.Add(outTime-beatBefore), returning)
	time.Sleep(time.Until(out.Add(leaveAt)))
	if trouble {
		go s.Restart(entries[1], stopLimit, restartDelay)
	}
	time.Sleep(time.Until(out.Add(outTime)))
	s.Store.Put("keyed.op", "evacuate/anadolu-b", nil)
	back := time.Now()
	s.Record.Logf("operator: anadolu-b is taken back; %s is cold from now on for %v", returning.ID, coldTime)
	time.Sleep(time.Until(back.Add(heartbeat - beatBefore)))
	returning.TurnCold(coldTime - time.Since(back))
	s.Record.Logf("%s says in its entry that it is cold", returning.ID)
	time.Sleep(time.Until(back.Add(coldTime)))
	cancel()
	return got.judgeCold(s, returning.ID, back, back.Add(coldTime)), nil
}

// judgeCold reports whether a replica got no more requests in a second than a cold one may.
func (a *arrivals) judgeCold(s *harness.Site, id string, from, until time.Time) bool {
	const bound = coldPerSecond*coldOverage + coldSlack
	a.mu.Lock()
	defer a.mu.Unlock()
	all, most := a.at[id], 0
	var at time.Time
	for i, first := range all {
		n := 0
		for _, t := range all[i:] {
			if t.Sub(first) < time.Second && !t.After(until) {
				n++
			}
		}
		if !first.Before(from) && n > most {
			most, at = n, first
		}
	}
	s.Record.Logf("cold %s got %d requests in the second from %d ms after its zone came back; %.1f are allowed", id, most, at.Sub(from).Milliseconds(), bound)
	return float64(most) <= bound
}

// beatOthers writes the entries of replicas at each heartbeat.
func beatOthers(ctx context.Context, replicas ...*harness.Replica) {
	for ctx.Err() == nil {
		for _, p := range replicas {
			p.Beat()
		}
		time.Sleep(heartbeat)
	}
}

// beatUntil writes the entry of a replica at each heartbeat, the last time at the given time.
func beatUntil(end time.Time, p *harness.Replica) {
	for at := end.Add(-heartbeat * time.Duration(time.Until(end)/heartbeat)); !at.After(end); at = at.Add(heartbeat) {
		time.Sleep(time.Until(at))
		p.Beat()
	}
}

// sendDrafts sends requests of a zone's clients until the context ends.
func sendDrafts(ctx context.Context, s *harness.Site, zone string, gap time.Duration, pick func() *harness.Entry) {
	var all sync.WaitGroup
	defer all.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		e := pick()
		all.Go(func() { sendDraft(s, e, zone, i) })
		time.Sleep(gap)
	}
}

func sendDraft(s *harness.Site, e *harness.Entry, zone string, i int) {
	const timeout = 8 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/draft/%d", e.Callers, i), strings.NewReader("case history"))
	if err != nil {
		return
	}
	r.Host = "records.example"
	id := fmt.Sprintf("%s-%d", zone, i)
	for name, value := range map[string]string{
		"Request-Id": id, "Api-Key": "key-1", "Request-Timeout-Ms": "8000", "Model": "m", "Token-Usage": "100,100", "Prompt-Prefix": fmt.Sprintf("aa:50,%s%x:50", zone, i+1),
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
