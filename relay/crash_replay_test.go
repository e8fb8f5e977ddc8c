package relay

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/placement"
	"github.com/parsleydeal/parsleydeal/site"
)

// crashScript is the part of a script about endpoints that end.
type crashScript struct {
	// LostReports is the fraction of reports between entries that are lost.
	LostReports float64      `toml:"lost-reports"`
	Crash       []crashLoad  `toml:"crash"`
	Sound       []crashLoad  `toml:"sound"`
	End         []replayEnds `toml:"end"`
	Lone        []loneLoad   `toml:"lone"`
}

// loneLoad is a series of callers, each with one request of its own that crashes each endpoint. A caller
// sends it again under another ID, at any entry, up to Tries times; Copies of it are sent at once.
type loneLoad struct {
	Name    string       `toml:"name"`
	Callers int          `toml:"callers"`
	Every   clock.Millis `toml:"every"`
	From    clock.Millis `toml:"from"`
	Tries   int          `toml:"tries"`
	Copies  int          `toml:"copies"`
	// Bare means that the requests name no blocks of a prompt.
	Bare bool `toml:"bare"`
}

// crashLoad is a stream of requests with a block of their own, which crashes endpoints or not. Other
// blocks are those of the usual requests, and only the last one differs between requests.
type crashLoad struct {
	Block     string       `toml:"block"`
	First     bool         `toml:"first"`
	PerSecond float64      `toml:"per-second"`
	From      clock.Millis `toml:"from"`
	To        clock.Millis `toml:"to"`
}

// replayEnds takes one endpoint away in each interval Every.
type replayEnds struct {
	Every clock.Millis `toml:"every"`
	From  clock.Millis `toml:"from"`
	To    clock.Millis `toml:"to"`
}

// crashRecord is what happened in a replay with endpoints that end.
type crashRecord struct {
	// crashedAt holds by block the times at which endpoints crashed on it, crashingAt those at which
	// requests with it arrived at endpoints, from entries that have run for stabilityWindow.
	crashedAt  map[string][]clock.Millis
	crashingAt map[string][]clock.Millis
	// firstTries holds the first tries of sound callers by the block that they had of their own.
	firstTries map[string][]firstTry
	// crashingKeys holds the keys of requests on which endpoints crash.
	crashingKeys sync.Map
}

type firstTry struct {
	at     clock.Millis
	served bool
}

const (
	// crashDelay is the time from the head of an answer to the crash by a block.
	crashDelay = 70 * time.Millisecond
	// returnDelay is the time until an endpoint that ended is back, under another name. leaseTime is
	// the time until the one that ended is no longer listed.
	returnDelay = 1500 * time.Millisecond
	leaseTime   = 2500 * time.Millisecond
	// callerDelay is the time from an answer to the caller's next try at another entry.
	callerDelay = 2 * time.Millisecond
	// stabilityWindow is the time within which all entries must know a block that crashed endpoints,
	// after the fifth crash.
	stabilityWindow = 3 * clock.Second
	crashesToKnow   = 5
	// maxArrivalsAfter is how many requests with the block may arrive after that.
	maxArrivalsAfter = 3
)

// usual in place of a block means that a request has only those that most requests have.
const usual = "usual"

// usualBlocks says which blocks the requests have that are not of a crashLoad: in scripts about endpoints
// that end they share their first block with those.
func (p *replay) usualBlocks() string {
	if len(p.script.Crash)+len(p.script.Sound)+len(p.script.End)+len(p.script.Lone) > 0 {
		return usual
	}
	return ""
}

// lone and bare precede the name of a request of a loneLoad in place of a block.
const (
	lone = "lone/"
	bare = "bare/"
)

// isLone reports whether a request is of a loneLoad.
func isLone(own string) bool { return strings.HasPrefix(own, lone) || strings.HasPrefix(own, bare) }

