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
	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/parsleydeal/parsleydeal/bootstrap"
	"github.com/parsleydeal/parsleydeal/caller"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
	"github.com/parsleydeal/parsleydeal/gossip"
	"github.com/parsleydeal/parsleydeal/logbook"
	"github.com/parsleydeal/parsleydeal/overload"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/platform"
	"github.com/parsleydeal/parsleydeal/relay"
	"github.com/parsleydeal/parsleydeal/settings"
	"github.com/parsleydeal/parsleydeal/site"
	"github.com/parsleydeal/parsleydeal/upstream"
	"google.golang.org/protobuf/proto"
)

const (
	// leaseMargin is how much earlier than agreed a key's lease ends in this process: the time
	// that a request takes from this process to the endpoint that runs it.
	leaseMargin = 300 * clock.Millis(1)
	// leaveDelay is how long a stopping entry reports not ready but still accepts
	// connections. Load balancers probe once a second and act on the second failed
	// probe.
	leaveDelay = 3 * clock.Second
	// signalDelay is by how much a process that waits for its processor may notice a signal late.
	signalDelay = 200 * clock.Millis(1)
	// stopMargin is reserved at the end of the grace time for the process to exit by
	// itself.
	stopMargin = 400 * clock.Millis(1)
	// lastReportTimeout bounds the last report to the other entries. It is part of stopMargin.
	lastReportTimeout = 100 * clock.Millis(1)
	// sweepInterval is the interval between two sweeps of state that is no longer
	// needed.
	sweepInterval = 2 * clock.Second
	// memoryLimitRatio is the fraction of the process's memory above which the garbage
	// collector runs more often.
	memoryLimitRatio = 0.7
)

// direct is an entry that sends requests straight to endpoints.
type direct struct {
	path      string
	settings  settings.Settings
	log       *log.Logger
	logWriter *logbook.Writer
	clock     clock.Clock
	loop      *site.Loop
	server    *relay.Server
	socket    *gossip.Socket
	traffic   *traffic
	limiter   *overload.Limiter
	storeEra  func() int64
	// bootstrapHandler gives this entry's state of the site to entries that start.
	bootstrapHandler *bootstrap.Handler
}

// RunDirectOn serves callers directly until the context ends and writes its log
// lines to out. It closes callers' connections without draining; the demo uses it.
func RunDirectOn(ctx context.Context, s settings.Settings, out io.Writer) (err error) {
	d, err := newDirect("", s, out)
	if err != nil {
		return err
	}
	go d.logWriter.Run(ctx)
	return d.serve(ctx, nil)
}

// runDirect serves callers until SIGTERM or SIGINT, then stops without interrupting requests.
// SIGHUP checks the settings file again; signals has those that came before.
func runDirect(ctx context.Context, path string, s settings.Settings, signals chan os.Signal) (err error) {
	d, err := newDirect(path, s, os.Stdout)
	if err != nil {
		return err
	}
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	logDone := make(chan struct{})
	go func() {
		defer close(logDone)
		d.logWriter.Run(inner)
	}()
	d.log.Info("Entry starts", "zone", s.Zone, "process", d.processID(), "callers", s.Entry.Callers, "store", s.Direct.Store, "key-lease", s.Direct.KeyLease, "version", Version())
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	err = d.serve(inner, signals)
	d.log.Info("Entry stops", "error", logbook.Text(err))
	cancel()
	<-logDone
	return err
}

// megabyte is the unit of direct.memory, in bytes.
const megabyte = 1 << 20

