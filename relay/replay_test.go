package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/site"
	"github.com/parsleydeal/parsleydeal/upstream"
	"github.com/pelletier/go-toml/v2"
)

// The limits of the replayed sites.
const (
	replayWindow = 10 * clock.Second
	replayRatio  = 0.9
	replaySlack  = 52.0
)

// replayScript is a day that a site of entries and endpoints goes through in virtual time.
type replayScript struct {
	Entries           int            `toml:"entries"`
	Endpoints         int            `toml:"endpoints"`
	RequestsPerSecond float64        `toml:"requests-per-second"`
	Duration          clock.Millis   `toml:"duration"`
	Phase             []replayPhase  `toml:"phase"`
	Restart           []replayReboot `toml:"restart"`
	crashScript
}

// replayPhase is a time with Load times the traffic, in which a fraction of the endpoints refuses a
// fraction of the requests.
type replayPhase struct {
	From              clock.Millis `toml:"from"`
	To                clock.Millis `toml:"to"`
	Load              float64      `toml:"load"`
	RefusingEndpoints float64      `toml:"refusing-endpoints"`
	Refused           float64      `toml:"refused"`
}

type replayReboot struct {
	Entry int          `toml:"entry"`
	At    clock.Millis `toml:"at"`
}

// replay is a run of a script.
type replay struct {
	script    replayScript
	start     time.Time
	route     *catalog.Route
	mu        sync.Mutex
	random    *rand.Rand
	endpoints map[string]*replayEndpoint
	entries   []atomic.Pointer[replayEntry]
	changes   []fleet.Change
	// sentAt holds the times at which requests were sent, arrivals how often each arrived at
	// endpoints, and retriedAt the times of the arrivals beyond the first.
	sentAt    []clock.Millis
	arrivals  map[string]int
	retriedAt []clock.Millis
	outcomes  replayOutcomes
	crashRecord
}

// replayOutcomes counts requests by what became of their last attempt by the caller.
type replayOutcomes struct {
	callers, answered, inTime, good int
}

func (o replayOutcomes) String() string {
	share := func(n int) float64 { return float64(n) / float64(o.callers) }
	return fmt.Sprintf("%d callers: %.3f answered, %.3f in time, %.3f of them well", o.callers, share(o.answered), share(o.inTime), share(o.good))
}

func (p *replay) now() clock.Millis { return clock.FromDuration(time.Since(p.start)) + clock.Minute }

// phase returns the phase at the given time since the start.
func (p *replay) phase(at clock.Millis) replayPhase {
	for _, x := range p.script.Phase {
		if at >= x.From && at < x.To {
			return x
		}
	}
	return replayPhase{Load: 1}
}

// draw returns a random number in [0, 1).
func (p *replay) draw() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Float64()
}

// replayEndpoint is an endpoint that prefills prompts one after another and then sends their
// events.
type replayEndpoint struct {
	replay   *replay
	index    int
	mu       sync.Mutex
	inFlight int
	freeAt   clock.Millis
	conns    chan net.Conn
	server   *http.Server
	ended    bool
}

const (
	replaySlots        = 32
	replayQueue        = 32
	replayEvents       = 5
	replayEventDelay   = 40 * time.Millisecond
	replayLatency      = time.Millisecond
	replaySmallPrefill = 20 * clock.Millis(1)
	replayLargePrefill = 130 * clock.Millis(1)
)

// Accept, Close and Addr make the endpoint a listener of in-memory connections.
func (e *replayEndpoint) Accept() (net.Conn, error) {
	c, ok := <-e.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (e *replayEndpoint) Close() error { return nil }

func (e *replayEndpoint) Addr() net.Addr { return &net.TCPAddr{} }

func (e *replayEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p := e.replay
	time.Sleep(replayLatency)
	p.recordArrival(r)
	h := w.Header()
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	phase := p.phase(p.now() - clock.Minute)
	if e.sheds(phase) || !e.begin() {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.end()
	if !e.prefill(r) {
		return
	}
	h.Set("Confidence", fmt.Sprint(confidenceOf(r.Header.Get("Request-Id"), r.Header.Get("Model"))))
	w.WriteHeader(http.StatusOK)
	if p.crashes(r) {
		_ = http.NewResponseController(w).Flush()
		time.Sleep(crashDelay)
		e.crashBy(p.blockOf(r))
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := last; i < replayEvents; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(replayEventDelay):
		case <-r.Context().Done():
			return
		}
	}
}

// sheds reports whether the endpoint refuses the request although it has room.
func (e *replayEndpoint) sheds(phase replayPhase) bool {
	return float64(e.index) < phase.RefusingEndpoints*float64(e.replay.script.Endpoints) && e.replay.draw() < phase.Refused
}

func (e *replayEndpoint) begin() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inFlight >= replaySlots+replayQueue {
		return false
	}
	e.inFlight++
	return true
}

