// Package node runs the control loop of an entry or endpoint process: it passes the log, the VM
// list and the messages of peers to the loop as events, and executes the loop's effects.
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
	tickInterval = 200 * clock.Millis(1)
	// logReadWait is how long one read of the log waits for a record.
	logReadWait = 2 * clock.Second
	// logRetryDelay is the delay after a failed read of the log.
	logRetryDelay = 300 * clock.Millis(1)
)

// Config holds the settings and dependencies of a node.
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

// Node is the control side of one process. It also serves the requests of peers.
type Node struct {
	cfg  Config
	loop *control.Loop
	// epoch is random and differs at each start of the process.
	epoch uint64
	wg    sync.WaitGroup
	// ctx ends with the node. Start sets it before it starts any goroutine.
	ctx context.Context
	// calls is the semaphore of the concurrent calls to peers.
	calls chan struct{}
	// tailCancels stops the reading of each followed stream. Only the control goroutine uses it.
	tailCancels map[string]context.CancelFunc
	// inheritHandler takes over the request counts of a stopping entry; nil in an endpoint.
	inheritHandler atomic.Pointer[func(incarnation []byte) error]
	// loadSequence numbers the load reports of this process.
	loadSequence atomic.Uint64
	// nextEstimatesAt is the instant from which a digest may contain estimates again.
	nextEstimatesAt atomic.Int64
	// effectHandler executes the effects of an endpoint; nil in an entry.
	effectHandler atomic.Pointer[func(event.Effect)]
	// load returns the endpoint's own load; nil in an entry.
	load atomic.Pointer[func() *wire.Load]
	// appends is the semaphore of the concurrent appends.
	appends chan struct{}
	// metrics is a set of its own, so that several nodes in one OS process keep their metrics apart.
	metrics           *metrics.Set
	reports           atomic.Pointer[ReportFunc]
	billing           *Billing
	currentAssignment atomic.Pointer[batch.Assignment]
	claims            claims
}

var errAppendsFull = provider.ErrBusy.New("too many appends under way")

// New returns a node. Start runs it.
func New(cfg Config) *Node {
	n := &Node{cfg: cfg, epoch: rand.Uint64(), metrics: metrics.NewSet(), calls: make(chan struct{}, maxCalls), tailCancels: make(map[string]context.CancelFunc)}
	n.appends = make(chan struct{}, maxAppends)
	n.loop = control.NewLoop(control.NewStateAt(cfg.Settings.VM, cfg.Settings.Zone, n.epoch).WithPool(cfg.Settings.Endpoint.Pool), n.perform)
	n.billing = newBilling(n)
	n.claims = claims{claimers: make(map[string]*claim.Claimer), ctx: context.Background()}
	return n
}

// View returns the latest view. It never blocks.
func (n *Node) View() *view.View { return n.loop.View() }

// Loop returns the control loop.
func (n *Node) Loop() *control.Loop { return n.loop }

// Clock returns the process's clock.
func (n *Node) Clock() clock.Clock { return n.cfg.Clock }

// Peers returns the pool of connections to other processes.
func (n *Node) Peers() *peer.Pool { return n.cfg.Peers }

// Settings returns the process's settings.
func (n *Node) Settings() settings.Settings { return n.cfg.Settings }

// Store returns the platform's log.
func (n *Node) Store() provider.Log { return n.cfg.Store }

// Rater returns the platform's rater.
func (n *Node) Rater() provider.Rater { return n.cfg.Rater }

// Log returns the process's logger.
func (n *Node) Log() *log.Logger { return n.cfg.Log }

// Start runs the goroutines of the node until the context ends. It does not wait for them.
func (n *Node) Start(ctx context.Context) {
	n.ctx = ctx
	n.run(func() { n.loop.Run(ctx) })
	n.run(func() { n.every(ctx, tickInterval, func() { n.loop.Post(ctx, event.Tick{Now: n.cfg.Clock.Now()}) }) })
	n.run(func() { n.readVMs(ctx) })
	n.run(func() { n.tailHolds(ctx) })
	n.claims.mu.Lock()
	n.claims.ctx = ctx
	n.claims.mu.Unlock()
	n.billing.run(ctx)
}

// Wait waits until all goroutines of the node have ended.
func (n *Node) Wait() { n.wg.Wait() }

// Drain marks the process as stopping. The process then reports to peers that it is leaving, and
// starts to hand over its bills.
func (n *Node) Drain(ctx context.Context) {
	n.loop.Post(ctx, event.Draining{Now: n.cfg.Clock.Now()})
	n.billing.Drain()
}

// run runs f on a goroutine that Wait waits for.
func (n *Node) run(f func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
}

// every calls f at once and again interval after each call returned, until the context ends.
func (n *Node) every(ctx context.Context, interval clock.Millis, f func()) {
	for {
		f()
		if !clock.Pause(ctx, interval) {
			return
		}
	}
}

// tail reads a stream of the log until the context ends.
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
		page, err := n.readPage(ctx, stream, from)
		if err != nil {
			n.loop.Post(ctx, event.LogFailed{Now: n.cfg.Clock.Now(), Stream: stream, Err: err})
			clock.Pause(ctx, logRetryDelay)
			continue
		}
		n.loop.Post(ctx, event.LogRead{Now: n.cfg.Clock.Now(), Stream: stream, Page: page})
		if count := len(page.Records); count > 0 {
			from = page.Records[count-1].Offset + 1
		}
		from = max(from, page.First)
	}
}

// readPage reads a page. If the log no longer retains the offset, the page has no records but
// states where the log starts now. Without that offset the reader would request the dropped records
// again and never make progress.
func (n *Node) readPage(ctx context.Context, stream string, from int64) (page provider.Page, err error) {
	const beyondHead = int64(1) << 62
	page, err = n.cfg.Store.Read(ctx, stream, from, logReadWait)
	if errorx.IsOfType(err, provider.ErrExpired) {
		page, err = n.cfg.Store.Read(ctx, stream, beyondHead, 0)
	}
	return page, err
}

// perform executes one effect. It runs on the control goroutine, so all I/O is done on other
// goroutines.
func (n *Node) perform(e event.Effect) {
	switch e := e.(type) {
	case event.WriteLog:
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
		n.performEndpointEffect(e)
	}
}
