package account

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// Logs may contain truncated lines and lines of other programs. The summary must include the
// requests whose lines can be parsed, and count the other lines.
func TestPrintSummary(t *testing.T) {
	datadriven.RunTest(t, "testdata/hour", func(t *testing.T, d *datadriven.TestData) string {
		l := &Log{}
		if err := l.Read(strings.NewReader(d.Input)); err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		if err := l.Print(&out); err != nil {
			return err.Error() + "\n"
		}
		return out.String()
	})
}

// FuzzRead reads arbitrary text, as a log collector may deliver, and prints the summary.
func FuzzRead(f *testing.F) {
	f.Add("Feb 26 16:14:35.120 INFO Request answered route=chat took=2.5s first=900ms")
	f.Add("Feb 26 16:14:36.450 INFO Attempt did not answer result=poor after=300ms")
	f.Fuzz(func(t *testing.T, text string) {
		l := &Log{}
		if err := l.Read(strings.NewReader(text)); err != nil {
			return
		}
		var out strings.Builder
		if err := l.Print(&out); err != nil && len(l.Requests) > 0 {
			t.Fatal(err)
		}
	})
}
