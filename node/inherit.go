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

// ErrNoSuccessor means that no entry takes over what this one counted: all stop, or there is
// no other.
var ErrNoSuccessor = errorx.NewNamespace("node").NewType("no-heir")

// SetInheritHandler gives the function that takes what a stopping entry hands on.
func (n *Node) SetInheritHandler(f func(life []byte) error) { n.inherit.Store(&f) }

// Inherit takes what a stopping entry hands on.
func (n *Node) Inherit(_ context.Context, in *wire.InheritRequest) (out *wire.InheritReply, err error) {
	f := n.inherit.Load()
	if f == nil || n.View().Draining() {
		return &wire.InheritReply{Declined: true}, nil
	}
	return &wire.InheritReply{}, (*f)(in.GetLife())
}

// HandOver gives packed lives to other entries, by rendezvous. Two take each, so
// that one that vanishes loses nothing; whoever merges counts a life once. ErrNoHeir
// means that none took any.
func (n *Node) HandOver(ctx context.Context, lives [][]byte) (err error) {
	m := n.View().Members()
	var able []provider.VM
	for _, v := range m.VMs() {
		if v.Role == provider.EntryRole && v.ID != n.cfg.Settings.VM && !m.Leaving(v) && !m.Suspected(v.ID) {
			able = append(able, v)
		}
	}
	taken := len(lives) == 0
	for _, v := range spread.RendezvousTop("burn/"+n.cfg.Settings.VM, heirs, able) {
		for _, life := range lives {
			ok, handErr := n.hand(ctx, v, life)
			if handErr != nil {
				err = handErr
			}
			taken = taken || ok
		}
	}
	if err == nil && !taken {
		return ErrNoSuccessor.New("none of %d entries takes over", len(able))
	}
	return err
}

func (n *Node) hand(ctx context.Context, v provider.VM, life []byte) (taken bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, handTimeout.Duration())
	defer cancel()
	r, err := n.cfg.Peers.Peer(ctx, v.Address).Inherit(ctx, &wire.InheritRequest{Life: life})
	return err == nil && !r.GetDeclined(), err
}
