package endpoint

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/node"
	"github.com/parsleydeal/parsleydeal/peer"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/refusal"
	"github.com/parsleydeal/parsleydeal/settings"
	"github.com/parsleydeal/parsleydeal/standin"
)

// waitTimeout is long, so that tests give the same result on a busy machine.
const waitTimeout = 30 * time.Second

const rigTables = `
id = "1"
author = "test"
kind = "whole"
base = -1
[tables.organisations.desk]
weight = 1
[tables.versions."small@1"]
input-cost = 100
output-cost = 300
quality = 0.9
[tables.pools.small]
versions = ["small@1"]
cold-window = 1
full-window = 8
queue-wait = "20s"
[tables.routes.quick]
organisations = ["desk"]
models = [{ model = "small", shares = { 1 = 1.0 } }]
quality-target = 0.5
[tables.services.records]
pool = "small"
organisations = ["desk"]
repeatable = ["GET"]
fee = 5
`

// rig runs the code of one endpoint process against a stand-in engine or service. The node's event
// loop receives only the events that the test posts.
type rig struct {
	t       *testing.T
	is      *is.I
	e       *Endpoint
	n       *node.Node
	engine  *standin.Engine
	plain   *standin.Plain
	address string
	peers   *peer.Pool
	offset  int64
	// store serves all streams except the configuration stream.
	store provider.Log
	// fetched receives the versions whose weights were requested.
	fetched chan string
}

func newRig(t *testing.T, tokens int) *rig {
	r := &rig{t: t, is: is.New(t), engine: standin.NewEngine(1, 1, tokens), plain: standin.NewPlain(), peers: peer.NewPool()}
	srv := httptest.NewServer(r.engine.Handler())
	t.Cleanup(srv.Close)
	r.start(srv.URL, false)
	return r
}

func newPlainRig(t *testing.T) *rig {
	r := &rig{t: t, is: is.New(t), plain: standin.NewPlain(), peers: peer.NewPool()}
	srv := httptest.NewServer(r.plain.Handler())
	t.Cleanup(srv.Close)
	r.start(srv.URL, true)
	return r
}

func (r *rig) start(url string, plain bool) {
	s := settings.Default()
	s.VM, s.Zone, s.Region = "endpoint-1", "zone-a", "test"
	s.Endpoint = settings.Endpoint{Pool: "small", Engine: url, Plain: plain}
	r.fetched = make(chan string, 16)
	if r.store.Append == nil {
		r.store = unavailableLog()
	}
	r.n = node.New(node.Config{
		Settings: s, Clock: clock.System(), Log: log.New(io.Discard), Peers: r.peers,
		Store: r.store,
		Weights: provider.WeightStore{Fetch: func(_ context.Context, version string) error {
			r.fetched <- version
			return nil
		}},
		VMs: provider.VMList{List: func(context.Context) ([]provider.VM, error) { return nil, provider.ErrUnavailable.New("no list") }},
	})
	r.e = New(r.n)
	r.n.Start(r.t.Context())
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	r.is.NoErr(err)
	r.address = lis.Addr().String()
	go func() { _ = r.e.Serve(r.t.Context(), lis) }()
	r.publish(rigTables)
}

// unavailableLog returns a log that rejects appends and blocks reads.
func unavailableLog() provider.Log {
	return provider.Log{
		Append: func(context.Context, string, []byte) (int64, error) { return 0, provider.ErrUnavailable.New("no log") },
		Read: func(ctx context.Context, _ string, _ int64, _ clock.Millis) (provider.Page, error) {
			<-ctx.Done()
			return provider.Page{}, ctx.Err()
		},
	}
}

