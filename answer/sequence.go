// Package answer keeps answers whole: pieces in order, answers resumed after an
// endpoint is lost, and answers kept until they are delivered.
package answer

import (
	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("answer")

// Kinds of errors.
var (
	// ErrGap marks an attempt of which a piece is missing.
	ErrGap = Errors.NewType("gap")
	// ErrNotKept marks an answer that is not kept, or no longer.
	ErrNotKept = Errors.NewType("not-kept")
)

// Sequence judges the pieces of one attempt as they come.
type Sequence struct {
	request string
	attempt uint32
	// next is the number of the piece that is due; all below it were taken.
	next   uint32
	tokens int32
}

// NewSequence starts at piece 0 of an attempt.
func NewSequence(request string, attempt uint32) *Sequence {
	return &Sequence{request: request, attempt: attempt}
}

// Next returns the number of the piece that is due.
func (s *Sequence) Next() uint32 { return s.next }

// Matches reports whether a piece belongs to this attempt. A piece of another
// attempt is late or crossed: taking it would put a stranger's text into the
// answer.
func (s *Sequence) Matches(p *wire.Piece) bool {
	return p.GetRequest() == s.request && p.GetAttempt() == s.attempt
}

// Accept judges an own piece. Ok is false for a piece that was taken before. An
// error says that a piece is missing, also one that the last piece's totals
// prove to be missing.
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
