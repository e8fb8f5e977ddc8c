package client_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/client"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/standin"
	"github.com/parsleydeal/parsleydeal/table"
)

func newOperator(t *testing.T) (*client.Operator, *standin.Platform) {
	p := standin.NewPlatform()
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(srv.Close)
	h := provider.NewHTTP(srv.URL, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
	return &client.Operator{
		Log: h.Log(), VMs: h.VMList(), Peers: peer.NewPool(), Clock: clock.System(),
		Pause: func(ctx context.Context, _ clock.Millis) bool { return ctx.Err() == nil },
	}, p
}

func change(id string, base int64) *table.Change {
	return &table.Change{ID: id, Author: "ops", Kind: table.Whole, Base: base, Tables: table.Tables{
		Zones: map[string]table.Location{"a": {State: table.Out}},
	}}
}

// The log appends the change, but its reply is lost. Publish must read the log before it retries.
// Otherwise it would append the change again, report a conflict with the operator's own change, or
// return without the outcome.
func TestPublishAfterLostReplyAppendsOnce(t *testing.T) {
	is := is.New(t)
	op, p := newOperator(t)
	p.SetFaults(standin.Faults{DropAnswers: 1})
	v, err := op.Publish(t.Context(), change("one", -1))
	is.NoErr(err)
	is.True(v.Accepted)
	is.Equal(v.Revision, int64(0))
	is.Equal(len(p.Records(provider.ConfigStream)), 1)
	again, err := op.Publish(t.Context(), change("one", -1))
	is.NoErr(err)
	is.Equal(again, v) // the same ID gets the same outcome
	is.Equal(len(p.Records(provider.ConfigStream)), 1)
}

// Two operators publish on the same base revision. The later one must get a rejection, although the
// change was appended.
func TestPublishRejectsStaleBaseRevision(t *testing.T) {
	is := is.New(t)
	op, _ := newOperator(t)
	_, err := op.Publish(t.Context(), change("one", -1))
	is.NoErr(err)
	_, err = op.Publish(t.Context(), change("two", -1))
	is.True(errorx.IsOfType(err, client.ErrRejected))
}

// The log is down for as long as the operator waits. The change is provably not on the log, so the
// error must be ErrNotSent rather than ErrNoVerdict.
func TestPublishWhileLogIsDownReportsNotSent(t *testing.T) {
	is := is.New(t)
	op, p := newOperator(t)
	p.SetFaults(standin.Faults{Down: true})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := op.Publish(ctx, change("one", -1))
	is.True(errorx.IsOfType(err, client.ErrNotSent))
	is.Equal(len(p.Records(provider.ConfigStream)), 0)
}
