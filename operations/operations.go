// Package operations serves the operators' interface of a process: health,
// readiness, metrics, status and service-level burn.
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

// ErrNoReport marks a report that the process does not make.
var ErrNoReport = Errors.NewType("no-report")

// Names of the reports, as peers and commands ask for them.
const (
	StatusReport = "status"
	BurnReport   = "burn"
)

const (
	headerTimeout = 5 * clock.Second
	idleTimeout   = clock.Minute
)

// Section is a part of the status that a package adds: windows, holds, waiting
// bills. Read is called from any goroutine and must not block.
type Section struct {
	Name string
	Read func() any
}

// API is the operators' interface of one process.
type API struct {
	program string
	version string
	node    *node.Node
	mu      sync.Mutex
	// sections holds each name once; a later one replaces an earlier one.
	sections []Section
	burn     func(ctx context.Context) (report any, err error)
	// leaving is set before the node drains, so that balancers hear of it first.
	leaving func() bool
}

// New makes the port of a process and answers the reports that peers ask for.
func New(program, version string, n *node.Node) *API {
	p := &API{program: program, version: version, node: n, leaving: func() bool { return false }}
	p.register()
	n.SetReports(p.Report)
	return p
}

// Add adds a section to the status.
func (p *API) Add(s Section) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.sections {
		if p.sections[i].Name == s.Name {
			p.sections[i] = s
			return
		}
	}
	p.sections = append(p.sections, s)
}

// SetBurn sets the function that makes the burn report.
func (p *API) SetBurn(f func(ctx context.Context) (report any, err error)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.burn = f
}

// SetLeaving sets a function that makes the process not ready before it drains.
func (p *API) SetLeaving(f func() bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = f
}

// Report makes a report as JSON. ErrNoReport marks one that is not made here.
func (p *API) Report(ctx context.Context, report string) (data []byte, err error) {
	switch report {
	case StatusReport:
		return json.Marshal(p.Snapshot())
	case BurnReport:
		return p.burnReport(ctx)
	default:
		return nil, ErrNoReport.New("%q, %q or %q is allowed", report, StatusReport, BurnReport)
	}
}

func (p *API) burnReport(ctx context.Context) (data []byte, err error) {
	p.mu.Lock()
	burn := p.burn
	p.mu.Unlock()
	if burn == nil {
		return nil, ErrNoReport.New("this process keeps no service-level burn")
	}
	report, err := burn(ctx)
	if err != nil {
		return nil, err
	}
	return json.Marshal(report)
}

// Handler returns the operators' interface.
func (p *API) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	dec, enc := goahttp.RequestDecoder, goahttp.ResponseEncoder
	operationsserver.New(operations.NewEndpoints(p), mux, dec, enc, nil, nil).Mount(mux)
	return mux
}

// Serve answers operators on a listener until the context ends.
func (p *API) Serve(ctx context.Context, lis net.Listener) (err error) {
	srv := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: headerTimeout.Duration(), IdleTimeout: idleTimeout.Duration()}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	err = srv.Serve(lis)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Health answers while the process runs.
func (p *API) Health(context.Context) (res string, err error) { return "ok", nil }

// Ready fails before the first tables and while the process leaves.
func (p *API) Ready(context.Context) (res string, err error) {
	if reason := p.notReady(); reason != "" {
		return "", operations.MakeNotReady(errors.New(reason))
	}
	return "ready", nil
}

func (p *API) notReady() (reason string) {
	p.mu.Lock()
	leaving := p.leaving()
	p.mu.Unlock()
	v := p.node.View()
	switch {
	case leaving, v.Draining():
		return "the process is leaving"
	case !v.Started():
		// Tables that a single peer gave may be old ones: with these the process still
		// refuses all work, so that callers of a process that said it was ready were
		// refused until the log or more peers had confirmed them.
		return "the process has no tables yet"
	}
	return ""
}

// Metrics writes the metrics of this node and of the Go process.
func (p *API) Metrics(context.Context) (body io.ReadCloser, err error) {
	return &page{contentType: "text/plain; version=0.0.4; charset=utf-8", write: func(w io.Writer) {
		p.node.Metrics().WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	}}, nil
}

// Status writes the status as JSON.
func (p *API) Status(ctx context.Context) (body io.ReadCloser, err error) {
	return p.report(ctx, StatusReport)
}

// Burn writes the service-level burn as JSON.
func (p *API) Burn(ctx context.Context) (body io.ReadCloser, err error) {
	return p.report(ctx, BurnReport)
}

func (p *API) report(ctx context.Context, name string) (body io.ReadCloser, err error) {
	data, err := p.Report(ctx, name)
	if errorx.IsOfType(err, ErrNoReport) {
		return &page{status: http.StatusNotFound, contentType: "text/plain", write: func(w io.Writer) { fmt.Fprintln(w, err) }}, nil
	}
	if err != nil {
		return nil, err
	}
	return &page{contentType: "application/json", write: func(w io.Writer) { _, _ = w.Write(data) }}, nil
}

// page is a body that goa writes with the response writer.
type page struct {
	// status is 0 for 200.
	status      int
	contentType string
	write       func(w io.Writer)
}

// Read is never called: goa prefers WriteTo.
func (p *page) Read([]byte) (n int, err error) { return 0, io.EOF }

// Close has nothing to release.
func (p *page) Close() error { return nil }

// WriteTo writes the page with its content type.
func (p *page) WriteTo(w io.Writer) (n int64, err error) {
	if rw, ok := w.(http.ResponseWriter); ok {
		rw.Header().Set("Content-Type", p.contentType)
		rw.WriteHeader(max(p.status, http.StatusOK))
	}
	var buf bytes.Buffer
	p.write(&buf)
	return buf.WriteTo(w)
}
