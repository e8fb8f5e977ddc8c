// Package soak runs entries as separate processes against stand-ins and injects
// faults from outside: signals, proxies that delay, reset or block connections, and
// faults of the store and the endpoints. It checks the guarantees of the system from
// what callers and endpoints record.
//
// A seed determines the faults, their order and their overlap:
//
//	go test ./soak -seed 7          one seed
//	go test ./soak -seeds 50        fifty random seeds
//	go test ./soak                  the seeds that have failed before and two more
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
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/parsleydeal/parsleydeal/daemon"
	"github.com/parsleydeal/parsleydeal/platform/standin"
)

var (
	oneSeed   = flag.Uint64("seed", 0, "run this seed only")
	seedCount = flag.Int("seeds", 0, "number of random seeds to run")
	seconds   = flag.Int("seconds", 8, "duration of the fault injection of a seed in seconds")
	keepLogs  = flag.String("logs", "", "directory for the entries' logs of failed seeds")
)

// regressions are the seeds that have failed before, with the cause.
var regressions = map[uint64]string{
	12683428: "hang: the stand-in store never ended a silent write because it did not read the body",
}

// requestField is the request's ID in a log line.
var requestField = regexp.MustCompile(` request=(\S+)`)

// fixedSeeds are run in addition to the regressions.
var fixedSeeds = []uint64{1, 2}

// linkedProgram refers to the code of the entry, so that it is linked into the test binary. The go command would otherwise
// reuse a cached test result after a change of the entry.
var linkedProgram = daemon.Entry

// buildEntry builds the entry and returns the path of its binary.
func buildEntry(t *testing.T) (path string) {
	t.Helper()
	if linkedProgram == nil {
		t.Fatal("no program")
	}
	path = filepath.Join(t.TempDir(), "parsleydeal-entry")
	if out, err := exec.Command("go", "build", "-o", path, "../cmd/parsleydeal-entry").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return path
}

func TestSoak(t *testing.T) {
	program := buildEntry(t)
	for _, seed := range seedsToRun() {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runSeed(t, seed, program) })
	}
}

func seedsToRun() (seeds []uint64) {
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
	return append(seeds, fixedSeeds...)
}

// sent is a request with its result as received by the caller.
type sent struct {
	id     string
	kind   string
	key    string
	entry  *process
	at     time.Time
	status int
	// err is set if the connection ended before the complete answer.
	err  error
	body string
	// undisturbed is how long no fault had affected the entry when the request was sent.
	undisturbed time.Duration
}

// soak is the state of a run with the faults of one seed.
type soak struct {
	*site
	t   *testing.T
	rng *rand.Rand
	// returns draws when the store comes back from an older copy.
	returns *rand.Rand
	// severs draws which links go silent, and when all entries are paused.
	severs *rand.Rand
	// endless draws which endpoints answer without an end.
	endless *rand.Rand
	// resumed draws which endpoints do not continue streams.
	resumed *rand.Rand
	// endings draws how endpoints end and continue streams.
	endings *rand.Rand
	// raw draws which endpoints send invalid and incomplete answers.
	raw *rand.Rand
	// crowds draws when most connections go to one entry, crowded is that entry; nil while they don't.
	crowds  *rand.Rand
	crowded atomic.Pointer[process]
	program string
	faults  sync.WaitGroup
	mu      sync.Mutex
	sent    []sent
	// leftAt is when the callers of requests left that leave, by the requests' IDs.
	leftAt map[string]time.Time
	// warmed counts requests that were sent only to have connections opened.
	warmed atomic.Int64
	// unanswered holds the requests that were not answered after the recovery.
	unanswered map[string]bool
	// faultLog lists the injected faults; it is printed if the seed fails.
	faultLog  []string
	startedAt time.Time
}

// hangMargin is how long a run may take beyond the time in which faults are injected. It covers
// the end of the last fault, two planned stops one after the other, the recovery and the shutdown
// of the stand-ins.
const hangMargin = 60 * time.Second

