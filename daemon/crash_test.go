package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/platform/standin"
)

// crashingPool is a pool of endpoints that crash when they begin to answer on the block "bad", and come back
// under other names.
type crashingPool struct {
	*testSite
	mu      sync.Mutex
	started int
	crashes []time.Time
	// arrivals holds when requests with the block arrived, lone when single requests on which endpoints crash
	// did, by their blocks.
	arrivals []time.Time
	lone     map[string][]time.Time
	// listensOn is how long an endpoint that crashes under a single request listens after the connection broke.
	listensOn time.Duration
}

const poolReturn = 1200 * time.Millisecond

func (p *crashingPool) start() {
	p.mu.Lock()
	p.started++
	name := fmt.Sprint("i-", p.started)
	p.mu.Unlock()
	e := p.endpoint(name, "pool", "v1", func(r *http.Request) standin.Reply {
		reply := standin.Reply{Events: 4, EventDelay: 20 * time.Millisecond, BreakAfter: -1, Confidence: 95}
		prefix := r.Header.Get("Prompt-Prefix")
		if strings.Contains(prefix, "lone-") {
			reply.CrashAfter, reply.ListensOn = 50*time.Millisecond, p.listensOn
			p.mu.Lock()
			p.lone[prefix] = append(p.lone[prefix], time.Now())
			p.mu.Unlock()
		}
		if strings.Contains(prefix, "bad:") {
			reply.CrashAfter = 50 * time.Millisecond
			p.mu.Lock()
			p.arrivals = append(p.arrivals, time.Now())
			p.mu.Unlock()
		}
		return reply
	})
	go p.restart(name, e)
}

func (p *crashingPool) restart(name string, e *standin.Endpoint) {
	select {
	case <-e.Crashed():
	case <-p.t.Context().Done():
		return
	}
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	p.mu.Unlock()
	time.Sleep(poolReturn)
	if p.t.Context().Err() == nil {
		p.store.Put("keyed.servers", name, nil)
		p.start()
	}
}

func newCrashingPool(t *testing.T, endpoints int) *crashingPool {
	p := &crashingPool{testSite: newTestSite(t), lone: make(map[string][]time.Time)}
	for range endpoints {
		p.start()
	}
	p.publish()
	return p
}

// startEntries starts entries and waits until they know each other.
func (p *crashingPool) startEntries(n int) (entries []*testEntry) {
	for i := range n {
		entries = append(entries, p.entry(fmt.Sprint("entry-", i)))
	}
	p.eventually(5*time.Second, "the entries know each other", func() bool {
		for _, e := range entries {
			if e.loop.View().Entries() != len(entries) {
				return false
			}
		}
		return true
	})
	return entries
}

// Callers send one request each that crashes endpoints, again and again at any entry under other IDs, beside sound
// ones. Guards against entries that take each repeat for another request, and that take an endpoint for running which
// still listens when its connections have broken.
func TestRequestThatCrashesEndpoints(t *testing.T) {
	for _, listensOn := range []time.Duration{0, 10 * time.Millisecond} {
		t.Run("listens-on-"+listensOn.String(), func(t *testing.T) { sendLoneCrashes(t, listensOn) })
	}
}

func sendLoneCrashes(t *testing.T, listensOn time.Duration) {
	t.Parallel()
	is := is.New(t)
	p := newCrashingPool(t, 12)
	p.mu.Lock()
	p.listensOn = listensOn
	p.mu.Unlock()
	entries := p.startEntries(4)
	var callers sync.WaitGroup
	for i := range 3 {
		callers.Go(func() {
			time.Sleep(time.Duration(1+i) * time.Second)
			for try := range 8 {
				entries[(i+try)%len(entries)].send("POST", "/chat/1", "x", func(r *http.Request) { r.Header.Set("Prompt-Prefix", fmt.Sprintf("first:100,x:200,lone-%d:50", i)) })
			}
		})
	}
	var mu sync.Mutex
	asked, served := 0, 0
	for i := range 200 {
		callers.Go(func() {
			r := entries[i%len(entries)].send("POST", "/chat/1", "x", func(r *http.Request) { r.Header.Set("Prompt-Prefix", fmt.Sprintf("first:100,x:200,own-%d:50", i)) })
			mu.Lock()
			defer mu.Unlock()
			asked++
			if r.err == nil && hasEvents(r.body, 4) {
				served++
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	callers.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	is.Equal(len(p.lone), 3)
	for prefix, at := range p.lone {
		t.Logf("%s reached %d endpoints", prefix, len(at))
		is.True(len(at) <= 3)
	}
	t.Logf("%d of %d sound ones served", served, asked)
	is.True(served*10 >= asked*9)
}

// Requests with one block reach all entries of a site and crash each endpoint that begins to answer them.
// Guards against entries that do not tell each other, or refuse what shares its other blocks.
func TestBlockThatCrashesEndpoints(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newCrashingPool(t, 8)
	entries := p.startEntries(3)
	var callers sync.WaitGroup
	var mu sync.Mutex
	served, asked, statuses := 0, 0, make(map[int]int)
	start := time.Now()
	const duration, calm, settled = 9 * time.Second, time.Second, 5 * time.Second
	for i := 0; time.Since(start) < duration; i++ {
		e, blocks, bad := entries[i%len(entries)], fmt.Sprintf("first:100,%s:200,own-%d:50", []string{"x", "y", "z"}[i%3], i), i%10 == 9 && time.Since(start) > calm
		if bad {
			blocks = fmt.Sprintf("first:100,bad:200,own-%d:50", i)
		}
		late := time.Since(start) > settled
		callers.Go(func() {
			r := e.send("POST", "/chat/1", "x", func(r *http.Request) { r.Header.Set("Prompt-Prefix", blocks) })
			mu.Lock()
			defer mu.Unlock()
			switch {
			case bad:
				statuses[r.status]++
			case late:
				asked++
				if r.err == nil && hasEvents(r.body, 4) {
					served++
				}
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	callers.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	after := 0
	for _, at := range p.arrivals {
		if len(p.crashes) >= 5 && at.After(p.crashes[4].Add(3*time.Second)) {
			after++
		}
	}
	t.Logf("%d crashes, %d arrivals, %d of them late; %d of %d sound ones served; statuses of the others %v", len(p.crashes), len(p.arrivals), after, served, asked, statuses)
	is.True(len(p.crashes) > 0)
	is.True(after <= 3)
	is.True(served*2 >= asked)
	is.True(statuses[http.StatusServiceUnavailable] > 0)
	is.True(strings.Contains(entries[0].log.String(), "Block is quarantined"))
}
