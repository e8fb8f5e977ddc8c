package soak

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/parsleydeal/parsleydeal/platform/standin"
)

// busyLoad sends requests on new connections, most of which reach one entry for a while.
type busyLoad struct {
	*site
	rng       *rand.Rand
	perSecond int
	// busy is the number of entries to which most connections go, fraction the part of them.
	busy     int
	fraction float64
	body     string
	mu       sync.Mutex
	requests []*busyRequest
}

// busyRequest is a request with its attempts: each entry is a new try of the same caller.
type busyRequest struct {
	at    time.Time
	tries []busyTry
}

type busyTry struct {
	entry  *process
	id     string
	status int
	whole  bool
	// closed is true if the connection ended before the first byte of an answer.
	closed bool
}

const busyEvents = 24

// run sends requests for a time; most of them reach the busy entries if crowded is true.
func (b *busyLoad) run(d time.Duration, crowded bool) {
	var callers sync.WaitGroup
	start := time.Now()
	for i := 0; time.Since(start) < d; i++ {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(b.perSecond))))
		first := b.rng.IntN(len(b.entries))
		if crowded && b.rng.Float64() < b.fraction {
			first = b.rng.IntN(b.busy)
		}
		second := (first + 1 + b.rng.IntN(len(b.entries)-1)) % len(b.entries)
		r := &busyRequest{at: time.Now()}
		b.mu.Lock()
		b.requests = append(b.requests, r)
		id := fmt.Sprintf("b-%d", len(b.requests))
		b.mu.Unlock()
		callers.Go(func() {
			for try, n := range []int{first, second, (second + 1) % len(b.entries)} {
				t := b.send(b.entries[n], fmt.Sprintf("%s-%d", id, try))
				b.mu.Lock()
				r.tries = append(r.tries, t)
				b.mu.Unlock()
				if !t.closed {
					return
				}
			}
		})
	}
	callers.Wait()
}

func (b *busyLoad) send(p *process, id string) (t busyTry) {
	t = busyTry{entry: p, id: id}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 5 * time.Second}
	r, err := http.NewRequest("POST", p.base+"/chat/x", io.MultiReader(strings.NewReader(b.body)))
	if err != nil {
		b.t.Error(err)
		return t
	}
	r.ContentLength = int64(len(b.body))
	r.Host = "h.example"
	for name, v := range map[string]string{"Request-Id": id, "Api-Key": "key-1", "Request-Timeout-Ms": "4000", "Model": "*", "Prompt-Prefix": "aa:100,bb:200," + id + ":50"} {
		r.Header.Set(name, v)
	}
	resp, err := client.Do(r)
	if err != nil {
		t.closed = errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNREFUSED)
		return t
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	t.status, t.whole = resp.StatusCode, err == nil && strings.Count(string(data), "id:") == busyEvents
	return t
}

// outcome counts requests by what became of the first attempt that an entry read.
type outcome struct{ sent, read, served int }

func (o outcome) String() string {
	return fmt.Sprintf("%d sent, %d read, %d of them served at once (%.3f)", o.sent, o.read, o.served, o.ratio())
}

func (o outcome) ratio() float64 { return float64(o.served) / float64(max(o.read, 1)) }

// between counts the requests that were sent from one time until another. logged holds the requests that the
// entries say they have read.
func (b *busyLoad) between(from, until time.Time, logged map[string]bool) (o outcome) {
	for _, r := range b.requests {
		if r.at.Before(from) || !r.at.Before(until) {
			continue
		}
		o.sent++
		for _, t := range r.tries {
			if t.closed && !logged[t.id] {
				continue
			}
			o.read++
			if t.status == http.StatusOK && t.whole {
				o.served++
			}
			break
		}
	}
	return o
}

// logged returns the requests that the entries say they have read.
func (b *busyLoad) logged() map[string]bool {
	out := make(map[string]bool)
	for _, p := range b.entries {
		data, err := os.ReadFile(p.log.Name())
		if err != nil {
			b.t.Fatal(err)
		}
		for _, id := range requestField.FindAllStringSubmatch(string(data), -1) {
			out[id[1]] = true
		}
	}
	return out
}

// throttle lets a process run for a part of each 100 ms until stopped is closed.
func throttle(p *process, part float64, stopped <-chan struct{}) {
	const period = 100 * time.Millisecond
	defer p.signal(syscall.SIGCONT, false)
	for {
		p.signal(syscall.SIGCONT, false)
		time.Sleep(time.Duration(part * float64(period)))
		p.signal(syscall.SIGSTOP, false)
		select {
		case <-time.After(period - time.Duration(part*float64(period))):
		case <-stopped:
			return
		}
	}
}

