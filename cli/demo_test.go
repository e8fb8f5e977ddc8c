package cli

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestDemoBillsEachRequestOnce(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(Demo(t.Context(), &out))
	is.Equal(strings.Count(out.String(), "1 bill of"), 6)
	is.True(strings.Contains(out.String(), "version small@1"))
	is.True(strings.Contains(out.String(), "version large@1"))
	is.True(strings.Contains(out.String(), "6 requests, 6 bills"))
}
