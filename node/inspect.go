package node

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// ReportFunc makes a report for operators as JSON.
type ReportFunc func(ctx context.Context, report string) (data []byte, err error)

// Metrics returns the set in which the process keeps its metrics.
func (n *Node) Metrics() *metrics.Set { return n.metrics }

// Epoch returns the number that is new at each start of the process.
func (n *Node) Epoch() uint64 { return n.epoch }

// SetReports sets the function that answers Inspect.
func (n *Node) SetReports(f ReportFunc) { n.reports.Store(&f) }

// Inspect returns a report for operators, so that their commands need only the
// peer addresses of the VM list.
func (n *Node) Inspect(ctx context.Context, in *wire.InspectRequest) (out *wire.InspectReply, err error) {
	out = &wire.InspectReply{Vm: n.cfg.Settings.VM, Json: []byte("{}")}
	f := n.reports.Load()
	if f == nil {
		return out, nil
	}
	out.Json, err = (*f)(ctx, in.GetReport())
	return out, err
}
