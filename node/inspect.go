package node

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// ReportFunc returns the named report for operators as JSON.
type ReportFunc func(ctx context.Context, report string) (data []byte, err error)

// Metrics returns the set of the process's metrics.
func (n *Node) Metrics() *metrics.Set { return n.metrics }

// Epoch returns a random number that differs at each start of the process.
func (n *Node) Epoch() uint64 { return n.epoch }

// SetReports sets the function that makes the reports returned by Inspect.
func (n *Node) SetReports(f ReportFunc) { n.reports.Store(&f) }

// Inspect returns a report for operators. The operators' commands call it at the peer addresses in
// the VM list and need no other address. The report is an empty JSON object if no function is set.
func (n *Node) Inspect(ctx context.Context, in *wire.InspectRequest) (out *wire.InspectReply, err error) {
	out = &wire.InspectReply{Vm: n.cfg.Settings.VM, Json: []byte("{}")}
	f := n.reports.Load()
	if f == nil {
		return out, nil
	}
	out.Json, err = (*f)(ctx, in.GetReport())
	return out, err
}
