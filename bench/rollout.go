package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"

	"github.com/parsleydeal/parsleydeal/choice"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/evidence"
	"github.com/parsleydeal/parsleydeal/membership"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/quality"
	"github.com/parsleydeal/parsleydeal/rollout"
	"github.com/parsleydeal/parsleydeal/spread"
	"github.com/parsleydeal/parsleydeal/table"
)

// Sizes and spans of the roll-out benchmark.
const (
	rolloutRate  = 17.0 // requests a second at each entry
	rolloutShare = 0.1  // share of the new version
	rolloutStep  = 100 * clock.Millis(1)
	reportLoss   = 0.1 // part of the reports to judges that are lost
	reportLate   = 300 * clock.Millis(1)
	logLate      = 500 * clock.Millis(1)
	firstToken   = 300 * clock.Millis(1)
	failureAfter = 50 * clock.Millis(1)
	wholeAfter   = 3 * clock.Second
	ratingAfter  = 5 * clock.Second
	ratingLoss   = 0.2
	ratingPart   = 0.25 // part of the answers rated in the long good run
	orgCount     = 10
	newVersion   = "draft@2"
	oldVersion   = "draft@1"
)

// fault is how the new version goes wrong.
type fault struct {
	name   string
	errors float64
	rating float64
	// after is how long the version is good first.
	after clock.Millis
	// org limits the fault to one organisation; -1 means all.
	org int
	// common makes the old version as bad.
	common bool
}

// policy decides when a version is held.
type policy int

const (
	sequential policy = iota
	perNode
)

const (
	goodErrors = 0.005
	goodRating = 0.9
)

func rolloutTables() *table.Tables {
	t := &table.Tables{
		Organisations: map[string]table.Organisation{},
		Versions:      map[string]table.Version{oldVersion: {Quality: goodRating}, newVersion: {Quality: goodRating}},
		Routes: map[string]table.Route{"dossier": {
			Models:        []table.RouteModel{{Model: "draft", Shares: map[string]float64{"1": 1 - rolloutShare, "2": rolloutShare}}},
			QualityTarget: 0.7,
		}},
	}
	return t
}

// rolloutEntry is one entry with the reducers that its control loop runs.
type rolloutEntry struct {
	vm       string
	evidence evidence.State
	counts   spread.CountReporter
	rollout  rollout.State
	holds    *rollout.Holds
	sampler  *quality.Sampler
	// nodeSeen and nodeBad serve the policy per node only.
	nodeSeen int
	nodeBad  int
	nodeHeld bool
}

type rolloutRun struct {
	rng     *rand.Rand
	tables  *table.Tables
	entries []*rolloutEntry
	byVM    map[string]*rolloutEntry
	vms     []provider.VM
	members *membership.Members
	fault   fault
	policy  policy
	now     clock.Millis
	due     map[clock.Millis][]func()
	log     []provider.Record
	exposed int
	heldAt  clock.Millis
}

func newRolloutRun(entries int, f fault, p policy) *rolloutRun {
	r := &rolloutRun{
		rng: rand.New(rand.NewPCG(7, uint64(entries))), tables: rolloutTables(), fault: f, policy: p,
		byVM: make(map[string]*rolloutEntry), due: make(map[clock.Millis][]func()), heldAt: -1,
	}
	for i := range entries {
		e := &rolloutEntry{vm: fmt.Sprintf("entry-%03d", i), rollout: rollout.NewState(), sampler: quality.NewSampler()}
		e.evidence = evidence.NewState(e.vm, uint64(i)+1)
		e.counts = spread.NewCountReporter(e.vm)
		r.entries = append(r.entries, e)
		r.byVM[e.vm] = e
		r.vms = append(r.vms, provider.VM{ID: e.vm, Role: provider.EntryRole})
	}
	r.members = membersOf(r.vms)
	return r
}

func (r *rolloutRun) at(t clock.Millis, f func()) {
	t = (t + rolloutStep - 1) / rolloutStep * rolloutStep
	r.due[t] = append(r.due[t], f)
}

// run goes on until the horizon and returns the requests that met the fault.
func (r *rolloutRun) run(horizon clock.Millis) (exposed int) {
	for r.now = rolloutStep; r.now < horizon; r.now += rolloutStep {
		for _, f := range r.due[r.now] {
			f()
		}
		delete(r.due, r.now)
		for _, e := range r.entries {
			for range poisson(r.rng, rolloutRate*float64(rolloutStep)/1000) {
				r.request(e)
			}
			if r.now%(2*rolloutStep) == 0 {
				r.feed(e, event.Tick{Now: r.now})
			}
		}
		if r.allHeld() {
			break
		}
	}
	return r.exposed
}

func (r *rolloutRun) allHeld() bool {
	for _, e := range r.entries {
		if !e.nodeHeld && !e.holds.Held(newVersion, organisationName(max(r.fault.org, 0))) {
			return false
		}
	}
	if r.heldAt < 0 {
		r.heldAt = r.now
	}
	return true
}

