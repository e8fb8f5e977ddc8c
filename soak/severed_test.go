package soak

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	// applyLimit is how long after its acknowledgement a change may take to be in force.
	applyLimit = 2 * time.Second
	// askInterval is the interval at which an entry is asked whether a change is in force.
	askInterval = 40 * time.Millisecond
	// settleTime is the time between two severings: entries have connections to the store at hand again.
	settleTime = 5 * time.Second
)

// Guards against a new key that entries refuse for too long because their open connections to the store went silent
// for good.
func TestKeyInForceOverSeveredLinks(t *testing.T) {
	program := buildEntry(t)
	k := &soak{site: newSite(t, program), t: t}
	k.waitReady(5 * time.Second)
	time.Sleep(2 * time.Second)
	k.severThenAddKey(0b111, 0)
	time.Sleep(settleTime)
	k.severThenAddKey(0b011, 300*time.Millisecond)
	if t.Failed() {
		k.saveLogs(0)
	}
}

// severThenAddKey severs the links of some entries to the store, given as bits, adds a key after a delay and checks
// when the entries accept it.
func (k *soak) severThenAddKey(severed int, delay time.Duration) {
	for i, p := range k.entries {
		if severed&(1<<i) != 0 {
			p.storeProxy.sever()
		}
	}
	time.Sleep(delay)
	k.mu.Lock()
	k.addKey()
	key := k.keys[len(k.keys)-1]
	k.publish()
	k.mu.Unlock()
	took := k.untilInForce(key)
	k.t.Logf("links %03b, key after %s: in force after %v", severed, delay, took)
	for i, d := range took {
		if d > applyLimit {
			k.t.Errorf("links %03b, key after %s: in force at entry %d after %s, %s allowed", severed, delay, i, d, applyLimit)
		}
	}
}

// untilInForce returns how long it takes until each entry answers a request with the key.
func (k *soak) untilInForce(key string) (took []time.Duration) {
	took = make([]time.Duration, len(k.entries))
	start := time.Now()
	var all sync.WaitGroup
	for i, p := range k.entries {
		all.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
			for n := 0; took[i] == 0; n++ {
				at := time.Since(start)
				s := k.send(client, p, "read", key, fmt.Sprintf("q-%s-%d-%d", key, i, n))
				if s.status == http.StatusOK && s.err == nil || at > 5*applyLimit {
					took[i] = at
				}
				time.Sleep(askInterval)
			}
		})
	}
	all.Wait()
	return took
}
