package load

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Names of the promises that a caller can see kept or broken.
const (
	wholeAnswers = "whole"
	ownAnswers   = "own"
	once         = "once"
	allowed      = "allowed"
	sameVersion  = "session-keeps-version"
	billed       = "billed"
)

var promiseNames = []string{wholeAnswers, ownAnswers, once, allowed, sameVersion, billed}

// Promise is the verdict on one promise.
type Promise struct {
	Name string `toml:"name" json:"name"`
	// Checked counts the answers that could show a breach; 0 proves nothing.
	Checked int64 `toml:"checked" json:"checked"`
	Broken  int64 `toml:"broken" json:"broken"`
	// Examples holds the first few breaches.
	Examples []string `toml:"examples" json:"examples,omitempty"`
}

const maxExamples = 5

func (p *Promise) broke(format string, a ...any) {
	p.Broken++
	if len(p.Examples) < maxExamples {
		p.Examples = append(p.Examples, fmt.Sprintf(format, a...))
	}
}

// span is a histogram of spans in microseconds, up to ten minutes.
type span struct{ h *hdrhistogram.Histogram }

func newSpan() span {
	const most, digits = 600_000_000, 3
	return span{hdrhistogram.New(1, most, digits)}
}

func (s span) record(d time.Duration) {
	_ = s.h.RecordValue(min(max(d.Microseconds(), 1), s.h.HighestTrackableValue()))
}

// tally sums up the outcomes of a run.
type tally struct {
	plan                *Plan
	sent, whole, unsent int64
	tries, cuts         int64
	outcomes            map[string]int64
	first, total, gap   span
	routed, direct      span
	perOrganisation     map[string]*organisationTally
	promises            map[string]*Promise
	answered, failures  []string
	// runs holds the request that each run of a stand-in service belonged to.
	runs map[string]int
}

type organisationTally struct {
	sent, whole int64
	first       span
}

func newTally(p *Plan) *tally {
	t := &tally{
		plan: p, outcomes: make(map[string]int64), first: newSpan(), total: newSpan(), gap: newSpan(), routed: newSpan(), direct: newSpan(),
		perOrganisation: make(map[string]*organisationTally), promises: make(map[string]*Promise), runs: make(map[string]int),
	}
	for _, name := range promiseNames {
		t.promises[name] = &Promise{Name: name}
	}
	return t
}

func (t *tally) promise(name string) *Promise { return t.promises[name] }

func (t *tally) organisation(name string) *organisationTally {
	o, ok := t.perOrganisation[name]
	if !ok {
		o = &organisationTally{first: newSpan()}
		t.perOrganisation[name] = o
	}
	return o
}

func (t *tally) add(q *request, o *outcome) {
	org := t.organisation(q.organisation.Name)
	t.sent++
	org.sent++
	t.tries += int64(o.tries)
	t.cuts += int64(o.cuts)
	if o.err != nil {
		t.outcomes[kindOf(o.err)]++
		t.fail(q, o.err)
		t.promise(wholeAnswers).Checked++
		if kindOf(o.err) == broken {
			t.promise(wholeAnswers).broke("request %d: %v", q.number, o.err)
		}
		return
	}
	t.whole++
	org.whole++
	t.outcomes["whole"]++
	// An answer that was kept from an earlier try is billed under that try.
	if !q.doubled && o.tries == 1 {
		t.answered = append(t.answered, o.answer.Request)
	}
	t.first.record(o.first)
	org.first.record(o.first)
	t.total.record(o.total)
	for _, g := range o.gaps {
		t.gap.record(g)
	}
	t.checkWhole(q, o)
	t.checkOwn(q, o)
	t.checkVersion(q, o)
}

// fail keeps the first few failures for a person to read.
func (t *tally) fail(q *request, err error) {
	if len(t.failures) >= maxExamples {
		return
	}
	what := ""
	if q.route != nil {
		what = "route " + q.route.Name
	} else {
		what = "service " + q.service.Name
	}
	t.failures = append(t.failures, fmt.Sprintf("request %d, %s, due at %s, key %q, doubled %v: %v", q.number, what, q.at.Round(time.Millisecond), q.key, q.doubled, err))
}

// checkWhole looks at an answer that seems whole: it has a reason for its end,
// and a stand-in's numbered tokens have no gap.
func (t *tally) checkWhole(q *request, o *outcome) {
	p := t.promise(wholeAnswers)
	p.Checked++
	if q.service != nil {
		return
	}
	if o.answer.FinishReason == "" {
		p.broke("request %d: no reason for the end", q.number)
	}
	words := strings.Fields(o.answer.Text)
	if len(words) == 0 || words[0] != q.nonce {
		return
	}
	for i, word := range words[1:] {
		if word != fmt.Sprintf("w%d", i+1) {
			p.broke("request %d: token %d is %q", q.number, i+1, word)
			return
		}
	}
}

// checkOwn looks for the nonce that stand-ins echo. Answers of real engines
// have none and are not counted as checked.
func (t *tally) checkOwn(q *request, o *outcome) {
	text := o.answer.Text
	if q.service != nil {
		_, text, _ = strings.Cut(o.body, "echo:")
	}
	nonce, _, _ := strings.Cut(text, " ")
	if !strings.HasPrefix(nonce, fmt.Sprintf("n%d-", t.plan.Seed)) {
		return
	}
	p := t.promise(ownAnswers)
	p.Checked++
	if strings.TrimSpace(nonce) != q.nonce {
		p.broke("request %d has the answer to %s", q.number, nonce)
	}
}

func (t *tally) checkVersion(q *request, o *outcome) {
	if q.route == nil {
		return
	}
	if len(q.route.Versions) > 0 {
		p := t.promise(allowed)
		p.Checked++
		if !slices.Contains(q.route.Versions, o.answer.Version) {
			p.broke("request %d of route %s ran on %s", q.number, q.route.Name, o.answer.Version)
		}
	}
	if o.session.token == "" {
		return
	}
	p := t.promise(sameVersion)
	p.Checked++
	if o.answer.Version != o.session.version && o.answer.Moved == "" {
		p.broke("request %d: session went from %s to %s without a word", q.number, o.session.version, o.answer.Version)
	}
}

// once compares the answers of a call: those under one key must come from one
// run of the service, and no run may answer two requests.
func (t *tally) once(q *request, outcomes []outcome) {
	p := t.promise(once)
	seen := ""
	for _, o := range outcomes {
		if o.err != nil || o.run == "" {
			continue
		}
		p.Checked++
		if other, ok := t.runs[o.run]; ok && other != q.number {
			p.broke("requests %d and %d were answered by one run", other, q.number)
		}
		t.runs[o.run] = q.number
		if seen != "" && seen != o.run && q.key != "" && !q.service.Repeatable {
			p.broke("request %d ran twice under key %s", q.number, q.key)
		}
		seen = o.run
	}
}