func replayBlocks(id, own string) []placement.Block {
	first, middle := fmt.Sprint("first-", catalog.HashOf(id)%5), fmt.Sprint("shared-", catalog.HashOf(id)%100)
	blocks := []placement.Block{{ID: middle, Tokens: 300}, {ID: id, Tokens: 700}}
	own, isFirst := strings.CutPrefix(own, "first/")
	switch {
	case strings.HasPrefix(own, bare):
		return nil
	case strings.HasPrefix(own, lone):
		return []placement.Block{{ID: fmt.Sprint("first-", catalog.HashOf(own)%5), Tokens: 100}, {ID: fmt.Sprint("shared-", catalog.HashOf(own)%100), Tokens: 300}, {ID: own, Tokens: 700}}
	case own == "":
		return blocks
	case own == usual:
		return append([]placement.Block{{ID: first, Tokens: 100}}, blocks...)
	case isFirst:
		return append([]placement.Block{{ID: own, Tokens: 100}}, blocks...)
	}
	return append([]placement.Block{{ID: first, Tokens: 100}, {ID: own, Tokens: 100}}, blocks...)
}

// blockOf returns the block that a request has of its own; empty if it has none.
func (p *replay) blockOf(r *http.Request) string {
	return strings.TrimPrefix(r.Header.Get("Blocks"), "first/")
}

// crashes reports whether the request has a block that crashes endpoints.
func (p *replay) crashes(r *http.Request) bool {
	return isLone(p.blockOf(r)) || slices.ContainsFunc(p.script.Crash, func(c crashLoad) bool { return c.Block == p.blockOf(r) })
}

// recordCrashing records that a request arrived, if it has a block that crashes endpoints.
func (p *replay) recordCrashing(r *http.Request) {
	if !p.crashes(r) {
		return
	}
	from := p.entryNamed(r.Header.Get("Entry"))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.now() >= from.inTouchFrom {
		p.crashingAt[p.blockOf(r)] = append(p.crashingAt[p.blockOf(r)], p.now())
	}
}

func (p *replay) entryNamed(name string) *replayEntry {
	i, _ := strconv.Atoi(strings.TrimPrefix(name, "entry-"))
	return p.entries[i].Load()
}

// addEndpoint starts the next endpoint and lists it.
func (p *replay) addEndpoint() {
	p.mu.Lock()
	i := len(p.endpoints)
	id, address := fmt.Sprint("i-", i), fmt.Sprint("10.0.", i/250, ".", i%250, ":1")
	e := &replayEndpoint{replay: p, index: i, conns: make(chan net.Conn, 16)}
	e.server = &http.Server{Handler: e}
	p.endpoints[address] = e
	change := fleet.Change{ID: id, Endpoint: &fleet.Endpoint{ID: id, Service: "app", Address: address, Version: "v1", Slots: replaySlots}}
	p.changes = append(p.changes, change)
	p.mu.Unlock()
	go func() { _ = e.server.Serve(e) }()
	p.announce(change)
}

// announce tells all entries of a change of the endpoints.
func (p *replay) announce(c fleet.Change) {
	for i := range p.entries {
		if e := p.entries[i].Load(); e != nil {
			e.reduce(site.EndpointsRead{Now: p.now(), SentAt: p.now(), Changes: []fleet.Change{c}})
		}
	}
}

// crash ends the endpoint at once, once.
func (e *replayEndpoint) crash() (first bool) {
	e.mu.Lock()
	first = !e.ended
	e.ended = true
	e.mu.Unlock()
	if !first {
		return false
	}
	p := e.replay
	close(e.conns)
	_ = e.server.Close()
	if p.stopped() {
		return true
	}
	time.AfterFunc(returnDelay, func() {
		if !p.stopped() {
			p.addEndpoint()
		}
	})
	time.AfterFunc(leaseTime, func() {
		p.mu.Lock()
		id := fmt.Sprint("i-", e.index)
		p.changes = slices.DeleteFunc(p.changes, func(c fleet.Change) bool { return c.ID == id })
		p.mu.Unlock()
		p.announce(fleet.Change{ID: id})
	})
	return true
}

