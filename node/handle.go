package node

import (
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/provider"
)

// SetEffectHandler sets the function that executes the endpoint's effects. It runs on the
// control goroutine and must not block.
func (n *Node) SetEffectHandler(f func(event.Effect)) { n.effectHandler.Store(&f) }

// Weights returns the platform's weight store.
func (n *Node) Weights() provider.WeightStore { return n.cfg.Weights }

func (n *Node) performEndpointEffect(e event.Effect) {
	if f := n.effectHandler.Load(); f != nil {
		(*f)(e)
	}
}
