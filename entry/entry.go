// Package entry implements the process that accepts callers' requests, chooses a version and an
// endpoint, and streams the answer back.
package entry

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/parsleydeal/parsleydeal/burn"
	"github.com/parsleydeal/parsleydeal/caller"
	"github.com/parsleydeal/parsleydeal/choice"
	"github.com/parsleydeal/parsleydeal/limit"
	"github.com/parsleydeal/parsleydeal/meter"
	"github.com/parsleydeal/parsleydeal/node"
	"github.com/parsleydeal/parsleydeal/overload"
	"github.com/parsleydeal/parsleydeal/peer"
	"github.com/parsleydeal/parsleydeal/refusal"
	"github.com/parsleydeal/parsleydeal/session"
	"github.com/parsleydeal/parsleydeal/table"
	"github.com/parsleydeal/parsleydeal/view"
)

// Entry is one entry process.
type Entry struct {
	node         *node.Node
	inflight     *choice.Inflight
	affinity     *choice.Affinity
	sessions     *session.Keys
	raterClient  *raterClient
	raterBackoff raterBackoff
	retries      *limit.RetryBudget
	// lossRetries is the retry budget for attempts whose endpoint became unreachable.
	lossRetries *limit.Share
	queues      *limit.Queues
	meter       *meter.Meter
	leaving     atomic.Bool
	burn        *burn.Recorder
}

// New returns an entry on top of a node. Callers are served by Serve or Handler, peers by ServePeers.
func New(n *node.Node) *Entry {
	s := n.Settings().Session
	e := &Entry{
		node:        n,
		inflight:    choice.NewInflight(),
		affinity:    choice.NewAffinity(),
		sessions:    session.NewKeys(s.Keys, s.Current).WithLifetime(s.Lifetime),
		raterClient: newRaterClient(),
		retries:     limit.NewRetryBudget(),
		lossRetries: limit.NewShare(lossRetryWindow, lossRetryRatio, lossRetrySlack),
		queues:      limit.NewQueues(n.Clock()),
		meter:       meter.New(n.Metrics()),
		burn:        burn.NewRecorder(n.Clock()),
	}
	n.SetInheritHandler(e.inheritBurnCounts)
	return e
}

// ServePeers serves calls of peers on a listener until the context ends.
func (e *Entry) ServePeers(ctx context.Context, lis net.Listener) error {
	return peer.Serve(ctx, lis, e.node, nil)
}

// Leave makes the entry ask the caller, in every later response, to close the connection. If the
// entry closed idle connections itself, it could close one on which a caller has just started to
// send.
func (e *Entry) Leave() { e.leaving.Store(true) }

// Serve serves callers on a listener until the context ends, then waits for the requests in flight.
func (e *Entry) Serve(ctx context.Context, lis net.Listener) (err error) {
	s := e.node.Settings().Entry
	const slack = 2
	limiter := overload.NewLimiter(e.node.Clock(), overload.LogChange(e.node.Log()))
	limiter.Register(e.node.Metrics())
	srv := &http.Server{
		Handler:           limiter.Handler(caller.ResetUnlessWhole(new(caller.Watcher).Handler(e.Handler()))),
		ReadHeaderTimeout: s.HeaderTimeout.Duration(),
		IdleTimeout:       s.IdleTimeout.Duration(),
		MaxHeaderBytes:    slack * s.MaxHeaders,
		ConnContext:       caller.WithConn,
		ConnState:         limiter.Track,
	}
	go e.exchangeRatings(ctx)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		_ = srv.Shutdown(context.WithoutCancel(ctx))
	}()
	err = srv.Serve(limitConnections(limiter.Listener(lis), s.MaxConnections))
	<-stopped
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// authenticate returns the organisation that a bearer key belongs to.
func (e *Entry) authenticate(v *view.View, authorization string) (name string, err error) {
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

// currentView returns the view of the tables and members that a new request uses, or a refusal
// while the entry is starting or leaving.
func (e *Entry) currentView() (v *view.View, err error) {
	v = e.node.View()
	if !v.Started() {
		return nil, refusal.New(refusal.Starting, "entry has no tables yet").WithRetryAfter(startingRetry)
	}
	if !v.Listed() {
		return nil, refusal.New(refusal.Starting, "entry has no VM list yet").WithRetryAfter(startingRetry)
	}
	if v.Draining() {
		return nil, refusal.New(refusal.Leaving, "entry is leaving").WithRetryAfter(leavingRetry)
	}
	return v, nil
}

// checkStaleness refuses a request if the rule of its route or service is to refuse on stale tables
// and the tables have not been confirmed for more than maxAgeMillis. If maxAgeMillis is 0 there is
// no limit.
func (e *Entry) checkStaleness(v *view.View, rule table.StaleRule, maxAgeMillis int64) error {
	staleness := int64(e.node.Clock().Since(v.ConfirmedAt()))
	if rule == table.RefuseWhenStale && maxAgeMillis > 0 && staleness > maxAgeMillis {
		return refusal.New(refusal.Stale, "tables are not confirmed").WithRetryAfter(staleRetry)
	}
	return nil
}