// newDirect returns an entry that writes its log lines to out.
func newDirect(path string, s settings.Settings, out io.Writer) (d *direct, err error) {
	if s.Direct.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.Direct.Memory) * megabyte))
	}
	strategies, err := decision.Choose(s.Decisions.Strategies)
	if err != nil {
		return nil, err
	}
	d = &direct{path: path, settings: s, clock: clock.Boot(), traffic: newTraffic()}
	d.logWriter = logbook.New(d.clock, out)
	l, err := newLogger(s.Log, d.logWriter)
	if err != nil {
		return nil, err
	}
	d.log = l.With("vm", s.VM)
	d.limiter = overload.NewLimiter(d.clock, overload.LogChange(d.log))
	if d.socket, err = gossip.Open(s.Peer); err != nil {
		return nil, err
	}
	store := platform.NewStore(s.Direct.Store, nil, func(size int) {
		d.traffic.add(flowStore, false, size, 1, 1)
	})
	seeds, err := seedsOf(s)
	if err != nil {
		return nil, err
	}
	d.storeEra = store.Era
	d.loop = site.NewLoop(site.Config{
		Self:        site.Self{Name: s.VM, Process: d.processID(), Zone: s.Zone, Exposure: s.Direct.Exposure, KeyLease: s.Direct.KeyLease, SessionTTL: s.Direct.SessionIdleTimeout + relay.SessionGrace},
		Clock:       d.clock,
		Log:         d.log,
		Store:       site.Store{Newest: store.Newest, Sample: store.Sample, Read: store.Read, History: store.History, Append: store.Append, Renew: store.Renew, Era: store.Era},
		Codec:       site.Codec{Operator: platform.DecodeOperator, Endpoints: platform.DecodeEndpoints, Verdicts: platform.DecodeVerdicts, VerdictRecord: platform.EncodeVerdict},
		Address:     s.Peer,
		Send:        d.send,
		Counts:      func() site.TrafficCounts { return d.server.TrafficCounts() },
		TakeState:   d.takeState,
		Seeds:       seeds,
		TakeEntries: d.takeEntries,
	})
	d.bootstrapHandler = bootstrap.NewHandler(bootstrap.HandlerConfig{Clock: d.clock, Started: d.loop.Started(), State: d.loop.State, Entries: d.loop.Entries, OnAnswer: func(size int, zone string) {
		inZone := 0
		if zone == s.Zone {
			inZone = 1
		}
		d.traffic.add(flowState, true, size, 1, inZone)
	}})
	d.server = relay.New(relay.Config{
		Clock: d.clock, Log: d.log, Dialect: platform.Dialect(), View: d.loop.View, Confirm: d.loop.Confirm, Started: d.loop.Started(), Pool: upstream.NewPool(d.clock), Name: s.VM, Zone: s.Zone,
		Strict: s.Direct.StrictKeys, KeyLease: s.Direct.KeyLease - leaseMargin, RetryRatio: s.Direct.RetryRatio, RetrySlack: s.Direct.RetrySlack, RetryWindow: s.Direct.RetryWindow,
		ColdOverage: s.Direct.ColdOverage, ColdSlack: s.Direct.ColdSlack, SessionIdleTimeout: s.Direct.SessionIdleTimeout, Memory: s.Direct.Memory * megabyte, Strategies: strategies,
	})
	return d, nil
}

// processID returns an ID that is unique to this run of the entry, across restarts and VMs.
func (d *direct) processID() string {
	return fmt.Sprintf("%s/%d/%d", d.settings.VM, os.Getpid(), startedAtNanos)
}

// startedAtNanos is the start time of the process in ns since the Unix epoch. It distinguishes two
// runs on the same VM that got the same process ID from the operating system.
var startedAtNanos = time.Now().UnixNano()

