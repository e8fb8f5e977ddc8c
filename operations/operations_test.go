package operations_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/node"
	"github.com/parsleydeal/parsleydeal/operations"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/settings"
)

const tables = "id=\"a\"\nkind=\"whole\"\nbase=-1\n[tables.zones.zone-b]\nstate=\"out\"\n"

type fixture struct {
	node *node.Node
	api  *operations.API
	url  string
}

func newFixture(t *testing.T) *fixture {
	s := settings.Default()
	s.VM, s.Zone = "vm-1", "zone-a"
	n := node.New(node.Config{Settings: s, Clock: clock.System(), Log: log.New(io.Discard)})
	f := &fixture{node: n, api: operations.New("parsleydeal-entry", "v1", n)}
	srv := httptest.NewServer(f.api.Handler())
	t.Cleanup(srv.Close)
	f.url = srv.URL
	go n.Loop().Run(t.Context())
	return f
}

func (f *fixture) listVMs(t *testing.T) {
	f.node.Loop().Post(t.Context(), event.VMsListed{VMs: []provider.VM{{ID: "vm-1", Zone: "zone-a", Role: provider.EntryRole}}})
}

func (f *fixture) get(t *testing.T, path string) (status int, body string) {
	resp, err := http.Get(f.url + path)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

// waitUntil polls a condition and fails the test if it does not become true in time.
func waitUntil(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition did not become true")
		}
	}
}

// A process that is not ready refuses requests, so load balancers must not send it any while other
// entries could serve them. Readiness must fail until the process has its first tables and while it
// is leaving; health must fail in neither case.
func TestReadyOnlyWithTablesAndNotLeaving(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	status, body := f.get(t, "/readyz")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, "no tables yet"))
	page := provider.Page{Head: 1, Records: []provider.Record{{Offset: 0, Data: []byte(tables)}}}
	f.node.Loop().Post(t.Context(), event.LogRead{Stream: provider.ConfigStream, Page: page})
	waitUntil(t, func() bool { _, body := f.get(t, "/readyz"); return strings.Contains(body, "no VM list yet") })
	f.listVMs(t)
	waitUntil(t, func() bool { status, _ := f.get(t, "/readyz"); return status == http.StatusOK })
	leaving := false
	f.api.SetLeaving(func() bool { return leaving })
	leaving = true
	status, _ = f.get(t, "/readyz")
	is.Equal(status, http.StatusServiceUnavailable) // leaving, not yet draining
	leaving = false
	f.node.Drain(t.Context())
	waitUntil(t, func() bool { status, _ := f.get(t, "/readyz"); return status == http.StatusServiceUnavailable })
	status, _ = f.get(t, "/healthz")
	is.Equal(status, http.StatusOK)
}

func TestStatusShowsTablesAndSections(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.api.Add(operations.Section{Name: "window", Read: func() any { return 3 }})
	f.api.Add(operations.Section{Name: "window", Read: func() any { return 4 }})
	page := provider.Page{Head: 1, Records: []provider.Record{{Offset: 0, Data: []byte(tables)}}}
	f.node.Loop().Post(t.Context(), event.LogRead{Stream: provider.ConfigStream, Page: page})
	waitUntil(t, func() bool { return f.node.View().Revision() == 0 })
	status, body := f.get(t, "/status")
	is.Equal(status, http.StatusOK)
	var s operations.Status
	is.NoErr(json.Unmarshal([]byte(body), &s))
	is.Equal(s.VM, "vm-1")
	is.Equal(s.Revision, int64(0))
	is.Equal(s.ZonesOut, []string{"zone-b"})
	is.Equal(s.Sections, map[string]any{"window": 4.0}) // the later section replaced the earlier one
	reply, err := f.node.Inspect(t.Context(), &wire.InspectRequest{Report: operations.StatusReport})
	is.NoErr(err)
	is.True(strings.Contains(string(reply.GetJson()), `"vm":"vm-1"`))
}

func TestMetricsOfNodeAndProcess(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.node.Metrics().GetOrCreateCounter("parsleydeal_something_total").Inc()
	status, body := f.get(t, "/metrics")
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(body, "parsleydeal_something_total 1"))
	is.True(strings.Contains(body, "parsleydeal_tables_revision -1"))
	is.True(strings.Contains(body, "process_resident_memory_bytes"))
}

func TestBurnReportIsOptional(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	status, _ := f.get(t, "/burn")
	is.Equal(status, http.StatusNotFound)
	f.api.SetBurn(func(context.Context) (any, error) { return map[string]int{"good": 7}, nil })
	status, body := f.get(t, "/burn")
	is.Equal(status, http.StatusOK)
	is.Equal(body, `{"good":7}`)
}

// A process that has just started received tables from one peer. They may be outdated, so it
// refuses all work until the log or more peers have confirmed them. It must not be ready before
// that, or load balancers would send it requests that it refuses.
func TestNotReadyWithUnconfirmedTables(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	reply := &wire.RecordsReply{Head: 1, Records: []*wire.Record{{Offset: 0, Data: []byte(tables)}}}
	f.node.Loop().Post(t.Context(), event.RecordsReceived{From: "peer", Reply: reply})
	f.listVMs(t)
	waitUntil(t, func() bool { return f.node.View().Tables() != nil })
	is.True(!f.node.View().Started())
	status, _ := f.get(t, "/readyz")
	is.Equal(status, http.StatusServiceUnavailable)
	page := provider.Page{Head: 1, Records: []provider.Record{{Offset: 0, Data: []byte(tables)}}}
	f.node.Loop().Post(t.Context(), event.LogRead{Stream: provider.ConfigStream, Page: page})
	waitUntil(t, func() bool { status, _ := f.get(t, "/readyz"); return status == http.StatusOK })
}
