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

// ErrMalformed marks a report that cannot be merged.
var ErrMalformed = Errors.NewType("malformed")

// Objective is what a route promises, as the tables had it.
type Objective struct {
	FirstTokenMillis int64   `json:"first-token-millis,omitempty"`
	TokenGapMillis   int64   `json:"token-gap-millis,omitempty"`
	Target           float64 `json:"target,omitempty"`
	Availability     float64 `json:"availability,omitempty"`
	Quality          float64 `json:"quality,omitempty"`
}

// Row is what one key counted within a window.
type Row struct {
	Key
	Counts
}

// Latency holds a route's mergeable histograms of the last hour.
type Latency struct {
	Route string `json:"route"`
	First []byte `json:"first"`
	Gap   []byte `json:"gap"`
}

// Report is what one life of one process has served.
type Report struct {
	VM    string `json:"vm"`
	Epoch uint64 `json:"epoch,string"`
	// CoveredMillis is how long the process has counted.
	CoveredMillis int64                `json:"covered-millis"`
	Revision      int64                `json:"revision"`
	Objectives    map[string]Objective `json:"objectives"`
	Windows       map[string][]Row     `json:"windows"`
	Latencies     []Latency            `json:"latencies"`
	// Inherited holds what processes that stopped handed to this one.
	Inherited []*Report `json:"inherited,omitempty"`
}

// Report makes the report of this process. Tables may be nil.
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
	out.Inherited = r.reports(now)
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
		for k, t := range b.tallies {
			s := sums[k]
			s.Add(*t)
			sums[k] = s
		}
	}
	return rowsOf(sums)
}

func rowsOf(sums map[Key]Counts) (rows []Row) {
	for k, t := range sums {
		rows = append(rows, Row{Key: k, Counts: t})
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

// Merged sums the reports of many processes.
type Merged struct {
	Processes  int
	Revision   int64
	Objectives map[string]Objective
	windows    map[string]map[Key]Counts
	first, gap map[string]*hdrhistogram.Histogram
	// CoveredMillis is the longest that any process has counted.
	CoveredMillis int64
}

// Merge sums reports. Of two reports of one life of a process, such as after a
// call that was tried again, the later one counts.
func Merge(reports []*Report) (m *Merged, err error) {
	type life struct {
		vm    string
		epoch uint64
	}
	latest := make(map[life]*Report)
	for _, r := range reports {
		for _, x := range append([]*Report{r}, r.Inherited...) {
			k := life{x.VM, x.Epoch}
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
			t := m.windows[name][row.Key]
			t.Add(row.Counts)
			m.windows[name][row.Key] = t
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
