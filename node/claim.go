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

// maxClaimWait limits how long one claim waits for the log.
const maxClaimWait = 3 * clock.Second

// claims holds the claimers of the streams that this process writes.
type claims struct {
	mu sync.Mutex
	// claimers holds at most one claimer per stream. The set of streams is fixed.
	claimers map[string]*claim.Claimer
	// ctx is the context in which the claimers run.
	ctx context.Context
}

// Claim appends a claim to the log for another process.
func (n *Node) Claim(ctx context.Context, in *wire.ClaimRequest) (out *wire.ClaimReply, err error) {
	wait := min(max(clock.Millis(in.GetWaitMillis()), 1), maxClaimWait)
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	holder, offset, err := n.claimer(claim.Stream(in.GetClaim().GetKey())).Claim(ctx, in.GetClaim())
	if err != nil {
		return &wire.ClaimReply{Reason: err.Error()}, nil
	}
	return &wire.ClaimReply{Standing: holder, Offset: offset}, nil
}

// ClaimKey appends a claim to the log through the process that writes its stream, or directly
// if that process is unreachable, and returns the claim that holds the key. After an error
// nothing may be dispatched, although the claim may hold the key.
func (n *Node) ClaimKey(ctx context.Context, c *wire.Claim) (holder *wire.Claim, offset int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, maxClaimWait.Duration())
	defer cancel()
	stream := claim.Stream(c.GetKey())
	w, ok := n.lastAssignment().Writer(stream)
	if !ok || w.ID == n.cfg.Settings.VM {
		return n.claimer(stream).Claim(ctx, c)
	}
	out, err := n.cfg.Peers.Peer(ctx, w.Address).Claim(ctx, &wire.ClaimRequest{Claim: c, WaitMillis: int64(maxClaimWait / 2)})
	switch {
	case err == nil && out.GetStanding() != nil:
		return out.GetStanding(), out.GetOffset(), nil
	case err == nil:
		return nil, 0, claim.ErrUnsettled.New("%s", out.GetReason())
	case errorx.IsOfType(err, peer.ErrNotReached) || ctx.Err() == nil:
		// The unreachable writer may have appended the claim already. Appending the same
		// claim twice has no effect.
		return n.claimer(stream).Claim(ctx, c)
	}
	return nil, 0, claim.ErrUnsettled.Wrap(err, "claim through %s", w.ID)
}

// lastAssignment returns the assignment computed last by billing, or a new one if there is none yet.
func (n *Node) lastAssignment() *batch.Assignment {
	if a := n.currentAssignment.Load(); a != nil {
		return a
	}
	return n.newAssignment()
}

// claimer returns the claimer of a stream and starts it on first use.
func (n *Node) claimer(stream string) *claim.Claimer {
	n.claims.mu.Lock()
	defer n.claims.mu.Unlock()
	k, ok := n.claims.claimers[stream]
	if !ok {
		k = claim.NewClaimer(n.cfg.Store, stream, n.batchPrefix(), n.cfg.Clock)
		n.claims.claimers[stream] = k
		ctx := n.claims.ctx
		n.run(func() { k.Run(ctx) })
	}
	return k
}