func (e *replayEndpoint) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
}

// prefill waits until the prompt was prefilled, and reports whether the caller is still there.
func (e *replayEndpoint) prefill(r *http.Request) bool {
	took := replaySmallPrefill
	if r.Header.Get("Model") == "large" {
		took = replayLargePrefill
	}
	e.mu.Lock()
	now := e.replay.now()
	e.freeAt = max(e.freeAt, now) + took
	wait := e.freeAt - now
	e.mu.Unlock()
	select {
	case <-time.After(wait.Duration()):
		return true
	case <-r.Context().Done():
		return false
	}
}

// confidenceOf returns a model's confidence in its answer to a request: the small model answers two
// of five requests poorly.
func confidenceOf(id, model string) int {
	if model == "large" {
		return 90
	}
	return 100 * int(catalog.HashOf(id+"/confidence")%100) / 99
}

func (p *replay) recordArrival(r *http.Request) {
	id := r.Header.Get("Request-Id")
	p.recordCrashing(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals[id]++
	if p.arrivals[id] > 1 {
		p.retriedAt = append(p.retriedAt, p.now())
	}
}

// dial connects to an endpoint of the replay.
func (p *replay) dial(_ context.Context, _, address string) (net.Conn, error) {
	p.mu.Lock()
	e := p.endpoints[address]
	p.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	near, far := net.Pipe()
	e.conns <- far
	return near, nil
}

// replayEntry is an entry with its state of the site.
type replayEntry struct {
	*Server
	name string
	// inTouchFrom is when the entry has run for stabilityWindow; stop ends its reports.
	inTouchFrom clock.Millis
	stop        context.CancelFunc
	mu          sync.Mutex
	state       *site.State
	view        atomic.Pointer[site.View]
}

// reduce applies events to the entry's state and publishes its view.
func (e *replayEntry) reduce(events ...site.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, x := range events {
		site.Reduce(e.state, x)
	}
	e.view.Store(e.state.View())
}

// newEntry returns an entry that knows the site.
func (p *replay) newEntry(ctx context.Context, i int) *replayEntry {
	e := &replayEntry{name: fmt.Sprint("entry-", i), state: site.NewState(site.Self{Name: fmt.Sprint("entry-", i)}, p.now())}
	ctx, e.stop = context.WithCancel(ctx)
	now := p.now()
	if now > clock.Minute {
		e.inTouchFrom = now + stabilityWindow
	}
	config := configOf(p.route, catalog.Service{Name: "app"})
	addresses := make(map[string]string)
	for j := range p.script.Entries {
		addresses[fmt.Sprint("entry-", j)] = fmt.Sprint(j)
	}
	p.mu.Lock()
	changes := slices.Clone(p.changes)
	p.mu.Unlock()
	e.reduce(site.VerdictsRead{Now: now}, site.OperatorRead{Now: now, SentAt: now, Full: true, Update: site.OperatorUpdate{Config: config}},
		site.EndpointsRead{Now: now, SentAt: now, Full: true, Changes: changes}, site.EntriesRead{Now: now, Addresses: addresses})
	c := clock.New(p.now)
	e.Server = New(Config{
		Clock: c, Log: log.New(io.Discard), View: e.view.Load, Pool: upstream.NewPoolWith(c, p.dial),
		RetryRatio: replayRatio, RetrySlack: replaySlack, RetryWindow: replayWindow, SessionIdleTimeout: 5 * clock.Second,
		Dialect: Dialect{Read: p.readRequest, Call: e.call, Head: replayHead, SetRefusalHeaders: func(http.Header, string) {}},
	})
	send := func(r *wire.EntryReport, to []string) error {
		for _, address := range to {
			j, _ := strconv.Atoi(address)
			if other := p.entries[j].Load(); other != nil && other.Server != e.Server && p.draw() >= p.script.LostReports {
				other.ReceiveReport(r)
			}
		}
		return nil
	}
	process := fmt.Sprint("entry-", i, "/", now)
	go e.SendReports(ctx, process, send)
	go e.SendEvidence(ctx, process, send)
	go e.ServeSnapshots(ctx, process, send)
	if now > clock.Minute {
		go e.RequestSnapshot(ctx, process, fmt.Sprint(i), send)
	}
	return e
}

// readRequest reads a request and notes whether endpoints crash on it.
func (p *replay) readRequest(r *http.Request) (*Request, error) {
	req, err := readReplayRequest(r)
	if p.crashes(r) {
		p.crashingKeys.Store(keysOf(req).Request(), true)
	}
	return req, err
}

func readReplayRequest(r *http.Request) (*Request, error) {
	id := r.Header.Get("Request-Id")
	return &Request{
		ID: id, Method: r.Method, Path: r.URL.Path, Target: "/x?" + r.Header.Get("Blocks"), Host: "h", Header: r.Header, AnyModel: true, CallerTimeout: 5 * clock.Second,
		Blocks: replayBlocks(id, r.Header.Get("Blocks")),
	}, nil
}

func replayCall(req *Request, params AttemptParams, _ []byte) upstream.Call {
	h := http.Header{"Request-Id": {req.ID}, "Model": {params.Model}, "Blocks": req.Header["Blocks"]}
	if req.LastEventID != "" {
		h.Set("Last-Event-Id", req.LastEventID)
	}
	return upstream.Call{Address: params.Address, Method: http.MethodGet, Target: "/x", Host: "h", Header: h}
}

// call builds the request of an entry to an endpoint.
func (e *replayEntry) call(req *Request, params AttemptParams, body []byte) upstream.Call {
	c := replayCall(req, params, body)
	c.Header.Set("Entry", e.name)
	return c
}

func replayHead(status int, h http.Header) Head {
	head := Head{Status: status, Signed: true, NotRun: h.Get("Not-Executed") != "", Confidence: -1, Header: http.Header{"Confidence": h["Confidence"]}}
	_, _ = fmt.Sscan(h.Get("Confidence"), &head.Confidence)
	return head
}

// call sends a request to an entry and returns the answer, whose status is 0 if it broke off.
func (p *replay) call(id, blocks string, target clock.Millis) (status int, retryAfter time.Duration, inTime, good bool) {
	p.mu.Lock()
	p.sentAt = append(p.sentAt, p.now())
	p.mu.Unlock()
	server := p.entries[int(p.draw()*float64(len(p.entries)))].Load()
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	r.Header.Set("Request-Id", id)
	r.Header.Set("Blocks", blocks)
	startedAt := p.now()
	firstAt := clock.Millis(0)
	first := &firstWrite{ResponseRecorder: w, written: func() { firstAt = p.now() }}
	func() {
		defer func() { _ = recover() }()
		server.ServeHTTP(first, r)
		status = w.Code
	}()
	var seconds float64
	_, _ = fmt.Sscan(w.Header().Get("Retry-After"), &seconds)
	confidence := 0
	_, _ = fmt.Sscan(w.Header().Get("Confidence"), &confidence)
	return status, time.Duration(seconds * float64(time.Second)), firstAt-startedAt <= target, confidence >= 50
}

// firstWrite notes the first write of an answer.
type firstWrite struct {
	*httptest.ResponseRecorder
	once    sync.Once
	written func()
}

func (w *firstWrite) Write(b []byte) (int, error) {
	w.once.Do(w.written)
	return w.ResponseRecorder.Write(b)
}

// caller sends a request and, if it was refused as not run, once more after the time that the
// refusal names.
func (p *replay) caller(i int) {
	const target = 2 * clock.Second
	at := p.now()
	status, wait, inTime, good := p.call(fmt.Sprint("r-", i), p.usualBlocks(), target)
	p.recordFirstTry("", firstTry{at, status == http.StatusOK})
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		time.Sleep(wait)
		status, _, inTime, good = p.call(fmt.Sprint("r-", i, "-again"), p.usualBlocks(), target-clock.FromDuration(wait))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes.callers++
	if status != http.StatusOK {
		return
	}
	p.outcomes.answered++
	if inTime {
		p.outcomes.inTime++
		if good {
			p.outcomes.good++
		}
	}
}

// run plays the script.
func (p *replay) run(ctx context.Context) {
	p.start = time.Now()
	for range p.script.Endpoints {
		p.addEndpoint()
	}
	defer func() {
		for _, e := range p.endpoints {
			e.crash()
		}
		time.Sleep(time.Second)
	}()
	p.entries = make([]atomic.Pointer[replayEntry], p.script.Entries)
	for i := range p.entries {
		p.entries[i].Store(p.newEntry(ctx, i))
	}
	for _, r := range p.script.Restart {
		time.AfterFunc(r.At.Duration(), func() {
			p.entries[r.Entry].Load().stop()
			p.entries[r.Entry].Store(p.newEntry(ctx, r.Entry))
		})
	}
	p.startCrashes(ctx)
	var callers sync.WaitGroup
	for i := 0; ; i++ {
		at := p.now() - clock.Minute
		if at >= p.script.Duration {
			break
		}
		callers.Go(func() { p.caller(i) })
		time.Sleep(time.Duration(2 * p.draw() * float64(time.Second) / p.script.RequestsPerSecond / p.phase(at).Load))
	}
	callers.Wait()
	time.Sleep((2 * replayDrain).Duration())
}

// checkBudget fails if in some window there are more arrivals beyond the first than allowed.
func (p *replay) checkBudget(t *testing.T) {
	t.Helper()
	if from, n, requests := p.excess(); n > 0 {
		t.Errorf("%d arrivals beyond the first from %s on, for %d requests", n, from, requests)
	}
}

// excess returns a window with more arrivals beyond the first than are allowed for the requests of that
// window, the one before it or the one half a window before it; n is 0 if there is none.
func (p *replay) excess() (from clock.Millis, n, requests int) {
	within := func(times []clock.Millis, from clock.Millis) (n int) {
		first, _ := slices.BinarySearch(times, from)
		end, _ := slices.BinarySearch(times, from+replayWindow)
		return end - first
	}
	for from = clock.Minute; from < clock.Minute+p.script.Duration; from += 100 {
		requests = max(within(p.sentAt, from), within(p.sentAt, from-replayWindow), within(p.sentAt, from-replayWindow/2))
		if n = within(p.retriedAt, from); float64(n) > replayRatio*float64(requests)+replaySlack {
			return from - clock.Minute, n, requests
		}
	}
	return 0, 0, 0
}

func playReplay(t *testing.T, name string, seed uint64) (p *replay) {
	t.Helper()
	p = newReplay(t, seed)
	text, err := os.ReadFile(filepath.Join("testdata", "replays", name+".toml"))
	is.New(t).NoErr(err)
	is.New(t).NoErr(toml.Unmarshal(text, &p.script))
	p.play(t)
	t.Logf("%s, seed %d: %s; %d arrivals beyond the first", name, seed, p.outcomes, len(p.retriedAt))
	return p
}

// newReplay returns a replay without a script.
func newReplay(t *testing.T, seed uint64) *replay {
	t.Helper()
	return &replay{
		random: rand.New(rand.NewPCG(seed, seed)), endpoints: make(map[string]*replayEndpoint), arrivals: make(map[string]int),
		route: &catalog.Route{Name: "r", Prefix: "/", Host: "h", Kind: catalog.Streaming, Resumable: true, Public: true, Timeout: 5000, LatencyTarget: 2000, TargetGap: 800, MaxAttempts: 3, Models: []string{"small", "large"}, Targets: []catalog.Target{{Service: "app", Weight: 1}}},
	}
}

// play plays the script in virtual time.
func (p *replay) play(t *testing.T) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		p.run(ctx)
	})
}

// Most endpoints refuse most requests under more than double the traffic. Guards against retries
// beyond the budget that all entries share.
func TestSheddingEndpointsReplay(t *testing.T) {
	for seed := range uint64(3) {
		playReplay(t, "shedding", seed).checkBudget(t)
	}
}

// No endpoint refuses. Guards against a budget that is kept for refusals while nothing is refused.
func TestCalmReplay(t *testing.T) {
	is := is.New(t)
	p := playReplay(t, "calm", 1)
	p.checkBudget(t)
	is.Equal(p.outcomes.answered, p.outcomes.callers)
}
