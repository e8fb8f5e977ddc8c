package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/parsleydeal/parsleydeal/platform/standin"
)

// A replica is added while the entries are restarted in turn. The times count from its start.
const (
	// coldFor is how long the replica is cold, coldPerSecond the rate that it tolerates meanwhile.
	coldFor       = 10 * time.Second
	coldPerSecond = 17
	// coldOverage and coldSlack are the bounds of the rule.
	coldOverage = 1.5
	coldSlack   = 5
	// The entries get SIGTERM one after the other.
	firstTermAt = time.Second
	termGap     = time.Second
	// missedChecks is how long after the SIGTERM of an entry the platform sends it no new connections.
	missedChecks = 2 * time.Second
	readRate     = 250
	// workTime is how long a replica works on a request.
	workTime = 500 * time.Millisecond
	coldEnd  = 12 * time.Second
	warmUp   = 4 * time.Second
)

// coldArrival is a request that has reached the cold replica.
type coldArrival struct {
	id string
	at time.Time
}

// coldStart is a site with a replica that starts cold.
type coldStart struct {
	*site
	mu       sync.Mutex
	addedAt  time.Time
	arrivals []coldArrival
	sent     map[string]result
	leftAt   map[*entry]time.Time
}

// coldRoll restarts the entries in turn while a replica is cold.
func coldRoll(s *site, trouble bool) (broken string, err error) {
	x := &coldStart{site: s, sent: make(map[string]result), leftAt: make(map[*entry]time.Time)}
	if err = x.start(); err != nil {
		return "", err
	}
	var wg sync.WaitGroup
	done := make(chan struct{})
	wg.Go(func() { x.traffic(done) })
	x.pause(warmUp)
	if err = x.add(); err != nil {
		return "", err
	}
	if trouble {
		for i, e := range s.entries {
			wg.Go(func() {
				if x.pause(firstTermAt + time.Duration(i)*termGap) {
					x.restart(e)
				}
			})
		}
	}
	x.pause(coldEnd)
	close(done)
	wg.Wait()
	s.lines("Entry leaves", "Entry stops", "i-new")
	return x.judge(), nil
}

// start starts four entries and a warm replica in each zone.
func (x *coldStart) start() error {
	x.publish(map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "r-read", "host": host, "pathPrefix": "/read/", "kind": "idempotent", "timeoutMs": 2500, "targetLatencyMs": 150, "service": "desk", "maxAttempts": 2}},
		"services": []map[string]any{{"name": "desk", "coldPerS": coldPerSecond, "maxConnections": 360}},
		"tenants":  []map[string]any{{"name": "org", "apiKeys": []string{key}}},
		"limits":   limits(),
	})
	for _, zone := range []string{"a", "b", "c", "d"} {
		if _, err := x.addServer("i-warm-"+zone, "desk", "zone-"+zone, "v1", func(*http.Request) standin.Reply {
			return standin.Reply{BreakAfter: -1, Delay: workTime}
		}); err != nil {
			return err
		}
	}
	for _, zone := range []string{"a", "b", "c", "d"} {
		if err := x.startEntry("entry-"+zone, "zone-"+zone); err != nil {
			return err
		}
	}
	return x.awaitReady()
}

// add adds the cold replica.
func (x *coldStart) add() error {
	x.mu.Lock()
	x.addedAt = time.Now()
	x.mu.Unlock()
	x.rec.printf("a replica is added, which is cold for %s and tolerates %d requests a second", coldFor, coldPerSecond)
	_, err := x.addColdServer("i-new", "desk", "zone-d", "v1", coldFor, func(r *http.Request) standin.Reply {
		id, now := r.Header.Get("Request-Id"), time.Now()
		x.mu.Lock()
		x.arrivals = append(x.arrivals, coldArrival{id, now})
		x.mu.Unlock()
		x.rec.printf("%s reaches the cold replica", id)
		return standin.Reply{BreakAfter: -1, Delay: workTime}
	})
	return err
}

// restart stops an entry as the platform does and starts it again when it has ended.
func (x *coldStart) restart(e *entry) {
	x.mu.Lock()
	x.leftAt[e] = time.Now()
	x.mu.Unlock()
	x.rec.printf("SIGTERM to %s", e.name)
	_, ended := e.process()
	e.signal(syscall.SIGTERM)
	select {
	case <-ended:
		if x.ctx.Err() == nil && e.start() == nil {
			x.rec.printf("%s starts again", e.name)
			x.mu.Lock()
			delete(x.leftAt, e)
			x.mu.Unlock()
		}
	case <-x.ctx.Done():
	}
}

// inRotation reports whether the platform sends new connections to an entry.
func (x *coldStart) inRotation(e *entry) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	left, ok := x.leftAt[e]
	return !ok || time.Since(left) < missedChecks
}

// traffic sends requests to the entries in rotation, in turn.
func (x *coldStart) traffic(done <-chan struct{}) {
	var wg sync.WaitGroup
	defer wg.Wait()
	turn := 0
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-x.ctx.Done():
			return
		case <-time.After(time.Second / readRate):
		}
		var e *entry
		for range x.entries {
			turn++
			if e = x.entries[turn%len(x.entries)]; x.inRotation(e) {
				break
			}
		}
		id := fmt.Sprintf("read%05d", n)
		wg.Go(func() {
			r := x.send(e, http.MethodGet, "/read/x", id, 2500*time.Millisecond, nil)
			x.mu.Lock()
			x.sent[id] = r
			x.mu.Unlock()
			x.rec.printf("%s sent to %s at %.3f: status %d, signature %q, error %v", id, e.name, x.rec.at(r.sentAt), r.status, r.signature, r.err)
		})
	}
}

// judge applies the rule FAILBACK to each second: requests that were sent and arrived in it.
func (x *coldStart) judge() (broken string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	slices.SortFunc(x.arrivals, func(a, b coldArrival) int { return a.at.Compare(b.at) })
	x.arrivals = slices.DeleteFunc(x.arrivals, func(a coldArrival) bool { return a.at.After(x.addedAt.Add(coldFor)) })
	most, mostAt := 0, time.Time{}
	for _, first := range x.arrivals {
		from := x.sent[first.id].sentAt
		n := 0
		for _, a := range x.arrivals {
			if !x.sent[a.id].sentAt.Before(from) && a.at.Before(from.Add(time.Second)) {
				n++
			}
		}
		if n > most {
			most, mostAt = n, from
		}
	}
	allowed := coldPerSecond*coldOverage + coldSlack
	x.rec.printf("the cold replica got %d requests, at most %d in a second, from %.3f on; allowed %.1f", len(x.arrivals), most, x.rec.at(mostAt), allowed)
	if float64(most) > allowed {
		return fmt.Sprintf("FAILBACK: the cold replica got %d requests in the second from %.3f on, allowed %.1f", most, x.rec.at(mostAt), allowed)
	}
	return ""
}
