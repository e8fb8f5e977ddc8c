package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
	"github.com/parsleydeal/parsleydeal/gossip"
	"github.com/parsleydeal/parsleydeal/logbook"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/platform"
	"github.com/parsleydeal/parsleydeal/relay"
	"github.com/parsleydeal/parsleydeal/settings"
	"github.com/parsleydeal/parsleydeal/site"
	"github.com/parsleydeal/parsleydeal/upstream"
)

const (
	// leaseMargin is how much earlier than agreed a key's lease ends here: the
	// way of a request from this process to the endpoint that runs it.
	leaseMargin = 300 * clock.Millis(1)
	// leaveFor is how long a stopping entry is not ready but still takes
	// connections. Balancers look once a second and believe the second miss.
	leaveFor = 3 * clock.Second
	// stopMargin is left of the grace time for the process to end by itself.
	stopMargin = 400 * clock.Millis(1)
	// tidyEvery is the span between two looks at what is no longer needed.
	tidyEvery = 2 * clock.Second
	// memoryPart is the part of its memory from which the process collects garbage
	// more often.
	memoryPart = 0.7
)

// direct is an entry that sends straight to endpoints.
type direct struct {
	path     string
	settings settings.Settings
	log      *log.Logger
	book     *logbook.Writer
	clock    clock.Clock
	loop     *site.Loop
	server   *relay.Server
	socket   *gossip.Socket
}

// RunDirectOn serves callers until the context ends, for the demo; it stops at
// once.
func RunDirectOn(ctx context.Context, s settings.Settings, out io.Writer) (err error) {
	d, err := newDirect("", s, out)
	if err != nil {
		return err
	}
	go d.book.Run(ctx)
	return d.serve(ctx, nil)
}

// runDirect serves callers until SIGTERM, then leaves without cutting a request.
func runDirect(ctx context.Context, path string, s settings.Settings) (err error) {
	d, err := newDirect(path, s, os.Stdout)
	if err != nil {
		return err
	}
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	written := make(chan struct{})
	go func() {
		defer close(written)
		d.book.Run(inner)
	}()
	d.log.Info("Entry starts", "zone", s.Zone, "process", d.process(), "callers", s.Entry.Callers, "store", s.Direct.Store, "key-lease", s.Direct.KeyLease, "version", Version())
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	err = d.serve(inner, signals)
	d.log.Info("Entry stops", "error", logbook.Text(err))
	cancel()
	<-written
	return err
}

// newDirect makes an entry that writes its log lines to out.
func newDirect(path string, s settings.Settings, out io.Writer) (d *direct, err error) {
	if s.Direct.Memory > 0 {
		const megabyte = 1 << 20
		debug.SetMemoryLimit(int64(memoryPart * float64(s.Direct.Memory) * megabyte))
	}
	ways, err := decision.Choose(s.Decisions.Strategies)
	if err != nil {
		return nil, err
	}
	d = &direct{path: path, settings: s, clock: clock.Boot()}
	d.book = logbook.New(d.clock, out)
	l, err := newLogger(s.Log, d.book)
	if err != nil {
		return nil, err
	}
	d.log = l.With("vm", s.VM)
	if d.socket, err = gossip.Open(s.Peer); err != nil {
		return nil, err
	}
	store := platform.NewStore(s.Direct.Store, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}})
	d.loop = site.NewLoop(site.Config{
		Self:    site.Self{Name: s.VM, Process: d.process(), Zone: s.Zone, Exposure: s.Direct.Exposure},
		Clock:   d.clock,
		Log:     d.log,
		Store:   site.Store{Newest: store.Newest, Read: store.Read, Append: store.Append},
		Codec:   site.Codec{Operator: platform.DecodeOperator, Endpoints: platform.DecodeEndpoints, Verdicts: platform.DecodeVerdicts, VerdictRecord: platform.EncodeVerdict},
		Address: s.Peer,
		Send:    d.socket.Send,
		Counts:  func() site.TrafficCounts { return d.server.TrafficCounts() },
	})
	d.server = relay.New(relay.Config{
		Clock: d.clock, Log: d.log, Dialect: platform.Dialect(), View: d.loop.View, Started: d.loop.Started(), Pool: upstream.NewPool(d.clock), Zone: s.Zone,
		Strict: s.Direct.StrictKeys, KeyLease: s.Direct.KeyLease - leaseMargin, RetryRatio: s.Direct.RetryRatio, RetrySlack: s.Direct.RetrySlack, RetryWindow: s.Direct.RetryWindow,
		ColdOverage: s.Direct.ColdOverage, ColdSlack: s.Direct.ColdSlack, SessionIdleTimeout: s.Direct.SessionIdleTimeout, Strategies: ways,
	})
	return d, nil
}

// process names this start of the entry.
func (d *direct) process() string {
	return fmt.Sprintf("%s/%d/%d", d.settings.VM, os.Getpid(), started)
}

// started tells one start of a process from the next.
var started = time.Now().UnixNano()

