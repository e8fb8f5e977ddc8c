package relay

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"pgregory.net/rapid"
)

// A site grows, and with it the reports of work and the entries that hear them. What an
// entry sends for it in a second stays the same; its word becomes older.
func TestSharedWorkKeepsItsBytes(t *testing.T) {
	is := is.New(t)
	is.Equal(sharePace(100, 4), shareLeast)
	rapid.Check(t, func(t *rapid.T) {
		size, to := rapid.IntRange(60, 60000).Draw(t, "size"), rapid.IntRange(1, 400).Draw(t, "to")
		perSecond := float64(size*to) * float64(clock.Second) / float64(sharePace(size, to))
		if perSecond > shareBytes*1.01 {
			t.Fatalf("%g bytes a second", perSecond)
		}
	})
}
