package operations

import (
	"fmt"
	"maps"
	"slices"

	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/table"
	"github.com/parsleydeal/parsleydeal/view"
)

// Status is the status of a process as operators see it.
type Status struct {
	Program string `json:"program"`
	Version string `json:"version"`
	VM      string `json:"vm"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Pool    string `json:"pool,omitempty"`
	Ready   bool   `json:"ready"`
	// Reason is why the process is not ready, empty if it is.
	Reason   string `json:"reason,omitempty"`
	Draining bool   `json:"draining"`
	// Revision is the log offset of the tables in force, or -1 if there are none yet.
	Revision int64 `json:"revision"`
	// StalenessMillis is the time since the revision was last confirmed, or -1 if it never was.
	StalenessMillis int64    `json:"staleness-ms"`
	Members         Members  `json:"members"`
	ZonesOut        []string `json:"zones-out"`
	VMsOut          []string `json:"vms-out"`
	// Dropped counts events that were dropped because the control queue was full.
	Dropped int64 `json:"control-events-dropped"`
	// Sections holds the sections that other packages provide, by name.
	Sections map[string]any `json:"sections,omitempty"`
}

// Members counts the VMs in the process's member list and lists those that are leaving or suspected
// to be unreachable.
type Members struct {
	Entries   int      `json:"entries"`
	Endpoints int      `json:"endpoints"`
	Leaving   []string `json:"leaving"`
	// Suspected lists VMs that could not be reached lately.
	Suspected []string `json:"suspected"`
}

// Snapshot returns the current status.
func (a *API) Snapshot() Status {
	v := a.node.View()
	s := a.node.Settings()
	reason := a.notReady()
	out := Status{
		Program: a.program, Version: a.version, VM: s.VM, Zone: s.Zone, Region: s.Region, Pool: s.Endpoint.Pool,
		Ready: reason == "", Reason: reason, Draining: v.Draining(),
		Revision: v.Revision(), StalenessMillis: a.staleness(v), Members: membersOf(v),
		ZonesOut: []string{}, VMsOut: []string{}, Dropped: a.node.Loop().Dropped(),
	}
	if t := v.Tables(); t != nil {
		out.ZonesOut, out.VMsOut = sitesOut(t.Zones), sitesOut(t.VMs)
	}
	out.Sections = a.readSections()
	return out
}

func (a *API) readSections() (out map[string]any) {
	a.mu.Lock()
	sections := slices.Clone(a.sections)
	a.mu.Unlock()
	out = make(map[string]any, len(sections))
	for _, s := range sections {
		out[s.Name] = s.Read()
	}
	return out
}

func (a *API) staleness(v *view.View) int64 {
	if v.Tables() == nil || !v.Confirmed() {
		return -1
	}
	return int64(a.node.Clock().Since(v.ConfirmedAt()))
}

func membersOf(v *view.View) (m Members) {
	m.Leaving = []string{}
	m.Suspected = []string{}
	for _, vm := range v.Members().VMs() {
		switch vm.Role {
		case provider.EntryRole:
			m.Entries++
		case provider.EndpointRole:
			m.Endpoints++
		}
		if v.Members().Leaving(vm) {
			m.Leaving = append(m.Leaving, vm.ID)
		}
		if v.Members().Suspected(vm.ID) {
			m.Suspected = append(m.Suspected, vm.ID)
		}
	}
	return m
}

func sitesOut(sites map[string]table.Location) (out []string) {
	out = []string{}
	for _, name := range slices.Sorted(maps.Keys(sites)) {
		if sites[name].State == table.Out {
			out = append(out, name)
		}
	}
	return out
}

// registerMetrics registers the metrics that every process has.
func (a *API) registerMetrics() {
	gauge := func(name string, read func() float64) { a.node.Metrics().GetOrCreateGauge(name, read) }
	gauge(fmt.Sprintf("parsleydeal_info{program=%q,version=%q,vm=%q,zone=%q}", a.program, a.version, a.node.Settings().VM, a.node.Settings().Zone),
		func() float64 { return 1 })
	gauge("parsleydeal_ready", func() float64 { return boolGauge(a.notReady() == "") })
	gauge("parsleydeal_draining", func() float64 { return boolGauge(a.node.View().Draining()) })
	gauge("parsleydeal_tables_revision", func() float64 { return float64(a.node.View().Revision()) })
	gauge("parsleydeal_tables_staleness_ms", func() float64 { return float64(a.staleness(a.node.View())) })
	gauge("parsleydeal_control_events_dropped_total", func() float64 { return float64(a.node.Loop().Dropped()) })
	gauge(`parsleydeal_members{role="entry"}`, func() float64 { return float64(membersOf(a.node.View()).Entries) })
	gauge(`parsleydeal_members{role="endpoint"}`, func() float64 { return float64(membersOf(a.node.View()).Endpoints) })
	gauge("parsleydeal_members_suspected", func() float64 { return float64(len(membersOf(a.node.View()).Suspected)) })
	gauge("parsleydeal_members_leaving", func() float64 { return float64(len(membersOf(a.node.View()).Leaving)) })
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
