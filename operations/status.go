package operations

import (
	"fmt"
	"maps"
	"slices"

	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/table"
	"github.com/parsleydeal/parsleydeal/view"
)

// Status is what a process tells operators of itself.
type Status struct {
	Program string `json:"program"`
	Version string `json:"version"`
	VM      string `json:"vm"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Pool    string `json:"pool,omitempty"`
	Ready   bool   `json:"ready"`
	// Reason says why the process is not ready.
	Reason   string `json:"reason,omitempty"`
	Draining bool   `json:"draining"`
	// Revision is the log offset of the tables in force; -1 before the first.
	Revision int64 `json:"revision"`
	// StalenessMillis is how long ago the revision was last confirmed; -1 when
	// it never was.
	StalenessMillis int64    `json:"staleness-ms"`
	Members         Members  `json:"members"`
	ZonesOut        []string `json:"zones-out"`
	VMsOut          []string `json:"vms-out"`
	// Dropped counts events that found the control queue full.
	Dropped int64 `json:"control-events-dropped"`
	// Sections holds what other packages add, by section name.
	Sections map[string]any `json:"sections,omitempty"`
}

// Members counts the VMs that the process knows.
type Members struct {
	Entries   int      `json:"entries"`
	Endpoints int      `json:"endpoints"`
	Leaving   []string `json:"leaving"`
	// Suspected VMs could not be reached lately.
	Suspected []string `json:"suspected"`
}

// Snapshot returns the status at this instant.
func (p *API) Snapshot() Status {
	v := p.node.View()
	s := p.node.Settings()
	reason := p.notReady()
	out := Status{
		Program: p.program, Version: p.version, VM: s.VM, Zone: s.Zone, Region: s.Region, Pool: s.Endpoint.Pool,
		Ready: reason == "", Reason: reason, Draining: v.Draining(),
		Revision: v.Revision(), StalenessMillis: p.staleness(v), Members: membersOf(v),
		ZonesOut: []string{}, VMsOut: []string{}, Dropped: p.node.Loop().Dropped(),
	}
	if t := v.Tables(); t != nil {
		out.ZonesOut, out.VMsOut = sitesOut(t.Zones), sitesOut(t.VMs)
	}
	out.Sections = p.readSections()
	return out
}

func (p *API) readSections() (out map[string]any) {
	p.mu.Lock()
	sections := slices.Clone(p.sections)
	p.mu.Unlock()
	out = make(map[string]any, len(sections))
	for _, s := range sections {
		out[s.Name] = s.Read()
	}
	return out
}

func (p *API) staleness(v *view.View) int64 {
	if v.Tables() == nil || !v.Confirmed() {
		return -1
	}
	return int64(p.node.Clock().Since(v.ConfirmedAt()))
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

// register adds the metrics that every process has.
func (p *API) register() {
	gauge := func(name string, read func() float64) { p.node.Metrics().GetOrCreateGauge(name, read) }
	gauge(fmt.Sprintf("parsleydeal_info{program=%q,version=%q,vm=%q,zone=%q}", p.program, p.version, p.node.Settings().VM, p.node.Settings().Zone),
		func() float64 { return 1 })
	gauge("parsleydeal_ready", func() float64 { return truth(p.notReady() == "") })
	gauge("parsleydeal_draining", func() float64 { return truth(p.node.View().Draining()) })
	gauge("parsleydeal_tables_revision", func() float64 { return float64(p.node.View().Revision()) })
	gauge("parsleydeal_tables_staleness_ms", func() float64 { return float64(p.staleness(p.node.View())) })
	gauge("parsleydeal_control_events_dropped_total", func() float64 { return float64(p.node.Loop().Dropped()) })
	gauge(`parsleydeal_members{role="entry"}`, func() float64 { return float64(membersOf(p.node.View()).Entries) })
	gauge(`parsleydeal_members{role="endpoint"}`, func() float64 { return float64(membersOf(p.node.View()).Endpoints) })
	gauge("parsleydeal_members_suspected", func() float64 { return float64(len(membersOf(p.node.View()).Suspected)) })
	gauge("parsleydeal_members_leaving", func() float64 { return float64(len(membersOf(p.node.View()).Leaving)) })
}

func truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
