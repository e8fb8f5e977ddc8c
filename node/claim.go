package node

import (
	"context"
	"sync"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/batch"
	"github.com/parsleydeal/parsleydeal/claim"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// maxClaimWait bounds how long one claim waits for the log.
const maxClaimWait = 3 * clock.Second

// claims holds the books of the streams that this process writes.
type claims struct {
	mu sync.Mutex
	// books has at most one book a stream; the streams are fixed.
	books map[string]*claim.Claimer
	// ctx is the context in which books run.
	ctx context.Context
}

// Claim puts a claim on the log for another process.
func (n *Node) Claim(ctx context.Context, in *wire.ClaimRequest) (out *wire.ClaimReply, err error) {
	wait := min(max(clock.Millis(in.GetWaitMillis()), 1), maxClaimWait)
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	s, offset, err := n.book(claim.Stream(in.GetClaim().GetKey())).Claim(ctx, in.GetClaim())
	if err != nil {
		return &wire.ClaimReply{Reason: err.Error()}, nil
	}
	return &wire.ClaimReply{Standing: s, Offset: offset}, nil
}

// ClaimKey puts a claim on the log through the process that writes its stream,
// or from here when that one cannot be reached, and returns the claim that
// stands. On an error nothing may be dispatched; the claim itself may stand.
func (n *Node) ClaimKey(ctx context.Context, c *wire.Claim) (s *wire.Claim, offset int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, maxClaimWait.Duration())
	defer cancel()
	stream := claim.Stream(c.GetKey())
	w, ok := n.lastPlace().Writer(stream)
	if !ok || w.ID == n.cfg.Settings.VM {
		return n.book(stream).Claim(ctx, c)
	}
	out, err := n.cfg.Peers.Peer(ctx, w.Address).Claim(ctx, &wire.ClaimRequest{Claim: c, WaitMillis: int64(maxClaimWait / 2)})
	switch {
	case err == nil && out.GetStanding() != nil:
		return out.GetStanding(), out.GetOffset(), nil
	case err == nil:
		return nil, 0, claim.ErrUnsettled.New("%s", out.GetReason())
	case errorx.IsOfType(err, peer.ErrNotReached) || ctx.Err() == nil:
		// The claim may stand already through the lost writer. Once more is
		// harmless: the same claim a second time changes nothing.
		return n.book(stream).Claim(ctx, c)
	}
	return nil, 0, claim.ErrUnsettled.Wrap(err, "claim through %s", w.ID)
}

// lastPlace returns the picture of who appends as of the last round of billing.
func (n *Node) lastPlace() *batch.Assignment {
	if p := n.placed.Load(); p != nil {
		return p
	}
	return n.place()
}

func (n *Node) book(stream string) *claim.Claimer {
	n.claims.mu.Lock()
	defer n.claims.mu.Unlock()
	b, ok := n.claims.books[stream]
	if !ok {
		b = claim.NewClaimer(n.cfg.Store, stream, n.batchPrefix(), n.cfg.Clock)
		n.claims.books[stream] = b
		ctx := n.claims.ctx
		n.run(func() { b.Run(ctx) })
	}
	return b
}
