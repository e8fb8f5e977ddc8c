package node

import (
	"context"

	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// Exchange takes in what a peer knows and returns what this process knows.
func (n *Node) Exchange(_ context.Context, in *wire.Digest) (out *wire.Digest, err error) {
	n.loop.Offer(event.DigestReceived{Now: n.cfg.Clock.Now(), Digest: in})
	return n.Digest(), nil
}

// Digest returns what this process tells its peers.
func (n *Node) Digest() *wire.Digest {
	v := n.View()
	return &wire.Digest{
		Vm:              n.cfg.Settings.VM,
		Zone:            n.cfg.Settings.Zone,
		Epoch:           n.epoch,
		Revision:        v.Revision(),
		Leaving:         v.Draining(),
		StalenessMillis: int64(n.cfg.Clock.Since(v.ConfirmedAt())),
		Counts:          v.Counts(),
		Estimates:       v.Quality().Wire(),
	}
}

// Records returns configuration records that this process still keeps.
func (n *Node) Records(context.Context, *wire.RecordsRequest) (out *wire.RecordsReply, err error) {
	return &wire.RecordsReply{}, nil
}
