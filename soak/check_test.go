package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/parsleydeal/parsleydeal/platform/standin"
)

// check judges the promises by what callers and endpoints saw.
func (k *soak) check() {
	runs := make(map[string][]standin.Run)
	for _, e := range k.all() {
		for _, r := range e.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	whole := 0
	for _, s := range k.sent {
		k.checkRuns(s, runs[s.id])
		k.checkAnswer(s)
		if s.err == nil && s.status == http.StatusOK {
			whole++
		}
	}
	if whole == 0 {
		k.t.Errorf("no request of %d was answered", len(k.sent))
	}
	k.t.Logf("%d requests, %d answered whole, %d faults", len(k.sent), whole, len(k.story))
}

// refusals are the statuses that promise that a request has not run.
var refusals = map[int]bool{408: true, 421: true, 429: true, 503: true}

func (k *soak) checkRuns(s sent, runs []standin.Run) {
	if s.kind == "fee" && len(runs) > 1 {
		k.t.Errorf("%s ran %d times", s.id, len(runs))
	}
	if s.kind == "fee" && s.err == nil && refusals[s.status] && len(runs) > 0 {
		k.t.Errorf("%s was answered %d and ran", s.id, s.status)
	}
	taken, gone := k.taken[s.key]
	for _, r := range runs {
		if gone && s.at.Sub(taken) > lease {
			k.t.Errorf("%s was sent %s after its key was taken away and ran at %s", s.id, s.at.Sub(taken), r.At.Sub(k.begun))
		}
		if r.Organisation != "org" || r.Header.Get("Api-Key") != "" {
			k.t.Errorf("%s ran for organisation %q with key %q", s.id, r.Organisation, r.Header.Get("Api-Key"))
		}
		if s.kind != "read" && r.Body != "body of "+s.id {
			k.t.Errorf("%s ran with body %q", s.id, r.Body)
		}
	}
}

func (k *soak) checkAnswer(s sent) {
	if s.err != nil {
		k.checkCut(s)
		return
	}
	if s.status != http.StatusOK {
		return
	}
	if s.kind != "chat" {
		if s.body != "answer of "+s.id {
			k.t.Errorf("%s got %q", s.id, s.body)
		}
		return
	}
	var want strings.Builder
	for i := 1; i <= streamEvents; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: piece %d of %s\n\n", i, i, s.id)
	}
	if s.body != want.String() {
		k.t.Errorf("%s got a stream that is not whole and in order, and looks complete: %q", s.id, s.body)
	}
}

// quietFor is how long nothing else may have touched a process for its planned
// stop to be judged.
const quietFor = 3 * time.Second

// checkCut judges a request whose connection ended without a whole answer. At a
// planned stop with nothing else going on none may.
func (k *soak) checkCut(s sent) {
	p := s.entry
	p.mu.Lock()
	leaving, calm := p.leavingSince, p.calmSince
	p.mu.Unlock()
	planned := !leaving.IsZero() && s.at.After(leaving) && s.at.Before(leaving.Add(2*time.Second))
	if planned && s.kind != "chat" && leaving.Sub(calm) > quietFor && strings.Contains(s.err.Error(), "EOF") {
		k.t.Errorf("%s was cut %s after its entry was asked to stop: %v", s.id, s.at.Sub(leaving), s.err)
	}
}