// crashBy ends the endpoint by a block.
func (e *replayEndpoint) crashBy(block string) {
	if !e.crash() {
		return
	}
	p := e.replay
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.over() {
		p.crashedAt[block] = append(p.crashedAt[block], p.now())
	}
}

// over reports whether the script is over.
func (p *replay) over() bool { return p.now()-clock.Minute >= p.script.Duration }

// stopped reports whether the script has been over for so long that no endpoint comes back.
func (p *replay) stopped() bool { return p.now()-clock.Minute >= p.script.Duration+replayDrain }

// replayDrain is how long callers may still wait after the script is over.
const replayDrain = 10 * clock.Second

// startCrashes starts what the script says about endpoints that end, and the entries' reports of
// themselves.
func (p *replay) startCrashes(ctx context.Context) {
	go p.reportEntries(ctx)
	p.firstTries, p.crashedAt, p.crashingAt = make(map[string][]firstTry), make(map[string][]clock.Millis), make(map[string][]clock.Millis)
	for _, c := range p.script.Crash {
		go p.load(ctx, c, 3)
	}
	for _, c := range p.script.Sound {
		go p.load(ctx, c, 1)
	}
	for _, x := range p.script.End {
		go p.takeAway(ctx, x)
	}
	for _, x := range p.script.Lone {
		go p.loneCallers(ctx, x)
	}
}

// loneCallers starts the callers of a loneLoad.
func (p *replay) loneCallers(ctx context.Context, x loneLoad) {
	prefix := lone
	if x.Bare {
		prefix = bare
	}
	if !clock.Pause(ctx, x.From) {
		return
	}
	for i := range x.Callers {
		for j := range max(x.Copies, 1) {
			go p.tryCall(fmt.Sprint(x.Name, "-", i, "-", j), fmt.Sprint(prefix, x.Name, "-", i), x.Tries)
		}
		if !clock.Pause(ctx, x.Every) {
			return
		}
	}
}

// reportEntries has all entries hear of each other each second.
func (p *replay) reportEntries(ctx context.Context) {
	for {
		for i := range p.entries {
			e, events := p.entries[i].Load(), []site.Event{site.Tick{Now: p.now()}}
			for j := range p.entries {
				if other := p.entries[j].Load(); i != j {
					events = append(events, site.ReportReceived{Now: p.now(), Report: &wire.EntryReport{Process: other.name, Name: other.name, Address: fmt.Sprint(j), Entries: int32(len(p.entries))}})
				}
			}
			e.reduce(events...)
		}
		if !clock.Pause(ctx, clock.Second) {
			return
		}
	}
}

// load sends requests with a block of their own; each caller tries up to the given number of times.
func (p *replay) load(ctx context.Context, c crashLoad, tries int) {
	to := cmp.Or(c.To, p.script.Duration)
	if !clock.Pause(ctx, c.From) {
		return
	}
	own := c.Block
	if c.First {
		own = "first/" + own
	}
	for i := 0; p.now()-clock.Minute < to; i++ {
		go p.tryCall(fmt.Sprint(c.Block, "-", i), own, tries)
		if !clock.Pause(ctx, clock.Millis(2*p.draw()*float64(clock.Second)/c.PerSecond)) {
			return
		}
	}
}

// tryCall calls until the answer is there or no try is left.
func (p *replay) tryCall(id, own string, tries int) {
	for i := range tries {
		at := p.now()
		status, wait, _, _ := p.call(fmt.Sprint(id, "-", i), own, 2*clock.Second)
		if i == 0 {
			p.recordFirstTry(strings.TrimPrefix(own, "first/"), firstTry{at, status == http.StatusOK})
		}
		if status == http.StatusOK {
			return
		}
		time.Sleep(max(min(wait, time.Second), callerDelay))
	}
}

func (p *replay) recordFirstTry(own string, try firstTry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.firstTries[own] = append(p.firstTries[own], try)
}

