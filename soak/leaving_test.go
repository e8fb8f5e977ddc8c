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
	// leavingWork is how long endpoints work on a request of a caller that leaves, maxWorkedOn the fraction of them that
	// they may still work on leftGrace after that.
	leavingWork = time.Second
	maxWorkedOn = 0.25
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
				k.sendAndLeave(fmt.Sprintf("%s%d-%d", leavingPrefix, n, i), leftKinds[random.IntN(len(leftKinds))], k.entries[random.IntN(len(k.entries))], time.Duration(random.IntN(maxStay))*time.Millisecond, behinds[random.IntN(len(behinds))])
				time.Sleep(time.Duration(random.IntN(maxGap)) * time.Millisecond)
			}
		})
	}
}

// behinds are what callers send behind a request.
var behinds = [...]string{"", "G", "\r\n", nextRequest}

// sendAndLeave sends a request and more behind it, and closes the connection after some time.
func (k *soak) sendAndLeave(id string, kind leftKind, p *process, stay time.Duration, behind string) {
	k.mu.Lock()
	key := k.keys[0]
	k.mu.Unlock()
	c, err := net.DialTimeout("tcp4", strings.TrimPrefix(p.base, "http://"), time.Second)
	if err != nil {
		return
	}
	_, err = fmt.Fprint(c, kind.request(id, key))
	time.Sleep(stay)
	_, _ = fmt.Fprint(c, behind)
	time.Sleep(stay / 2)
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
	late, runsAtClose, workedOn := 0, 0, 0
	for id, leftAt := range k.leftAt {
		for _, r := range runs[id] {
			if r.At.Sub(leftAt) > leftGrace && proxies[id].passedOn(leftAt.Add(-time.Second), r.At) {
				late++
			}
			if r.At.After(leftAt) || !proxies[id].passedOn(leftAt.Add(-time.Second), leftAt.Add(leftGrace)) {
				continue
			}
			runsAtClose++
			if r.EndedAt.IsZero() || r.EndedAt.Sub(leftAt) > leftGrace {
				workedOn++
			}
		}
	}
	k.t.Logf("%d callers left, %d requests arrived later than %s after that, %d of %d were still worked on", len(k.leftAt), late, leftGrace, workedOn, runsAtClose)
	if float64(workedOn) > maxWorkedOn*float64(runsAtClose) {
		k.t.Errorf("%d of %d requests were worked on %s after their callers had left", workedOn, runsAtClose, leftGrace)
	}
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