func runSeed(t *testing.T, seed uint64, program string) {
	fmt.Printf("starting seed %d\n", seed)
	k := &soak{site: newSite(t, program), t: t, rng: rand.New(rand.NewPCG(seed, 0)), returns: rand.New(rand.NewPCG(seed, returnsStream)), severs: rand.New(rand.NewPCG(seed, severStream)), endless: rand.New(rand.NewPCG(seed, endlessStream)), resumed: rand.New(rand.NewPCG(seed, resumedStream)), endings: rand.New(rand.NewPCG(seed, endingStream)), raw: rand.New(rand.NewPCG(seed, rawStream)), crowds: rand.New(rand.NewPCG(seed, crowdStream)), program: program, leftAt: make(map[string]time.Time), unanswered: make(map[string]bool), startedAt: time.Now()}
	watchdog := time.AfterFunc(time.Duration(*seconds)*time.Second+hangMargin, func() { k.abortHung(seed) })
	// The watchdog also covers the shutdown of the entries and stand-ins, which may hang.
	k.site.finalCleanup = func() { watchdog.Stop() }
	k.waitReady(5 * time.Second)
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for n := range 12 {
		callers.Go(func() { k.sendRequests(ctx, n, rand.New(rand.NewPCG(seed, uint64(n)+1))) })
	}
	k.sendUploads(ctx, &callers, rand.New(rand.NewPCG(seed, rawStream+1)))
	crashes := k.maybeSendCrashes(ctx, &callers, rand.New(rand.NewPCG(seed, crashStream)))
	k.sendLeaving(ctx, &callers, rand.New(rand.NewPCG(seed, leavingStream)))
	lone := k.maybeSendLoneCrashes(ctx, &callers, rand.New(rand.NewPCG(seed, loneStream)))
	for end := time.Now().Add(time.Duration(*seconds) * time.Second); time.Now().Before(end); {
		k.addFault()
		k.maybeRestoreStore()
		k.maybeSever()
		k.maybeAnswerEndlessly()
		k.maybeRefuseResumed()
		k.maybeEndStreams()
		k.maybeAnswerRaw()
		k.maybeCrowd()
		time.Sleep(time.Duration(50+k.rng.IntN(700)) * time.Millisecond)
	}
	k.faults.Wait()
	if crashes || lone {
		time.Sleep(quietTime)
	}
	k.checkRecovery()
	stop()
	callers.Wait()
	time.Sleep(200 * time.Millisecond)
	k.check()
	if t.Failed() {
		t.Logf("seed %d, injected faults:\n%s", seed, strings.Join(k.faultLog, "\n"))
		k.saveLogs(seed)
	}
}

// abortHung panics if the run of a seed hangs, which prints the stacks of all goroutines. It kills
// the entries first, as they would otherwise continue to run after the panic.
func (k *soak) abortHung(seed uint64) {
	k.saveLogs(seed)
	for _, p := range k.entries {
		p.signal(syscall.SIGKILL, true)
	}
	panic(fmt.Sprintf("seed %d hangs; the logs of its entries are in %s", seed, *keepLogs))
}

