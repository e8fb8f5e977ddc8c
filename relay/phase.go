package relay

import (
	"strings"

	"github.com/parsleydeal/parsleydeal/clock"
)

// phase is how far an attempt got.
type phase string

// The phases.
const (
	// phaseUnsent means that nothing was sent to the endpoint.
	phaseUnsent phase = "unsent"
	// phaseWaiting means that the endpoint sent no head.
	phaseWaiting phase = "waiting"
	// phaseBeginning means that the head arrived less than beginningTime ago.
	phaseBeginning phase = "beginning"
	// phaseRunning means that the head arrived earlier.
	phaseRunning phase = "running"
)

// beginningTime is the time after the head of an answer in which an endpoint that fails because of
// the request usually fails: when it has generated the first tokens.
const beginningTime = 500 * clock.Millis(1)

// phase returns how far the attempt has got.
func (a *attempt) phase(now clock.Millis) phase {
	switch {
	case a.unsent:
		return phaseUnsent
	case a.timeToFirstByte == 0:
		return phaseWaiting
	case now-a.startedAt-a.timeToFirstByte < beginningTime:
		return phaseBeginning
	}
	return phaseRunning
}

// countUnanswered counts an attempt that did not produce the answer by its result and phase.
func (s *Server) countUnanswered(a *attempt, r result) {
	s.metrics.GetOrCreateCounter(`parsleydeal_attempts_unanswered_total{result="` + r.String() + `",phase="` + string(a.phase(s.cfg.Clock.Now())) + `"}`).Inc()
}

// maxLoggedBlocks limits the blocks in a log line, maxLoggedBlockBytes the bytes of each.
const (
	maxLoggedBlocks     = 8
	maxLoggedBlockBytes = 40
)

// listed returns the first keys of blocks, for logs.
func listed(keys []string) string {
	var out []string
	for _, key := range keys[:min(len(keys), maxLoggedBlocks)] {
		out = append(out, key[:min(len(key), maxLoggedBlockBytes)])
	}
	return strings.Join(out, ",")
}