// busyCase is a load most of which reaches few entries that have a part of a core.
type busyCase struct {
	name      string
	part      float64
	perSecond int
	busy      int
	body      int
	// fault happens to the first busy entry in the middle of the crowd; nil for none.
	fault func(k *soak, p *process)
}

// busySite returns a site of six entries, the first of which have a part of a core, and 16 endpoints.
func busySite(t *testing.T, program string, c busyCase) *busyLoad {
	s := newSite(t, program)
	for i := poolCount; i < 16; i++ {
		s.addEndpoint(fmt.Sprintf("i-pool-%d", i), "pool", "v1", zoneOf(i))
	}
	for _, e := range s.allEndpoints() {
		e.mu.Lock()
		e.events = busyEvents
		e.mu.Unlock()
	}
	for i := entryCount; i < 6; i++ {
		s.addEntry(fmt.Sprintf("entry-%d", i), program)
	}
	if c.part < 1 {
		for _, p := range s.entries[:c.busy] {
			p.env = []string{"GOMAXPROCS=1"}
			p.signal(syscall.SIGKILL, true)
			<-p.ended
			s.start(p, program)
		}
	}
	k := &soak{site: s, t: t}
	k.waitReady(5 * time.Second)
	stopped, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		var all sync.WaitGroup
		for _, p := range s.entries[:c.busy] {
			if c.part < 1 {
				all.Go(func() { throttle(p, c.part, stopped) })
			}
		}
		all.Wait()
	}()
	t.Cleanup(func() { close(stopped); <-done })
	return &busyLoad{site: s, rng: rand.New(rand.NewPCG(1, 1)), perSecond: c.perSecond, busy: c.busy, fraction: 0.8, body: strings.Repeat("x", c.body)}
}

// busyCases run always, moreBusyCases by hand, with -seeds.
var (
	busyCases     = []busyCase{{"seventh", 0.144, 300, 1, 2000, nil}, {"fourteenth", 0.072, 200, 1, 2000, nil}}
	moreBusyCases = []busyCase{
		{"whole", 1, 200, 1, 2000, nil},
		{"seventh-of-zone", 0.144, 110, 1, 2000, nil},
		{"seventh-long-bodies", 0.144, 300, 1, 30000, nil},
		{"two-sevenths", 0.144, 400, 2, 2000, nil},
		{"three-tenths", 0.1, 400, 3, 2000, nil},
		{"two-fourteenths", 0.072, 300, 2, 2000, nil},
		{"seventh-without-store", 0.144, 300, 1, 2000, func(_ *soak, p *process) { p.storeHandler.SetFault(standin.Silent) }},
		{"seventh-killed", 0.144, 300, 1, 2000, func(k *soak, p *process) { k.restart(p, syscall.SIGKILL) }},
		{"seventh-leaves", 0.144, 300, 1, 2000, func(k *soak, p *process) { k.restart(p, syscall.SIGTERM) }},
		{"seventh-endpoints-reset", 0.144, 300, 1, 2000, func(k *soak, _ *process) {
			for _, e := range k.allEndpoints()[:4] {
				e.proxy.setMode(reset)
			}
		}},
	}
)

// Most new connections go to one or a few entries that have a part of a core. Guards against entries that read more requests
// than they can answer.
func TestBusyEntryReadsNoMoreThanItServes(t *testing.T) {
	program := buildEntry(t)
	cases := busyCases
	if *seedCount > 0 {
		cases = append(cases, moreBusyCases...)
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := busySite(t, program, c)
			b.run(3*time.Second, false)
			k := &soak{site: b.site, t: t, program: program}
			crowdedAt := time.Now()
			if c.fault != nil {
				time.AfterFunc(5*time.Second, func() { c.fault(k, b.entries[0]) })
			}
			b.run(10*time.Second, true)
			k.faults.Wait()
			movedAt := time.Now()
			b.run(4*time.Second, false)
			time.Sleep(300 * time.Millisecond)
			logged := b.logged()
			calm := b.between(crowdedAt.Add(-3*time.Second), crowdedAt, logged)
			first := b.between(crowdedAt, crowdedAt.Add(3*time.Second), logged)
			then := b.between(crowdedAt.Add(3*time.Second), movedAt, logged)
			after := b.between(movedAt, time.Now(), logged)
			t.Logf("calm: %s\nfirst 3 s: %s\nthen: %s\nafter: %s", calm, first, then, after)
			for phase, o := range map[string]outcome{"then": then, "after": after} {
				if o.ratio() < 0.75*calm.ratio() {
					t.Errorf("%s: fewer than three quarters as often as before", phase)
				}
				if o.read*10 < o.sent*9 {
					t.Errorf("%s: fewer than nine tenths were read", phase)
				}
			}
			if t.Failed() {
				k.saveLogs(0)
			}
		})
	}
}