// leaseLog returns a log that serves only the lease stream.
func leaseLog(leases *[]provider.Record) provider.Log {
	var mu sync.Mutex
	l := unavailableLog()
	blockedRead := l.Read
	l.Append = func(_ context.Context, stream string, data []byte) (int64, error) {
		if stream != provider.LeaseStream {
			return 0, provider.ErrUnavailable.New("no such stream")
		}
		mu.Lock()
		defer mu.Unlock()
		offset := int64(len(*leases))
		*leases = append(*leases, provider.Record{Offset: offset, Data: data})
		return offset, nil
	}
	l.Read = func(ctx context.Context, stream string, from int64, wait clock.Millis) (p provider.Page, err error) {
		if stream != provider.LeaseStream {
			return blockedRead(ctx, stream, from, wait)
		}
		mu.Lock()
		defer mu.Unlock()
		from = min(from, int64(len(*leases)))
		return provider.Page{Head: int64(len(*leases)), Records: append([]provider.Record{}, (*leases)[from:]...)}, nil
	}
	return l
}

// publish posts the next configuration record to the node's event loop and waits until the tables
// are applied.
func (r *rig) publish(text string) {
	r.t.Helper()
	page := provider.Page{Head: r.offset + 1, Records: []provider.Record{{Offset: r.offset, Data: []byte(text)}}}
	r.offset++
	r.n.Loop().Post(r.t.Context(), event.LogRead{Now: r.n.Clock().Now(), Stream: provider.ConfigStream, Page: page})
	r.eventually("tables applied", func() bool { return r.n.View().Revision() == r.offset-1 })
}

func (r *rig) patch(text string) {
	r.publish(fmt.Sprintf("id = \"%d\"\nauthor = \"test\"\nkind = \"patch\"\nbase = %d\n%s", r.offset+1, r.offset-1, text))
}

func (r *rig) eventually(what string, met func() bool) {
	r.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !met(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			r.t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

func (r *rig) gate() wire.DRPCGateClient { return r.peers.Gate(r.t.Context(), r.address) }

// head returns the first attempt of a chat request without idempotency key.
func (r *rig) head(request string) *wire.RunHead {
	return &wire.RunHead{
		Request: request, Attempt: 1, Revision: 0, Organisation: "desk", Route: "quick", Version: "small@1",
		Repeatable: true, DeadlineMillis: 60_000, Stream: true,
	}
}

func (r *rig) serviceHead(request, method, path string) *wire.RunHead {
	return &wire.RunHead{
		Request: request, Attempt: 1, Organisation: "desk", Service: "records", Method: method, Path: path, DeadlineMillis: 60_000,
	}
}

// result is the outcome of one attempt.
type result struct {
	text    string
	data    string
	raw     []string
	pieces  int
	last    *wire.Piece
	refusal *refusal.Refusal
	err     error
}

const chatBody = `{"model":"quick","messages":[{"role":"user","content":"when"}]}`

// run sends an attempt and collects all its pieces.
func (r *rig) run(ctx context.Context, head *wire.RunHead, body string) (res result) {
	stream, err := r.gate().Run(ctx)
	if err != nil {
		return result{err: err}
	}
	defer stream.Close()
	if err = stream.Send(&wire.RunFrame{Head: head, Body: []byte(body), Last: true}); err != nil {
		return result{err: err}
	}
	return collect(stream.Recv)
}

func collect(recv func() (*wire.Piece, error)) (res result) {
	var text, data strings.Builder
	for {
		p, err := recv()
		if err != nil {
			res.err = err
			break
		}
		res.pieces++
		text.WriteString(p.GetText())
		data.Write(p.GetData())
		if p.GetRefusal() != nil {
			res.refusal = refusal.FromWire(p.GetRefusal())
		}
		if p.GetLast() {
			res.last = p
			break
		}
	}
	res.text, res.data = text.String(), data.String()
	return res
}

// runAsync runs an attempt in a goroutine.
func (r *rig) runAsync(ctx context.Context, head *wire.RunHead, body string) chan result {
	out := make(chan result, 1)
	go func() { out <- r.run(ctx, head, body) }()
	return out
}

func (r *rig) expectRefusal(res result, code refusal.Code, run refusal.Run) {
	r.t.Helper()
	r.is.NoErr(res.err)
	r.is.True(res.refusal != nil)
	r.is.Equal(res.refusal.Code(), code)
	r.is.Equal(res.refusal.Run(), run)
}
