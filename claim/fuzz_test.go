package claim

import (
	"testing"

	"github.com/parsleydeal/parsleydeal/batch"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// FuzzState reduces hostile records around a good one. What stands for its key
// may not change but by the next round, and memory stays bounded.
func FuzzState(f *testing.F) {
	encode := func(claims ...*wire.Claim) []byte {
		var entries []batch.Entry
		for _, c := range claims {
			entries = append(entries, batch.Entry{Claim: c})
		}
		data, err := batch.Encode("b", entries)
		if err != nil {
			f.Fatal(err)
		}
		return data
	}
	mine := &wire.Claim{Key: []byte("k"), Round: 1, Request: "r", Attempt: 1, Vm: "e"}
	for _, seed := range [][]byte{encode(mine), encode(&wire.Claim{Key: []byte("k"), Round: 2}, &wire.Claim{}), nil, []byte("\x0a\x01b\x1a\x00"), []byte("\xff")} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		const bound = 4
		s := NewState(0, bound)
		s.Apply(0, encode(mine))
		s.Apply(1, data)
		s.Apply(1, data)
		if s.Keys() > bound || s.Next() != 2 {
			t.Fatalf("claims-are-bounded: %d keys, next %d", s.Keys(), s.Next())
		}
		if c, _, ok := s.Holder(mine.GetKey()); ok && c.GetRound() == 1 && !Same(c, mine) {
			t.Fatalf("at-most-once: %v stands in place of the first claim", c)
		}
	})
}
