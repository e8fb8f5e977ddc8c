package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/parsleydeal/parsleydeal/platform/standin"
)

const (
	// rawStream is the stream of random numbers for invalid and incomplete answers.
	rawStream = 10 << 32
	// uploadBytes is the size of an upload: more than the buffers of a connection hold.
	uploadBytes = 7 << 20
)

// maybeAnswerRaw sometimes has an endpoint send invalid or incomplete answers.
func (k *soak) maybeAnswerRaw() {
	if k.raw.IntN(severRarity) > 0 {
		return
	}
	all := k.allEndpoints()
	e, fault := all[k.raw.IntN(len(all))], standin.RawFaults[k.raw.IntN(len(standin.RawFaults))]
	d, ratio := time.Duration(k.raw.IntN(1500))*time.Millisecond, k.raw.Float64()
	k.logFault("%s: answers are %s, %.0f%% for %s", e.name, fault.Name, 100*ratio, d)
	k.injectFor(d, func() {
		e.setFault(func() standin.Reply {
			if rand.Float64() < ratio {
				return standin.Reply{BreakAfter: -1, Raw: &fault}
			}
			return standin.Reply{BreakAfter: -1}
		})
	}, func() { e.setFault(nil) })
}

// sendUploads has a caller send requests with long bodies until the context ends.
func (k *soak) sendUploads(ctx context.Context, callers *sync.WaitGroup, rng *rand.Rand) {
	callers.Go(func() {
		client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 6 * time.Second}
		for i := 0; ctx.Err() == nil; i++ {
			k.mu.Lock()
			key := k.keys[rng.IntN(len(k.keys))]
			k.mu.Unlock()
			k.record(k.send(client, k.entries[rng.IntN(len(k.entries))], "upload", key, fmt.Sprintf("u-%d", i)))
			time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		}
	})
}

// uploadBody returns the body of an upload. net/http cannot send it again by itself.
func uploadBody() io.Reader { return io.MultiReader(bytes.NewReader(make([]byte, uploadBytes))) }

// Guards against invalid heads and parts of answers that callers get as whole answers, and against calls that are sent
// more than once because of them.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	const requests, callers = 24, 6
	program := buildEntry(t)
	k := &soak{site: newSiteWithLease(t, program, pausedLease), t: t}
	k.waitReady(5 * time.Second)
	k.warm()
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: callers}, Timeout: 6 * time.Second}
	for n, fault := range standin.RawFaults {
		for _, e := range k.allEndpoints() {
			e.setFault(func() standin.Reply {
				if rand.IntN(3) == 0 {
					return standin.Reply{BreakAfter: -1, Raw: &fault}
				}
				return standin.Reply{BreakAfter: -1}
			})
		}
		var all sync.WaitGroup
		for c := range callers {
			all.Go(func() {
				for i := c; i < requests; i += callers {
					kind := [...]string{"upload", "read", "chat"}[i%3]
					k.record(k.send(client, k.entries[i%len(k.entries)], kind, k.keys[0], fmt.Sprintf("b-%d-%d", n, i)))
				}
			})
		}
		all.Wait()
	}
	runs := k.runs()
	answered := 0
	for _, s := range k.sent {
		k.checkRuns(s, runs[s.id])
		k.checkAnswer(s)
		if s.err != nil && s.kind != "chat" {
			t.Errorf("%s got no answer: %v", s.id, s.err)
		}
		if s.status == http.StatusOK {
			answered++
		}
	}
	t.Logf("%d of %d requests answered", answered, len(k.sent))
	if answered == 0 {
		t.Error("no request was answered")
	}
	if t.Failed() {
		k.saveLogs(rawStream)
	}
}
