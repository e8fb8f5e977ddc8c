// Package daemon runs the entry and endpoint processes: settings, signals, logs
// and the order of start and stop. It does not import the operators' command
// lines, so that their plotting code and fonts are not resident in every process
// of a site.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/endpoint"
	"github.com/parsleydeal/parsleydeal/entry"
	"github.com/parsleydeal/parsleydeal/logbook"
	"github.com/parsleydeal/parsleydeal/node"
	"github.com/parsleydeal/parsleydeal/operations"
	"github.com/parsleydeal/parsleydeal/peer"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/settings"
	"github.com/parsleydeal/parsleydeal/upstream"
)

type daemonOptions struct {
	Settings string `long:"settings" short:"s" description:"file of settings in TOML"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

// Entry runs parsleydeal-entry and returns its exit code.
func Entry(args []string) int {
	return exitCode(start("parsleydeal-entry", settings.EntryProgram, args, RunEntry))
}

// Endpoint runs parsleydeal-endpoint and returns its exit code.
func Endpoint(args []string) int {
	return exitCode(start("parsleydeal-endpoint", settings.EndpointProgram, args, RunEndpoint))
}

// Exit codes of the daemons.
const (
	exitOK = 0
	// exitFailed means that the process ran and failed.
	exitFailed = 1
	// exitUsage means that the command line or the settings are invalid.
	exitUsage = 2
)

// errUsage marks command-line usage errors.
var errUsage = errors.New("usage")

// exitCode prints an error and returns the exit code for it.
func exitCode(err error) int {
	var f *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &f) && f.Type == flags.ErrHelp:
		fmt.Println(f.Message)
		return exitOK
	}
	fmt.Fprintln(os.Stderr, settings.MessageOf(err))
	if f != nil || errors.Is(err, errUsage) || errorx.IsOfType(err, settings.ErrInvalid) {
		return exitUsage
	}
	return exitFailed
}

// Version returns the module version that the program was built from, or "(devel)"
// if the build does not record one.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}

// newLogger returns a structured logger that writes to w as configured.
func newLogger(s settings.Log, w io.Writer) (l *log.Logger, err error) {
	level, err := log.ParseLevel(s.Level)
	if err != nil {
		return nil, fmt.Errorf("daemon: log.level: %w", err)
	}
	l = log.NewWithOptions(w, log.Options{Level: level, ReportTimestamp: true, TimeFormat: time.StampMilli})
	if s.Format == "json" {
		l.SetFormatter(log.JSONFormatter)
	}
	return l, nil
}

// maxSignals is how many signals wait until the process handles them.
const maxSignals = 4

type runFunc func(ctx context.Context, s settings.Settings, l *log.Logger) error

func start(name string, kind settings.Program, args []string, run runFunc) (err error) {
	var o daemonOptions
	p := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err = p.AddGroup("Options", "", &o); err != nil {
		return err
	}
	if _, err = p.ParseArgs(args); err != nil {
		return err
	}
	if o.Version {
		fmt.Println(name, Version())
		return nil
	}
	if o.Settings == "" {
		return fmt.Errorf("%s: --settings is required: %w", name, errUsage)
	}
	// The settings may change while they are read: SIGHUP must not end the process then.
	signals := make(chan os.Signal, maxSignals)
	signal.Notify(signals, syscall.SIGHUP)
	s, err := settings.ReadFor(o.Settings, kind)
	if err != nil || o.Check {
		return err
	}
	if s.Direct.Store != "" {
		return runDirect(context.Background(), o.Settings, s, signals)
	}
	signal.Reset(syscall.SIGHUP)
	l, err := newLogger(s.Log, os.Stderr)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(ctx, s, l)
}

// newNode returns a node that uses the platform named in the settings.
func newNode(s settings.Settings, l *log.Logger, peers *peer.Pool) *node.Node {
	h := provider.NewHTTP(s.Platform, &http.Client{Transport: upstream.NewTransport(&http.Transport{MaxIdleConnsPerHost: 16})})
	last := 0
	h.OnInvalidVMs(func(n int, err error) {
		if n > last {
			l.Warn("Entries of the VM list cannot be used", "vm", s.VM, "count", n, "error", err)
		}
		last = n
	})
	return node.New(node.Config{
		Settings: s,
		Clock:    clock.System(),
		Log:      l.With("vm", s.VM),
		Store:    h.Log(),
		VMs:      h.VMList(),
		Rater:    h.Rater(),
		Weights:  h.WeightStore(),
		Peers:    peers,
	})
}

// process holds what the entry and the endpoint daemon have in common.
type process struct {
	settings settings.Settings
	node     *node.Node
	log      *log.Logger
	api      *operations.API
	listen   ListenFunc
	// certificates are those of this process's interfaces.
	certificates Certificates
	// leaving is set once the process has been asked to stop.
	leaving atomic.Bool
}

// ListenFunc opens a listener, as net.Listen does.
type ListenFunc func(network, address string) (lis net.Listener, err error)

func newProcess(program string, s settings.Settings, l *log.Logger, listen ListenFunc) (p *process, err error) {
	c, err := OpenCertificates(s.TLS)
	if err != nil {
		return nil, err
	}
	p = &process{settings: s, node: newNode(s, l, c.Pool()), log: l, listen: listen, certificates: c}
	p.api = operations.New(program, Version(), p.node)
	p.api.SetLeaving(p.leaving.Load)
	p.api.Add(operations.Section{Name: "bills", Read: p.node.Billing().Status})
	p.api.Add(operations.Section{Name: "holds", Read: func() any { return p.node.View().HoldsStatus() }})
	p.api.Add(operations.Section{Name: "ramping-zones", Read: func() any { return p.node.View().RampsStatus(p.node.Clock().Now()) }})
	p.api.Add(operations.Section{Name: "ratings", Read: func() any { return p.node.View().RatingsStatus() }})
	return p, nil
}

// start runs the node and the operators' interface until the context ends.
func (p *process) start(ctx context.Context) (err error) {
	p.node.Start(ctx)
	p.watchCertificates(ctx)
	if p.settings.Operators == "" {
		return nil
	}
	lis, err := p.listen("tcp", p.settings.Operators)
	if err != nil {
		return err
	}
	p.log.Info("Operators' interface is listening", "vm", p.settings.VM, "address", lis.Addr())
	go func() {
		if err := p.api.Serve(ctx, secure(p.certificates.operators, lis)); err != nil {
			p.log.Error("Operators' interface failed", "vm", p.settings.VM, "error", logbook.Text(err))
		}
	}()
	return nil
}

// RunEntry serves as an entry until the context ends, then drains: for the leave
// delay it reports not ready but still serves, then it accepts no new work and
// lets the requests in flight finish.
func RunEntry(ctx context.Context, s settings.Settings, l *log.Logger) (err error) {
	return RunEntryOn(ctx, s, l, net.Listen)
}

// RunEntryOn is RunEntry with listeners opened by the function listen.
func RunEntryOn(ctx context.Context, s settings.Settings, l *log.Logger, listen ListenFunc) (err error) {
	peers, err := listen("tcp", s.Peer)
	if err != nil {
		return err
	}
	callers, err := listen("tcp", s.Entry.Callers)
	if err != nil {
		return err
	}
	p, err := newProcess("parsleydeal-entry", s, l, listen)
	if err != nil {
		return err
	}
	e := entry.New(p.node)
	p.api.SetBurn(e.BurnReport)
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err = p.start(inner); err != nil {
		return err
	}
	go func() { _ = e.ServePeers(inner, secure(p.certificates.peers, peers)) }()
	serving, stopServing := context.WithCancel(inner)
	defer stopServing()
	go func() {
		defer stopServing()
		<-ctx.Done()
		p.leaving.Store(true)
		e.Leave()
		l.Info("Entry leaves", "vm", s.VM, "delay", s.Entry.LeaveDelay)
		time.Sleep(s.Entry.LeaveDelay.Duration())
		p.node.Drain(inner)
	}()
	l.Info("Entry is listening for callers", "vm", s.VM, "address", callers.Addr())
	err = e.Serve(serving, secure(p.certificates.callers, callers))
	switch handOverErr := e.HandOverBurnCounts(inner); {
	case errorx.IsOfType(handOverErr, node.ErrNoSuccessor):
		l.Info("No other entry takes over the counts of the burn report", "vm", s.VM, "reason", logbook.Text(handOverErr))
	case handOverErr != nil:
		l.Warn("Counts of the burn report could not be handed over", "vm", s.VM, "error", logbook.Text(handOverErr))
	}
	waitForBills(inner, p.node, l)
	l.Info("Entry stopped", "vm", s.VM)
	return err
}

// RunEndpoint serves as an endpoint until the context ends, then drains.
func RunEndpoint(ctx context.Context, s settings.Settings, l *log.Logger) (err error) {
	return RunEndpointOn(ctx, s, l, net.Listen)
}

// RunEndpointOn is RunEndpoint with listeners opened by the function listen.
func RunEndpointOn(ctx context.Context, s settings.Settings, l *log.Logger, listen ListenFunc) (err error) {
	peers, err := listen("tcp", s.Peer)
	if err != nil {
		return err
	}
	p, err := newProcess("parsleydeal-endpoint", s, l, listen)
	if err != nil {
		return err
	}
	e := endpoint.New(p.node)
	e.RegisterMetrics()
	p.api.Add(operations.Section{Name: "window", Read: e.WindowStatus})
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err = p.start(inner); err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() { served <- e.Serve(inner, secure(p.certificates.peers, peers)) }()
	l.Info("Endpoint is listening for entries", "vm", s.VM, "address", peers.Addr())
	select {
	case err = <-served:
		return err
	case <-ctx.Done():
	}
	p.leaving.Store(true)
	p.node.Drain(inner)
	finishRequests(inner, e, s, l)
	waitForBills(inner, p.node, l)
	cancel()
	l.Info("Endpoint stopped", "vm", s.VM)
	return <-served
}

// abortTimeout bounds how long a stopping endpoint waits until callers have been
// informed of the answers it cancelled.
const abortTimeout = 5 * clock.Second

// finishRequests waits until all requests at a stopping endpoint have ended. A
// second signal, or the stop limit in the settings, cancels the remaining ones.
func finishRequests(ctx context.Context, e *endpoint.Endpoint, s settings.Settings, l *log.Logger) {
	ctx, cancel := context.WithTimeout(ctx, s.Endpoint.StopLimit.Duration())
	defer cancel()
	secondSignal := make(chan os.Signal, 1)
	signal.Notify(secondSignal, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(secondSignal)
	go func() {
		select {
		case <-secondSignal:
			cancel()
		case <-ctx.Done():
		}
	}()
	remaining := e.WaitIdle(ctx)
	if remaining == 0 {
		return
	}
	l.Warn("Endpoint cancels unfinished requests", "vm", s.VM, "held", remaining)
	e.Abort()
	abortCtx, cancelAbort := context.WithTimeout(context.WithoutCancel(ctx), abortTimeout.Duration())
	defer cancelAbort()
	e.WaitIdle(abortCtx)
}

// settleTimeout bounds how long a stopping process waits for its bills. The platform kills the
// process sooner or later anyway, and waiting longer does not help a bill of which another process
// already holds a copy.
const settleTimeout = 20 * clock.Second

// waitForBills waits until the process's bills are safe without this process.
func waitForBills(ctx context.Context, n *node.Node, l *log.Logger) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout.Duration())
	defer cancel()
	n.WaitLeaveReported(ctx)
	if n.Billing().WaitSafe(ctx) != nil {
		own, held := n.Billing().Waiting()
		l.Warn("Process stops with bills that only one other process has", "own", own, "held", held)
	}
}
