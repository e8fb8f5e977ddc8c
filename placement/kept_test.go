package placement

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
)

// All endpoints hold some prompts, and the one with the subject's part is a little
// busier than the others. A shared part of 13,000 tokens is worth a short wait: it goes
// where it need not be read.
func TestPromptsGoWhereTheirPartsAre(t *testing.T) {
	is := is.New(t)
	s := fleetOf(3, nil)
	b := NewBoard()
	b.speed.tokens["m"] = 0.005
	parts := []Part{{"case", 13000}, {"own", 500}}
	q := Query{Service: "s", Version: "v1", Zone: "a", Model: "m", Patience: 4 * clock.Second, Parts: parts}
	b.Begin(s.Find("e1"), q).End()
	b.Begin(s.Find("e1"), Query{Model: "m", Parts: []Part{{"long", 30000}}}) // 150 ms of reading
	e, _ := b.Pick(s, q)
	is.Equal(e.ID, "e1")
	b.Begin(s.Find("e1"), Query{Model: "m", Parts: []Part{{"longer", 300000}}}) // 1.5 s more
	e, _ = b.Pick(s, q)
	is.True(e.ID != "e1")
}
