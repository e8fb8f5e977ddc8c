// Package endpoint is the gate process beside one engine or plain service: the
// only way to it.
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
)

const (
	// rememberedAttempts bounds the memory of attempts that may run at most once.
	rememberedAttempts = 16384
	keptAnswers        = 4096
	keptBytes          = 32 << 20
	keptBytesOfOne     = 4 << 20
	keptFor            = 10 * clock.Minute
)

// Endpoint is one gate process.
type Endpoint struct {
	node    *node.Node
	engine  *engine.Engine
	plain   *http.Client
	gate    *gate.Gate
	memory  *answer.AttemptTracker
	keeping *answer.Store
	// status is what the engine last said of itself; nil before it spoke.
	status atomic.Pointer[engine.Load]
	// busy counts the attempts held by version.
	busy busy
	// active counts the calls of peers under way.
	active atomic.Int64
	// heartbeats keeps the streams under way from falling silent.
	heartbeats heartbeats
	// aborted ends when a stop cuts off what is still held.
	aborted context.Context
	abort   context.CancelFunc
	// orphan takes the bill of a step whose entry went before it took the last
	// piece.
	orphan func(*wire.Bill)
}

// New makes an endpoint over a node; Serve runs it.
func New(n *node.Node) *Endpoint {
	client := &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	e := &Endpoint{
		node:    n,
		engine:  engine.New(n.Settings().Endpoint.Engine, client),
		plain:   client,
		gate:    gate.New(gate.Limits{Cold: 1, Full: 1}),
		memory:  answer.NewAttemptTracker(rememberedAttempts),
		keeping: answer.NewStore(answer.StoreLimits{MaxAnswers: keptAnswers, MaxBytes: keptBytes, MaxAnswerBytes: keptBytesOfOne, Retention: keptFor}),
	}
	e.aborted, e.abort = context.WithCancel(context.Background())
	e.orphan = n.Billing().FinishOrphaned
	n.SetLoad(e.load)
	n.SetEffectHandler(e.perform)
	return e
}

// Serve answers peers on a listener until the context ends.
func (e *Endpoint) Serve(ctx context.Context, lis net.Listener) error {
	go e.watch(ctx)
	return peer.Serve(ctx, lis, e.node, e)
}

// pool returns the endpoint's pool in the tables in force.
func (e *Endpoint) pool() (p table.Pool, ok bool) {
	t := e.node.View().Tables()
	if t == nil {
		return p, false
	}
	p, ok = t.Pools[e.node.Settings().Endpoint.Pool]
	return p, ok
}

// load is the endpoint's own view of itself.
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
