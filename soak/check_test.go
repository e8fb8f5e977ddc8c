package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/parsleydeal/parsleydeal/platform/standin"
)

// check verifies the guarantees from the records of callers and endpoints.
func (k *soak) check() {
	runs := k.runs()
	k.mu.Lock()
	defer k.mu.Unlock()
	complete := 0
	for _, s := range k.sent {
		k.checkRuns(s, runs[s.id])
		k.checkAnswer(s)
		if s.err == nil && s.status == http.StatusOK {
			complete++
		}
	}
	k.checkCrashes(runs)
	k.checkLeft(runs)
	k.checkMemory()
	if complete == 0 {
		k.t.Errorf("no request of %d was answered", len(k.sent))
	}
	k.t.Logf("%d requests, %d answered completely, %d faults", len(k.sent), complete, len(k.faultLog))
}

// runs returns what the endpoints ran, by the IDs of the requests.
func (s *site) runs() map[string][]standin.Run {
	runs := make(map[string][]standin.Run)
	for _, e := range s.allEndpoints() {
		for _, r := range e.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	return runs
}

// refusals are the statuses that guarantee that a request has not run.
var refusals = map[int]bool{408: true, 421: true, 429: true, 503: true}

func (k *soak) checkRuns(s sent, runs []standin.Run) {
	once := s.kind == "fee" || s.kind == "upload"
	if once && len(runs) > 1 {
		k.t.Errorf("%s ran %d times", s.id, len(runs))
	}
	if once && s.err == nil && refusals[s.status] && len(runs) > 0 {
		k.t.Errorf("%s was refused with %d and ran", s.id, s.status)
	}
	revoked, isRevoked := k.revokedAt[s.key]
	for _, r := range runs {
		if isRevoked && s.at.Sub(revoked) > keyLease {
			k.t.Errorf("%s was sent %s after its key was revoked and ran at %s", s.id, s.at.Sub(revoked), r.At.Sub(k.startedAt))
		}
		if r.Organisation != "org" || r.Header.Get("Api-Key") != "" {
			k.t.Errorf("%s ran for organisation %q with key %q", s.id, r.Organisation, r.Header.Get("Api-Key"))
		}
		if s.kind != "read" && s.kind != "upload" && r.Body != "body of "+contentOf(s.id) {
			k.t.Errorf("%s ran with body %q", s.id, r.Body)
		}
	}
}

func (k *soak) checkAnswer(s sent) {
	if s.err != nil {
		k.checkDisconnect(s)
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
		k.t.Errorf("%s got a stream that ended without an error but is incomplete or out of order: %q", s.id, s.body)
	}
}

// quietPeriod is how long an entry must have been unaffected by faults before its planned stop. Only
// then does checkDisconnect apply.
const quietPeriod = 3 * time.Second

// checkDisconnect checks a request whose connection ended before the complete answer. A planned
// stop of an entry must not cause this unless another fault affects the entry.
func (k *soak) checkDisconnect(s sent) {
	p := s.entry
	p.mu.Lock()
	leaving, undisturbed := p.leavingSince, p.undisturbedSince
	p.mu.Unlock()
	planned := !leaving.IsZero() && s.at.After(leaving) && s.at.Before(leaving.Add(2*time.Second))
	if planned && s.kind != "chat" && leaving.Sub(undisturbed) > quietPeriod && strings.Contains(s.err.Error(), "EOF") {
		k.t.Errorf("%s was disconnected %s after its entry got SIGTERM: %v", s.id, s.at.Sub(leaving), s.err)
	}
}
