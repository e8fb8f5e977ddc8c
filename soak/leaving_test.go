package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/parsleydeal/parsleydeal/platform/standin"
)

const (
	// leavingStream and severStream are the streams of random numbers for callers that leave, and for links that go
	// silent and entries that are paused together.
	leavingStream = 4 << 32
	severStream   = 5 << 32
	// severRarity is the number of other faults for each of these.
	severRarity = 3
	// leavingPrefix begins the IDs of requests whose callers leave.
	leavingPrefix = "leave-"
	// leftGrace is how long after its caller left a request may still reach an endpoint, maxLeftArrivals how many may
	// arrive later.
	leftGrace       = 500 * time.Millisecond
	maxLeftArrivals = 3
)

// maybeSever sometimes makes the open connections of several entries to the store, or of several endpoints, silent for
// good, or pauses all entries together.
func (k *soak) maybeSever() {
	if k.severs.IntN(severRarity) > 0 {
		return
	}
	switch k.severs.IntN(3) {
	case 0:
		for _, p := range k.entries {
			if k.severs.IntN(3) > 0 {
				k.logFault("%s: open connections to the store are silent for good", p.name)
				p.storeProxy.sever()
			}
		}
	case 1:
		for _, e := range k.allEndpoints() {
			if k.severs.IntN(3) > 0 {
				k.logFault("%s: open connections are silent for good", e.name)
				e.proxy.sever()
			}
		}
	case 2:
		d := 700*time.Millisecond + time.Duration(k.severs.IntN(800))*time.Millisecond
		k.faults.Go(func() {
			// Requests that are sent over connections at hand are the first ones to go out.
			k.warm()
			for _, p := range k.entries {
				k.pause(p, d)
			}
		})
	}
}

// sendLeaving has callers send whole requests and leave at once or a little later, until the context ends.
func (k *soak) sendLeaving(ctx context.Context, callers *sync.WaitGroup, rng *rand.Rand) {
	const count, maxStay, maxGap = 8, 100, 60
	for n := range count {
		random := rand.New(rand.NewPCG(rng.Uint64(), uint64(n)))
		callers.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				k.sendAndLeave(fmt.Sprintf("%s%d-%d", leavingPrefix, n, i), leftKinds[random.IntN(len(leftKinds))], k.entries[random.IntN(len(k.entries))], time.Duration(random.IntN(maxStay))*time.Millisecond)
				time.Sleep(time.Duration(random.IntN(maxGap)) * time.Millisecond)
			}
		})
	}
}

// sendAndLeave sends a request and closes its connection after some time.
func (k *soak) sendAndLeave(id string, kind leftKind, p *process, stay time.Duration) {
	k.mu.Lock()
	key := k.keys[0]
	k.mu.Unlock()
	c, err := net.DialTimeout("tcp4", strings.TrimPrefix(p.base, "http://"), time.Second)
	if err != nil {
		return
	}
	_, err = fmt.Fprint(c, kind.request(id, key))
	time.Sleep(stay)
	_ = c.Close()
	if err != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leftAt[id] = time.Now()
}

// checkLeft checks that hardly any request reached an endpoint long after its caller had left.
func (k *soak) checkLeft(runs map[string][]standin.Run) {
	proxies := make(map[string]*proxy)
	for _, e := range k.allEndpoints() {
		for _, r := range e.Runs() {
			proxies[r.ID] = e.proxy
		}
	}
	late := 0
	for id, leftAt := range k.leftAt {
		for _, r := range runs[id] {
			if r.At.Sub(leftAt) > leftGrace && proxies[id].passedOn(leftAt.Add(-time.Second), r.At) {
				late++
			}
		}
	}
	k.t.Logf("%d callers left, %d requests arrived later than %s after that", len(k.leftAt), late, leftGrace)
	if late > maxLeftArrivals {
		k.t.Errorf("%d requests arrived later than %s after their callers had left, %d allowed", late, leftGrace, maxLeftArrivals)
	}
}

// signalAll sends a signal to all entries.
func (k *soak) signalAll(sig syscall.Signal) {
	for _, p := range k.entries {
		p.signal(sig, false)
	}
}
