package answer

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"pgregory.net/rapid"
)

func readText(ctx context.Context, a *Retained, after uint32) (text string, err error) {
	err = a.Replay(ctx, after, func(p *wire.Piece) error {
		text += p.GetText()
		return nil
	})
	return text, err
}

// A caller whose entry failed retries while its answer is still being produced. It must get the
// pieces so far and then the remaining ones as they arrive.
func TestRetainedAnswerIsStreamedWhileItGrows(t *testing.T) {
	is := is.New(t)
	s := NewStore(StoreLimits{MaxAnswers: 4, MaxBytes: 1 << 20, MaxAnswerBytes: 1 << 20, Retention: 100})
	a := s.Start(Owner{Request: "r", Organisation: "desk", Key: "k"})
	a.Add(&wire.Piece{Text: "one "})
	found, ok := s.Find(Owner{Organisation: "desk", Key: "k"})
	is.True(ok)
	got := make(chan string)
	go func() {
		text, _ := readText(t.Context(), found, 0)
		got <- text
	}()
	a.Add(&wire.Piece{Text: "two "})
	a.Add(&wire.Piece{Text: "three", Last: true})
	a.End(0)
	is.Equal(<-got, "one two three")
	text, err := readText(t.Context(), found, 1)
	is.NoErr(err)
	is.Equal(text, "two three")
	s.Expire(101)
	_, ok = s.Find(Owner{Organisation: "desk", Key: "k"})
	is.True(!ok)
}

// Two organisations use the same idempotency key. Neither may get the other's answer.
func TestRetainedAnswerBelongsToItsOrganisation(t *testing.T) {
	is := is.New(t)
	s := NewStore(StoreLimits{MaxAnswers: 4, MaxBytes: 1 << 20, MaxAnswerBytes: 1 << 20})
	s.Start(Owner{Request: "r", Organisation: "desk", Key: "renewal-7"})
	_, ok := s.Find(Owner{Organisation: "court", Key: "renewal-7"})
	is.True(!ok)
	_, ok = s.Find(Owner{Request: "r", Organisation: "court"})
	is.True(!ok)
}

// For any number and size of answers, the store stays within its limits, and retained answers have
// all pieces added so far.
func TestStoreIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := StoreLimits{MaxAnswers: 3, MaxBytes: 2000, MaxAnswerBytes: 900, Retention: 10}
		s := NewStore(l)
		var started []*Retained
		pieceCounts := make(map[*Retained]int)
		draw := func(t *rapid.T) *Retained {
			if len(started) == 0 {
				t.Skip()
			}
			return rapid.SampledFrom(started).Draw(t, "answer")
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				key := rapid.SampledFrom([]string{"", "k1", "k2"}).Draw(t, "key")
				started = append(started, s.Start(Owner{Request: string(rune('a' + len(started))), Organisation: "desk", Key: key}))
			},
			"add": func(t *rapid.T) {
				a := draw(t)
				if !a.done {
					a.Add(&wire.Piece{Number: uint32(pieceCounts[a]), Text: rapid.StringN(0, 300, 300).Draw(t, "text")})
					pieceCounts[a]++
				}
			},
			"end":    func(t *rapid.T) { draw(t).End(0) },
			"expire": func(*rapid.T) { s.Expire(11) },
			"": func(t *rapid.T) {
				answers, bytes := s.Size()
				sum := 0
				for _, a := range s.order {
					sum += a.bytes
					if a.pieces.size() != pieceCounts[a] {
						t.Fatalf("%d of %d pieces are retained", a.pieces.size(), pieceCounts[a])
					}
				}
				if answers > l.MaxAnswers || bytes > l.MaxBytes || bytes != sum || len(s.byRequest) > answers || len(s.byKey) > answers {
					t.Fatalf("%d answers with %d bytes, sum of their sizes is %d", answers, bytes, sum)
				}
			},
		})
	})
}
