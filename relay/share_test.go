package relay

import (
	"testing"

	"github.com/parsleydeal/parsleydeal/clock"
	"pgregory.net/rapid"
)

// A site grows, and with it the reports of work and the entries that hear them; long
// prompts come all the time, each of which others should hear of at once. What an entry
// sends for it in a second stays the same; its word becomes older.
func TestSharedWorkKeepsItsBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size, to := rapid.IntRange(60, 60000).Draw(t, "size"), rapid.IntRange(1, 400).Draw(t, "to")
		span := 100 * clock.Second
		spent := allowance{}
		bytes, now := 0, clock.Millis(0)
		for now < span {
			spent.pass(now)
			now += max(spent.wait(), shareLeast)
			spent.pass(now)
			spent.left -= float64(size * to)
			bytes += size * to
		}
		// The last report may be as large as it is; it is paid for afterwards.
		perSecond := float64(bytes-size*to) * float64(clock.Second) / float64(now)
		if perSecond > shareBytes*1.01 {
			t.Fatalf("%g bytes a second", perSecond)
		}
	})
}
