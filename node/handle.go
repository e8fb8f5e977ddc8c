package node

import (
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/provider"
)

// SetEffectHandler gives the function that carries out the endpoint's own effects. It
// runs on the control goroutine and may not block.
func (n *Node) SetEffectHandler(f func(event.Effect)) { n.handler.Store(&f) }

// Weights returns the platform's weight store.
func (n *Node) Weights() provider.WeightStore { return n.cfg.Weights }

func (n *Node) handle(e event.Effect) {
	if f := n.handler.Load(); f != nil {
		(*f)(e)
	}
}
