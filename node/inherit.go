package node

import (
	"context"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/spread"
)

const (
	// successors is the number of entries that take over the request counts (package burn) of a
	// stopping entry.
	successors      = 2
	handOverTimeout = 2 * clock.Second
)

// ErrNoSuccessor means that no entry takes over the request counts of this one: all are stopping,
// or there is no other.
var ErrNoSuccessor = errorx.NewNamespace("node").NewType("no-heir")

// SetInheritHandler sets the function that takes over the encoded request counts of a stopping
// entry. A process without it declines them.
func (n *Node) SetInheritHandler(f func(incarnation []byte) error) { n.inheritHandler.Store(&f) }

// Inherit takes over the request counts of a stopping entry. It declines if this process is
// stopping or has no handler.
func (n *Node) Inherit(_ context.Context, in *wire.InheritRequest) (out *wire.InheritReply, err error) {
	f := n.inheritHandler.Load()
	if f == nil || n.View().Draining() {
		return &wire.InheritReply{Declined: true}, nil
	}
	return &wire.InheritReply{}, (*f)(in.GetLife())
}

// HandOver sends the encoded request counts of each incarnation to two other entries, chosen by
// rendezvous hashing, so that the loss of one entry loses no counts. Package burn removes the
// duplicates when it merges reports. ErrNoSuccessor means that no entry accepted any counts.
func (n *Node) HandOver(ctx context.Context, incarnations [][]byte) (err error) {
	m := n.View().Members()
	var candidates []provider.VM
	for _, v := range m.VMs() {
		if v.Role == provider.EntryRole && v.ID != n.cfg.Settings.VM && !m.Leaving(v) && !m.Suspected(v.ID) {
			candidates = append(candidates, v)
		}
	}
	accepted := len(incarnations) == 0
	for _, v := range spread.RendezvousTop("burn/"+n.cfg.Settings.VM, successors, candidates) {
		for _, incarnation := range incarnations {
			ok, handErr := n.sendHandOver(ctx, v, incarnation)
			if handErr != nil {
				err = handErr
			}
			accepted = accepted || ok
		}
	}
	if err == nil && !accepted {
		return ErrNoSuccessor.New("none of %d entries takes over", len(candidates))
	}
	return err
}

func (n *Node) sendHandOver(ctx context.Context, v provider.VM, incarnation []byte) (accepted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout.Duration())
	defer cancel()
	r, err := n.cfg.Peers.Peer(ctx, v.Address).Inherit(ctx, &wire.InheritRequest{Life: incarnation})
	return err == nil && !r.GetDeclined(), err
}