func (d *direct) serve(ctx context.Context, signals <-chan os.Signal) (err error) {
	s := d.settings
	const slack = 2
	callers := &http.Server{
		Handler: d.server, ReadHeaderTimeout: s.Entry.HeaderTimeout.Duration(), IdleTimeout: s.Entry.IdleTimeout.Duration(),
		MaxHeaderBytes: slack * s.Entry.MaxHeaders, ErrorLog: d.log.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel}),
	}
	idle := newIdlers(d.clock)
	callers.ConnState = idle.Track
	lis, err := net.Listen("tcp4", s.Entry.Callers)
	if err != nil {
		return err
	}
	failed := make(chan error, 3)
	go func() { failed <- callers.Serve(lis) }()
	go func() { failed <- d.aside(s.Direct.Ready, d.readiness()) }()
	if s.Operators != "" {
		go func() { failed <- d.aside(s.Operators, d.metrics()) }()
	}
	go d.loop.Run(ctx)
	go d.socket.Receive(ctx, d.hear)
	go d.server.SendReports(ctx, s.VM, d.socket.Send)
	go d.server.RequestSnapshot(ctx, s.VM, s.Peer, d.socket.Send)
	go d.server.ServeSnapshots(ctx, s.VM, d.socket.Send)
	go d.tidy(ctx)
	go idle.run(ctx, d.idleBound)
	for {
		select {
		case err = <-failed:
			return err
		case <-ctx.Done():
			return callers.Close()
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return d.leave(ctx, callers)
			}
			d.reload()
		}
	}
}

// hear hands a report of another entry to control, or to traffic when it tells of work
// at endpoints.
func (d *direct) hear(r *wire.EntryReport) {
	if r.GetZone() == "" {
		d.server.ReceiveReport(r)
		return
	}
	d.loop.Receive(r)
}

// leave stops without cutting a request: the entry is not ready any more, takes
// what still comes until balancers have noticed, asks callers to close their
// connections, and ends when its last request has.
func (d *direct) leave(ctx context.Context, callers *http.Server) (err error) {
	begun := d.clock.Now()
	d.server.Leave()
	d.loop.Leave(ctx)
	d.log.Info("Entry leaves", "active", d.server.Active(), "grace", d.settings.Direct.Grace)
	clock.Pause(ctx, leaveFor)
	left := d.settings.Direct.Grace - d.clock.Since(begun) - stopMargin
	ctx, cancel := context.WithTimeout(ctx, max(left, 1).Duration())
	defer cancel()
	if err = callers.Shutdown(ctx); err != nil {
		d.log.Warn("Entry stops before its last answer ended", "active", d.server.Active())
	}
	return nil
}

// reload checks the settings file anew. What is in it holds for a start of the
// process, so only its faults are told here.
func (d *direct) reload() {
	s, err := settings.ReadFor(d.path, settings.EntryProgram)
	if err != nil {
		d.log.Warn("New settings cannot be used, the old ones go on", "error", settings.MessageOf(err))
		return
	}
	d.log.Info("Settings were read again", "changed", fmt.Sprint(s) != fmt.Sprint(d.settings))
}

// idleBound is how long operators let a caller's connection wait; 0 for any time.
func (d *direct) idleBound() clock.Millis {
	c := d.loop.View().Config()
	if c == nil {
		return 0
	}
	return c.Limits.IdleTimeout
}

// tidy drops what is no longer needed.
func (d *direct) tidy(ctx context.Context) {
	for clock.Pause(ctx, tidyEvery) {
		d.server.Sweep()
	}
}

// readiness tells the balancer whether to send connections.
func (d *direct) readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != platform.ReadyPath {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if ready, why := d.ready(); !ready {
			http.Error(w, why, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

func (d *direct) ready() (ready bool, why string) {
	v := d.loop.View()
	switch {
	case v.Leaving():
		return false, "leaving"
	case !v.Started():
		return false, "starting"
	}
	return true, ""
}

func (d *direct) metrics() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		v := d.loop.View()
		d.server.WriteMetrics(w)
		ready, _ := d.ready()
		fmt.Fprintf(w, "parsleydeal_ready %d\n", flag(ready))
		fmt.Fprintf(w, "parsleydeal_draining %d\n", flag(v.Leaving()))
		fmt.Fprintf(w, "parsleydeal_tables_staleness_ms %d\n", d.clock.Since(v.ConfirmedAt()))
		fmt.Fprintf(w, "parsleydeal_store_reader %d\n", flag(v.Reader()))
		fmt.Fprintf(w, "parsleydeal_members{role=\"endpoint\"} %d\n", v.Fleet().Size())
		fmt.Fprintf(w, "parsleydeal_members{role=\"entry\"} %d\n", v.Entries())
		fmt.Fprintf(w, "parsleydeal_log_lines_lost_total %d\n", d.book.Lost())
		fmt.Fprintf(w, "parsleydeal_reports_lost_total %d\n", d.socket.Lost()+d.loop.Dropped())
		metrics.WriteProcessMetrics(w)
	})
}

func flag(b bool) int {
	if b {
		return 1
	}
	return 0
}

// aside serves an interface beside the callers'.
func (d *direct) aside(address string, h http.Handler) (err error) {
	lis, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: d.settings.Entry.HeaderTimeout.Duration(), ErrorLog: d.log.StandardLog()}
	return srv.Serve(lis)
}
