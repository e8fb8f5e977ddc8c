// Package daemon runs the entry and endpoint processes: settings, signals, logs
// and the order of start and stop. It is apart from the operators' command lines,
// whose plots and fonts would be resident in every process of a site.
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
)

type daemonOptions struct {
	Settings string `long:"settings" short:"s" description:"file of settings in TOML"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

// Entry runs parsleydeal-entry and returns its exit code.
func Entry(args []string) int {
	return exitOf(start("parsleydeal-entry", settings.EntryProgram, args, RunEntry))
}

// Endpoint runs parsleydeal-endpoint and returns its exit code.
func Endpoint(args []string) int {
	return exitOf(start("parsleydeal-endpoint", settings.EndpointProgram, args, RunEndpoint))
}

// Exit codes of the daemons.
const (
	exitOK = 0
	// exitFailed means that the process ran and failed.
	exitFailed = 1
	// exitUsage means that the command line or the settings are wrong.
	exitUsage = 2
)

// errUsage marks errors of the command line.
var errUsage = errors.New("usage")

// exitOf prints an error and returns the exit code it stands for.
func exitOf(err error) int {
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

// Version returns the module version that the program was built from.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}

// newLogger makes the structured logger that the settings ask for.
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
		return fmt.Errorf("%s: --settings is needed: %w", name, errUsage)
	}
	s, err := settings.ReadFor(o.Settings, kind)
	if err != nil || o.Check {
		return err
	}
	if s.Direct.Store != "" {
		return runDirect(context.Background(), o.Settings, s)
	}
	l, err := newLogger(s.Log, os.Stderr)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(ctx, s, l)
}

// newNode makes a node that speaks to the platform in the settings.
func newNode(s settings.Settings, l *log.Logger, peers *peer.Pool) *node.Node {
	h := provider.NewHTTP(s.Platform, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}})
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

// process is what both daemons run around their own part.
type process struct {
	settings settings.Settings
	node     *node.Node
	log      *log.Logger
	port     *operations.API
	listen   ListenFunc
	// certificates are those of the process's own interfaces.
	certificates Certificates
	// leaving is set when the process was asked to stop.
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
	p.port = operations.New(program, Version(), p.node)
	p.port.SetLeaving(p.leaving.Load)
	p.port.Add(operations.Section{Name: "bills", Read: p.node.Billing().Status})
	p.port.Add(operations.Section{Name: "holds", Read: func() any { return p.node.View().HoldsStatus() }})
	p.port.Add(operations.Section{Name: "ramping-zones", Read: func() any { return p.node.View().RampsStatus(p.node.Clock().Now()) }})
	p.port.Add(operations.Section{Name: "ratings", Read: func() any { return p.node.View().RatingsStatus() }})
	return p, nil
}

// start runs the node and the operators' interface until the context ends.
func (p *process) start(ctx context.Context) (err error) {
	p.node.Start(ctx)
	p.watch(ctx)
	if p.settings.Operators == "" {
		return nil
	}
	lis, err := p.listen("tcp", p.settings.Operators)
	if err != nil {
		return err
	}
	p.log.Info("Operators' interface is open", "vm", p.settings.VM, "address", lis.Addr())
	go func() {
		if err := p.port.Serve(ctx, secure(p.certificates.operators, lis)); err != nil {
			p.log.Error("Operators' interface failed", "vm", p.settings.VM, "error", logbook.Text(err))
		}
	}()
	return nil
}

// RunEntry serves as an entry until the context ends, then drains: it is not
// ready for the leave delay while it still serves, then takes no new work and
// lets the requests in flight finish.
func RunEntry(ctx context.Context, s settings.Settings, l *log.Logger) (err error) {
	return RunEntryOn(ctx, s, l, net.Listen)
}

// RunEntryOn is RunEntry on listeners that a function opens.
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
	p.port.SetBurn(e.BurnReport)
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
	l.Info("Entry serves callers", "vm", s.VM, "address", callers.Addr())
	err = e.Serve(serving, secure(p.certificates.callers, callers))
	switch handErr := e.HandOverBurnCounts(inner); {
	case errorx.IsOfType(handErr, node.ErrNoSuccessor):
		l.Info("Nobody takes over what was counted for the burn report", "vm", s.VM, "reason", logbook.Text(handErr))
	case handErr != nil:
		l.Warn("What was counted for the burn report could not be handed on", "vm", s.VM, "error", logbook.Text(handErr))
	}
	settle(inner, p.node, l)
	l.Info("Entry stopped", "vm", s.VM)
	return err
}

// RunEndpoint serves as an endpoint until the context ends, then drains.
func RunEndpoint(ctx context.Context, s settings.Settings, l *log.Logger) (err error) {
	return RunEndpointOn(ctx, s, l, net.Listen)
}

// RunEndpointOn is RunEndpoint on listeners that a function opens.
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
	p.port.Add(operations.Section{Name: "window", Read: e.WindowStatus})
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err = p.start(inner); err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() { served <- e.Serve(inner, secure(p.certificates.peers, peers)) }()
	l.Info("Endpoint serves entries", "vm", s.VM, "address", peers.Addr())
	select {
	case err = <-served:
		return err
	case <-ctx.Done():
	}
	p.leaving.Store(true)
	p.node.Drain(inner)
	finishWork(inner, e, s, l)
	settle(inner, p.node, l)
	cancel()
	l.Info("Endpoint stopped", "vm", s.VM)
	return <-served
}

// abortLimit bounds how long a stopping endpoint waits until callers have been
// told of the answers it cut off.
const abortLimit = 5 * clock.Second

// finishWork waits until everything that a stopping endpoint holds has ended. A
// second signal, or the limit in the settings, cuts off what is left.
func finishWork(ctx context.Context, e *endpoint.Endpoint, s settings.Settings, l *log.Logger) {
	ctx, cancel := context.WithTimeout(ctx, s.Endpoint.StopLimit.Duration())
	defer cancel()
	again := make(chan os.Signal, 1)
	signal.Notify(again, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(again)
	go func() {
		select {
		case <-again:
			cancel()
		case <-ctx.Done():
		}
	}()
	left := e.WaitIdle(ctx)
	if left == 0 {
		return
	}
	l.Warn("Endpoint cuts off what it still holds", "vm", s.VM, "held", left)
	e.Abort()
	told, cancelTold := context.WithTimeout(context.WithoutCancel(ctx), abortLimit.Duration())
	defer cancelTold()
	e.WaitIdle(told)
}

// settleLimit bounds how long a stopping process waits for its bills. The
// platform ends it sooner or later, and waiting longer saves no bill that a
// holder has.
const settleLimit = 20 * clock.Second

// settle waits until the process's bills are safe without it.
func settle(ctx context.Context, n *node.Node, l *log.Logger) {
	ctx, cancel := context.WithTimeout(ctx, settleLimit.Duration())
	defer cancel()
	n.WaitLeaveReported(ctx)
	if n.Billing().WaitSafe(ctx) != nil {
		own, held := n.Billing().Waiting()
		l.Warn("Process stops with bills that only one other process has", "own", own, "held", held)
	}
}
