package burn

import (
	"cmp"
	"maps"
	"slices"
)

// Alert is the urgency of a burn rate.
type Alert string

// The alerts, by increasing urgency.
const (
	NoAlert Alert = ""
	// Ticket means that the bad events of three days use up the budget of those days.
	Ticket Alert = "ticket"
	// Page means that a month's budget would be spent within about two days.
	Page Alert = "page"
)

// Burn rates from which an alert is raised. Both the long and the short window must reach them, so
// that an alert ends soon after its cause.
const (
	pageRate   = 14.4
	ticketRate = 1.0
	// minEvents is the number of events in the long window below which no alert is raised, so that
	// a few failed requests on a quiet route do not cause one.
	minEvents = 20
	// maxCauses is how many causes are listed for one objective.
	maxCauses = 5
)

// Line is the state of one objective of one route.
type Line struct {
	Route     string  `json:"route"`
	Objective string  `json:"objective"`
	Target    float64 `json:"target"`
	// Rates holds the burn rate by window: the ratio of bad events divided by the ratio that the
	// target allows. A rate of 1 spends the budget exactly.
	Rates map[string]float64 `json:"rates"`
	// Events counts the events of the longest window that has any, and Bad the bad ones. Bad is
	// fractional for quality, where an answer may be partly good.
	Events int64   `json:"events"`
	Bad    float64 `json:"bad"`
	// BudgetRemaining is the remaining fraction of that window's budget. It is below 0 if the
	// budget is overspent.
	BudgetRemaining float64 `json:"left"`
	Alert           Alert   `json:"alert,omitempty"`
	Causes          []Cause `json:"causes,omitempty"`
}

// Cause is the fraction of the bad events that belongs to one version, availability zone or
// organisation. Each event counts for its version, its zone and its organisation.
type Cause struct {
	Kind     string  `json:"kind"`
	Name     string  `json:"name"`
	Fraction float64 `json:"part"`
}

// Percentiles are the latencies of a route over the last hour, in milliseconds. First is the time
// to the first token, Gap the mean time between tokens.
type Percentiles struct {
	Route    string `json:"route"`
	FirstP50 int64  `json:"first-p50"`
	FirstP95 int64  `json:"first-p95"`
	FirstP99 int64  `json:"first-p99"`
	GapP50   int64  `json:"gap-p50"`
	GapP95   int64  `json:"gap-p95"`
	Attempts int64  `json:"attempts"`
}

// Evaluation is the burn report for operators.
type Evaluation struct {
	Processes int `json:"processes"`
	// Missing names the entries that did not reply. What they served is not included.
	Missing       []string      `json:"missing,omitempty"`
	CoveredMillis int64         `json:"covered-millis"`
	Lines         []Line        `json:"lines"`
	Latencies     []Percentiles `json:"latencies"`
}

// indicator extracts the events of one objective, and the bad ones among them, from counts.
type indicator struct {
	name   string
	target func(Objective) float64
	count  func(Counts) (events int64, bad float64)
}

func indicators() []indicator {
	return []indicator{
		{"availability", func(o Objective) float64 { return o.Availability }, func(c Counts) (int64, float64) { return c.Requests, float64(c.Unanswered) }},
		{"first-token", func(o Objective) float64 { return targetIfLimited(o.FirstTokenMillis, o.Target) }, func(c Counts) (int64, float64) { return c.FirstTokens, float64(c.LateFirstTokens) }},
		{"token-gap", func(o Objective) float64 { return targetIfLimited(o.TokenGapMillis, o.Target) }, func(c Counts) (int64, float64) { return c.TokenGaps, float64(c.SlowGaps) }},
		{"quality", func(o Objective) float64 { return o.Quality }, func(c Counts) (int64, float64) { return c.Ratings, float64(c.Ratings) - c.RatingSum }},
		{"exposure", func(Objective) float64 { return exposureTarget }, func(c Counts) (int64, float64) { return c.Requests, float64(c.Exposed) }},
	}
}

// exposureTarget is the ratio of requests that must not be answered by a version that is on hold or
// withdrawn by the time the answer ends.
const exposureTarget = 0.999

func targetIfLimited(limit int64, target float64) float64 {
	if limit == 0 {
		return 0
	}
	return target
}

// Evaluate returns the state of all objectives, the one with the least remaining budget first.
func (m *Merged) Evaluate() *Evaluation {
	out := &Evaluation{Processes: m.Processes, CoveredMillis: m.CoveredMillis}
	for _, route := range slices.Sorted(maps.Keys(m.Objectives)) {
		for _, p := range indicators() {
			if l, ok := m.line(route, p); ok {
				out.Lines = append(out.Lines, l)
			}
		}
	}
	slices.SortStableFunc(out.Lines, func(a, b Line) int { return cmp.Compare(a.BudgetRemaining, b.BudgetRemaining) })
	for _, route := range slices.Sorted(maps.Keys(m.first)) {
		out.Latencies = append(out.Latencies, m.percentiles(route))
	}
	return out
}

func (m *Merged) line(route string, p indicator) (l Line, ok bool) {
	target := p.target(m.Objectives[route])
	if target <= 0 || target >= 1 {
		return l, false
	}
	l = Line{Route: route, Objective: p.name, Target: target, Rates: make(map[string]float64), BudgetRemaining: 1}
	events := make(map[string]int64)
	for _, w := range Windows() {
		n, bad := m.count(w.Name, route, p)
		events[w.Name] = n
		if n > 0 {
			l.Rates[w.Name] = bad / float64(n) / (1 - target)
			l.Events, l.Bad, l.BudgetRemaining = n, bad, 1-l.Rates[w.Name]
		}
	}
	l.Alert = alert(l.Rates, events)
	l.Causes = m.causes(route, p)
	return l, true
}

func alert(rates map[string]float64, events map[string]int64) Alert {
	over := func(long, short string, rate float64) bool {
		return events[long] >= minEvents && rates[long] >= rate && rates[short] >= rate
	}
	switch {
	case over("1h", "5m", pageRate):
		return Page
	case over("3d", "6h", ticketRate):
		return Ticket
	}
	return NoAlert
}

func (m *Merged) count(window, route string, p indicator) (n int64, bad float64) {
	for k, counts := range m.windows[window] {
		if k.Route == route {
			events, x := p.count(counts)
			n += events
			bad += x
		}
	}
	return n, bad
}

// causes returns the largest contributors to the bad events of the last six hours.
func (m *Merged) causes(route string, p indicator) (out []Cause) {
	sums := make(map[Cause]float64)
	all := 0.0
	for k, counts := range m.windows["6h"] {
		_, bad := p.count(counts)
		if k.Route != route || bad <= 0 {
			continue
		}
		all += bad
		for kind, name := range map[string]string{"version": k.Version, "zone": k.Zone, "organisation": k.Organisation} {
			if name != "" {
				sums[Cause{Kind: kind, Name: name}] += bad
			}
		}
	}
	for c, bad := range sums {
		c.Fraction = bad / all
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Fraction, a.Fraction), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return out[:min(len(out), maxCauses)]
}

func (m *Merged) percentiles(route string) Percentiles {
	f, g := m.first[route], m.gap[route]
	return Percentiles{
		Route: route, Attempts: f.TotalCount(),
		FirstP50: f.ValueAtQuantile(50), FirstP95: f.ValueAtQuantile(95), FirstP99: f.ValueAtQuantile(99),
		GapP50: g.ValueAtQuantile(50), GapP95: g.ValueAtQuantile(95),
	}
}

// Percent returns the fraction as a percentage.
func (c Cause) Percent() float64 { return 100 * c.Fraction }
