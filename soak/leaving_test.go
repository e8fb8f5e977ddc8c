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
	// endlessStream is that for endpoints whose answers never end.
	endlessStream = 6 << 32
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

// endlessParts are the parts of an answer that never end in a soak: those of which callers get nothing.
var endlessParts = [...]standin.Endless{
	standin.EndlessStatusLine, standin.EndlessFieldValue, standin.EndlessFields, standin.EndlessInterimAnswers, standin.EndlessOtherBody,
	standin.EndlessOtherUnframed, standin.EndlessOtherLength, standin.EndlessChunkSize, standin.EndlessTrailer,
}

// maybeAnswerEndlessly sometimes has an endpoint answer a part of its requests without an end.
func (k *soak) maybeAnswerEndlessly() {
	if k.endless.IntN(severRarity) > 0 {
		return
	}
	all := k.allEndpoints()
	e, part := all[k.endless.IntN(len(all))], endlessParts[k.endless.IntN(len(endlessParts))]
	d, ratio := time.Duration(k.endless.IntN(2000))*time.Millisecond, k.endless.Float64()
	k.logFault("%s: answers %.0f%% without an end in its %s for %s", e.name, 100*ratio, part, d)
	k.injectFor(d, func() {
		e.setFault(func() standin.Reply {
			if rand.Float64() < ratio {
				return standin.Reply{BreakAfter: -1, Endless: part}
			}
			return standin.Reply{BreakAfter: -1}
		})
	}, func() { e.setFault(nil) })
}

// checkMemory checks that no entry took more memory than it may have.
func (k *soak) checkMemory() {
	for _, p := range k.entries {
		if peak := p.peakBytes(k.t); peak > maxEntryBytes {
			k.t.Errorf("%s took %d MB", p.name, peak>>20)
		}
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