// takeAway ends one endpoint after the other for another reason than a request.
func (p *replay) takeAway(ctx context.Context, x replayEnds) {
	if !clock.Pause(ctx, x.From) {
		return
	}
	for p.now()-clock.Minute < cmp.Or(x.To, p.script.Duration) {
		p.mu.Lock()
		var running []*replayEndpoint
		for _, e := range p.endpoints {
			running = append(running, e)
		}
		p.mu.Unlock()
		slices.SortFunc(running, func(a, b *replayEndpoint) int { return a.index - b.index })
		running = slices.DeleteFunc(running, func(e *replayEndpoint) bool {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.ended
		})
		if len(running) > 1 {
			running[int(p.draw()*float64(len(running)))].crash()
		}
		if !clock.Pause(ctx, x.Every) {
			return
		}
	}
}

// servedFirst returns the fraction of the first tries between two times that were served.
func (p *replay) servedFirst(own string, from, to clock.Millis) (served float64, n int) {
	for _, try := range p.firstTries[own] {
		if try.at >= from && try.at < to {
			n++
			if try.served {
				served++
			}
		}
	}
	return served / float64(max(n, 1)), n
}

// checkCrashes fails if more requests with a block arrived after the entries had time to know it than
// allowed, or if sound requests were then served at the first try less than half as often as before.
func (p *replay) checkCrashes(t *testing.T) {
	t.Helper()
	end, settled := clock.Minute+p.script.Duration, clock.Millis(0)
	start := end
	for _, c := range p.script.Crash {
		at := p.crashedAt[c.Block]
		start = min(start, clock.Minute+c.From)
		if len(at) == 0 {
			continue
		}
		settled = max(settled, at[min(len(at), crashesToKnow)-1]+2*stabilityWindow)
		known := end
		if len(at) >= crashesToKnow {
			known = at[crashesToKnow-1] + stabilityWindow
		}
		after := 0
		for _, arrived := range p.crashingAt[c.Block] {
			if arrived > known {
				after++
			}
		}
		t.Logf("%q: %d endpoints crashed, %d requests arrived, %d of them after %s", c.Block, len(at), len(p.crashingAt[c.Block]), after, known-clock.Minute)
		if after > maxArrivalsAfter {
			t.Errorf("%q: %d requests arrived after %s, %d allowed", c.Block, after, known-clock.Minute, maxArrivalsAfter)
		}
	}
	calm, _ := p.servedFirst("", 0, start)
	for own := range p.firstTries {
		if slices.ContainsFunc(p.script.Crash, func(c crashLoad) bool { return c.Block == own }) {
			continue
		}
		served, n := p.servedFirst(own, settled, end)
		t.Logf("%q: %.3f of %d first tries served, %.3f before", own, served, n, calm)
		if n >= 20 && served < calm/2 {
			t.Errorf("%q: %.3f of %d first tries served, %.3f before", own, served, n, calm)
		}
	}
}

// endsToKnow is the number of endpoints under a request after which it must reach no other one.
const endsToKnow = 3

// checkLone fails if a request of its own went on to endpoints after three had ended under it, or if sound
// requests were served less than half as often as before.
// It is exact where no reports are lost and no entry restarts; otherwise entries have stabilityWindow to know.
func (p *replay) checkLone(t *testing.T, exact bool) {
	t.Helper()
	knowTime, maxAfter := clock.Second, 0
	if !exact {
		knowTime, maxAfter = stabilityWindow, maxArrivalsAfter
	}
	ended, most := 0, 0
	for own, at := range p.crashedAt {
		if !isLone(own) {
			continue
		}
		ended += len(at)
		most = max(most, len(at))
		if len(at) < endsToKnow {
			continue
		}
		after := 0
		for _, arrived := range p.crashingAt[own] {
			if arrived > at[endsToKnow-1]+knowTime {
				after++
			}
		}
		if after > maxAfter {
			t.Errorf("%q: %d endpoints crashed, %d requests arrived later than %s after the third", own, len(at), after, knowTime)
		}
	}
	start := p.script.Lone[0].From + clock.Minute
	calm, _ := p.servedFirst("", 0, start)
	later, n := p.servedFirst("", start, clock.Minute+p.script.Duration)
	t.Logf("%d endpoints crashed, at most %d by one request; sound ones served at the first try %.3f before, then %.3f of %d", ended, most, calm, later, n)
	if later < calm/2 {
		t.Errorf("%.3f of sound first tries served, %.3f before", later, calm)
	}
}

