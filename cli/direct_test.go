package cli

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A newcomer tries the platform's path on one machine. A hard chat runs on the
// larger model, a stream that breaks off goes on elsewhere, a fee runs once.
func TestDirectDemo(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	is.NoErr(DirectDemo(t.Context(), &b))
	out := b.String()
	is.Equal(strings.Count(out, " 200, "), 3)
	is.Equal(strings.Count(out, "ran /fees/renewal-17"), 1)
	is.True(strings.Contains(out, "large"))
}
