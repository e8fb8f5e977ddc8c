package answer

import (
	"strings"

	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// RetryMode is how a request continues after a failed attempt.
type RetryMode int

// The retry modes.
const (
	// GiveUp refuses the request with the cause of the failure.
	GiveUp RetryMode = iota
	// Restart runs the request from the start and discards the pieces accepted so far.
	Restart
	// Resume continues the request on another endpoint after the last accepted token.
	Resume
)

// RetryRules are the conditions for retrying a request.
type RetryRules struct {
	// Repeatable requests may run more than once.
	Repeatable bool
	// CanResume is true if some engines of the request's version can resume.
	CanResume bool
	// PartSent is true once a part of the answer was sent to the caller.
	PartSent bool
	// BodyConsumed is true if the request's body cannot be sent again.
	BodyConsumed bool
}

// Progress is the output that a request has accepted over all its attempts. The zero value is
// ready to use. It is not safe for concurrent use.
type Progress struct {
	// text and tokens are the text and token count after which a resumed attempt continues.
	text   strings.Builder
	tokens int32
	// opaque is true once a piece was accepted that has more than text, such as a tool call. Such
	// an answer cannot be resumed.
	opaque bool
	// worstRun is the most severe run state of all attempts. A later attempt that did not run does
	// not lower it.
	worstRun refusal.Run
}

// Add records an accepted piece. The last piece of an answer is ignored.
func (p *Progress) Add(piece *wire.Piece) {
	if piece.GetLast() {
		return
	}
	p.text.WriteString(piece.GetText())
	p.tokens += piece.GetTokens()
	p.opaque = p.opaque || len(piece.GetData()) > 0 || piece.GetStatus() != 0
}

// Reset discards the accepted output of an answer that starts again. The run state remains.
func (p *Progress) Reset() {
	p.text.Reset()
	p.tokens = 0
	p.opaque = false
}

// Text returns the text to resume after.
func (p *Progress) Text() string { return p.text.String() }

// Tokens returns the number of tokens of Text, the sum of the counts in the accepted pieces.
func (p *Progress) Tokens() int32 { return p.tokens }

// HasOutput reports whether any part of the answer was accepted.
func (p *Progress) HasOutput() bool { return p.opaque || p.text.Len() > 0 }

// Next records a failed attempt and returns how the request continues.
func (p *Progress) Next(cause *refusal.Refusal, r RetryRules) RetryMode {
	p.recordRun(cause.Run())
	if p.HasOutput() {
		p.recordRun(refusal.Ran)
	}
	if r.BodyConsumed || isFinal(cause.Code()) {
		return GiveUp
	}
	if cause.Run() != refusal.NotRun && !r.Repeatable {
		return GiveUp
	}
	if !p.HasOutput() {
		return Restart
	}
	if r.CanResume && !p.opaque {
		return Resume
	}
	if r.PartSent {
		return GiveUp
	}
	return Restart
}

// CombinedRefusal returns the refusal for the caller. It has the most severe run state of all
// attempts, as an earlier attempt may have run even if the last one did not.
func (p *Progress) CombinedRefusal(cause *refusal.Refusal) *refusal.Refusal {
	if moreSevere(p.worstRun, cause.Run()) {
		return cause.WithRun(p.worstRun)
	}
	return cause
}

// RecordRan records that an attempt gave a complete answer that is not sent to the caller, for
// example the first answer of a cascade if its rating is too low. Without this record, a later
// refusal would report that the request did not run.
func (p *Progress) RecordRan() { p.recordRun(refusal.Ran) }

func (p *Progress) recordRun(run refusal.Run) {
	if p.worstRun == "" || moreSevere(run, p.worstRun) {
		p.worstRun = run
	}
}

var severity = map[refusal.Run]int{refusal.NotRun: 1, refusal.Unknown: 2, refusal.Ran: 3}

func moreSevere(a, b refusal.Run) bool { return severity[a] > severity[b] }

// isFinal reports whether a retry is useless: another endpoint would refuse for the same reason, or
// the caller no longer waits.
func isFinal(c refusal.Code) bool {
	switch c {
	case refusal.Cancelled, refusal.DeadlinePassed, refusal.Malformed, refusal.TooLarge, refusal.NotAllowed,
		refusal.AlreadyRan, refusal.AlreadyRunning, refusal.LogDown, refusal.BillingFull, refusal.Unauthorised,
		refusal.KeyReused, refusal.Held, refusal.Withdrawn:
		return true
	}
	return false
}
