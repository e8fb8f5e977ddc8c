// Package soak runs entries as programs of their own against stand-ins and
// injects faults from outside them: signals, proxies that delay, reset, cut or
// silence connections, and a store and endpoints that misbehave. While it runs it
// checks the promises of the system from what callers and endpoints see.
//
// A seed decides the faults, their order and their overlap:
//
//	go test ./soak -seed 7          one seed
//	go test ./soak -seeds 50        fifty fresh ones
//	go test ./soak                  the seeds that ever failed and two more
package soak

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/parsleydeal/parsleydeal/platform/standin"
)

var (
	oneSeed   = flag.Uint64("seed", 0, "run this seed only")
	seedCount = flag.Int("seeds", 0, "run so many fresh seeds")
	seconds   = flag.Int("seconds", 8, "how long the faults of a seed go on")
	keepLogs  = flag.String("logs", "", "directory for the logs of seeds that fail")
)

// regressions are the seeds that ever failed, with the cause.
var regressions = map[uint64]string{
	12683428: "hung: the stand-in store held a silent write for ever, since its body was not read",
}

// always are run beside them.
var always = []uint64{1, 2}

func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "parsleydeal-entry")
	build := exec.Command("go", "build", "-o", program, "../cmd/parsleydeal-entry")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for _, seed := range seedsOf() {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runSeed(t, seed, program) })
	}
}

func seedsOf() (seeds []uint64) {
	if *oneSeed != 0 {
		return []uint64{*oneSeed}
	}
	for range *seedCount {
		seeds = append(seeds, rand.Uint64N(1e9)+100)
	}
	if len(seeds) > 0 {
		return seeds
	}
	for seed := range regressions {
		seeds = append(seeds, seed)
	}
	return append(seeds, always...)
}

// sent is one request as its caller saw it.
type sent struct {
	id     string
	kind   string
	key    string
	entry  *process
	at     time.Time
	status int
	// err says that the connection ended before the whole answer.
	err  error
	body string
}

// soak is one seed under way.
type soak struct {
	*site
	t       *testing.T
	rng     *rand.Rand
	program string
	faults  sync.WaitGroup
	mu      sync.Mutex
	sent    []sent
	// story tells the faults, for a seed that fails.
	story []string
	begun time.Time
}

// overtime is how long a seed may take beyond its faults: the last fault's end, two
// planned stops in a row, the recovery and the end of the stand-ins.
const overtime = 60 * time.Second

func runSeed(t *testing.T, seed uint64, program string) {
	fmt.Printf("seed %d begins\n", seed)
	k := &soak{site: newSite(t, program), t: t, rng: rand.New(rand.NewPCG(seed, 0)), program: program, begun: time.Now()}
	watch := time.AfterFunc(time.Duration(*seconds)*time.Second+overtime, func() { k.hangs(seed) })
	// The watch covers the end of the entries and stand-ins, which may hang as well.
	k.site.last = func() { watch.Stop() }
	k.waitReady(5 * time.Second)
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for n := range 12 {
		callers.Go(func() { k.call(ctx, n, rand.New(rand.NewPCG(seed, uint64(n)+1))) })
	}
	for end := time.Now().Add(time.Duration(*seconds) * time.Second); time.Now().Before(end); {
		k.fault()
		time.Sleep(time.Duration(50+k.rng.IntN(700)) * time.Millisecond)
	}
	k.faults.Wait()
	k.recovers()
	stop()
	callers.Wait()
	time.Sleep(200 * time.Millisecond)
	k.check()
	if t.Failed() {
		t.Logf("seed %d, the faults:\n%s", seed, strings.Join(k.story, "\n"))
		k.saveLogs(seed)
	}
}

// hangs ends a seed that does not end by itself. Its entries are ended first: the
// panic that shows where it hangs would leave them running.
func (k *soak) hangs(seed uint64) {
	if *keepLogs == "" {
		if dir, err := os.MkdirTemp("", "soak"); err == nil {
			*keepLogs = dir
		}
	}
	k.saveLogs(seed)
	for _, p := range k.entries {
		p.signal(syscall.SIGKILL, true)
	}
	panic(fmt.Sprintf("seed %d hangs; the logs of its entries are in %s", seed, *keepLogs))
}

func (k *soak) saveLogs(seed uint64) {
	if *keepLogs == "" {
		return
	}
	for _, p := range k.entries {
		data, err := os.ReadFile(p.log.Name())
		if err == nil {
			_ = os.WriteFile(filepath.Join(*keepLogs, fmt.Sprintf("%d-%s.log", seed, p.name)), data, 0o600)
		}
	}
}

