package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/parsleydeal/parsleydeal/platform/standin"
)

const (
	// slowWork is how long endpoints work on a request of the test of a planned stop. A request that is sent late in the time in
	// which a stopping entry listens cannot end within its grace.
	slowWork = 1900 * time.Millisecond
	// stopTime is how long requests are sent to an entry that stops.
	stopTime = 3200 * time.Millisecond
)

// Guards against calls that a stopping entry passes on and cuts at the end of its grace without an answer.
func TestPlannedStopCutsNoCall(t *testing.T) {
	const warm, requests = 20, 400
	k := &soak{site: newSiteWithLease(t, buildEntry(t), pausedLease), t: t}
	k.waitReady(5 * time.Second)
	for _, e := range k.allEndpoints() {
		e.setFault(func() standin.Reply { return standin.Reply{BreakAfter: -1, Delay: slowWork} })
	}
	p := k.entries[0]
	kept := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: requests}, Timeout: 6 * time.Second}
	fresh := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}, Timeout: 6 * time.Second}
	var all sync.WaitGroup
	for i := range warm {
		all.Go(func() { k.record(k.send(kept, p, "fee", k.keys[0], fmt.Sprintf("w-%d", i))) })
	}
	all.Wait()
	stopped := time.Now()
	p.signal(syscall.SIGTERM, true)
	for i := range requests {
		client := kept
		if i%2 == 0 {
			client = fresh
		}
		all.Go(func() {
			time.Sleep(time.Duration(rand.Int64N(int64(stopTime))))
			k.record(k.send(client, p, [...]string{"fee", "read"}[i/2%2], k.keys[0], fmt.Sprintf("s-%d", i)))
		})
	}
	all.Wait()
	runs := k.runs()
	statuses := make(map[int]int)
	for _, s := range k.sent {
		k.checkRuns(s, runs[s.id])
		statuses[s.status]++
		if s.err != nil && len(runs[s.id]) > 0 {
			t.Errorf("%s was sent %s after SIGTERM, ran and got no answer: %v", s.id, s.at.Sub(stopped), s.err)
		}
	}
	t.Logf("answers by status: %v", statuses)
	if t.Failed() {
		k.saveLogs(1)
	}
}