func (d *direct) serve(ctx context.Context, signals <-chan os.Signal) (err error) {
	s := d.settings
	const headerSlack = 2
	limiter := d.limiter
	callers := &http.Server{
		Handler: limiter.Handler(caller.ResetUnlessWhole(new(caller.Watcher).Handler(d.server))), ReadHeaderTimeout: s.Entry.HeaderTimeout.Duration(), IdleTimeout: s.Entry.IdleTimeout.Duration(),
		MaxHeaderBytes: headerSlack * s.Entry.MaxHeaders, ErrorLog: d.log.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel}),
	}
	idle := newIdleConns(d.clock)
	callers.ConnState = func(c net.Conn, state http.ConnState) {
		idle.Track(c, state)
		limiter.Track(c, state)
	}
	callers.ConnContext = caller.WithConn
	lis, err := net.Listen("tcp4", s.Entry.Callers)
	if err != nil {
		return err
	}
	failed := make(chan error, 4)
	go func() { failed <- callers.Serve(limiter.Listener(lis)) }()
	go func() { failed <- d.serveInternal(s.Direct.Ready, d.readinessHandler()) }()
	go func() { failed <- d.serveInternal(s.Peer, d.bootstrapHandler) }()
	if s.Operators != "" {
		go func() { failed <- d.serveInternal(s.Operators, d.metricsHandler()) }()
	}
	go d.loop.Run(ctx)
	go d.socket.Receive(ctx, d.receive)
	go d.server.SendReports(ctx, s.VM, d.send)
	go d.server.SendEvidence(ctx, s.VM, d.send)
	go d.server.RequestSnapshot(ctx, s.VM, s.Peer, d.send)
	go d.server.ServeSnapshots(ctx, s.VM, d.send)
	go d.sweep(ctx)
	go d.logTraffic(ctx)
	go idle.run(ctx, d.idleTimeout)
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

// maxCatchUpAttempts is how many entries an entry that has fallen behind asks for their state before
// it reads the store.
const maxCatchUpAttempts = 3

// takeState takes the state of the site from another entry, beginning with the given ones.
func (d *direct) takeState(ctx context.Context, from []site.EntryAddress, starts bool) (err error) {
	self := site.EntryAddress{Name: d.settings.VM, Address: d.settings.Peer, Zone: d.settings.Zone}
	attempts := maxCatchUpAttempts
	if starts {
		attempts = bootstrap.Unlimited
	}
	startedAt, size := d.clock.Now(), 0
	client := bootstrap.NewClient(bootstrap.ClientConfig{
		Self: self, Clock: d.clock,
		Apply: func(m *wire.SiteState, sentAt clock.Millis) error {
			size = len(m.GetPacked())
			return d.loop.ApplyState(ctx, m, sentAt)
		},
		OnRejected: func(address string, err error) {
			d.log.Info("State of another entry cannot be used", "from", address, "error", logbook.Text(err))
		},
	})
	address, err := client.Run(ctx, bootstrap.NewSearch(self, from, attempts, xxhash.Sum64String(d.processID()), startedAt))
	if err != nil {
		return err
	}
	d.log.Info("State of another entry was taken", "from", address, "after", d.clock.Since(startedAt), "bytes", size)
	return nil
}

// seedsOf returns the neighbours of the settings, at this entry's own peer port.
func seedsOf(s settings.Settings) (seeds []site.EntryAddress, err error) {
	_, port, err := net.SplitHostPort(s.Peer)
	if err != nil {
		return nil, err
	}
	for _, address := range s.Direct.Neighbours {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		seeds = append(seeds, site.EntryAddress{Address: net.JoinHostPort(host, port)})
	}
	return seeds, nil
}

// takeEntries asks an entry which entries are running.
func (d *direct) takeEntries(ctx context.Context, from site.EntryAddress) (*wire.SiteState, error) {
	client := bootstrap.NewClient(bootstrap.ClientConfig{Clock: d.clock, Self: site.EntryAddress{Zone: d.settings.Zone}})
	return client.Entries(ctx, from.Address)
}

// receive passes a report from another entry to the loop or, if it is about work at endpoints, to
// the server. Only reports for the loop name a zone.
func (d *direct) receive(r *wire.EntryReport) {
	d.traffic.add(flowOf(r), false, proto.Size(r)+datagramOverhead, 1, 1)
	if r.GetZone() == "" {
		d.server.ReceiveReport(r)
		return
	}
	d.loop.Receive(r)
}

