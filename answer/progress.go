package answer

import (
	"strings"

	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// RetryMode says how a request goes on after an attempt failed.
type RetryMode int

// The ways.
const (
	// GiveUp tells the caller what happened.
	GiveUp RetryMode = iota
	// Restart runs the request from the start; what was taken is dropped.
	Restart
	// Resume runs the request elsewhere after the last token taken.
	Resume
)

// RetryRules say what a request allows.
type RetryRules struct {
	// Repeatable requests may run more than once.
	Repeatable bool
	// CanResume is true when engines of the request's version can resume.
	CanResume bool
	// PartSent is true once the caller has been sent a part of the answer.
	PartSent bool
	// BodyConsumed is true when the request's body cannot be sent again.
	BodyConsumed bool
}

// Progress is what a request has taken over all its attempts.
type Progress struct {
	// text and tokens are what a resumed attempt must follow.
	text   strings.Builder
	tokens int32
	// opaque is true once a piece came that text alone cannot stand for, such as
	// a tool call. Such an answer cannot be resumed.
	opaque bool
	// run is the worst that any attempt is known to have done; a later attempt
	// that did not run does not undo it.
	run refusal.Run
}

// Add notes a piece that was taken.
func (p *Progress) Add(piece *wire.Piece) {
	if piece.GetLast() {
		return
	}
	p.text.WriteString(piece.GetText())
	p.tokens += piece.GetTokens()
	p.opaque = p.opaque || len(piece.GetData()) > 0 || piece.GetStatus() != 0
}

// Reset drops what was taken, for an answer that starts again.
func (p *Progress) Reset() {
	p.text.Reset()
	p.tokens = 0
	p.opaque = false
}

// Text returns the text to resume after.
func (p *Progress) Text() string { return p.text.String() }

// Tokens returns how many tokens Text holds, as far as they were counted.
func (p *Progress) Tokens() int32 { return p.tokens }

// HasOutput reports whether any part of the answer was taken.
func (p *Progress) HasOutput() bool { return p.opaque || p.text.Len() > 0 }

// Next decides how a request goes on after a failed attempt.
func (p *Progress) Next(cause *refusal.Refusal, r RetryRules) RetryMode {
	p.note(cause.Run())
	if p.HasOutput() {
		p.note(refusal.Ran)
	}
	if r.BodyConsumed || final(cause.Code()) {
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

// CombinedRefusal returns a refusal for the caller that holds for all attempts together:
// the last one may not have run while an earlier one did.
func (p *Progress) CombinedRefusal(cause *refusal.Refusal) *refusal.Refusal {
	if worse(p.run, cause.Run()) {
		return cause.WithRun(p.run)
	}
	return cause
}

// RecordRan notes that an attempt gave a whole answer which is not the caller's: a
// cascade's first one that was too poor. Were it not noted, a refusal after it
// would say that the request did not run.
func (p *Progress) RecordRan() { p.note(refusal.Ran) }

func (p *Progress) note(run refusal.Run) {
	if p.run == "" || worse(run, p.run) {
		p.run = run
	}
}

var rank = map[refusal.Run]int{refusal.NotRun: 1, refusal.Unknown: 2, refusal.Ran: 3}

func worse(a, b refusal.Run) bool { return rank[a] > rank[b] }

// final reports causes that another endpoint would only repeat, and those where
// nobody waits any more.
func final(c refusal.Code) bool {
	switch c {
	case refusal.Cancelled, refusal.DeadlinePassed, refusal.Malformed, refusal.TooLarge, refusal.NotAllowed,
		refusal.AlreadyRan, refusal.AlreadyRunning, refusal.LogDown, refusal.BillingFull, refusal.Unauthorised,
		refusal.KeyReused, refusal.Held, refusal.Withdrawn:
		return true
	}
	return false
}
