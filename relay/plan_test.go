package relay

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"pgregory.net/rapid"
)

// Endpoints are overloaded, and the larger model's first byte takes as long as a
// request has left. Small answers are handed on unless they are hopeless; as the
// load falls the usual confidence is asked for again, step by step.
func TestLargerModelIsAskedLessUnderLoad(t *testing.T) {
	is := is.New(t)
	const left = 2000 * clock.Millis(1)
	is.Equal(enough(200, left), float64(confident))
	is.Equal(enough(left, left), float64(rushed))
	is.Equal(enough(100, -1), float64(rushed))
	rapid.Check(t, func(t *rapid.T) {
		a := clock.Millis(rapid.IntRange(0, 5000).Draw(t, "a"))
		b := a + clock.Millis(rapid.IntRange(0, 5000).Draw(t, "b"))
		if enough(b, left) > enough(a, left) {
			t.Fatalf("%v at %v, more than %v at %v", enough(b, left), b, enough(a, left), a)
		}
	})
}