// leave stops the entry without interrupting requests: it reports not ready,
// accepts requests until load balancers have noticed, then asks callers to close
// their connections, and returns when the last request has ended or the grace time
// is nearly over.
func (d *direct) leave(ctx context.Context, callers *http.Server) (err error) {
	startedAt := d.clock.Now()
	d.server.Leave(leaveDelay-signalDelay, d.settings.Direct.Grace-stopMargin)
	d.loop.Leave(ctx)
	d.log.Info("Entry leaves", "active", d.server.Active(), "grace", d.settings.Direct.Grace)
	clock.Pause(ctx, leaveDelay)
	remaining := d.settings.Direct.Grace - d.clock.Since(startedAt) - stopMargin
	ctx, cancel := context.WithTimeout(ctx, max(remaining, 1).Duration())
	defer cancel()
	if err = callers.Shutdown(ctx); err != nil {
		d.log.Warn("Entry stops with requests still active", "active", d.server.Active())
	}
	last, done := context.WithTimeout(context.WithoutCancel(ctx), lastReportTimeout.Duration())
	defer done()
	d.loop.Stop(last)
	return nil
}

// reload checks the settings file again. Settings take effect only when the
// process starts, so this only logs whether they are valid and whether they differ
// from those in use.
func (d *direct) reload() {
	s, err := settings.ReadFor(d.path, settings.EntryProgram)
	if err != nil {
		d.log.Warn("New settings are invalid, the old ones remain in force", "error", settings.MessageOf(err))
		return
	}
	d.log.Info("Settings were read again", "changed", fmt.Sprint(s) != fmt.Sprint(d.settings))
}

// idleTimeout returns how long a caller's connection may stay idle; 0 means no timeout.
func (d *direct) idleTimeout() clock.Millis {
	c := d.loop.View().Config()
	if c == nil {
		return 0
	}
	return c.Limits().IdleTimeout
}

// sweep removes state that is no longer needed until the context ends.
func (d *direct) sweep(ctx context.Context) {
	for clock.Pause(ctx, sweepInterval) {
		d.server.Sweep()
	}
}

// readinessHandler answers the load balancer's readiness probe.
func (d *direct) readinessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != platform.ReadyPath {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if ready, reason := d.ready(); !ready {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

func (d *direct) ready() (ready bool, reason string) {
	v := d.loop.View()
	switch {
	case v.Leaving():
		return false, "leaving"
	case !v.Started():
		return false, "starting"
	}
	return true, ""
}

func (d *direct) metricsHandler() http.Handler {
	limiter := metrics.NewSet()
	d.limiter.Register(limiter)
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		v := d.loop.View()
		d.server.WriteMetrics(w)
		d.loop.WriteMetrics(w)
		d.traffic.writeMetrics(w)
		limiter.WritePrometheus(w)
		ready, _ := d.ready()
		fmt.Fprintf(w, "parsleydeal_ready %d\n", boolToInt(ready))
		fmt.Fprintf(w, "parsleydeal_draining %d\n", boolToInt(v.Leaving()))
		fmt.Fprintf(w, "parsleydeal_tables_staleness_ms %d\n", d.clock.Since(v.ConfirmedAt()))
		fmt.Fprintf(w, "parsleydeal_store_era %d\n", d.storeEra())
		fmt.Fprintf(w, "parsleydeal_store_reader %d\n", boolToInt(v.Reader()))
		fmt.Fprintf(w, "parsleydeal_members{role=\"endpoint\"} %d\n", v.Fleet().Size())
		fmt.Fprintf(w, "parsleydeal_members{role=\"entry\"} %d\n", v.Entries())
		fmt.Fprintf(w, "parsleydeal_log_lines_lost_total %d\n", d.logWriter.Lost())
		fmt.Fprintf(w, "parsleydeal_reports_lost_total %d\n", d.socket.Lost()+d.loop.Dropped())
		metrics.WriteProcessMetrics(w)
	})
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// serveInternal serves an interface other than the callers', such as readiness or metrics.
func (d *direct) serveInternal(address string, h http.Handler) (err error) {
	lis, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: d.settings.Entry.HeaderTimeout.Duration(), ErrorLog: d.log.StandardLog()}
	return srv.Serve(lis)
}
