package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/parsleydeal/parsleydeal/platform/standin"
)

const (
	// endlessCallers is how many callers send requests for endlessTime.
	endlessCallers = 30
	endlessTime    = 1500 * time.Millisecond
	// maxEntryBytes is the memory that an entry may take.
	maxEntryBytes = 128 << 20
	// maxSkippedBytes is how much of an answer without an end may be taken on one connection if none of it is passed on:
	// its bound, and what the kernel's buffers hold. A failure response may have maxFailureBytes.
	maxSkippedBytes = 12 << 20
	maxFailureBytes = 8 << 20
	// endlessSlack is how much longer than its route allows a request may take.
	endlessSlack = 500 * time.Millisecond
	// minServed is the fraction of the requests that must be served by the other endpoints.
	minServed = 0.9
)

// endlessKinds are the kinds of requests that are sent, to each entry as many of each.
var endlessKinds = leftKinds[:3]

// Guards against entries that take bytes without end from an endpoint, until their memory is used up.
func TestEndlessAnswersAreBounded(t *testing.T) {
	program := buildEntry(t)
	for _, part := range standin.EndlessParts {
		t.Run(part.String(), func(t *testing.T) {
			k := &soak{site: newSiteWithLease(t, program, pausedLease), t: t}
			k.waitReady(5 * time.Second)
			k.warm()
			var endless []*endpoint
			services := make(map[string]bool)
			for _, e := range k.allEndpoints() {
				if !services[e.service] {
					services[e.service] = true
					e.setFault(func() standin.Reply { return standin.Reply{BreakAfter: -1, Endless: part} })
					endless = append(endless, e)
				}
			}
			c := k.sendEndless(part)
			for _, p := range k.entries {
				if peak := p.peakBytes(t); peak > maxEntryBytes {
					t.Errorf("%s took %d MB", p.name, peak>>20)
				}
			}
			taken := int64(0)
			for _, e := range endless {
				taken = max(taken, e.MostEndless())
			}
			passesOn := part >= standin.EndlessBody && part <= standin.EndlessLength || part == standin.EndlessEvent || part == standin.EndlessEvents
			allowed := int64(maxSkippedBytes)
			if part == standin.EndlessFailure {
				allowed += maxFailureBytes
			}
			if taken > allowed && !passesOn {
				t.Errorf("%d MB were taken on one connection", taken>>20)
			}
			if float64(c.served) < minServed*float64(c.sent) && !passesOn {
				t.Errorf("%d of %d requests were served", c.served, c.sent)
			}
			t.Logf("peak %d MB, %d MB on one connection, %d of %d served, slowest %s", k.entries[0].peakBytes(t)>>20, taken>>20, c.served, c.sent, c.slowest)
			if t.Failed() {
				k.saveLogs(uint64(part))
			}
		})
	}
}

// endlessCounts are the outcomes of the callers' requests.
type endlessCounts struct {
	sent, served int
	slowest      time.Duration
}

// sendEndless has callers send requests, some of which reach endpoints whose answers never end.
func (k *soak) sendEndless(part standin.Endless) (c endlessCounts) {
	ctx, cancel := context.WithTimeout(k.t.Context(), endlessTime)
	defer cancel()
	var mu sync.Mutex
	var callers sync.WaitGroup
	for n := range endlessCallers {
		kind := endlessKinds[n%len(endlessKinds)]
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: kind.timeout + endlessSlack}
		callers.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				start := time.Now()
				ok := k.sendOne(client, k.entries[n/len(endlessKinds)%len(k.entries)], kind, fmt.Sprintf("endless-%s-%d-%d", part, n, i))
				took := time.Since(start)
				mu.Lock()
				c.sent++
				if ok {
					c.served++
				}
				c.slowest = max(c.slowest, took)
				mu.Unlock()
				if took >= kind.timeout+endlessSlack {
					k.t.Errorf("%s took %s", kind.name, took)
				}
			}
		})
	}
	callers.Wait()
	return c
}

// sendOne sends a request and reads its answer; ok reports whether it is whole.
func (k *soak) sendOne(client *http.Client, p *process, kind leftKind, id string) (ok bool) {
	method, path := http.MethodGet, "/read/x"
	if strings.HasPrefix(kind.head, http.MethodPost) {
		method, path = http.MethodPost, "/chat/x"
	}
	req, err := http.NewRequest(method, p.base+path, strings.NewReader(kind.body))
	if err != nil {
		k.t.Error(err)
		return false
	}
	req.Host = "h.example"
	for name, value := range map[string]string{"Request-Id": id, "Api-Key": k.keys[0], "Model": "*", "Prompt-Prefix": "aa:100," + id + ":50", "Request-Timeout-Ms": "4000"} {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// peakBytes returns the most memory that the current process has taken.
func (p *process) peakBytes(t *testing.T) int64 {
	t.Helper()
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		t.Fatal("no peak of memory")
	}
	n, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n << 10
}
