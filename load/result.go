package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/pelletier/go-toml/v2"
)

// DurationStats holds quantiles of a span in microseconds.
type DurationStats struct {
	Count int64   `toml:"count" json:"count"`
	Mean  float64 `toml:"mean" json:"mean"`
	P50   int64   `toml:"p50" json:"p50"`
	P95   int64   `toml:"p95" json:"p95"`
	P99   int64   `toml:"p99" json:"p99"`
	P999  int64   `toml:"p99-9" json:"p99-9"`
	Max   int64   `toml:"max" json:"max"`
}

func (s span) quantiles() DurationStats {
	q := func(p float64) int64 { return s.h.ValueAtQuantile(p) }
	return DurationStats{Count: s.h.TotalCount(), Mean: s.h.Mean(), P50: q(50), P95: q(95), P99: q(99), P999: q(99.9), Max: s.h.Max()}
}

// OrganisationResult is one organisation's part of a run.
type OrganisationResult struct {
	Name       string        `toml:"name" json:"name"`
	Sent       int64         `toml:"sent" json:"sent"`
	Completed  int64         `toml:"whole" json:"whole"`
	FirstToken DurationStats `toml:"first-token" json:"first-token"`
}

// Result is what became of a run. Spans count from when a request was due.
type Result struct {
	Build     string       `toml:"build" json:"build"`
	Took      clock.Millis `toml:"took" json:"took"`
	Sent      int64        `toml:"sent" json:"sent"`
	Completed int64        `toml:"whole" json:"whole"`
	// Unsent requests found max-open requests under way.
	Unsent int64 `toml:"unsent" json:"unsent"`
	Tries  int64 `toml:"tries" json:"tries"`
	// Disconnects counts tries whose connection broke, also where a later try served.
	Disconnects int64            `toml:"cuts" json:"cuts"`
	Outcomes    map[string]int64 `toml:"outcomes" json:"outcomes"`
	// CompletedPerCoreSecond is whole answers a second of the entries' processor time; 0 when
	// it was not measured.
	CompletedPerCoreSecond float64       `toml:"whole-per-core-second" json:"whole-per-core-second"`
	FirstToken             DurationStats `toml:"first-token" json:"first-token"`
	TokenGap               DurationStats `toml:"token-gap" json:"token-gap"`
	Total                  DurationStats `toml:"total" json:"total"`
	// Routed and Direct count from when a request was sent, and only those that
	// needed one try; their difference is what the system adds.
	Routed        DurationStats        `toml:"routed-first-token" json:"routed-first-token"`
	Direct        DurationStats        `toml:"direct-first-token" json:"direct-first-token"`
	Organisations []OrganisationResult `toml:"organisations" json:"organisations"`
	Promises      []Promise            `toml:"promises" json:"promises"`
	// Failures holds the first few requests without a whole answer.
	Failures []string `toml:"failures" json:"failures,omitempty"`
	Plan     Plan     `toml:"plan" json:"plan"`
}

func (t *tally) result(build string, took time.Duration) *Result {
	res := &Result{
		Build: build, Took: clock.FromDuration(took), Sent: t.sent, Completed: t.whole, Unsent: t.unsent, Tries: t.tries, Disconnects: t.cuts, Outcomes: t.outcomes,
		FirstToken: t.first.quantiles(), TokenGap: t.gap.quantiles(), Total: t.total.quantiles(),
		Routed: t.routed.quantiles(), Direct: t.direct.quantiles(), Failures: t.failures, Plan: *t.plan,
	}
	for _, name := range slices.Sorted(maps.Keys(t.perOrganisation)) {
		o := t.perOrganisation[name]
		res.Organisations = append(res.Organisations, OrganisationResult{Name: name, Sent: o.sent, Completed: o.whole, FirstToken: o.first.quantiles()})
	}
	for _, name := range promiseNames {
		res.Promises = append(res.Promises, *t.promises[name])
	}
	res.Plan.Organisations = slices.Clone(res.Plan.Organisations)
	for i := range res.Plan.Organisations {
		res.Plan.Organisations[i].Key = ""
	}
	return res
}

// Broken returns how many breaches of promises were seen.
func (r *Result) Broken() (n int64) {
	for _, p := range r.Promises {
		n += p.Broken
	}
	return n
}

// Write writes the result as TOML, or as JSON.
func (r *Result) Write(w io.Writer, asJSON bool) (err error) {
	if asJSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(r)
	}
	data, err := toml.Marshal(r)
	if err != nil {
		return err
	}
	_, err = w.Write(data)
	return err
}

// Save writes the result to a file.
func (r *Result) Save(path string, asJSON bool) (err error) {
	var b bytes.Buffer
	if err = r.Write(&b, asJSON); err != nil {
		return err
	}
	return os.WriteFile(path, b.Bytes(), 0o644)
}

// ReadResult reads a result that Write wrote in either form.
func ReadResult(path string) (r *Result, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "read result")
	}
	r = &Result{}
	if bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) {
		err = json.Unmarshal(data, r)
	} else {
		err = toml.Unmarshal(data, r)
	}
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "read result %s", path)
	}
	return r, nil
}

// Print shows the result to a person.
func (r *Result) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%d sent, %d whole, %d not sent for want of room, %.2f tries each, %d cut, %s\n", r.Sent, r.Completed, r.Unsent, float64(r.Tries)/float64(max(r.Sent, 1)), r.Disconnects, r.Took)
	for _, name := range slices.Sorted(maps.Keys(r.Outcomes)) {
		fmt.Fprintf(t, "  %s\t%d\n", name, r.Outcomes[name])
	}
	for _, f := range r.Failures {
		fmt.Fprintf(t, "  %s\n", f)
	}
	fmt.Fprintln(t, "SPAN (ms)\tcount\tp50\tp95\tp99\tp99.9\tmax")
	for _, s := range r.spans() {
		fmt.Fprintf(t, "%s\t%d\t%s\n", s.name, s.spans.Count, s.spans.cells())
	}
	if r.CompletedPerCoreSecond > 0 {
		fmt.Fprintf(t, "whole answers a second of processor time in the entries\t%.0f\n", r.CompletedPerCoreSecond)
	}
	fmt.Fprintln(t, "PROMISE\tchecked\tbroken\t")
	for _, p := range r.Promises {
		fmt.Fprintf(t, "%s\t%d\t%d\t%s\n", p.Name, p.Checked, p.Broken, strings.Join(p.Examples, "; "))
	}
	return t.Flush()
}

type namedSpans struct {
	name  string
	spans DurationStats
}

func (r *Result) spans() (out []namedSpans) {
	out = []namedSpans{{"first token", r.FirstToken}, {"token gap", r.TokenGap}, {"total", r.Total}}
	if r.Direct.Count > 0 {
		out = append(out, namedSpans{"routed first token, from sending", r.Routed}, namedSpans{"direct first token", r.Direct})
	}
	return out
}

func (s DurationStats) cells() string {
	const perMilli = 1000
	var cells []string
	for _, v := range []int64{s.P50, s.P95, s.P99, s.P999, s.Max} {
		cells = append(cells, fmt.Sprintf("%.2f", float64(v)/perMilli))
	}
	return strings.Join(cells, "\t")
}
