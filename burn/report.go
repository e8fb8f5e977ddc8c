package burn

import (
	"cmp"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/table"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("burn")

// ErrMalformed is returned for a report, handover or page that cannot be encoded or decoded.
var ErrMalformed = Errors.NewType("malformed")

// Objective holds the service-level objectives of a route as they are in the tables. A field is 0
// if the tables set none.
type Objective struct {
	FirstTokenMillis int64   `json:"first-token-millis,omitempty"`
	TokenGapMillis   int64   `json:"token-gap-millis,omitempty"`
	Target           float64 `json:"target,omitempty"`
	Availability     float64 `json:"availability,omitempty"`
	Quality          float64 `json:"quality,omitempty"`
}

// Row holds the counts of one key within a window.
type Row struct {
	Key
	Counts
}

// Latency holds the histograms of a route for the last hour, encoded so that they can be merged.
type Latency struct {
	Route string `json:"route"`
	First []byte `json:"first"`
	Gap   []byte `json:"gap"`
}

// Report holds the counts of one incarnation of a process.
type Report struct {
	VM    string `json:"vm"`
	Epoch uint64 `json:"epoch,string"`
	// CoveredMillis is how long the process has been counting.
	CoveredMillis int64                `json:"covered-millis"`
	Revision      int64                `json:"revision"`
	Objectives    map[string]Objective `json:"objectives"`
	Windows       map[string][]Row     `json:"windows"`
	Latencies     []Latency            `json:"latencies"`
	// Inherited holds the counts that stopped processes handed over to this one.
	Inherited []*Report `json:"inherited,omitempty"`
}

// Report returns the report of this process. vm and epoch identify its incarnation. The tables t
// may be nil.
func (r *Recorder) Report(vm string, epoch uint64, t *table.Tables, revision int64) (out *Report, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	out = &Report{VM: vm, Epoch: epoch, CoveredMillis: int64(now - r.startedAt), Revision: revision, Objectives: objectivesOf(t), Windows: make(map[string][]Row)}
	for i, w := range Windows() {
		out.Windows[w.Name] = sum(r.rings[i], w, now)
	}
	for route, l := range r.latencies {
		x, err := l.encode(route, now)
		if err != nil {
			return nil, err
		}
		out.Latencies = append(out.Latencies, x)
	}
	out.Inherited = r.inheritedReports(now)
	slices.SortFunc(out.Latencies, func(a, b Latency) int { return cmp.Compare(a.Route, b.Route) })
	return out, nil
}

func objectivesOf(t *table.Tables) map[string]Objective {
	out := make(map[string]Objective)
	if t == nil {
		return out
	}
	for name, r := range t.Routes {
		o := objectiveOf(r.Objective)
		o.Quality = r.QualityTarget
		out[name] = o
	}
	for name, s := range t.Services {
		out["services/"+name] = objectiveOf(s.Objective)
	}
	return out
}

func objectiveOf(o table.Objective) Objective {
	return Objective{FirstTokenMillis: int64(o.FirstToken), TokenGapMillis: int64(o.TokenGap), Target: o.Target, Availability: o.Availability}
}

func sum(ring []bucket, w Window, now clock.Millis) (rows []Row) {
	sums := make(map[Key]Counts)
	for _, b := range ring {
		if b.start+w.Duration <= now {
			continue
		}
		for k, counts := range b.counts {
			s := sums[k]
			s.Add(*counts)
			sums[k] = s
		}
	}
	return rowsOf(sums)
}

func rowsOf(sums map[Key]Counts) (rows []Row) {
	for k, counts := range sums {
		rows = append(rows, Row{Key: k, Counts: counts})
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Organisation, b.Organisation))
	})
	return rows
}

func (l *latency) encode(route string, now clock.Millis) (out Latency, err error) {
	first, gap := newHistogram(), newHistogram()
	for i := range l.slots {
		if s := &l.slots[i]; s.first != nil && s.start+clock.Hour > now {
			first.Merge(s.first)
			gap.Merge(s.gap)
		}
	}
	out.Route = route
	if out.First, err = first.Encode(hdrhistogram.V2CompressedEncodingCookieBase); err != nil {
		return out, ErrMalformed.Wrap(err, "encode latencies of %s", route)
	}
	if out.Gap, err = gap.Encode(hdrhistogram.V2CompressedEncodingCookieBase); err != nil {
		return out, ErrMalformed.Wrap(err, "encode latencies of %s", route)
	}
	return out, nil
}

// Merged is the sum of the reports of several processes.
type Merged struct {
	Processes  int
	Revision   int64
	Objectives map[string]Objective
	windows    map[string]map[Key]Counts
	first, gap map[string]*hdrhistogram.Histogram
	// CoveredMillis is the longest time that any process has been counting.
	CoveredMillis int64
}

// Merge sums reports. Of two reports of one incarnation of a process, for example after a retried
// call, the later one counts. Its error is ErrMalformed.
func Merge(reports []*Report) (m *Merged, err error) {
	type incarnation struct {
		vm    string
		epoch uint64
	}
	latest := make(map[incarnation]*Report)
	for _, r := range reports {
		for _, x := range append([]*Report{r}, r.Inherited...) {
			k := incarnation{x.VM, x.Epoch}
			if old := latest[k]; old == nil || old.CoveredMillis < x.CoveredMillis {
				latest[k] = x
			}
		}
	}
	m = &Merged{Revision: -1, Processes: len(latest), windows: make(map[string]map[Key]Counts), first: make(map[string]*hdrhistogram.Histogram), gap: make(map[string]*hdrhistogram.Histogram)}
	for _, r := range latest {
		if err = m.add(r); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *Merged) add(r *Report) (err error) {
	m.CoveredMillis = max(m.CoveredMillis, r.CoveredMillis)
	if m.Objectives == nil || r.Revision > m.Revision {
		m.Objectives, m.Revision = r.Objectives, r.Revision
	}
	for name, rows := range r.Windows {
		if m.windows[name] == nil {
			m.windows[name] = make(map[Key]Counts)
		}
		for _, row := range rows {
			counts := m.windows[name][row.Key]
			counts.Add(row.Counts)
			m.windows[name][row.Key] = counts
		}
	}
	for _, l := range r.Latencies {
		if err = mergeInto(m.first, l.Route, l.First); err != nil {
			return err
		}
		if err = mergeInto(m.gap, l.Route, l.Gap); err != nil {
			return err
		}
	}
	return nil
}

func mergeInto(all map[string]*hdrhistogram.Histogram, route string, data []byte) (err error) {
	h, err := hdrhistogram.Decode(data)
	if err != nil {
		return ErrMalformed.Wrap(err, "decode latencies of %s", route)
	}
	if all[route] == nil {
		all[route] = newHistogram()
	}
	all[route].Merge(h)
	return nil
}