// saveLogs saves the entries' logs, in a temporary directory if none was named, and prints what they say of the requests
// that were not answered after the recovery.
func (k *soak) saveLogs(seed uint64) {
	if *keepLogs == "" {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return
		}
		*keepLogs = dir
	}
	k.t.Logf("the entries' logs are in %s", *keepLogs)
	for _, p := range k.entries {
		data, err := os.ReadFile(p.log.Name())
		if err == nil {
			for line := range strings.SplitSeq(string(data), "\n") {
				if id := requestField.FindStringSubmatch(line); id != nil && k.unanswered[id[1]] {
					k.t.Log(line)
				}
			}
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

// sendRequests sends requests one after the other to random entries, over keep-alive
// connections.
func (k *soak) sendRequests(ctx context.Context, n int, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2}, Timeout: 6 * time.Second}
	fresh := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}, Timeout: 6 * time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		p, client := k.entries[rng.IntN(len(k.entries))], client
		if crowded := k.crowded.Load(); crowded != nil && i%crowdOthers > 0 {
			p, client = crowded, fresh
		}
		kind := [...]string{"chat", "read", "fee"}[rng.IntN(3)]
		k.mu.Lock()
		key := k.keys[rng.IntN(len(k.keys))]
		k.mu.Unlock()
		id := fmt.Sprintf("r-%d-%d", n, i)
		if kind == "chat" && i%oldCallers == 0 {
			k.record(k.sendStream(p, key, id, i/oldCallers))
		} else {
			k.record(k.send(client, p, kind, key, id))
		}
		time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
	}
}

func (k *soak) send(client *http.Client, p *process, kind, key, id string) sent {
	out := sent{id: id, kind: kind, key: key, entry: p, at: time.Now()}
	p.mu.Lock()
	out.undisturbed = time.Since(p.undisturbedSince)
	p.mu.Unlock()
	method, path := map[string]string{"chat": "POST", "read": "GET", "fee": "POST", "upload": "POST"}[kind], kind
	var body io.Reader
	switch {
	case kind == "upload":
		path, body = "fee", uploadBody()
	case method == "POST":
		// net/http cannot rewind a MultiReader, so it never sends the request again by itself.
		// Otherwise one request could reach the endpoints twice and look as if the entry had run it
		// twice.
		body = io.MultiReader(strings.NewReader("body of " + contentOf(id)))
	}
	r, err := http.NewRequest(method, p.base+"/"+path+"/x", body)
	if err != nil {
		out.err = err
		return out
	}
	r.Host = "h.example"
	r.Header = k.headers(kind, key, id)
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

// headers returns the headers of a request.
func (k *soak) headers(kind, key, id string) http.Header {
	h := http.Header{}
	h.Set("Request-Id", id)
	h.Set("Api-Key", key)
	h.Set("Request-Timeout-Ms", "4000")
	if kind == "chat" {
		h.Set("Model", "*")
		h.Set("Session", "s-"+id[:3])
		h.Set("Prompt-Prefix", "aa:100,"+blockOf(id)+":200,"+contentOf(id)+":50")
	}
	return h
}

func (k *soak) record(s sent) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sent = append(k.sent, s)
}

func (k *soak) logFault(format string, a ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faultLog = append(k.faultLog, fmt.Sprintf("%7.3f ", time.Since(k.startedAt).Seconds())+fmt.Sprintf(format, a...))
}

const (
	// crowdStream is the stream of random numbers for times in which most connections go to one entry, and crowdRarity the
	// number of other faults for each of them. One in crowdOthers requests still goes to any entry.
	crowdStream = 7 << 32
	crowdRarity = 5
	crowdOthers = 5
)

// maybeCrowd sometimes makes most requests go to one entry for a while, each on a connection of its own.
func (k *soak) maybeCrowd() {
	if k.crowds.IntN(crowdRarity) > 0 {
		return
	}
	p, d := k.entries[k.crowds.IntN(len(k.entries))], time.Second+time.Duration(k.crowds.Int64N(int64(2*time.Second)))
	k.logFault("%s: most connections for %s", p.name, d)
	k.injectFor(d, func() { k.crowded.Store(p) }, func() { k.crowded.CompareAndSwap(p, nil) })
}

// randomDuration returns the duration of a fault: 50 ms plus a random part below limit.
func (k *soak) randomDuration(limit time.Duration) time.Duration {
	return 50*time.Millisecond + time.Duration(k.rng.Int64N(int64(limit)))
}

// injectFor injects a fault and ends it after d, concurrently with other faults.
func (k *soak) injectFor(d time.Duration, inject, end func()) {
	inject()
	k.faults.Go(func() {
		time.Sleep(d)
		end()
	})
}

