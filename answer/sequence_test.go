package answer

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// Each line of a script is one piece as an entry receives it. The caller must get its own answer
// complete and in order, or an error.
func TestSequence(t *testing.T) {
	datadriven.RunTest(t, "testdata/sequence", func(_ *testing.T, d *datadriven.TestData) string {
		s := NewSequence("r1", 1)
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			p := &wire.Piece{Tokens: 1}
			var last string
			_, _ = fmt.Sscanf(line, "%s %d %d %s %s", &p.Request, &p.Attempt, &p.Number, &p.Text, &last)
			if last != "" {
				p.Last = true
				_, _ = fmt.Sscanf(last, "of=%d/%d", &p.TotalPieces, &p.TotalTokens)
			}
			if !s.Matches(p) {
				continue
			}
			ok, err := s.Accept(p)
			if err != nil {
				fmt.Fprintln(&out, err)
				break
			}
			if ok {
				fmt.Fprintln(&out, p.GetText())
			}
		}
		return out.String()
	})
}

var retryModeNames = map[RetryMode]string{GiveUp: "give up", Restart: "restart", Resume: "resume"}

// Each script lists the pieces and failures of one request's attempts. The expected output is how
// the request continues after each failure.
func TestProgress(t *testing.T) {
	datadriven.RunTest(t, "testdata/progress", func(_ *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		p := &Progress{}
		r := RetryRules{Repeatable: d.HasArg("repeatable"), CanResume: d.HasArg("resumes"), BodyConsumed: d.HasArg("spent")}
		for line := range strings.Lines(d.Input) {
			f := strings.Fields(line)
			switch f[0] {
			case "text":
				p.Add(&wire.Piece{Text: f[1], Tokens: 1})
			case "tool":
				p.Add(&wire.Piece{Data: []byte("{}"), Tokens: 1})
			case "fails":
				r.PartSent = p.HasOutput() && d.HasArg("stream")
				cause := refusal.New(refusal.Code(f[1]), "").WithRun(refusal.Run(f[2]))
				mode := p.Next(cause, r)
				fmt.Fprintf(&out, "%s after %q, caller would hear %s\n", retryModeNames[mode], p.Text(), p.CombinedRefusal(cause).Run())
				if mode == Restart {
					p.Reset()
				}
			}
		}
		return out.String()
	})
}