func organisationName(i int) string { return "org-" + strconv.Itoa(i) }

func (r *rolloutRun) request(e *rolloutEntry) {
	org := r.rng.IntN(orgCount)
	m := r.tables.Routes["dossier"].Models[0]
	version := choice.SelectVersion(r.tables, e.holds, m, organisationName(org), r.rng.Uint64())
	if e.nodeHeld {
		version = oldVersion
	}
	errors, rating := goodErrors, goodRating
	hit := (r.fault.org < 0 || r.fault.org == org) && r.now >= r.fault.after
	if hit && (version == newVersion || r.fault.common) {
		errors, rating = r.fault.errors, r.fault.rating
	}
	if hit && version == newVersion {
		r.exposed++
	}
	r.answer(e, version, organisationName(org), r.rng.Float64() < errors, rating)
}

func (r *rolloutRun) answer(e *rolloutEntry, version, org string, failed bool, rating float64) {
	if version == newVersion {
		r.count(e, failed)
	}
	if failed {
		r.at(r.now+failureAfter, func() {
			r.feed(e, event.AttemptEnded{Now: r.now, Route: "dossier", Version: version, Organisation: org, Failed: true})
		})
		return
	}
	r.at(r.now+firstToken, func() {
		r.feed(e, event.AnswerStarted{Now: r.now, Route: "dossier", Version: version, Organisation: org})
	})
	r.at(r.now+wholeAfter, func() {
		r.feed(e, event.AttemptEnded{Now: r.now, Route: "dossier", Version: version, Organisation: org})
	})
	known := int64(0)
	if version == oldVersion {
		known = 1 << 20
	}
	if e.sampler.Sample(r.now, known, false) && r.rng.Float64() > ratingLoss {
		score := 0.0
		if r.rng.Float64() < rating {
			score = 1
		}
		r.at(r.now+ratingAfter, func() {
			r.feed(e, event.Rated{Now: r.now, Route: "dossier", Version: version, Organisation: org, Score: score})
		})
	}
}

// count is the baseline: each node holds the version for itself at 10% errors
// in its last 20 requests or more.
func (r *rolloutRun) count(e *rolloutEntry, failed bool) {
	const least, most, part = 20, 50, 0.1
	e.nodeSeen++
	if failed {
		e.nodeBad++
	}
	if r.policy == perNode && e.nodeSeen >= least && float64(e.nodeBad) > part*float64(e.nodeSeen) {
		e.nodeHeld = true
	}
	if e.nodeSeen == most {
		e.nodeSeen, e.nodeBad = 0, 0
	}
}

// feed gives an event to the reducers in the order in which control does.
func (r *rolloutRun) feed(e *rolloutEntry, ev event.Event) {
	if r.policy == perNode {
		return
	}
	deltas, _ := e.evidence.Reduce(ev)
	known := rollout.Env{Self: e.vm, Now: r.now, Tables: r.tables, VMs: r.vms}
	effects, changed := e.rollout.Reduce(ev, deltas, known)
	if changed {
		e.holds = e.rollout.Holds(r.tables)
	}
	for _, f := range effects {
		if a, ok := f.(event.Append); ok {
			r.append(a)
		}
	}
	r.tell(e, ev)
}

// tell sends what the entry's plan says to the judges; some messages are lost.
func (r *rolloutRun) tell(e *rolloutEntry, ev event.Event) {
	for _, f := range e.counts.Reduce(ev, e.evidence.Report(), r.members) {
		x, ok := f.(event.Exchange)
		if !ok || r.rng.Float64() < reportLoss {
			continue
		}
		judge := r.byVM[x.VM]
		r.at(r.now+reportLate, func() {
			r.feed(judge, event.DigestReceived{Now: r.now, Digest: x.Digest})
		})
	}
}

func (r *rolloutRun) append(a event.Append) {
	record := provider.Record{Offset: int64(len(r.log)), Data: a.Data}
	r.log = append(r.log, record)
	r.at(r.now+logLate, func() {
		for _, e := range r.entries {
			page := provider.Page{Head: record.Offset + 1, Records: []provider.Record{record}}
			r.feed(e, event.LogRead{Now: r.now, Stream: a.Stream, Page: page})
		}
	})
}

func poisson(rng *rand.Rand, mean float64) (n int) {
	if mean > 30 {
		return int(max(math.Round(mean+math.Sqrt(mean)*rng.NormFloat64()), 0))
	}
	limit := math.Exp(-mean)
	for p := rng.Float64(); p > limit; p *= rng.Float64() {
		n++
	}
	return n
}

