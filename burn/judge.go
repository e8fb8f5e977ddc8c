package burn

import (
	"cmp"
	"maps"
	"slices"
)

// Alert says whether somebody should act.
type Alert string

// The alerts, from none to the most pressing.
const (
	NoAlert Alert = ""
	// Ticket means that the budget of three days is spent within the window.
	Ticket Alert = "ticket"
	// Page means that a month's budget would be gone within two days.
	Page Alert = "page"
)

// Burn rates at which an alert is given; both windows must show them, so that
// an alert ends soon after its cause.
const (
	pageRate   = 14.4
	ticketRate = 1.0
	// leastEvents keeps a few requests on a quiet route from alerting.
	leastEvents = 20
	// maxCauses bounds the causes named for one objective.
	maxCauses = 5
)

// Line is the state of one objective of one route.
type Line struct {
	Route     string  `json:"route"`
	Objective string  `json:"objective"`
	Target    float64 `json:"target"`
	// Rates holds the burn rate by window: the share of bad events over the share
	// allowed. 1 spends the budget exactly.
	Rates map[string]float64 `json:"rates"`
	// Events counts the events of the longest window, Bad the bad ones. Bad is
	// not whole for quality, where an answer may be good in part.
	Events int64   `json:"events"`
	Bad    float64 `json:"bad"`
	// BudgetRemaining is the part of the longest window's budget that is left; below 0 it is
	// overspent.
	BudgetRemaining float64 `json:"left"`
	Alert           Alert   `json:"alert,omitempty"`
	Causes          []Cause `json:"causes,omitempty"`
}

// Cause is a part of the bad events that one version, zone or organisation has.
type Cause struct {
	Kind     string  `json:"kind"`
	Name     string  `json:"name"`
	Fraction float64 `json:"part"`
}

// Percentiles are those of a route's last hour, in milliseconds.
type Percentiles struct {
	Route    string `json:"route"`
	FirstP50 int64  `json:"first-p50"`
	FirstP95 int64  `json:"first-p95"`
	FirstP99 int64  `json:"first-p99"`
	GapP50   int64  `json:"gap-p50"`
	GapP95   int64  `json:"gap-p95"`
	Attempts int64  `json:"attempts"`
}

// Evaluation is what operators read.
type Evaluation struct {
	Processes int `json:"processes"`
	// Missing names the entries that did not answer; what they served lacks.
	Missing       []string      `json:"missing,omitempty"`
	CoveredMillis int64         `json:"covered-millis"`
	Lines         []Line        `json:"lines"`
	Latencies     []Percentiles `json:"latencies"`
}

// part reads good and bad of one objective out of a tally.
type part struct {
	name   string
	target func(Objective) float64
	read   func(Counts) (events int64, bad float64)
}

func parts() []part {
	return []part{
		{"availability", func(o Objective) float64 { return o.Availability }, func(t Counts) (int64, float64) { return t.Requests, float64(t.Unanswered) }},
		{"first-token", func(o Objective) float64 { return pick(o.FirstTokenMillis, o.Target) }, func(t Counts) (int64, float64) { return t.FirstTokens, float64(t.LateFirstTokens) }},
		{"token-gap", func(o Objective) float64 { return pick(o.TokenGapMillis, o.Target) }, func(t Counts) (int64, float64) { return t.TokenGaps, float64(t.SlowGaps) }},
		{"quality", func(o Objective) float64 { return o.Quality }, func(t Counts) (int64, float64) { return t.Ratings, float64(t.Ratings) - t.RatingSum }},
		{"exposure", func(Objective) float64 { return exposureTarget }, func(t Counts) (int64, float64) { return t.Requests, float64(t.Exposed) }},
	}
}

// exposureTarget is the share of requests that must not be answered by a
// version held or withdrawn by then.
const exposureTarget = 0.999

func pick(limit int64, target float64) float64 {
	if limit == 0 {
		return 0
	}
	return target
}

// Evaluate makes the verdict, the most pressing objective first.
func (m *Merged) Evaluate() *Evaluation {
	v := &Evaluation{Processes: m.Processes, CoveredMillis: m.CoveredMillis}
	for _, route := range slices.Sorted(maps.Keys(m.Objectives)) {
		for _, p := range parts() {
			if l, ok := m.line(route, p); ok {
				v.Lines = append(v.Lines, l)
			}
		}
	}
	slices.SortStableFunc(v.Lines, func(a, b Line) int { return cmp.Compare(a.BudgetRemaining, b.BudgetRemaining) })
	for _, route := range slices.Sorted(maps.Keys(m.first)) {
		v.Latencies = append(v.Latencies, m.percentiles(route))
	}
	return v
}

func (m *Merged) line(route string, p part) (l Line, ok bool) {
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
		return events[long] >= leastEvents && rates[long] >= rate && rates[short] >= rate
	}
	switch {
	case over("1h", "5m", pageRate):
		return Page
	case over("3d", "6h", ticketRate):
		return Ticket
	}
	return NoAlert
}

func (m *Merged) count(window, route string, p part) (n int64, bad float64) {
	for k, t := range m.windows[window] {
		if k.Route == route {
			events, x := p.read(t)
			n += events
			bad += x
		}
	}
	return n, bad
}

// causes names who has the most of the bad events within six hours.
func (m *Merged) causes(route string, p part) (out []Cause) {
	sums := make(map[Cause]float64)
	all := 0.0
	for k, t := range m.windows["6h"] {
		_, bad := p.read(t)
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

// Percent returns the part in a hundred.
func (c Cause) Percent() float64 { return 100 * c.Fraction }