func (k *soak) waitReady(d time.Duration) {
	k.t.Helper()
	for end := time.Now().Add(d); ; time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, p := range k.entries {
			if p.isReady() {
				ready++
			}
		}
		if ready == len(k.entries) {
			return
		}
		if time.Now().After(end) {
			k.t.Fatalf("%d of %d entries are ready after %s", ready, len(k.entries), d)
		}
	}
}

// call sends requests one after the other, keeping its connection to an entry for
// as long as that lives.
func (k *soak) call(ctx context.Context, n int, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2}, Timeout: 6 * time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		p := k.entries[rng.IntN(len(k.entries))]
		kind := [...]string{"chat", "read", "fee"}[rng.IntN(3)]
		k.mu.Lock()
		key := k.keys[rng.IntN(len(k.keys))]
		k.mu.Unlock()
		k.note(k.ask(client, p, kind, key, fmt.Sprintf("r-%d-%d", n, i)))
		time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
	}
}

func (k *soak) ask(client *http.Client, p *process, kind, key, id string) sent {
	out := sent{id: id, kind: kind, key: key, entry: p, at: time.Now()}
	method := map[string]string{"chat": "POST", "read": "GET", "fee": "POST"}[kind]
	var body io.Reader
	if method == "POST" {
		// A body that can be read only once keeps net/http from sending it again by
		// itself, which would look as if the entry ran it twice.
		body = io.MultiReader(strings.NewReader("body of " + id))
	}
	r, err := http.NewRequest(method, p.base+"/"+kind+"/x", body)
	if err != nil {
		out.err = err
		return out
	}
	r.Host = "h.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Api-Key", key)
	r.Header.Set("Request-Timeout-Ms", "4000")
	if kind == "chat" {
		r.Header.Set("Model", "*")
		r.Header.Set("Session", "s-"+id[:3])
		r.Header.Set("Prompt-Prefix", "aa:100,bb:200,"+id+":50")
	}
	resp, err := client.Do(r)
	if err != nil {
		out.err = err
		return out
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	out.status, out.body, out.err = resp.StatusCode, string(data), err
	return out
}

func (k *soak) note(s sent) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sent = append(k.sent, s)
}

func (k *soak) tell(format string, a ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.story = append(k.story, fmt.Sprintf("%7.3f ", time.Since(k.begun).Seconds())+fmt.Sprintf(format, a...))
}

// span draws how long a fault lasts.
func (k *soak) span(most time.Duration) time.Duration {
	return 50*time.Millisecond + time.Duration(k.rng.Int64N(int64(most)))
}

// while runs a fault for a span beside the others.
func (k *soak) while(d time.Duration, begin, end func()) {
	begin()
	k.faults.Go(func() {
		time.Sleep(d)
		end()
	})
}

// fault draws the next fault.
func (k *soak) fault() {
	p := k.entries[k.rng.IntN(len(k.entries))]
	all := k.all()
	e := all[k.rng.IntN(len(all))]
	switch n := k.rng.IntN(11); n {
	case 0:
		k.restart(p, syscall.SIGKILL)
	case 1:
		k.restart(p, syscall.SIGTERM)
	case 2:
		k.pause(p, k.span(2500*time.Millisecond))
	case 3:
		m, d := mode(1+k.rng.IntN(int(modes)-1)), k.span(3*time.Second)
		k.tell("%s: way to the store %s for %s", p.name, m, d)
		k.while(d, func() { p.store.set(m) }, func() { p.store.set(pass) })
	case 4:
		f, d := standin.Fault(1+k.rng.IntN(5)), k.span(3*time.Second)
		k.tell("%s: store fails with %d for %s", p.name, f, d)
		k.while(d, func() { p.door.SetFault(f) }, func() { p.door.SetFault(standin.NoFault) })
	case 5:
		m, d := mode(1+k.rng.IntN(int(modes)-1)), k.span(2*time.Second)
		k.tell("%s: way to the endpoint %s for %s", e.name, m, d)
		k.while(d, func() { e.proxy.set(m) }, func() { e.proxy.set(pass) })
	case 6, 7:
		k.misbehave(e)
	case 8:
		k.takeKey()
	case 9:
		zone, d := zoneOf(k.rng.IntN(2)), k.span(2*time.Second)
		k.tell("zone %s out for %s", zone, d)
		k.while(d, func() { k.store.Put("keyed.op", "evacuate/"+zone, []byte("{}")) }, func() { k.store.Put("keyed.op", "evacuate/"+zone, nil) })
	case 10:
		k.tell("store forgets, SIGHUP to %s", p.name)
		k.store.Compact("keyed.op")
		k.store.Compact("keyed.servers")
		p.signal(syscall.SIGHUP, false)
	}
}

