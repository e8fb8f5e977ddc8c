package node

import (
	"context"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/spread"
)

// heirs is how many entries take over what a stopping one counted.
const (
	heirs       = 2
	handTimeout = 2 * clock.Second
)

var errNoHeir = errorx.NewNamespace("node").NewType("no-heir")

// SetInherit gives the function that takes what a stopping entry hands on.
func (n *Node) SetInherit(f func(life []byte) error) { n.inherit.Store(&f) }

// Inherit takes what a stopping entry hands on.
func (n *Node) Inherit(_ context.Context, in *wire.InheritRequest) (out *wire.InheritReply, err error) {
	f := n.inherit.Load()
	if f == nil || n.View().Draining() {
		return nil, errNoHeir.New("this process takes nothing over")
	}
	return &wire.InheritReply{}, (*f)(in.GetLife())
}

// Hand gives packed lives to other entries, by rendezvous. Two take each, so
// that one that vanishes loses nothing; whoever merges counts a life once.
func (n *Node) Hand(ctx context.Context, lives [][]byte) (err error) {
	m := n.View().Members()
	var able []provider.VM
	for _, v := range m.VMs() {
		if v.Role == provider.EntryRole && v.ID != n.cfg.Settings.VM && !m.Leaving(v) && !m.Suspected(v.ID) {
			able = append(able, v)
		}
	}
	for _, v := range spread.First("burn/"+n.cfg.Settings.VM, heirs, able) {
		for _, life := range lives {
			if handErr := n.hand(ctx, v, life); handErr != nil {
				err = handErr
			}
		}
	}
	return err
}

func (n *Node) hand(ctx context.Context, v provider.VM, life []byte) (err error) {
	ctx, cancel := context.WithTimeout(ctx, handTimeout.Duration())
	defer cancel()
	_, err = n.cfg.Peers.Peer(ctx, v.Address).Inherit(ctx, &wire.InheritRequest{Life: life})
	return err
}