// addFault injects a fault chosen at random.
func (k *soak) addFault() {
	p := k.entries[k.rng.IntN(len(k.entries))]
	all := k.allEndpoints()
	e := all[k.rng.IntN(len(all))]
	switch n := k.rng.IntN(11); n {
	case 0:
		k.restart(p, syscall.SIGKILL)
	case 1:
		k.restart(p, syscall.SIGTERM)
	case 2:
		k.pause(p, k.randomDuration(2500*time.Millisecond))
	case 3:
		m, d := mode(1+k.rng.IntN(int(modeCount)-1)), k.randomDuration(3*time.Second)
		k.logFault("%s: connections to the store %s for %s", p.name, m, d)
		k.injectFor(d, func() { p.storeProxy.setMode(m) }, func() { p.storeProxy.setMode(pass) })
	case 4:
		f, d := standin.Fault(1+k.rng.IntN(5)), k.randomDuration(3*time.Second)
		k.logFault("%s: store fault %d for %s", p.name, f, d)
		k.injectFor(d, func() { p.storeHandler.SetFault(f) }, func() { p.storeHandler.SetFault(standin.NoFault) })
	case 5:
		m, d := mode(1+k.rng.IntN(int(modeCount)-1)), k.randomDuration(2*time.Second)
		k.logFault("%s: connections to the endpoint %s for %s", e.name, m, d)
		k.injectFor(d, func() { e.proxy.setMode(m) }, func() { e.proxy.setMode(pass) })
	case 6, 7:
		k.addEndpointFault(e)
	case 8:
		k.revokeKey()
	case 9:
		zone, d := zoneOf(k.rng.IntN(2)), k.randomDuration(2*time.Second)
		k.logFault("zone %s evacuated for %s", zone, d)
		k.injectFor(d, func() { k.store.Put("keyed.op", "evacuate/"+zone, []byte("{}")) }, func() { k.store.Put("keyed.op", "evacuate/"+zone, nil) })
	case 10:
		k.logFault("store compacted, SIGHUP to %s", p.name)
		k.store.Compact("keyed.op")
		k.store.Compact("keyed.servers")
		p.signal(syscall.SIGHUP, false)
	}
}

const (
	// returnsStream is the stream of random numbers for the store's returns.
	returnsStream = 1 << 32
	// returnRarity is the number of other faults for each return of the store.
	returnRarity = 5
	// maxCopyAge, maxReturnOutage and maxRewriteDelay together stay below keyLease: until operators
	// write again, an entry that starts may not know that a key was revoked.
	maxCopyAge      = time.Second
	maxReturnOutage = 600 * time.Millisecond
	maxRewriteDelay = 800 * time.Millisecond
)

// maybeRestoreStore sometimes makes the store come back from an older copy, once or twice in a row.
// Operators and endpoints write again what was lost after a delay.
func (k *soak) maybeRestoreStore() {
	if k.returns.IntN(returnRarity) > 0 {
		return
	}
	random := func(limit time.Duration) time.Duration { return time.Duration(k.returns.Int64N(int64(limit))) }
	type comeback struct{ age, outage, rewrite time.Duration }
	var all []comeback
	for range 1 + k.returns.IntN(2) {
		all = append(all, comeback{random(maxCopyAge), random(maxReturnOutage), random(maxRewriteDelay)})
	}
	k.faults.Go(func() {
		for _, c := range all {
			k.logFault("store is away for %s and comes back from a copy %s old, written again after %s", c.outage, c.age, c.rewrite)
			k.store.SetAway(true)
			lost := k.store.Restore(k.copyOfAge(c.age))
			time.Sleep(c.outage)
			k.store.SetAway(false)
			time.Sleep(c.rewrite)
			lost.WriteAgain()
		}
	})
}