var faults = []fault{
	{name: "errors-30", errors: 0.3, rating: goodRating, org: -1},
	{name: "errors-6", errors: 0.06, rating: goodRating, org: -1},
	{name: "ratings", errors: goodErrors, rating: 0.6, org: -1},
	{name: "late", errors: 0.3, rating: goodRating, after: 12 * clock.Second, org: -1},
	{name: "one-organisation", errors: 0.5, rating: goodRating, org: 3},
}

// rolloutSeeds is how many runs are averaged by the number of entries: few
// entries see few requests, and one run says little.
var rolloutSeeds = map[int]int{3: 8, 30: 2, 380: 1}

// averageOf runs a fault under a policy with several seeds and returns the mean
// of the requests exposed, of the span to the hold (the horizon when there was
// none) and of the runs in which others than the one concerned were held too.
func averageOf(n int, f fault, p policy, horizon clock.Millis) (exposed, after, others float64) {
	seeds := rolloutSeeds[n]
	for seed := range seeds {
		r := newRolloutRun(n, f, p)
		r.rng = rand.New(rand.NewPCG(7+uint64(seed), uint64(n)))
		exposed += float64(r.run(horizon))
		if r.heldAt < 0 {
			r.heldAt = horizon
		}
		after += float64(r.heldAt - f.after)
		others += held(r.entries[0].holds, newVersion, "org-0")
	}
	k := float64(seeds)
	return exposed / k, after / k, others / k
}

// benchRollout measures requests exposed before a hold and false holds.
func benchRollout() (out []Figure) {
	for _, n := range []int{3, 30, 380} {
		horizon := clock.Millis(180) * clock.Second
		if n == 380 {
			horizon = 17 * clock.Second
		}
		for _, f := range faults {
			prefix := fmt.Sprintf("rollout/%s/%d/", f.name, n)
			exposed, after, others := averageOf(n, f, sequential, horizon)
			out = append(out, Figure{prefix + "exposed", exposed}, Figure{prefix + "held-after-ms", after})
			if f.org >= 0 {
				out = append(out, Figure{prefix + "held-for-others", others})
			}
			exposed, _, _ = averageOf(n, f, perNode, horizon)
			out = append(out, Figure{prefix + "exposed-per-node-threshold", exposed})
		}
		out = append(out, falseHolds("good", n, 0.01, goodRating-0.05)...)
	}
	out = append(out, falseHolds("at-limit", 30, table.DefaultHoldErrors, goodRating-table.DefaultHoldRatingLoss)...)
	c := newRolloutRun(30, fault{errors: 0.3, rating: 0.5, after: 10 * clock.Second, org: -1, common: true}, sequential)
	c.run(60 * clock.Second)
	return append(out, Figure{"rollout/common-cause/30/holds", float64(len(c.log))})
}

func held(h *rollout.Holds, version, org string) float64 {
	if h.Held(version, org) {
		return 1
	}
	return 0
}

// falseHolds runs a version that is within its limits for a long time and counts
// the holds of the judge and of the baseline on each node.
func falseHolds(name string, n int, errors, rating float64) []Figure {
	span := min(3600, 250_000/n)
	r := newRolloutRun(n, fault{org: -1}, sequential)
	r.rng = rand.New(rand.NewPCG(11, uint64(n)))
	judge := r.byVM[evidence.Judges(r.vms, newVersion)[0]]
	totals := make([]evidence.Stats, n)
	baseline := 0
	for second := range span {
		r.now = clock.Millis(second) * clock.Second
		var counts []*wire.Count
		for i, e := range r.entries {
			begun := poisson(r.rng, rolloutRate*rolloutShare)
			bad := 0
			for range begun {
				failed := r.rng.Float64() < errors
				if failed {
					bad++
				}
				e.nodeHeld = false
				r.policy = perNode
				r.count(e, failed)
				if e.nodeHeld {
					baseline++
				}
			}
			r.policy = sequential
			rated := poisson(r.rng, float64(begun)*ratingPart)
			score := 0.0
			for range rated {
				if r.rng.Float64() < rating {
					score++
				}
			}
			totals[i] = totals[i].Plus(evidence.Stats{Started: int64(begun - bad), Errors: int64(bad), Ratings: int64(rated), RatingSum: score})
			if e != judge {
				counts = append(counts, countOf(e.vm, totals[i]))
			}
		}
		r.feed(judge, event.DigestReceived{Now: r.now, Digest: &wire.Digest{Counts: counts}})
	}
	prefix := fmt.Sprintf("rollout/%s/%d/", name, n)
	return []Figure{{prefix + "false-holds", float64(len(r.log))}, {prefix + "false-holds-per-node-threshold", float64(baseline)}}
}

func countOf(vm string, t evidence.Stats) *wire.Count {
	return &wire.Count{
		Vm: vm, Epoch: 1, Route: "dossier", Version: newVersion, Organisation: "org-0",
		Started: t.Started, Errors: t.Errors, Ratings: t.Ratings, RatingSum: t.RatingSum,
	}
}
