// Package answer ensures that answers are complete: it checks the order of pieces, decides how a
// request continues after a failed attempt, retains answers until they are delivered and tracks
// attempts that may run at most once.
package answer

import (
	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("answer")

// Kinds of errors.
var (
	// ErrGap means that a piece of an attempt is missing.
	ErrGap = Errors.NewType("gap")
	// ErrNotKept means that the answer is not retained: it never was, or it has been dropped or
	// evicted.
	ErrNotKept = Errors.NewType("not-kept")
)

// Sequence checks the pieces of one attempt as they arrive. It is not safe for concurrent use.
type Sequence struct {
	request string
	attempt uint32
	// next is the number of the next piece; all pieces below it were accepted.
	next   uint32
	tokens int32
}

// NewSequence returns a sequence that expects piece 0 of an attempt.
func NewSequence(request string, attempt uint32) *Sequence {
	return &Sequence{request: request, attempt: attempt}
}

// Next returns the number of the next piece.
func (s *Sequence) Next() uint32 { return s.next }

// Matches reports whether a piece belongs to this attempt. A piece of another attempt is late or
// misdirected and must not become part of the answer.
func (s *Sequence) Matches(p *wire.Piece) bool {
	return p.GetRequest() == s.request && p.GetAttempt() == s.attempt
}

// Accept checks a piece that matches the attempt. Ok is false for a piece that was accepted before.
// ErrGap means that a piece or token is missing, by the piece's number or by the totals of the last
// piece.
func (s *Sequence) Accept(p *wire.Piece) (ok bool, err error) {
	if p.GetNumber() < s.next {
		return false, nil
	}
	if p.GetNumber() > s.next {
		return false, ErrGap.New("piece %d came when %d was due", p.GetNumber(), s.next)
	}
	s.next++
	s.tokens += p.GetTokens()
	if p.GetLast() && p.GetTotalPieces() != s.next {
		return false, ErrGap.New("%d pieces came of %d", s.next, p.GetTotalPieces())
	}
	if p.GetLast() && p.GetTotalTokens() != s.tokens {
		return false, ErrGap.New("%d tokens came of %d", s.tokens, p.GetTotalTokens())
	}
	return true, nil
}