// restart ends a process by a signal and starts it again once it has ended.
func (k *soak) restart(p *process, sig syscall.Signal) {
	p.mu.Lock()
	ended, restarting := p.ended, p.exitExpected
	if !restarting && sig == syscall.SIGTERM {
		p.leavingSince = time.Now()
	}
	p.mu.Unlock()
	if restarting {
		return
	}
	k.logFault("%s: %s", p.name, sig)
	if sig == syscall.SIGKILL {
		p.recordDisturbance()
	}
	p.signal(sig, true)
	k.faults.Go(func() {
		select {
		case <-ended:
		case <-time.After(stopGrace + 3*time.Second):
			k.t.Errorf("%s still runs %s after %s", p.name, stopGrace+3*time.Second, sig)
			p.signal(syscall.SIGKILL, true)
			<-ended
		}
		k.logFault("%s: restarted", p.name)
		k.start(p, k.program)
	})
}

func (k *soak) pause(p *process, d time.Duration) {
	k.logFault("%s: paused for %s", p.name, d)
	p.recordDisturbance()
	k.injectFor(d, func() { p.signal(syscall.SIGSTOP, false) }, func() {
		p.signal(syscall.SIGCONT, false)
		p.recordDisturbance()
	})
}

// addEndpointFault makes an endpoint fail in one way for a random fraction of its requests.
func (k *soak) addEndpointFault(e *endpoint) {
	replies := map[string]standin.Reply{
		"loses answers": {DropAnswer: true}, "fails": {Status: 500}, "refuses": {NotRun: true}, "is slow": {Delay: 600 * time.Millisecond},
		"breaks streams": {BreakAfter: 3}, "answers others first": {OtherAnswerFirst: true}, "adds answers": {ExtraAnswer: true}, "signs nothing": {NoSignature: true},
	}
	names := []string{"loses answers", "fails", "refuses", "is slow", "breaks streams", "answers others first", "adds answers", "signs nothing"}
	name, d, ratio := names[k.rng.IntN(len(names))], k.randomDuration(2*time.Second), k.rng.Float64()
	reply := replies[name]
	if name != "breaks streams" {
		reply.BreakAfter = -1
	}
	if (reply.OtherAnswerFirst || reply.ExtraAnswer) && e.service == "pool" {
		return // the stand-in supports these faults only for answers that are not streams
	}
	k.logFault("%s: %s, %.0f%% for %s", e.name, name, 100*ratio, d)
	k.injectFor(d, func() {
		e.setFault(func() standin.Reply {
			if rand.Float64() < ratio {
				return reply
			}
			return standin.Reply{BreakAfter: -1}
		})
	}, func() { e.setFault(nil) })
}

// revokeKey revokes a random key and adds a new one.
func (k *soak) revokeKey() {
	k.mu.Lock()
	defer k.mu.Unlock()
	i := k.rng.IntN(len(k.keys))
	key := k.keys[i]
	k.keys = append(k.keys[:i:i], k.keys[i+1:]...)
	k.addKey()
	k.publish()
	k.revokedAt[key] = time.Now()
	k.faultLog = append(k.faultLog, fmt.Sprintf("%7.3f %s revoked", time.Since(k.startedAt).Seconds(), key))
}

// checkRecovery ends all faults and checks that requests are answered soon after.
func (k *soak) checkRecovery() {
	for _, e := range k.allEndpoints() {
		e.setFault(nil)
		e.refuseResumed(0)
		e.proxy.setMode(pass)
	}
	for _, p := range k.entries {
		p.storeProxy.setMode(pass)
		p.storeHandler.SetFault(standin.NoFault)
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
		s := k.send(client, p, kind, key, fmt.Sprintf("z-%d", i))
		k.record(s)
		if s.status != http.StatusOK || s.err != nil {
			k.unanswered[s.id] = true
			k.t.Errorf("after recovery: %s at %s got %d %v %s", kind, p.name, s.status, s.err, s.body)
		}
	}
}