// checkFourth fails if a fourth endpoint crashed under one request, but for copies that were in progress when the third did.
func (p *replay) checkFourth(t *testing.T) {
	t.Helper()
	for own, at := range p.crashedAt {
		if !isLone(own) || len(at) < endsToKnow {
			continue
		}
		inProgress := 0
		for _, arrived := range p.crashingAt[own] {
			if arrived <= at[endsToKnow-1] {
				inProgress++
			}
		}
		if len(at) > max(inProgress, endsToKnow) {
			t.Errorf("%q: %d endpoints crashed, %d requests arrived before the third; crashed at %v, arrived at %v", own, len(at), inProgress, at, p.crashingAt[own])
		}
	}
}

// playRequestCrashes plays the scripts in which single requests crash endpoints.
func playRequestCrashes(t *testing.T, check func(t *testing.T, p *replay)) {
	for _, name := range []string{"crash-request", "crash-bare-request", "crash-request-copies"} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) { check(t, playReplay(t, name, seed)) })
		}
	}
}

// One request, sent again by its caller under other IDs, crashes each endpoint. Guards against entries that
// take each repeat for another request, and against sound requests that are kept out.
func TestRequestCrashesEndpointsReplay(t *testing.T) {
	playRequestCrashes(t, func(t *testing.T, p *replay) { p.checkLone(t, true) })
}

// Guards against a request that is sent on after three endpoints have crashed under it.
func TestNoFourthEndpointCrashesReplay(t *testing.T) {
	playRequestCrashes(t, func(t *testing.T, p *replay) { p.checkFourth(t) })
}

// Requests with one block crash each endpoint that begins to answer them. Guards against entries that
// send such requests to one endpoint after the other.
func TestBlockCrashesEndpointsReplay(t *testing.T) {
	for _, name := range []string{"crash-middle", "crash-first", "crash-new-block-beside", "crash-storm"} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) { playReplay(t, name, seed).checkCrashes(t) })
		}
	}
}

// Endpoints end one after the other for another reason, beside requests with a new block. Guards against
// a sound block that is kept out.
func TestEndingEndpointsReplay(t *testing.T) {
	is := is.New(t)
	p := playReplay(t, "endpoints-end", 1)
	for _, own := range []string{"", "new"} {
		served, n := p.servedFirst(own, 0, clock.Hour)
		t.Logf("%q: %.3f of %d first tries served", own, served, n)
		is.True(served > 0.98)
	}
}

// drawScript draws a site and what happens on it: up to three blocks that crash endpoints, new sound ones,
// endpoints that end for other reasons, entries that restart and reports that are lost.
func (p *replay) drawScript(maxEntries int) {
	between := func(low, high int) int { return low + int(p.draw()*float64(high-low+1)) }
	at := func(low, high clock.Millis) clock.Millis { return low + clock.Millis(p.draw()*float64(high-low)) }
	p.script = replayScript{Entries: between(1, maxEntries), Endpoints: between(8, 24), RequestsPerSecond: float64(between(40, 100)), Duration: at(20, 50) * clock.Second}
	p.script.LostReports = max(p.draw()-0.6, 0)
	for i := range between(0, 3) {
		p.script.Crash = append(p.script.Crash, crashLoad{Block: fmt.Sprint("bad-", i), First: p.draw() < 0.3, PerSecond: 0.5 + 20*p.draw()*p.draw(), From: at(4, 12) * clock.Second})
	}
	for i := range between(0, 2) {
		p.script.Sound = append(p.script.Sound, crashLoad{Block: fmt.Sprint("new-", i), First: p.draw() < 0.3, PerSecond: 2 + 8*p.draw(), From: at(4, 16) * clock.Second})
	}
	if p.draw() < 0.4 {
		p.script.End = []replayEnds{{Every: at(600, 3000), From: at(0, 10) * clock.Second, To: at(12, 40) * clock.Second}}
	}
	for range between(0, 4) * between(0, 1) {
		p.script.Restart = append(p.script.Restart, replayReboot{Entry: between(0, p.script.Entries-1), At: at(2, 40) * clock.Second})
	}
}

