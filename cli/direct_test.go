package cli

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The direct entry runs on one machine against stand-ins of the platform. A hard chat runs on the
// large model, a stream that breaks is continued on another endpoint, and the fee runs only once.
func TestDirectDemo(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	is.NoErr(DirectDemo(t.Context(), &b))
	out := b.String()
	is.Equal(strings.Count(out, " 200, "), 3)
	is.Equal(strings.Count(out, "ran /fees/renewal-17"), 1)
	is.True(strings.Contains(out, "large"))
}
