// Package operations serves the operators' HTTP interface of a process: health, readiness, metrics,
// status and service-level burn, that is, how fast the error budgets are being spent.
package operations

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
	operationsserver "github.com/parsleydeal/parsleydeal/gen/http/operations/server"
	"github.com/parsleydeal/parsleydeal/gen/operations"
	"github.com/parsleydeal/parsleydeal/node"
	goahttp "goa.design/goa/v3/http"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("operations")

// ErrNoReport is returned for a report that the process does not provide.
var ErrNoReport = Errors.NewType("no-report")

// Names of the reports, as used by peers and commands.
const (
	StatusReport = "status"
	BurnReport   = "burn"
)

const (
	headerTimeout = 5 * clock.Second
	idleTimeout   = clock.Minute
)

// Section is a part of the status that another package provides, such as endpoint slots, holds or
// waiting bills. Read may be called from any goroutine and must not block.
type Section struct {
	Name string
	Read func() any
}

// API is the operators' HTTP interface of one process.
type API struct {
	program string
	version string
	node    *node.Node
	mu      sync.Mutex
	// sections has at most one section of each name; a later section replaces an earlier one.
	sections []Section
	burn     func(ctx context.Context) (report any, err error)
	// leaving reports whether the process is about to leave. It returns true some time before the
	// node starts to drain, so that load balancers stop sending requests first.
	leaving func() bool
}

// New returns the operators' interface of a process. Peers can request its reports through the
// node.
func New(program, version string, n *node.Node) *API {
	a := &API{program: program, version: version, node: n, leaving: func() bool { return false }}
	a.registerMetrics()
	n.SetReports(a.Report)
	return a
}

// Add adds a section to the status. It replaces an earlier section of the same name.
func (a *API) Add(s Section) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.sections {
		if a.sections[i].Name == s.Name {
			a.sections[i] = s
			return
		}
	}
	a.sections = append(a.sections, s)
}

// SetBurn sets the function that returns the burn report. A process that does not call SetBurn
// provides no burn report.
func (a *API) SetBurn(f func(ctx context.Context) (report any, err error)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.burn = f
}

// SetLeaving sets a function that reports whether the process is about to drain. While it returns
// true, the process is not ready.
func (a *API) SetLeaving(f func() bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = f
}

// Report returns a report as JSON, by its name. It returns ErrNoReport if the process does not
// provide the report.
func (a *API) Report(ctx context.Context, report string) (data []byte, err error) {
	switch report {
	case StatusReport:
		return json.Marshal(a.Snapshot())
	case BurnReport:
		return a.burnReport(ctx)
	default:
		return nil, ErrNoReport.New("%q, %q or %q is allowed", report, StatusReport, BurnReport)
	}
}

func (a *API) burnReport(ctx context.Context) (data []byte, err error) {
	a.mu.Lock()
	burn := a.burn
	a.mu.Unlock()
	if burn == nil {
		return nil, ErrNoReport.New("this process keeps no service-level burn")
	}
	report, err := burn(ctx)
	if err != nil {
		return nil, err
	}
	return json.Marshal(report)
}

// Handler returns the HTTP handler of the interface.
func (a *API) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	dec, enc := goahttp.RequestDecoder, goahttp.ResponseEncoder
	operationsserver.New(operations.NewEndpoints(a), mux, dec, enc, nil, nil).Mount(mux)
	return mux
}

// Serve serves the interface on a listener until the context ends. It then returns nil.
func (a *API) Serve(ctx context.Context, lis net.Listener) (err error) {
	srv := &http.Server{Handler: a.Handler(), ReadHeaderTimeout: headerTimeout.Duration(), IdleTimeout: idleTimeout.Duration()}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	err = srv.Serve(lis)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Health succeeds while the process runs.
func (a *API) Health(context.Context) (res string, err error) { return "ok", nil }

// Ready fails until the process has confirmed tables, and again while the process is leaving.
func (a *API) Ready(context.Context) (res string, err error) {
	if reason := a.notReady(); reason != "" {
		return "", operations.MakeNotReady(errors.New(reason))
	}
	return "ready", nil
}

func (a *API) notReady() (reason string) {
	a.mu.Lock()
	leaving := a.leaving()
	a.mu.Unlock()
	v := a.node.View()
	switch {
	case leaving, v.Draining():
		return "the process is leaving"
	case !v.Started():
		// Tables received from a single peer may be outdated. Until the log or more peers have
		// confirmed them the process refuses all work, so it must not be ready yet.
		return "the process has no tables yet"
	case a.node.Settings().Endpoint.Pool == "" && !v.Listed():
		return "the process has no VM list yet"
	}
	return ""
}

// Metrics returns the metrics of this node and of the Go process in the Prometheus text format.
func (a *API) Metrics(context.Context) (body io.ReadCloser, err error) {
	return &response{contentType: "text/plain; version=0.0.4; charset=utf-8", write: func(w io.Writer) {
		a.node.Metrics().WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	}}, nil
}

// Status returns the status as JSON.
func (a *API) Status(ctx context.Context) (body io.ReadCloser, err error) {
	return a.report(ctx, StatusReport)
}

// Burn returns the burn report as JSON. The HTTP status is 404 if the process does not provide it.
func (a *API) Burn(ctx context.Context) (body io.ReadCloser, err error) {
	return a.report(ctx, BurnReport)
}

func (a *API) report(ctx context.Context, name string) (body io.ReadCloser, err error) {
	data, err := a.Report(ctx, name)
	if errorx.IsOfType(err, ErrNoReport) {
		return &response{status: http.StatusNotFound, contentType: "text/plain", write: func(w io.Writer) { fmt.Fprintln(w, err) }}, nil
	}
	if err != nil {
		return nil, err
	}
	return &response{contentType: "application/json", write: func(w io.Writer) { _, _ = w.Write(data) }}, nil
}

// response is a body that goa writes to the response writer.
type response struct {
	// status is the HTTP status; 0 means 200.
	status      int
	contentType string
	write       func(w io.Writer)
}

// Read is never called, since goa uses WriteTo.
func (r *response) Read([]byte) (n int, err error) { return 0, io.EOF }

// Close does nothing.
func (r *response) Close() error { return nil }

// WriteTo writes the status, content type and body.
func (r *response) WriteTo(w io.Writer) (n int64, err error) {
	if rw, ok := w.(http.ResponseWriter); ok {
		rw.Header().Set("Content-Type", r.contentType)
		rw.WriteHeader(max(r.status, http.StatusOK))
	}
	var buf bytes.Buffer
	r.write(&buf)
	return buf.WriteTo(w)
}
