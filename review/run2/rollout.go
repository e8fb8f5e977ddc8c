package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/parsleydeal/parsleydeal/platform/standin"
)

// A roll-out of 16 s. The times count from its order.
const (
	orderDuration = 16 * time.Second
	// leavesAfter is the time from the end of a roll-out that was rolled back until its replicas drain.
	leavesAfter = 3 * time.Second
	// Streams that begin on the old version shortly before its end last streamEvents times eventPause.
	streamsFrom  = 8 * time.Second
	streamEvents = 40
	eventPause   = 250 * time.Millisecond
	// rollbackBound and badAnswers are the bounds of the rule, badEach of how many answers of the bad version one fails.
	rollbackBound = 5 * time.Second
	badAnswers    = 50
	badEach       = 2
)

// arrival is a request that has reached a replica.
type arrival struct {
	id         string
	newVersion bool
	bad        bool
	at         time.Time
}

// rolloutPlan is what happens in a roll-out.
type rolloutPlan struct {
	// rate is the rate of the short requests in requests a second, streams the number of long streams.
	rate    int
	streams int
	end     time.Duration
	// bad is false for a good version. A bad one fails requests from turnsBadAt on.
	bad        bool
	turnsBadAt time.Duration
	// All entries lose power at powerLossAt and are started again powerLossFor later; 0 for never.
	powerLossAt  time.Duration
	powerLossFor time.Duration
}

// rollout is a roll-out with its arrivals and requests.
type rollout struct {
	*site
	plan    rolloutPlan
	mu      sync.Mutex
	orderAt time.Time
	// completedAt is when the status said so first; zero if it did not.
	completedAt time.Time
	arrivals    []arrival
	// newArrivals counts those at the new version.
	newArrivals int
	sent        map[string]result
}

// lateVersion rolls out a version that fails half of its requests once it has got all of them. Without the trouble the
// version is good.
func lateVersion(s *site, trouble bool) (broken string, err error) {
	return play(s, rolloutPlan{rate: 50, streams: 8, end: 34 * time.Second, bad: trouble, turnsBadAt: 11800 * time.Millisecond})
}

// powerLoss rolls out a version that fails half of its requests from the start. The trouble is that all entries lose power
// meanwhile.
func powerLoss(s *site, trouble bool) (broken string, err error) {
	p := rolloutPlan{rate: 5, end: 70 * time.Second, bad: true}
	if trouble {
		p.powerLossAt, p.powerLossFor = 9*time.Second, 1500*time.Millisecond
	}
	return play(s, p)
}

func play(s *site, p rolloutPlan) (broken string, err error) {
	x := &rollout{site: s, plan: p, sent: make(map[string]result)}
	if err = x.start(); err != nil {
		return "", err
	}
	if err = x.order(); err != nil {
		return "", err
	}
	go x.platform()
	if p.powerLossAt > 0 {
		go x.losePower()
	}
	x.traffic()
	s.lines("Upgrade ordered", "Upgrade ended", "Verdict ")
	return x.judge(), nil
}

// losePower kills all entries at once and starts them again later.
func (x *rollout) losePower() {
	x.pause(time.Until(x.orderAt.Add(x.plan.powerLossAt)))
	x.rec.printf("all entries lose power")
	for _, e := range x.entries {
		e.signal(syscall.SIGKILL)
	}
	if !x.pause(x.plan.powerLossFor) {
		return
	}
	for _, e := range x.entries {
		_, ended := e.process()
		<-ended
		if err := e.start(); err != nil {
			x.rec.printf("%s: %v", e.name, err)
		}
	}
	x.rec.printf("all entries are started again")
}

// start starts three entries and three replicas of the old version.
func (x *rollout) start() error {
	x.publish(map[string]any{
		"version": 1,
		"routes": []map[string]any{
			{"name": "r-fee", "host": host, "pathPrefix": "/fee/", "kind": "non_idempotent", "timeoutMs": 2000, "targetLatencyMs": 150, "service": "pool", "maxAttempts": 1},
			{"name": "r-chat", "host": host, "pathPrefix": "/chat/", "kind": "streaming", "timeoutMs": 25000, "targetLatencyMs": 1500, "targetGapMs": 800, "service": "pool", "maxAttempts": 1},
		},
		"services": []map[string]any{{"name": "pool", "coldPerS": 40, "maxConnections": 360}},
		"tenants":  []map[string]any{{"name": "org", "apiKeys": []string{key}}},
		"limits":   limits(),
	})
	if err := x.addVersion("v1"); err != nil {
		return err
	}
	for _, zone := range []string{"a", "b", "c"} {
		if err := x.startEntry("entry-"+zone, "zone-"+zone); err != nil {
			return err
		}
	}
	if err := x.awaitReady(); err != nil {
		return err
	}
	x.pause(inTouch)
	return nil
}

// addVersion starts three replicas of a version.
func (x *rollout) addVersion(version string) error {
	for _, zone := range []string{"a", "b", "c"} {
		if _, err := x.addServer("i-"+version+"-"+zone, "pool", "zone-"+zone, version, x.respond(version)); err != nil {
			return err
		}
	}
	return nil
}

