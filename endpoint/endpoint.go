// Package endpoint is the gate process beside one engine or plain service: the
// only way to it.
package endpoint

import (
	"context"
	"net"
	"net/http"

	"github.com/parsleydeal/parsleydeal/engine"
	"github.com/parsleydeal/parsleydeal/gate"
	"github.com/parsleydeal/parsleydeal/node"
	"github.com/parsleydeal/parsleydeal/peer"
	"github.com/parsleydeal/parsleydeal/table"
)

// Endpoint is one gate process.
type Endpoint struct {
	node   *node.Node
	engine *engine.Engine
	plain  *http.Client
	window *gate.Window
}

// New makes an endpoint over a node; Serve runs it.
func New(n *node.Node) *Endpoint {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	e := &Endpoint{
		node:   n,
		engine: engine.New(n.Settings().Endpoint.Engine, client),
		plain:  client,
		window: gate.NewWindow(1, 1),
	}
	n.SetLoad(e.load)
	return e
}

// Serve answers peers on a listener until the context ends.
func (e *Endpoint) Serve(ctx context.Context, lis net.Listener) error {
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
