package bill

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/parsleydeal/parsleydeal/batch"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// TestStatement runs the scripts under testdata/statement, which add records and print the
// statement.
func TestStatement(t *testing.T) {
	datadriven.Walk(t, "testdata/statement", func(t *testing.T, path string) {
		s, offset := NewStatement(), int64(0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "record":
				s.Add(offset, record(t, d.Input))
			case "corrupt":
				s.Add(offset, []byte(d.Input))
			case "statement":
				return statementText(s)
			}
			offset++
			return ""
		})
	})
}

// record encodes lines of the form "request organisation attempt:cost[!]...", where "!" marks a
// step that is not complete.
func record(t *testing.T, input string) []byte {
	var entries []batch.Entry
	for line := range strings.SplitSeq(input, "\n") {
		f := strings.Fields(line)
		b := &wire.Bill{Request: strings.Trim(f[0], "-"), Organisation: f[1], Route: "quick"}
		for _, x := range f[2:] {
			attempt, cost, _ := strings.Cut(strings.TrimSuffix(x, "!"), ":")
			n, _ := strconv.Atoi(attempt)
			c, _ := strconv.ParseInt(cost, 10, 64)
			b.Steps = append(b.Steps, &wire.Step{Attempt: uint32(n), Cost: c, Whole: !strings.HasSuffix(x, "!")})
		}
		entries = append(entries, batch.Entry{Bill: b})
	}
	data, err := batch.Encode("batch", entries)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func statementText(s *Statement) string {
	s.Finish(func(o string) bool { return o == "desk" || o == "ministry" })
	var b strings.Builder
	for _, x := range s.Bills() {
		fmt.Fprintf(&b, "%s %s steps=%d cost=%d\n", x.GetRequest(), x.GetOrganisation(), len(x.GetSteps()), Cost(x))
	}
	for _, x := range s.Totals() {
		fmt.Fprintf(&b, "total %s %s requests=%d cost=%d\n", x.Organisation, x.Route, x.Requests, x.Cost)
	}
	list, _ := s.Anomalies()
	for _, a := range list {
		fmt.Fprintf(&b, "anomaly %s %s at %d\n", a.Kind, a.Request, a.Offset)
	}
	return b.String()
}
