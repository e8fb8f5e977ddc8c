// Package node is the shell that both daemons share: it feeds the control loop
// with the log, the VM list and the peers' messages, and carries out effects.
package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/control"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/peer"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/platform"
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
	Store    platform.Log
	VMs      platform.VMList
	Rater    platform.Rater
	Weights  platform.WeightStore
	Peers    *peer.Pool
}

// Node is one process's control side.
type Node struct {
	cfg  Config
	loop *control.Loop
	// epoch is new at each start of the process.
	epoch uint64
	wg    sync.WaitGroup
	// loads numbers the loads told.
	loads atomic.Uint64
	// load reports the endpoint's own load; nil in an entry.
	load atomic.Pointer[func() *wire.Load]
}

// New makes a node; Start runs it.
func New(cfg Config) *Node {
	n := &Node{cfg: cfg, epoch: rand.Uint64()}
	n.loop = control.NewLoop(control.NewState(cfg.Settings.VM), n.perform)
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
func (n *Node) Store() platform.Log { return n.cfg.Store }

// Rater returns the platform's rater.
func (n *Node) Rater() platform.Rater { return n.cfg.Rater }

// Log returns the process's logger.
func (n *Node) Log() *log.Logger { return n.cfg.Log }

// Start runs the node's goroutines until the context ends.
func (n *Node) Start(ctx context.Context) {
	n.run(func() { n.loop.Run(ctx) })
	n.run(func() { n.every(ctx, tickEvery, func() { n.loop.Post(ctx, event.Tick{Now: n.cfg.Clock.Now()}) }) })
	n.run(func() { n.every(ctx, n.cfg.Settings.VMListEvery, func() { n.listVMs(ctx) }) })
	n.run(func() { n.tail(ctx, platform.ConfigStream) })
}

// Wait waits for the goroutines to end.
func (n *Node) Wait() { n.wg.Wait() }

// Drain tells control that this process has been asked to stop.
func (n *Node) Drain(ctx context.Context) {
	n.loop.Post(ctx, event.Draining{Now: n.cfg.Clock.Now()})
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
		if !pause(ctx, span) {
			return
		}
	}
}

func (n *Node) listVMs(ctx context.Context) {
	vms, err := n.cfg.VMs.List(ctx)
	if err != nil {
		n.cfg.Log.Debug("VM list could not be read", "error", err)
		return
	}
	n.loop.Post(ctx, event.VMsListed{Now: n.cfg.Clock.Now(), VMs: vms})
}

func (n *Node) tail(ctx context.Context, stream string) {
	from := int64(0)
	for ctx.Err() == nil {
		page, err := n.cfg.Store.Read(ctx, stream, from, logWait)
		if err != nil {
			n.loop.Post(ctx, event.LogFailed{Now: n.cfg.Clock.Now(), Stream: stream, Err: err})
			pause(ctx, logRetry)
			continue
		}
		n.loop.Post(ctx, event.LogRead{Now: n.cfg.Clock.Now(), Stream: stream, Page: page})
		if k := len(page.Records); k > 0 {
			from = page.Records[k-1].Offset + 1
		}
	}
}

// perform carries out one effect. It runs on the control goroutine, so all I/O
// goes to goroutines of its own.
func (n *Node) perform(e event.Effect) {
	if e, ok := e.(event.Report); ok {
		n.cfg.Log.Info(e.Message, e.Fields...)
	}
}
