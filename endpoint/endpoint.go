// Package endpoint implements the gate process that runs on the VM of one engine or plain service
// (a service that is not a model). Requests reach the engine or service only through it.
package endpoint

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/parsleydeal/parsleydeal/answer"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/engine"
	"github.com/parsleydeal/parsleydeal/gate"
	"github.com/parsleydeal/parsleydeal/node"
	"github.com/parsleydeal/parsleydeal/peer"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/table"
	"github.com/parsleydeal/parsleydeal/upstream"
)

const (
	// maxAttempts is the capacity of the AttemptTracker. It does not limit how often a request is
	// retried.
	maxAttempts     = 16384
	maxAnswers      = 4096
	maxAnswersBytes = 32 << 20
	maxAnswerBytes  = 4 << 20
	answerRetention = 10 * clock.Minute
)

// Endpoint is one gate process, created by New.
type Endpoint struct {
	node     *node.Node
	engine   *engine.Engine
	plain    *http.Client
	gate     *gate.Gate
	attempts *answer.AttemptTracker
	answers  *answer.Store
	// status is the last load reported by the engine; nil before the first report.
	status atomic.Pointer[engine.Load]
	// busy counts the admitted attempts per version.
	busy busy
	// active counts the peer calls in progress.
	active atomic.Int64
	// heartbeats keeps idle streams alive.
	heartbeats heartbeats
	// aborted is cancelled by Abort.
	aborted context.Context
	abort   context.CancelFunc
	// orphan receives the bill of a step if the entry disconnected before it received the last
	// piece.
	orphan func(*wire.Bill)
}

// New creates the endpoint of a node; Serve runs it.
func New(n *node.Node) *Endpoint {
	client := &http.Client{
		Transport:     upstream.NewTransport(&http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	e := &Endpoint{
		node:     n,
		engine:   engine.New(n.Settings().Endpoint.Engine, client),
		plain:    client,
		gate:     gate.New(gate.Limits{Cold: 1, Full: 1}),
		attempts: answer.NewAttemptTracker(maxAttempts),
		answers:  answer.NewStore(answer.StoreLimits{MaxAnswers: maxAnswers, MaxBytes: maxAnswersBytes, MaxAnswerBytes: maxAnswerBytes, Retention: answerRetention}),
	}
	e.aborted, e.abort = context.WithCancel(context.Background())
	e.orphan = n.Billing().FinishOrphaned
	n.SetLoad(e.load)
	n.SetEffectHandler(e.handleEffect)
	return e
}

// Serve serves peers on a listener until the context ends.
func (e *Endpoint) Serve(ctx context.Context, lis net.Listener) error {
	go e.watch(ctx)
	return peer.Serve(ctx, lis, e.node, e)
}

// pool returns the endpoint's pool from the current tables.
func (e *Endpoint) pool() (p table.Pool, ok bool) {
	t := e.node.View().Tables()
	if t == nil {
		return p, false
	}
	p, ok = t.Pools[e.node.Settings().Endpoint.Pool]
	return p, ok
}

// load returns the load that the endpoint reports to entries.
func (e *Endpoint) load() *wire.Load {
	g := e.gate.Load()
	l := &wire.Load{
		Held: int32(g.Held), Window: int32(g.Window), Waiting: int32(g.Waiting), Cold: g.Cold,
		Leaving: e.node.View().Draining(),
	}
	if s := e.status.Load(); s != nil {
		l.EngineQueue = int32(s.Queued)
		l.Generation = s.Generation
	}
	e.node.StampLoad(l)
	return l
}
