package cli

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The demo of the entry that sends directly to endpoints, against stand-ins for the platform, sends
// three requests. All must succeed: the chat on the path /chat/hard must run on the large model, a
// stream that breaks must be continued at another endpoint, and the fee must run only once.
func TestDirectDemo(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	is.NoErr(DirectDemo(t.Context(), &b))
	out := b.String()
	is.Equal(strings.Count(out, " 200, "), 3)
	is.Equal(strings.Count(out, "ran /fees/renewal-17"), 1)
	is.True(strings.Contains(out, "large"))
}
