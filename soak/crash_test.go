package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/platform/standin"
)

const (
	// crashStream is the stream of random numbers for requests that crash endpoints.
	crashStream = 2 << 32
	// crashBlock is the block on which endpoints crash, crashDelay the time from the head of the answer
	// until they do. They are back under another name after crashReturn.
	crashBlock  = "bad"
	crashDelay  = 30 * time.Millisecond
	crashReturn = time.Second
	// crashPrefix begins the IDs of requests with the block.
	crashPrefix = "crash-"
	// loneStream is the stream of random numbers for single requests that crash endpoints, and lonePrefix begins
	// their IDs. What follows repeatMark differs between the repeats of such a request.
	loneStream = 3 << 32
	lonePrefix = "lone-"
	repeatMark = "~"
	// stabilityWindow is the time within which all undisturbed entries must know the block after the fifth
	// crash; maxLateArrivals requests with it may reach endpoints later.
	stabilityWindow = 3 * time.Second
	crashesToKnow   = 5
	maxLateArrivals = 3
)

// blockOf returns the middle block of a request's prompt.
func blockOf(id string) string {
	if strings.HasPrefix(id, crashPrefix) {
		return crashBlock
	}
	return "bb"
}

// contentOf returns the part of a request's ID that all its repeats have; endpoints see it in the request.
func contentOf(id string) string {
	content, _, _ := strings.Cut(id, repeatMark)
	return content
}

// maybeSendLoneCrashes has callers of every other seed send single requests that crash endpoints, until the context
// ends. Each is sent up to eight times under other IDs.
func (k *soak) maybeSendLoneCrashes(ctx context.Context, callers *sync.WaitGroup, rng *rand.Rand) (sends bool) {
	if rng.IntN(2) == 0 {
		return false
	}
	gap := clock.Millis(1500 + rng.IntN(1500))
	callers.Go(func() {
		k.logFault("single requests that crash endpoints, each %s", gap)
		client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 6 * time.Second}
		for i := 0; clock.Pause(ctx, gap); i++ {
			for try := range 8 {
				k.mu.Lock()
				key := k.keys[0]
				k.mu.Unlock()
				k.record(k.send(client, k.entries[rng.IntN(len(k.entries))], "chat", key, fmt.Sprint(lonePrefix, i, repeatMark, try)))
			}
		}
	})
	return true
}

// checkLoneCrashes checks how many requests reached endpoints from undisturbed entries although three had ended
// under the same request long before.
func (k *soak) checkLoneCrashes(runs map[string][]standin.Run) {
	all := make(map[string][]time.Time)
	for id, r := range runs {
		for _, run := range r {
			if strings.HasPrefix(id, lonePrefix) {
				all[contentOf(id)] = append(all[contentOf(id)], run.At)
			}
		}
	}
	late, most := 0, 0
	for _, s := range k.sent {
		at := all[contentOf(s.id)]
		most = max(most, len(at))
		if !strings.HasPrefix(s.id, lonePrefix) || len(at) < 3 || s.undisturbed < stabilityWindow {
			continue
		}
		slices.SortFunc(at, time.Time.Compare)
		for _, r := range runs[s.id] {
			if known := at[2].Add(crashDelay + stabilityWindow); s.at.After(known) && r.At.After(known) {
				late++
			}
		}
	}
	k.t.Logf("%d single requests crashed endpoints, %d runs of one at most, %d late", len(all), most, late)
	if late > maxLateArrivals {
		k.t.Errorf("%d single requests arrived later than %s after three endpoints had ended under them, %d allowed", late, stabilityWindow, maxLateArrivals)
	}
}

// quietTime is how long requests that crash endpoints go on after the last fault, before the recovery is
// checked beside them.
const quietTime = stabilityWindow