// respond answers requests of a version.
func (x *rollout) respond(version string) func(r *http.Request) standin.Reply {
	return func(r *http.Request) standin.Reply {
		id, now := r.Header.Get("Request-Id"), time.Now()
		reply := standin.Reply{BreakAfter: -1, Delay: 20 * time.Millisecond}
		if strings.HasPrefix(r.URL.Path, "/chat/") {
			reply.Events, reply.EventDelay = streamEvents, eventPause
		}
		x.mu.Lock()
		defer x.mu.Unlock()
		a := arrival{id: id, newVersion: version != "v1", at: now}
		a.bad = x.plan.bad && a.newVersion && now.After(x.orderAt.Add(x.plan.turnsBadAt)) && x.newArrivals%badEach == 0
		if a.bad {
			reply.Status, reply.Events = http.StatusInternalServerError, 0
		}
		if a.newVersion {
			x.newArrivals++
		}
		x.arrivals = append(x.arrivals, a)
		x.rec.printf("%s runs on %s, fails: %t", id, version, a.bad)
		return reply
	}
}

// order starts the new replicas and writes the order.
func (x *rollout) order() error {
	x.mu.Lock()
	x.orderAt = time.Now()
	x.mu.Unlock()
	if err := x.addVersion("v2"); err != nil {
		return err
	}
	data, err := json.Marshal(map[string]any{"service": "pool", "target": "v2", "durationS": orderDuration.Seconds()})
	x.store.Put("keyed.op", "rollout/pool", data)
	x.rec.printf("roll-out of v2 ordered")
	return err
}

// platform stops replicas as the status of the roll-out tells.
func (x *rollout) platform() {
	last := ""
	for x.pause(10 * time.Millisecond) {
		var status struct{ State, Target string }
		if json.Unmarshal(x.store.Newest("keyed.status", "rollout/pool"), &status) != nil || status.State == last {
			continue
		}
		last = status.State
		x.rec.printf("status of the roll-out: %s", last)
		switch last {
		case "completed":
			x.mu.Lock()
			x.completedAt = time.Now()
			x.mu.Unlock()
			x.stop("v1", 0)
		case "rolled_back":
			go func() {
				if x.pause(leavesAfter) {
					x.stop("v2", drain+time.Second)
				}
			}()
		}
	}
}

// stop ends the replicas of a version, which drain first if that may take time.
func (x *rollout) stop(version string, draining time.Duration) {
	for _, r := range x.allServers() {
		if r.version == version && draining > 0 {
			x.setState(r, "draining")
		}
	}
	x.pause(draining)
	for _, r := range x.allServers() {
		if r.version == version {
			x.setState(r, "")
			r.Close()
		}
	}
	x.rec.printf("replicas of %s have ended", version)
}

// traffic sends short requests to the entries in turn until the end, and some long streams before the new version gets all
// requests.
func (x *rollout) traffic() {
	var wg sync.WaitGroup
	begin := func(e *entry, path, id string, timeout time.Duration) {
		wg.Go(func() {
			r := x.send(e, http.MethodPost, path, id, timeout, nil)
			x.mu.Lock()
			x.sent[id] = r
			x.mu.Unlock()
			x.rec.printf("%s sent to %s at %.3f: status %d, signature %q, error %v", id, e.name, x.rec.at(r.sentAt), r.status, r.signature, r.err)
		})
	}
	streams := 0
	for n := 0; time.Since(x.orderAt) < x.plan.end; n++ {
		begin(x.entries[n%len(x.entries)], "/fee/x", fmt.Sprintf("fee%05d", n), 2*time.Second)
		if age := time.Since(x.orderAt); streams < x.plan.streams && age > streamsFrom+time.Duration(streams)*eventPause {
			begin(x.entries[streams%len(x.entries)], "/chat/x", fmt.Sprintf("chat%04d", streams), 25*time.Second)
			streams++
		}
		x.pause(time.Second / time.Duration(x.plan.rate))
	}
	wg.Wait()
}

// judge applies the second part of the rule EXPOSURE: no request that is sent later than rollbackBound after the 50th bad
// answer reaches the version. All entries are in touch by then.
func (x *rollout) judge() (broken string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	slices.SortFunc(x.arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	bad, badBefore, late := 0, 0, 0
	var boundAt time.Time
	first := ""
	for _, a := range x.arrivals {
		r, ok := x.sent[a.id]
		if a.bad {
			if bad++; bad == badAnswers {
				boundAt = a.at.Add(rollbackBound)
			}
			if x.completedAt.IsZero() || a.at.Before(x.completedAt) {
				badBefore++
			}
		}
		if ok && a.newVersion && !boundAt.IsZero() && r.sentAt.After(boundAt) {
			if late++; late == 1 {
				first = fmt.Sprintf("%s, sent to %s at %.3f", a.id, r.entry.name, x.rec.at(r.sentAt))
			}
		}
	}
	x.rec.printf("bad answers: %d, of these before the status said completed: %d; requests sent later than %s after the %dth: %d", bad, badBefore, rollbackBound, badAnswers, late)
	if late > 0 {
		return fmt.Sprintf("EXPOSURE: the bad version got %d requests that were sent later than %s after its %dth bad answer, the first %s", late, rollbackBound, badAnswers, first)
	}
	return ""
}