// Blocks crash endpoints on sites that are drawn. Guards against entries that do not come to know such a
// block together, and against sound blocks that are kept out.
func TestDrawnCrashesReplay(t *testing.T) {
	for seed := range uint64(drawnSeeds(t)) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			p := newReplay(t, seed)
			p.drawScript(8)
			t.Logf("%+v", p.script)
			p.play(t)
			p.checkCrashes(t)
			p.checkVerdicts(t)
			p.checkSoundVerdicts(t)
		})
	}
}

// Single requests, sent again by their callers, crash endpoints on sites that are drawn. Guards against entries that
// do not come to know such a request together, and against sound ones that are kept out.
func TestDrawnRequestCrashesReplay(t *testing.T) {
	for seed := range uint64(drawnSeeds(t)) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			p := newReplay(t, seed)
			p.drawScript(8)
			p.script.Crash, p.script.Sound = nil, nil
			for i := range 1 + int(3*p.draw()) {
				p.script.Lone = append(p.script.Lone, loneLoad{
					Name: fmt.Sprint("bad-", i), Callers: 1 + int(6*p.draw()), Every: clock.Millis(200 + 2000*p.draw()), From: clock.Millis(4000 + 8000*p.draw()),
					Tries: 1 + int(8*p.draw()), Copies: 1 + int(3*p.draw()*p.draw()), Bare: p.draw() < 0.5,
				})
			}
			t.Logf("%+v", p.script)
			p.play(t)
			p.checkLone(t, false)
			p.checkVerdicts(t)
			p.checkSoundVerdicts(t)
		})
	}
}

// checkSoundVerdicts fails if verdicts keep out more than one in a hundred sound requests.
func (p *replay) checkSoundVerdicts(t *testing.T) {
	t.Helper()
	sound, requests := make(map[string]bool), 0
	for i := range p.entries {
		for _, keys := range p.entries[i].Load().quarantine.Quarantined(p.now()) {
			if _, crashes := p.crashingKeys.Load(keys[0]); strings.HasPrefix(keys[0], "request:") && !crashes {
				sound[keys[0]] = true
			}
		}
	}
	for own, tries := range p.firstTries {
		if !isLone(own) {
			requests += len(tries)
		}
	}
	t.Logf("verdicts on %d of %d sound requests", len(sound), requests)
	if 100*len(sound) > requests {
		t.Errorf("verdicts on %d of %d sound requests", len(sound), requests)
	}
}

// drawnSeeds returns how many sites are drawn; DRAWN_SEEDS draws more.
func drawnSeeds(t *testing.T) int {
	t.Helper()
	const usual = 6
	n, err := strconv.Atoi(cmp.Or(os.Getenv("DRAWN_SEEDS"), strconv.Itoa(usual)))
	is.New(t).NoErr(err)
	return n
}

// checkVerdicts fails if blocks are quarantined on none of which an endpoint crashed. Single requests, of which few
// callers have one, are for checkSoundVerdicts.
func (p *replay) checkVerdicts(t *testing.T) {
	t.Helper()
	for i := range p.entries {
		for _, blocks := range p.entries[i].Load().quarantine.Quarantined(p.now()) {
			if !strings.HasPrefix(blocks[0], "request:") && !slices.ContainsFunc(blocks, func(block string) bool { return len(p.crashedAt[block]) > 0 }) {
				t.Errorf("entry %d: %q is quarantined, no endpoint crashed on it", i, blocks)
			}
		}
	}
}