// restart ends a process and starts it again once it is gone.
func (k *soak) restart(p *process, sig syscall.Signal) {
	p.mu.Lock()
	ended, busy := p.ended, p.meant
	if !busy && sig == syscall.SIGTERM {
		p.leavingSince = time.Now()
	}
	p.mu.Unlock()
	if busy {
		return
	}
	k.tell("%s: %s", p.name, sig)
	if sig == syscall.SIGKILL {
		p.disturbed()
	}
	p.signal(sig, true)
	k.faults.Go(func() {
		select {
		case <-ended:
		case <-time.After(grace + 3*time.Second):
			k.t.Errorf("%s is still there %s after %s", p.name, grace+3*time.Second, sig)
			p.signal(syscall.SIGKILL, true)
			<-ended
		}
		k.tell("%s: starts again", p.name)
		k.start(p, k.program)
	})
}

func (k *soak) pause(p *process, d time.Duration) {
	k.tell("%s: paused for %s", p.name, d)
	p.disturbed()
	k.while(d, func() { p.signal(syscall.SIGSTOP, false) }, func() {
		p.signal(syscall.SIGCONT, false)
		p.disturbed()
	})
}

// misbehave gives an endpoint a fault in a part of its answers.
func (k *soak) misbehave(e *endpoint) {
	acts := map[string]standin.Reply{
		"loses answers": {DropAnswer: true}, "fails": {Status: 500}, "refuses": {NotRun: true}, "is slow": {Delay: 600 * time.Millisecond},
		"breaks streams": {BreakAfter: 3}, "answers others first": {OtherAnswerFirst: true}, "adds answers": {ExtraAnswer: true}, "signs nothing": {NoSignature: true},
	}
	names := []string{"loses answers", "fails", "refuses", "is slow", "breaks streams", "answers others first", "adds answers", "signs nothing"}
	name, d, part := names[k.rng.IntN(len(names))], k.span(2*time.Second), k.rng.Float64()
	a := acts[name]
	if name != "breaks streams" {
		a.BreakAfter = -1
	}
	if (a.OtherAnswerFirst || a.ExtraAnswer) && e.service == "pool" {
		return // the stand-in answers so with plain bodies only
	}
	k.tell("%s: %s, %.0f%% for %s", e.name, name, 100*part, d)
	k.while(d, func() {
		e.set(func() standin.Reply {
			if rand.Float64() < part {
				return a
			}
			return standin.Reply{BreakAfter: -1}
		})
	}, func() { e.set(nil) })
}

// takeKey takes a key away and gives out another.
func (k *soak) takeKey() {
	k.mu.Lock()
	defer k.mu.Unlock()
	i := k.rng.IntN(len(k.keys))
	key := k.keys[i]
	k.keys = append(k.keys[:i:i], k.keys[i+1:]...)
	k.addKey()
	k.publish()
	k.taken[key] = time.Now()
	k.story = append(k.story, fmt.Sprintf("%7.3f %s was taken away", time.Since(k.begun).Seconds(), key))
}

// recovers checks that everything works again soon after the last fault.
func (k *soak) recovers() {
	for _, e := range k.all() {
		e.set(nil)
		e.proxy.set(pass)
	}
	for _, p := range k.entries {
		p.store.set(pass)
		p.door.SetFault(standin.NoFault)
	}
	k.waitReady(6 * time.Second)
	time.Sleep(2 * time.Second)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	for i := range 30 {
		p := k.entries[i%len(k.entries)]
		k.mu.Lock()
		key := k.keys[0]
		k.mu.Unlock()
		kind := [...]string{"chat", "read", "fee"}[i/len(k.entries)%3]
		s := k.ask(client, p, kind, key, fmt.Sprintf("z-%d", i))
		k.note(s)
		if s.status != http.StatusOK || s.err != nil {
			k.t.Errorf("after all faults: %s at %s got %d %v %s", kind, p.name, s.status, s.err, s.body)
		}
	}
}
