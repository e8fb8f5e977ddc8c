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

// Sizes, delays and ratios of the roll-out benchmark.
const (
	rolloutRate     = 17.0 // requests per second at each entry
	rolloutShare    = 0.1  // traffic share of the new version
	rolloutStep     = 100 * clock.Millis(1)
	reportLossRatio = 0.1 // ratio of lost count messages to judges
	reportDelay     = 300 * clock.Millis(1)
	logDelay        = 500 * clock.Millis(1)
	firstTokenDelay = 300 * clock.Millis(1)
	failureDelay    = 50 * clock.Millis(1)
	answerDuration  = 3 * clock.Second
	ratingDelay     = 5 * clock.Second
	ratingLossRatio = 0.2  // ratio of lost ratings
	ratedRatio      = 0.25 // ratio of answers that are rated in falseHolds
	orgCount        = 10
	newVersion      = "draft@2"
	oldVersion      = "draft@1"
)

// fault describes how the new version fails.
type fault struct {
	name       string
	errorRatio float64
	meanRating float64
	// startsAt is when the fault begins; until then the version is good.
	startsAt clock.Millis
	// org limits the fault to one organisation by index; -1 means all.
	org int
	// allVersions makes the old version fail in the same way.
	allVersions bool
}

// policy is the rule by which a faulty version is held, that is, no longer used. A judge is a node
// that sums the outcome counts of a version from all entries and decides on its hold.
type policy int

const (
	sequential policy = iota // production: judges decide
	perNode                  // baseline: each entry decides from its own counts, see recordPerNode
)

const (
	goodErrorRatio = 0.005
	goodMeanRating = 0.9
)

func rolloutTables() *table.Tables {
	t := &table.Tables{
		Organisations: map[string]table.Organisation{},
		Versions:      map[string]table.Version{oldVersion: {Quality: goodMeanRating}, newVersion: {Quality: goodMeanRating}},
		Routes: map[string]table.Route{"dossier": {
			Models:        []table.RouteModel{{Model: "draft", Shares: map[string]float64{"1": 1 - rolloutShare, "2": rolloutShare}}},
			QualityTarget: 0.7,
		}},
	}
	return t
}

// rolloutEntry is one entry with the reducers of its control loop.
type rolloutEntry struct {
	vm       string
	evidence evidence.State
	counts   spread.CountReporter
	rollout  rollout.State
	holds    *rollout.Holds
	sampler  *quality.Sampler
	// nodeRequests, nodeErrors and nodeHeld are used only with the perNode policy.
	nodeRequests int
	nodeErrors   int
	nodeHeld     bool
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
	events  map[clock.Millis][]func()
	log     []provider.Record
	exposed int
	heldAt  clock.Millis
}

