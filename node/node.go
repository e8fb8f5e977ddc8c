// Package node is the shell that both daemons share: it feeds the control loop
// with the log, the VM list and the peers' messages, and carries out effects.
package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/batch"
	"github.com/parsleydeal/parsleydeal/claim"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/control"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/peer"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/settings"
	"github.com/parsleydeal/parsleydeal/view"
)

const (
	tickEvery = 200 * clock.Millis(1)
	// logWait is how long one read of the log waits for a record.
	logWait = 2 * clock.Second
	// logRetry is the pause after a failed read of the log.
	logRetry = 300 * clock.Millis(1)
)

// Config is what a node is made of.
type Config struct {
	Settings settings.Settings
	Clock    clock.Clock
	Log      *log.Logger
	Store    provider.Log
	VMs      provider.VMList
	Rater    provider.Rater
	Weights  provider.WeightStore
	Peers    *peer.Pool
}

// Node is one process's control side.
type Node struct {
	cfg  Config
	loop *control.Loop
	// epoch is new at each start of the process.
	epoch uint64
	wg    sync.WaitGroup
	// ctx ends with the node; it is set by Start before any goroutine runs.
	ctx context.Context
	// calls holds a place for each call to a peer under way.
	calls chan struct{}
	// follows ends the reading of a stream; only the control goroutine uses it.
	follows map[string]context.CancelFunc
	// inherit takes what a stopping entry hands on; nil in an endpoint.
	inherit atomic.Pointer[func(life []byte) error]
	// loads numbers the loads told.
	loads atomic.Uint64
	// estimatesAt is the instant from which on a digest may carry estimates.
	estimatesAt atomic.Int64
	// handler carries out the effects of the endpoint's part; nil in an entry.
	handler atomic.Pointer[func(event.Effect)]
	// load reports the endpoint's own load; nil in an entry.
	load atomic.Pointer[func() *wire.Load]
	// appends holds a place for each append under way.
	appends chan struct{}
	// metrics holds this process's own metrics, so that several nodes in one
	// process keep theirs apart.
	metrics *metrics.Set
	reports atomic.Pointer[ReportFunc]
	billing *Billing
	placed  atomic.Pointer[batch.Assignment]
	claims  claims
}

var errAppendsFull = provider.ErrBusy.New("too many appends under way")

// New makes a node; Start runs it.
func New(cfg Config) *Node {
	n := &Node{cfg: cfg, epoch: rand.Uint64(), metrics: metrics.NewSet(), calls: make(chan struct{}, maxCalls), follows: make(map[string]context.CancelFunc)}
	n.appends = make(chan struct{}, maxAppends)
	n.loop = control.NewLoop(control.NewStateAt(cfg.Settings.VM, cfg.Settings.Zone, n.epoch).WithPool(cfg.Settings.Endpoint.Pool), n.perform)
	n.billing = newBilling(n)
	n.claims = claims{books: make(map[string]*claim.Claimer), ctx: context.Background()}
	return n
}

// View returns the newest view.
func (n *Node) View() *view.View { return n.loop.View() }

// Loop returns the control loop.
func (n *Node) Loop() *control.Loop { return n.loop }

// Clock returns the process's clock.
func (n *Node) Clock() clock.Clock { return n.cfg.Clock }

// Peers returns the connections to other processes.
func (n *Node) Peers() *peer.Pool { return n.cfg.Peers }

// Settings returns the process's settings.
func (n *Node) Settings() settings.Settings { return n.cfg.Settings }

// Store returns the platform's log.
func (n *Node) Store() provider.Log { return n.cfg.Store }

// Rater returns the platform's rater.
func (n *Node) Rater() provider.Rater { return n.cfg.Rater }

// Log returns the process's logger.
func (n *Node) Log() *log.Logger { return n.cfg.Log }

// Start runs the node's goroutines until the context ends.
func (n *Node) Start(ctx context.Context) {
	n.ctx = ctx
	n.run(func() { n.loop.Run(ctx) })
	n.run(func() { n.every(ctx, tickEvery, func() { n.loop.Post(ctx, event.Tick{Now: n.cfg.Clock.Now()}) }) })
	n.run(func() { n.readVMs(ctx) })
	n.run(func() { n.tailHolds(ctx) })
	n.claims.mu.Lock()
	n.claims.ctx = ctx
	n.claims.mu.Unlock()
	n.billing.run(ctx)
}

// Wait waits for the goroutines to end.
func (n *Node) Wait() { n.wg.Wait() }

// Drain tells control that this process has been asked to stop.
func (n *Node) Drain(ctx context.Context) {
	n.loop.Post(ctx, event.Draining{Now: n.cfg.Clock.Now()})
	n.billing.Drain()
}

func (n *Node) run(f func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
}

func (n *Node) every(ctx context.Context, span clock.Millis, f func()) {
	for {
		f()
		if !clock.Pause(ctx, span) {
			return
		}
	}
}

func (n *Node) tail(ctx context.Context, stream string) {
	from, restarts := int64(0), 0
	for ctx.Err() == nil {
		if stream == provider.ConfigStream {
			t := n.View().Tail()
			if t.Restarts() != restarts {
				from, restarts = t.End(), t.Restarts()
			}
			from = max(from, t.End())
		}
		page, err := n.read(ctx, stream, from)
		if err != nil {
			n.loop.Post(ctx, event.LogFailed{Now: n.cfg.Clock.Now(), Stream: stream, Err: err})
			clock.Pause(ctx, logRetry)
			continue
		}
		n.loop.Post(ctx, event.LogRead{Now: n.cfg.Clock.Now(), Stream: stream, Page: page})
		if k := len(page.Records); k > 0 {
			from = page.Records[k-1].Offset + 1
		}
		from = max(from, page.First)
	}
}

// read reads a page. When the log no longer keeps the offset the page has no
// records but tells where the log now begins: a reader that asked for the lost
// records again and again would never start.
func (n *Node) read(ctx context.Context, stream string, from int64) (page provider.Page, err error) {
	const beyondHead = int64(1) << 62
	page, err = n.cfg.Store.Read(ctx, stream, from, logWait)
	if errorx.IsOfType(err, provider.ErrExpired) {
		page, err = n.cfg.Store.Read(ctx, stream, beyondHead, 0)
	}
	return page, err
}

// perform carries out one effect. It runs on the control goroutine, so all I/O
// goes to goroutines of its own.
func (n *Node) perform(e event.Effect) {
	switch e := e.(type) {
	case event.Report:
		n.cfg.Log.Info(e.Message, e.Fields...)
	case event.Exchange:
		n.exchange(e)
	case event.FetchRecords:
		n.fetch(e)
	case event.Follow:
		n.follow(e)
	case event.Append:
		n.append(e)
	default:
		n.handle(e)
	}
}
