// Package entry is the process that takes callers' requests, chooses version
// and endpoint, and streams the answers back.
package entry

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/parsleydeal/parsleydeal/burn"
	"github.com/parsleydeal/parsleydeal/choice"
	"github.com/parsleydeal/parsleydeal/limit"
	"github.com/parsleydeal/parsleydeal/meter"
	"github.com/parsleydeal/parsleydeal/node"
	"github.com/parsleydeal/parsleydeal/peer"
	"github.com/parsleydeal/parsleydeal/refusal"
	"github.com/parsleydeal/parsleydeal/session"
	"github.com/parsleydeal/parsleydeal/table"
	"github.com/parsleydeal/parsleydeal/view"
)

// Entry is one entry process.
type Entry struct {
	node     *node.Node
	inflight *choice.Inflight
	affinity *choice.Affinity
	sessions *session.Keys
	raters   *raters
	judge    judge
	retries  *limit.RetryBudget
	// losses is the budget of attempts after an endpoint was lost.
	losses  *limit.Share
	queues  *limit.Queues
	meter   *meter.Meter
	leaving atomic.Bool
	burn    *burn.Recorder
}

// New makes an entry over a node; ServePeers and Handler run it.
func New(n *node.Node) *Entry {
	s := n.Settings().Session
	e := &Entry{
		node:     n,
		inflight: choice.NewInflight(),
		affinity: choice.NewAffinity(),
		sessions: session.NewKeys(s.Keys, s.Current).WithLifetime(s.Lifetime),
		raters:   newRaters(),
		retries:  limit.NewRetryBudget(),
		losses:   limit.NewShare(lossSpan, lossRatio, lossSlack),
		queues:   limit.NewQueues(n.Clock()),
		meter:    meter.New(n.Metrics()),
		burn:     burn.NewRecorder(n.Clock()),
	}
	n.SetInherit(e.inheritBurn)
	return e
}

// ServePeers answers peers on a listener until the context ends.
func (e *Entry) ServePeers(ctx context.Context, lis net.Listener) error {
	return peer.Serve(ctx, lis, e.node, nil)
}

// Leave has every answer from now on ask its caller to close the connection.
// An idle connection that the entry itself closes may be one on which a caller
// has just begun to send.
func (e *Entry) Leave() { e.leaving.Store(true) }

// Serve answers callers on a listener until the context ends, then lets the
// requests in flight finish.
func (e *Entry) Serve(ctx context.Context, lis net.Listener) (err error) {
	s := e.node.Settings().Entry
	const slack = 2
	srv := &http.Server{
		Handler:           e.Handler(),
		ReadHeaderTimeout: s.HeaderTimeout.Duration(),
		IdleTimeout:       s.IdleTimeout.Duration(),
		MaxHeaderBytes:    slack * s.MaxHeaders,
	}
	go e.rate(ctx)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		_ = srv.Shutdown(context.WithoutCancel(ctx))
	}()
	err = srv.Serve(limitConnections(lis, s.MaxConnections))
	<-stopped
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// caller finds the organisation that a bearer key belongs to.
func (e *Entry) caller(v *view.View, authorization string) (name string, err error) {
	key, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok || key == "" {
		return "", refusal.New(refusal.Unauthorised, "a bearer key is needed")
	}
	name, ok = v.Tables().OrganisationOf(table.HashKey(key))
	if !ok {
		return "", refusal.New(refusal.Unauthorised, "the bearer key is unknown")
	}
	return name, nil
}

// current returns the view on which a request is decided.
func (e *Entry) current() (v *view.View, err error) {
	v = e.node.View()
	if !v.Started() {
		return nil, refusal.New(refusal.Starting, "entry has no tables yet").WithRetryAfter(startingRetry)
	}
	if v.Draining() {
		return nil, refusal.New(refusal.Leaving, "entry is leaving").WithRetryAfter(leavingRetry)
	}
	return v, nil
}

// fresh refuses work of a route that must not run on tables too long
// unconfirmed.
func (e *Entry) fresh(v *view.View, rule table.StaleRule, after int64) error {
	staleness := int64(e.node.Clock().Since(v.ConfirmedAt()))
	if rule == table.RefuseWhenStale && after > 0 && staleness > after {
		return refusal.New(refusal.Stale, "tables are not confirmed").WithRetryAfter(staleRetry)
	}
	return nil
}