func newRolloutRun(entries int, f fault, p policy) *rolloutRun {
	r := &rolloutRun{
		rng: rand.New(rand.NewPCG(7, uint64(entries))), tables: rolloutTables(), fault: f, policy: p,
		byVM: make(map[string]*rolloutEntry), events: make(map[clock.Millis][]func()), heldAt: -1,
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

func (r *rolloutRun) schedule(t clock.Millis, f func()) {
	t = (t + rolloutStep - 1) / rolloutStep * rolloutStep
	r.events[t] = append(r.events[t], f)
}

// run simulates until the new version is held at all entries, or until horizon. It returns the
// number of requests that the new version served while it was faulty.
func (r *rolloutRun) run(horizon clock.Millis) (exposed int) {
	for r.now = rolloutStep; r.now < horizon; r.now += rolloutStep {
		for _, f := range r.events[r.now] {
			f()
		}
		delete(r.events, r.now)
		for _, e := range r.entries {
			for range poisson(r.rng, rolloutRate*float64(rolloutStep)/1000) {
				r.request(e)
			}
			if r.now%(2*rolloutStep) == 0 {
				r.reduce(e, event.Tick{Now: r.now})
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
	errorRatio, meanRating := goodErrorRatio, goodMeanRating
	affected := (r.fault.org < 0 || r.fault.org == org) && r.now >= r.fault.startsAt
	if affected && (version == newVersion || r.fault.allVersions) {
		errorRatio, meanRating = r.fault.errorRatio, r.fault.meanRating
	}
	if affected && version == newVersion {
		r.exposed++
	}
	r.serve(e, version, organisationName(org), r.rng.Float64() < errorRatio, meanRating)
}

func (r *rolloutRun) serve(e *rolloutEntry, version, org string, failed bool, meanRating float64) {
	if version == newVersion {
		r.recordPerNode(e, failed)
	}
	if failed {
		r.schedule(r.now+failureDelay, func() {
			r.reduce(e, event.AttemptEnded{Now: r.now, Route: "dossier", Version: version, Organisation: org, Failed: true})
		})
		return
	}
	r.schedule(r.now+firstTokenDelay, func() {
		r.reduce(e, event.AnswerStarted{Now: r.now, Route: "dossier", Version: version, Organisation: org})
	})
	r.schedule(r.now+answerDuration, func() {
		r.reduce(e, event.AttemptEnded{Now: r.now, Route: "dossier", Version: version, Organisation: org})
	})
	knownRatings := int64(0)
	if version == oldVersion {
		knownRatings = 1 << 20
	}
	if e.sampler.Sample(r.now, knownRatings, false) && r.rng.Float64() > ratingLossRatio {
		score := 0.0
		if r.rng.Float64() < meanRating {
			score = 1
		}
		r.schedule(r.now+ratingDelay, func() {
			r.reduce(e, event.Rated{Now: r.now, Route: "dossier", Version: version, Organisation: org, Score: score})
		})
	}
}

// recordPerNode implements the baseline policy: an entry holds the version for itself once more
// than 10% of its requests failed, if at least 20 were counted. The counts restart after 50
// requests.
func (r *rolloutRun) recordPerNode(e *rolloutEntry, failed bool) {
	const minRequests, maxRequests, maxErrorRatio = 20, 50, 0.1
	e.nodeRequests++
	if failed {
		e.nodeErrors++
	}
	if r.policy == perNode && e.nodeRequests >= minRequests && float64(e.nodeErrors) > maxErrorRatio*float64(e.nodeRequests) {
		e.nodeHeld = true
	}
	if e.nodeRequests == maxRequests {
		e.nodeRequests, e.nodeErrors = 0, 0
	}
}

// reduce passes an event to the reducers in the order in which package control does.
func (r *rolloutRun) reduce(e *rolloutEntry, ev event.Event) {
	if r.policy == perNode {
		return
	}
	deltas, _ := e.evidence.Reduce(ev)
	env := rollout.Env{Self: e.vm, Now: r.now, Tables: r.tables, VMs: r.vms}
	effects, changed := e.rollout.Reduce(ev, deltas, env)
	if changed {
		e.holds = e.rollout.Holds(r.tables)
	}
	for _, f := range effects {
		if a, ok := f.(event.Append); ok {
			r.append(a)
		}
	}
	r.reportCounts(e, ev)
}

// reportCounts sends the entry's outcome counts to the judges that its count reporter selects. A
// fraction reportLossRatio of the messages is lost.
func (r *rolloutRun) reportCounts(e *rolloutEntry, ev event.Event) {
	for _, f := range e.counts.Reduce(ev, e.evidence.Report(), r.members) {
		x, ok := f.(event.Exchange)
		if !ok || r.rng.Float64() < reportLossRatio {
			continue
		}
		judge := r.byVM[x.VM]
		r.schedule(r.now+reportDelay, func() {
			r.reduce(judge, event.DigestReceived{Now: r.now, Digest: x.Digest})
		})
	}
}

func (r *rolloutRun) append(a event.Append) {
	record := provider.Record{Offset: int64(len(r.log)), Data: a.Data}
	r.log = append(r.log, record)
	r.schedule(r.now+logDelay, func() {
		for _, e := range r.entries {
			page := provider.Page{Head: record.Offset + 1, Records: []provider.Record{record}}
			r.reduce(e, event.LogRead{Now: r.now, Stream: a.Stream, Page: page})
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
	{name: "errors-30", errorRatio: 0.3, meanRating: goodMeanRating, org: -1},
	{name: "errors-6", errorRatio: 0.06, meanRating: goodMeanRating, org: -1},
	{name: "ratings", errorRatio: goodErrorRatio, meanRating: 0.6, org: -1},
	{name: "late", errorRatio: 0.3, meanRating: goodMeanRating, startsAt: 12 * clock.Second, org: -1},
	{name: "one-organisation", errorRatio: 0.5, meanRating: goodMeanRating, org: 3},
}

// rolloutSeeds maps the number of entries to the number of runs to average. Fleets with few entries
// serve few requests, so their single runs vary too much.
var rolloutSeeds = map[int]int{3: 8, 30: 2, 380: 1}

// meanOverSeeds simulates a fault under a policy with several seeds. It returns the mean number of
// requests that were exposed to the fault, the mean time in ms from the fault to the hold (to
// horizon if there was none), and the fraction of runs in which the version was also held for
// org-0.
func meanOverSeeds(n int, f fault, p policy, horizon clock.Millis) (exposed, heldAfter, heldForOthers float64) {
	seeds := rolloutSeeds[n]
	for seed := range seeds {
		r := newRolloutRun(n, f, p)
		r.rng = rand.New(rand.NewPCG(7+uint64(seed), uint64(n)))
		exposed += float64(r.run(horizon))
		if r.heldAt < 0 {
			r.heldAt = horizon
		}
		heldAfter += float64(r.heldAt - f.startsAt)
		heldForOthers += heldValue(r.entries[0].holds, newVersion, "org-0")
	}
	k := float64(seeds)
	return exposed / k, heldAfter / k, heldForOthers / k
}

// benchRollout measures how many requests are exposed to a fault before the hold, and how many
// holds of a version without a fault there are.
func benchRollout() (out []Figure) {
	for _, n := range []int{3, 30, 380} {
		horizon := clock.Millis(180) * clock.Second
		if n == 380 {
			horizon = 17 * clock.Second
		}
		for _, f := range faults {
			prefix := fmt.Sprintf("rollout/%s/%d/", f.name, n)
			exposed, heldAfter, heldForOthers := meanOverSeeds(n, f, sequential, horizon)
			out = append(out, Figure{prefix + "exposed", exposed}, Figure{prefix + "held-after-ms", heldAfter})
			if f.org >= 0 {
				out = append(out, Figure{prefix + "held-for-others", heldForOthers})
			}
			exposed, _, _ = meanOverSeeds(n, f, perNode, horizon)
			out = append(out, Figure{prefix + "exposed-per-node-threshold", exposed})
		}
		out = append(out, falseHolds("good", n, 0.01, goodMeanRating-0.05)...)
	}
	out = append(out, falseHolds("at-limit", 30, table.DefaultHoldErrors, goodMeanRating-table.DefaultHoldRatingLoss)...)
	c := newRolloutRun(30, fault{errorRatio: 0.3, meanRating: 0.5, startsAt: 10 * clock.Second, org: -1, allVersions: true}, sequential)
	c.run(60 * clock.Second)
	return append(out, Figure{"rollout/common-cause/30/holds", float64(len(c.log))})
}

func heldValue(h *rollout.Holds, version, org string) float64 {
	if h.Held(version, org) {
		return 1
	}
	return 0
}

// falseHolds simulates a version that stays within its limits for a long time. It counts the holds
// that the judge decides on and those of the perNode baseline.
func falseHolds(name string, n int, errorRatio, meanRating float64) []Figure {
	seconds := min(3600, 250_000/n)
	r := newRolloutRun(n, fault{org: -1}, sequential)
	r.rng = rand.New(rand.NewPCG(11, uint64(n)))
	judge := r.byVM[evidence.Judges(r.vms, newVersion)[0]]
	totals := make([]evidence.Stats, n)
	baseline := 0
	for second := range seconds {
		r.now = clock.Millis(second) * clock.Second
		var counts []*wire.Count
		for i, e := range r.entries {
			requests := poisson(r.rng, rolloutRate*rolloutShare)
			failures := 0
			for range requests {
				failed := r.rng.Float64() < errorRatio
				if failed {
					failures++
				}
				e.nodeHeld = false
				r.policy = perNode
				r.recordPerNode(e, failed)
				if e.nodeHeld {
					baseline++
				}
			}
			r.policy = sequential
			rated := poisson(r.rng, float64(requests)*ratedRatio)
			score := 0.0
			for range rated {
				if r.rng.Float64() < meanRating {
					score++
				}
			}
			totals[i] = totals[i].Plus(evidence.Stats{Started: int64(requests - failures), Errors: int64(failures), Ratings: int64(rated), RatingSum: score})
			if e != judge {
				counts = append(counts, wireCount(e.vm, totals[i]))
			}
		}
		r.reduce(judge, event.DigestReceived{Now: r.now, Digest: &wire.Digest{Counts: counts}})
	}
	prefix := fmt.Sprintf("rollout/%s/%d/", name, n)
	return []Figure{{prefix + "false-holds", float64(len(r.log))}, {prefix + "false-holds-per-node-threshold", float64(baseline)}}
}

func wireCount(vm string, stats evidence.Stats) *wire.Count {
	return &wire.Count{
		Vm: vm, Epoch: 1, Route: "dossier", Version: newVersion, Organisation: "org-0",
		Started: stats.Started, Errors: stats.Errors, Ratings: stats.Ratings, RatingSum: stats.RatingSum,
	}
}
