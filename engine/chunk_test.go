package engine

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// Each script is an engine's event stream as received over HTTP, followed by the decoded chunks. No
// field of a chunk may reappear in the next one, as the decoder reuses memory.
func TestChunks(t *testing.T) {
	datadriven.RunTest(t, "testdata/chunks", func(_ *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		err := readStream(strings.NewReader(d.Input+"\n"), func(c Chunk) error {
			fmt.Fprintf(&out, "text %q raw %s finish %q", c.Text, c.Raw, c.FinishReason)
			if c.Usage != nil {
				fmt.Fprintf(&out, " usage %d/%d cached %d", c.Usage.PromptTokens, c.Usage.CompletionTokens, c.Usage.Details.CachedTokens)
			}
			out.WriteString("\n")
			return nil
		})
		if err != nil {
			fmt.Fprintln(&out, err)
		}
		return out.String()
	})
}
