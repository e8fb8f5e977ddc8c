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

// DurationStats summarises durations in microseconds.
type DurationStats struct {
	Count int64   `toml:"count" json:"count"`
	Mean  float64 `toml:"mean" json:"mean"`
	P50   int64   `toml:"p50" json:"p50"`
	P95   int64   `toml:"p95" json:"p95"`
	P99   int64   `toml:"p99" json:"p99"`
	P999  int64   `toml:"p99-9" json:"p99-9"`
	Max   int64   `toml:"max" json:"max"`
}

func (hist histogram) stats() DurationStats {
	q := func(p float64) int64 { return hist.h.ValueAtQuantile(p) }
	return DurationStats{Count: hist.h.TotalCount(), Mean: hist.h.Mean(), P50: q(50), P95: q(95), P99: q(99), P999: q(99.9), Max: hist.h.Max()}
}

// OrganisationResult is the result of one organisation's requests.
type OrganisationResult struct {
	Name       string        `toml:"name" json:"name"`
	Sent       int64         `toml:"sent" json:"sent"`
	Completed  int64         `toml:"whole" json:"whole"`
	FirstToken DurationStats `toml:"first-token" json:"first-token"`
}

// Result is the result of a run. Durations count from the time when a request was due, except
// where a field says otherwise.
type Result struct {
	// Build is Config.Build.
	Build     string       `toml:"build" json:"build"`
	Took      clock.Millis `toml:"took" json:"took"`
	Sent      int64        `toml:"sent" json:"sent"`
	Completed int64        `toml:"whole" json:"whole"`
	// Unsent counts requests that were not sent because max-open requests were in flight.
	Unsent int64 `toml:"unsent" json:"unsent"`
	Tries  int64 `toml:"tries" json:"tries"`
	// Disconnects counts tries whose connection broke, including those followed by a successful
	// retry.
	Disconnects int64            `toml:"cuts" json:"cuts"`
	Outcomes    map[string]int64 `toml:"outcomes" json:"outcomes"`
	// CompletedPerCoreSecond is the number of complete answers per second of processor time that
	// the entries used; 0 when processor time was not measured.
	CompletedPerCoreSecond float64       `toml:"whole-per-core-second" json:"whole-per-core-second"`
	FirstToken             DurationStats `toml:"first-token" json:"first-token"`
	TokenGap               DurationStats `toml:"token-gap" json:"token-gap"`
	Total                  DurationStats `toml:"total" json:"total"`
	// Routed and Direct are the times from sending a request to its first token: through the
	// system, for requests that needed one try, and straight to an engine. Their difference is the
	// latency that the system adds.
	Routed        DurationStats        `toml:"routed-first-token" json:"routed-first-token"`
	Direct        DurationStats        `toml:"direct-first-token" json:"direct-first-token"`
	Organisations []OrganisationResult `toml:"organisations" json:"organisations"`
	Promises      []Promise            `toml:"promises" json:"promises"`
	// Failures describes the first few requests without a complete answer.
	Failures []string `toml:"failures" json:"failures,omitempty"`
	Plan     Plan     `toml:"plan" json:"plan"`
}

func (st *runStats) result(build string, took time.Duration) *Result {
	res := &Result{
		Build: build, Took: clock.FromDuration(took), Sent: st.sent, Completed: st.completed, Unsent: st.unsent, Tries: st.tries, Disconnects: st.disconnects, Outcomes: st.outcomes,
		FirstToken: st.firstToken.stats(), TokenGap: st.tokenGap.stats(), Total: st.total.stats(),
		Routed: st.routed.stats(), Direct: st.direct.stats(), Failures: st.failures, Plan: *st.plan,
	}
	for _, name := range slices.Sorted(maps.Keys(st.perOrganisation)) {
		o := st.perOrganisation[name]
		res.Organisations = append(res.Organisations, OrganisationResult{Name: name, Sent: o.sent, Completed: o.completed, FirstToken: o.firstToken.stats()})
	}
	for _, name := range promiseNames {
		res.Promises = append(res.Promises, *st.promises[name])
	}
	res.Plan.Organisations = slices.Clone(res.Plan.Organisations)
	for i := range res.Plan.Organisations {
		res.Plan.Organisations[i].Key = ""
	}
	return res
}

// Broken returns the number of breaches of all guarantees.
func (r *Result) Broken() (n int64) {
	for _, p := range r.Promises {
		n += p.Broken
	}
	return n
}

// Write writes the result as JSON if asJSON is set, and as TOML otherwise.
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

// Save writes the result to a file, in the same formats as Write.
func (r *Result) Save(path string, asJSON bool) (err error) {
	var b bytes.Buffer
	if err = r.Write(&b, asJSON); err != nil {
		return err
	}
	return os.WriteFile(path, b.Bytes(), 0o644)
}

// ReadResult reads a result that Save wrote as TOML or JSON. It returns ErrInvalid when the file
// cannot be read or parsed.
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

// Print writes the result as tables in plain text.
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
	for _, s := range r.durations() {
		fmt.Fprintf(t, "%s\t%d\t%s\n", s.name, s.stats.Count, s.stats.cells())
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

type namedStats struct {
	name  string
	stats DurationStats
}

func (r *Result) durations() (out []namedStats) {
	out = []namedStats{{"first token", r.FirstToken}, {"token gap", r.TokenGap}, {"total", r.Total}}
	if r.Direct.Count > 0 {
		out = append(out, namedStats{"routed first token, from sending", r.Routed}, namedStats{"direct first token", r.Direct})
	}
	return out
}

// cells formats the quantiles as table cells in milliseconds.
func (s DurationStats) cells() string {
	const microsPerMilli = 1000
	var cells []string
	for _, v := range []int64{s.P50, s.P95, s.P99, s.P999, s.Max} {
		cells = append(cells, fmt.Sprintf("%.2f", float64(v)/microsPerMilli))
	}
	return strings.Join(cells, "\t")
}
