package client

import (
	"cmp"
	"context"
	"encoding/json"
	"math"
	"slices"
	"sync"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/operations"
	"github.com/parsleydeal/parsleydeal/peer"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/table"
	"golang.org/x/sync/errgroup"
)

const (
	// inspectTimeout bounds the query to one process.
	inspectTimeout = 2 * clock.Second
	// maxConcurrentInspects bounds the processes queried at the same time.
	maxConcurrentInspects = 64
)

// Operator reads and publishes tables and queries processes for reports. It depends only on the
// platform; it finds the processes in the VM list.
type Operator struct {
	Log   provider.Log
	VMs   provider.VMList
	Peers *peer.Pool
	Clock clock.Clock
	// Pause waits for a duration and returns false when the context ended first.
	Pause func(ctx context.Context, duration clock.Millis) bool
}

// Report is the report of one process; if Err is not nil, the process could not be queried.
type Report struct {
	VM   provider.VM
	JSON []byte
	Err  error
}

// Reports queries every listed VM for a report. The result is sorted by VM ID. It returns an error
// only if the VM list cannot be read.
func (o *Operator) Reports(ctx context.Context, report string) (out []Report, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "client: ask for %s", report)
		}
	}()
	vms, err := o.VMs.List(ctx)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(maxConcurrentInspects)
	for _, vm := range vms {
		g.Go(func() error {
			r := o.report(ctx, vm, report)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, r)
			return nil
		})
	}
	_ = g.Wait()
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(a.VM.ID, b.VM.ID) })
	return out, nil
}

func (o *Operator) report(ctx context.Context, vm provider.VM, report string) Report {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout.Duration())
	defer cancel()
	reply, err := o.Peers.Peer(ctx, vm.Address).Inspect(ctx, &wire.InspectRequest{Report: report})
	return Report{VM: vm, JSON: reply.GetJson(), Err: err}
}

// VMStatus is the status of one process; it is valid only if Err is nil.
type VMStatus struct {
	VM     provider.VM
	Status operations.Status
	Err    error
}

// Status queries every listed VM for its status. It returns an error only if the VM list cannot be
// read.
func (o *Operator) Status(ctx context.Context) (out []VMStatus, err error) {
	reports, err := o.Reports(ctx, operations.StatusReport)
	if err != nil {
		return nil, err
	}
	for _, r := range reports {
		s := VMStatus{VM: r.VM, Err: r.Err}
		if r.Err == nil {
			s.Err = json.Unmarshal(r.JSON, &s.Status)
		}
		out = append(out, s)
	}
	return out, nil
}

// History is the content of the configuration stream, as far back as the log retains it.
type History struct {
	State table.State
	// Verdicts holds the outcomes of the changes and checkpoints on the log, oldest first.
	Verdicts []table.Outcome
}

// History reads the configuration stream to its head.
func (o *Operator) History(ctx context.Context) (h *History, err error) {
	h = &History{}
	from, err := o.firstOffset(ctx)
	if err != nil {
		return nil, err
	}
	for {
		more, err := o.readPage(ctx, h, &from, 0)
		if err != nil || !more {
			return h, err
		}
	}
}

// firstOffset returns the lowest offset that the log retains. It reads beyond the head, as the log
// then returns its bounds without records.
func (o *Operator) firstOffset(ctx context.Context) (offset int64, err error) {
	p, err := o.Log.Read(ctx, provider.ConfigStream, math.MaxInt64, 0)
	return p.First, err
}

// readPage applies one page of records to h and reports whether there are more.
func (o *Operator) readPage(ctx context.Context, h *History, from *int64, wait clock.Millis) (more bool, err error) {
	p, err := o.Log.Read(ctx, provider.ConfigStream, *from, wait)
	if err != nil {
		return false, err
	}
	for _, r := range p.Records {
		if v, ok := h.State.Apply(r.Offset, r.Data); ok {
			h.Verdicts = append(h.Verdicts, v)
		}
		*from = r.Offset + 1
	}
	return len(p.Records) > 0 && *from < p.Head, nil
}