// maybeSendCrashes has callers of every other seed send requests that crash endpoints, until the context
// ends. Each caller tries up to three times.
func (k *soak) maybeSendCrashes(ctx context.Context, callers *sync.WaitGroup, rng *rand.Rand) (sends bool) {
	if rng.IntN(2) == 0 {
		return false
	}
	from, gap := clock.Millis(rng.IntN(*seconds*1000/2)), clock.Millis(100+rng.IntN(500))
	callers.Go(func() {
		if !clock.Pause(ctx, from) {
			return
		}
		k.logFault("requests that crash endpoints, each %s", gap)
		client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 6 * time.Second}
		for i := 0; clock.Pause(ctx, gap); i++ {
			for try := range 3 {
				k.mu.Lock()
				key := k.keys[0]
				k.mu.Unlock()
				k.record(k.send(client, k.entries[rng.IntN(len(k.entries))], "chat", key, fmt.Sprint(crashPrefix, i, "-", try)))
			}
		}
	})
	return true
}

// replaceCrashed starts an endpoint under another name some time after this one crashed.
func (s *site) replaceCrashed(e *endpoint) {
	select {
	case <-e.Crashed():
	case <-s.t.Context().Done():
		return
	}
	e.proxy.close()
	e.mu.Lock()
	e.gone = true
	e.mu.Unlock()
	s.mu.Lock()
	s.crashes = append(s.crashes, time.Now())
	s.mu.Unlock()
	time.Sleep(crashReturn)
	s.store.Put("keyed.servers", e.name, nil)
	if s.t.Context().Err() == nil {
		s.addEndpoint(e.name+"x", e.service, e.version, e.zone)
	}
}

var (
	quarantinedLine = regexp.MustCompile(`Block is quarantined.* block=(\S+)`)
	attemptLine     = regexp.MustCompile(`Attempt did not answer.* request=(\S+) .*key=(request:\S+)`)
)

// soundVerdictRatio is the fraction of sound requests that verdicts on single requests may keep out.
const soundVerdictRatio = 0.01

// checkVerdicts checks that no block was quarantined but the one on which endpoints crash, and hardly any single
// request but those with it.
func (k *soak) checkVerdicts() {
	var logs []byte
	for _, p := range k.entries {
		log, err := os.ReadFile(p.log.Name())
		if err != nil {
			k.t.Error(err)
		}
		logs = append(logs, log...)
	}
	requests := make(map[string]string)
	for _, line := range attemptLine.FindAllSubmatch(logs, -1) {
		requests[string(line[2])] = string(line[1])
	}
	sound := make(map[string]bool)
	for _, line := range quarantinedLine.FindAllSubmatch(logs, -1) {
		key := string(line[1])
		switch {
		case strings.HasPrefix(key, "request:"):
			if !strings.HasPrefix(requests[key], crashPrefix) && !strings.HasPrefix(requests[key], lonePrefix) {
				sound[key] = true
			}
		case !slices.Contains(strings.Split(key, "+"), crashBlock):
			k.t.Errorf("%s is quarantined, on which nothing crashed", key)
		}
	}
	all := len(k.sent) + len(k.leftAt) + int(k.warmed.Load())
	k.t.Logf("%d of %d requests sound and quarantined", len(sound), all)
	if float64(len(sound)) > soundVerdictRatio*float64(all) {
		k.t.Errorf("%d of %d requests were sound and quarantined", len(sound), all)
	}
}

// checkCrashes checks how many requests with the block reached endpoints from entries that must have known
// it.
func (k *soak) checkCrashes(runs map[string][]standin.Run) {
	k.checkVerdicts()
	k.checkLoneCrashes(runs)
	k.site.mu.Lock()
	crashes := k.crashes
	k.site.mu.Unlock()
	if len(crashes) < crashesToKnow {
		return
	}
	known, late := crashes[crashesToKnow-1].Add(stabilityWindow), 0
	for _, s := range k.sent {
		for _, r := range runs[s.id] {
			if strings.HasPrefix(s.id, crashPrefix) && s.undisturbed > stabilityWindow && s.at.After(known) && r.At.After(known) {
				late++
			}
		}
	}
	k.t.Logf("%d endpoints crashed, %d requests with the block arrived late", len(crashes), late)
	if late > maxLateArrivals {
		k.t.Errorf("%d requests with the block arrived later than %s after the fifth crash, %d allowed", late, stabilityWindow, maxLateArrivals)
	}
}
