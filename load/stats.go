package load

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Names of the checked guarantees.
const (
	completeAnswers = "whole"
	matchingAnswers = "own"
	runsOnce        = "once"
	allowedVersions = "allowed"
	sameVersion     = "session-keeps-version"
	billed          = "billed"
)

var promiseNames = []string{completeAnswers, matchingAnswers, runsOnce, allowedVersions, sameVersion, billed}

// Promise is the result of checking one guarantee. The output calls a guarantee a promise.
type Promise struct {
	Name string `toml:"name" json:"name"`
	// Checked counts the answers for which a breach could have been found; if it is 0, the
	// guarantee was not tested.
	Checked int64 `toml:"checked" json:"checked"`
	// Broken counts the breaches.
	Broken int64 `toml:"broken" json:"broken"`
	// Examples describes the first few breaches.
	Examples []string `toml:"examples" json:"examples,omitempty"`
}

// maxExamples bounds the breaches and failures that are described in a result.
const maxExamples = 5

func (p *Promise) recordBreach(format string, a ...any) {
	p.Broken++
	if len(p.Examples) < maxExamples {
		p.Examples = append(p.Examples, fmt.Sprintf(format, a...))
	}
}

// histogram counts durations in microseconds; those beyond ten minutes count as ten minutes.
type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	const maxMicros, digits = 600_000_000, 3
	return histogram{hdrhistogram.New(1, maxMicros, digits)}
}

func (hist histogram) record(d time.Duration) {
	_ = hist.h.RecordValue(min(max(d.Microseconds(), 1), hist.h.HighestTrackableValue()))
}

// runStats aggregates the outcomes of a run and checks the guarantees.
type runStats struct {
	plan                        *Plan
	sent, completed, unsent     int64
	tries, disconnects          int64
	outcomes                    map[string]int64
	firstToken, total, tokenGap histogram
	routed, direct              histogram
	perOrganisation             map[string]*organisationStats
	promises                    map[string]*Promise
	// answered lists the request IDs that must have a bill.
	answered, failures []string
	// runs maps the ID of each run of a stand-in service to the number of its request.
	runs map[string]int
}

type organisationStats struct {
	sent, completed int64
	firstToken      histogram
}

func newRunStats(p *Plan) *runStats {
	st := &runStats{
		plan: p, outcomes: make(map[string]int64), firstToken: newHistogram(), total: newHistogram(), tokenGap: newHistogram(), routed: newHistogram(), direct: newHistogram(),
		perOrganisation: make(map[string]*organisationStats), promises: make(map[string]*Promise), runs: make(map[string]int),
	}
	for _, name := range promiseNames {
		st.promises[name] = &Promise{Name: name}
	}
	return st
}

func (st *runStats) promise(name string) *Promise { return st.promises[name] }

func (st *runStats) organisation(name string) *organisationStats {
	o, ok := st.perOrganisation[name]
	if !ok {
		o = &organisationStats{firstToken: newHistogram()}
		st.perOrganisation[name] = o
	}
	return o
}

// add records the outcome of one request and checks its answer.
func (st *runStats) add(q *request, o *outcome) {
	org := st.organisation(q.organisation.Name)
	st.sent++
	org.sent++
	st.tries += int64(o.tries)
	st.disconnects += int64(o.disconnects)
	if o.err != nil {
		st.outcomes[kindOf(o.err)]++
		st.recordFailure(q, o.err)
		st.promise(completeAnswers).Checked++
		if kindOf(o.err) == kindBroken {
			st.promise(completeAnswers).recordBreach("request %d: %v", q.number, o.err)
		}
		return
	}
	st.completed++
	org.completed++
	st.outcomes["whole"]++
	// A retried or doubled request may get the answer that was retained for another try. It is then
	// billed under that try's request ID.
	if !q.doubled && o.tries == 1 {
		st.answered = append(st.answered, o.answer.Request)
	}
	st.firstToken.record(o.firstToken)
	org.firstToken.record(o.firstToken)
	st.total.record(o.total)
	for _, g := range o.tokenGaps {
		st.tokenGap.record(g)
	}
	st.checkComplete(q, o)
	st.checkMatching(q, o)
	st.checkVersion(q, o)
}

// recordFailure describes the first few failures for the result.
func (st *runStats) recordFailure(q *request, err error) {
	if len(st.failures) >= maxExamples {
		return
	}
	what := ""
	if q.route != nil {
		what = "route " + q.route.Name
	} else {
		what = "service " + q.service.Name
	}
	st.failures = append(st.failures, fmt.Sprintf("request %d, %s, due at %s, key %q, doubled %v: %v", q.number, what, q.at.Round(time.Millisecond), q.key, q.doubled, err))
}

// checkComplete checks an answer that ended without an error: a chat answer must have a finish
// reason, and the tokens that a stand-in numbers must be without gaps.
func (st *runStats) checkComplete(q *request, o *outcome) {
	p := st.promise(completeAnswers)
	p.Checked++
	if q.service != nil {
		return
	}
	if o.answer.FinishReason == "" {
		p.recordBreach("request %d: no reason for the end", q.number)
	}
	words := strings.Fields(o.answer.Text)
	if len(words) == 0 || words[0] != q.nonce {
		return
	}
	for i, word := range words[1:] {
		if word != fmt.Sprintf("w%d", i+1) {
			p.recordBreach("request %d: token %d is %q", q.number, i+1, word)
			return
		}
	}
}

// checkMatching compares the nonce that a stand-in echoed with that of the request. Answers of real
// engines have no nonce and are not counted as checked.
func (st *runStats) checkMatching(q *request, o *outcome) {
	text := o.answer.Text
	if q.service != nil {
		_, text, _ = strings.Cut(o.body, "echo:")
	}
	nonce, _, _ := strings.Cut(text, " ")
	if !strings.HasPrefix(nonce, fmt.Sprintf("n%d-", st.plan.Seed)) {
		return
	}
	p := st.promise(matchingAnswers)
	p.Checked++
	if strings.TrimSpace(nonce) != q.nonce {
		p.recordBreach("request %d has the answer to %s", q.number, nonce)
	}
}

// checkVersion checks that the version is allowed on the route, and that a session keeps its
// version unless the answer reports why the session moved.
func (st *runStats) checkVersion(q *request, o *outcome) {
	if q.route == nil {
		return
	}
	if len(q.route.Versions) > 0 {
		p := st.promise(allowedVersions)
		p.Checked++
		if !slices.Contains(q.route.Versions, o.answer.Version) {
			p.recordBreach("request %d of route %s ran on %s", q.number, q.route.Name, o.answer.Version)
		}
	}
	if o.session.token == "" {
		return
	}
	p := st.promise(sameVersion)
	p.Checked++
	if o.answer.Version != o.session.version && o.answer.Moved == "" {
		p.recordBreach("request %d: session went from %s to %s without a word", q.number, o.session.version, o.answer.Version)
	}
}

// checkRuns checks which runs of a service answered a call: all answers under one idempotency key
// must come from one run, and no run may answer two requests.
func (st *runStats) checkRuns(q *request, outcomes []outcome) {
	p := st.promise(runsOnce)
	previous := ""
	for _, o := range outcomes {
		if o.err != nil || o.run == "" {
			continue
		}
		p.Checked++
		if other, ok := st.runs[o.run]; ok && other != q.number {
			p.recordBreach("requests %d and %d were answered by one run", other, q.number)
		}
		st.runs[o.run] = q.number
		if previous != "" && previous != o.run && q.key != "" && !q.service.Repeatable {
			p.recordBreach("request %d ran twice under key %s", q.number, q.key)
		}
		previous = o.run
	}
}
