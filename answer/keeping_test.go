package answer

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"pgregory.net/rapid"
)

func texts(ctx context.Context, a *Retained, after uint32) (text string, err error) {
	err = a.Replay(ctx, after, func(p *wire.Piece) error {
		text += p.GetText()
		return nil
	})
	return text, err
}

// A caller whose entry vanished asks again while the answer is still being made.
// It gets what is there and then the rest as it comes.
func TestRetainedAnswerIsStreamedWhileItGrows(t *testing.T) {
	is := is.New(t)
	k := NewStore(StoreLimits{MaxAnswers: 4, MaxBytes: 1 << 20, MaxAnswerBytes: 1 << 20, Retention: 100})
	a := k.Start(Owner{Request: "r", Organisation: "desk", Key: "k"})
	a.Add(&wire.Piece{Text: "one "})
	found, ok := k.Find(Owner{Organisation: "desk", Key: "k"})
	is.True(ok)
	got := make(chan string)
	go func() {
		text, _ := texts(t.Context(), found, 0)
		got <- text
	}()
	a.Add(&wire.Piece{Text: "two "})
	a.Add(&wire.Piece{Text: "three", Last: true})
	a.End(0)
	is.Equal(<-got, "one two three")
	text, err := texts(t.Context(), found, 1)
	is.NoErr(err)
	is.Equal(text, "two three")
	k.Expire(101)
	_, ok = k.Find(Owner{Organisation: "desk", Key: "k"})
	is.True(!ok)
}

// Two organisations use the same idempotency key. Neither may get the other's
// answer.
func TestRetainedAnswerBelongsToItsOrganisation(t *testing.T) {
	is := is.New(t)
	k := NewStore(StoreLimits{MaxAnswers: 4, MaxBytes: 1 << 20, MaxAnswerBytes: 1 << 20})
	k.Start(Owner{Request: "r", Organisation: "desk", Key: "renewal-7"})
	_, ok := k.Find(Owner{Organisation: "court", Key: "renewal-7"})
	is.True(!ok)
	_, ok = k.Find(Owner{Request: "r", Organisation: "court"})
	is.True(!ok)
}

// However many answers of whatever size are made, what is kept stays within its
// bounds, and what is found is whole up to where it has come.
func TestStoreIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := StoreLimits{MaxAnswers: 3, MaxBytes: 2000, MaxAnswerBytes: 900, Retention: 10}
		k := NewStore(l)
		var all []*Retained
		added := make(map[*Retained]int)
		pick := func(t *rapid.T) *Retained {
			if len(all) == 0 {
				t.Skip()
			}
			return rapid.SampledFrom(all).Draw(t, "answer")
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				key := rapid.SampledFrom([]string{"", "k1", "k2"}).Draw(t, "key")
				all = append(all, k.Start(Owner{Request: string(rune('a' + len(all))), Organisation: "desk", Key: key}))
			},
			"add": func(t *rapid.T) {
				a := pick(t)
				if !a.done {
					a.Add(&wire.Piece{Number: uint32(added[a]), Text: rapid.StringN(0, 300, 300).Draw(t, "text")})
					added[a]++
				}
			},
			"end":    func(t *rapid.T) { pick(t).End(0) },
			"expire": func(*rapid.T) { k.Expire(11) },
			"": func(t *rapid.T) {
				answers, bytes := k.Size()
				sum := 0
				for _, a := range k.order {
					sum += a.bytes
					if a.pieces.size() != added[a] {
						t.Fatalf("%d pieces kept of %d", a.pieces.size(), added[a])
					}
				}
				if answers > l.MaxAnswers || bytes > l.MaxBytes || bytes != sum || len(k.byRequest) > answers || len(k.byKey) > answers {
					t.Fatalf("%d answers with %d bytes, %d counted", answers, bytes, sum)
				}
			},
		})
	})
}
