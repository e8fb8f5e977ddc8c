package answer

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// An endpoint reuses its buffers for the next answer. A retained answer must not change when they
// are reused. It must not reference them either, as each answer would then keep several KB of
// memory in use.
func TestRetainedPiecesAreCopied(t *testing.T) {
	is := is.New(t)
	s := NewStore(StoreLimits{MaxAnswers: 1, MaxBytes: 1 << 20, MaxAnswerBytes: 1 << 20})
	a := s.Start(Owner{Request: "r", Organisation: "desk"})
	data, usage := []byte("one"), &wire.Usage{OutputTokens: 1}
	p := &wire.Piece{Request: "r", Attempt: 1, Data: data}
	a.Add(p)
	copy(data, "two")
	p.Reset()
	a.Add(&wire.Piece{Request: "r", Attempt: 1, Number: 1, Last: true, Usage: usage})
	usage.OutputTokens = 2
	a.End(0)
	var got []*wire.Piece
	is.NoErr(a.Replay(t.Context(), 0, func(p *wire.Piece) error {
		got = append(got, p)
		return nil
	}))
	is.Equal(string(got[0].GetData()), "one")
	is.Equal(got[1].GetUsage().GetOutputTokens(), int64(1))
	is.True(got[1].GetUsage() != usage)
}
