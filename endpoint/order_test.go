package endpoint

import (
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/peer"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/refusal"
	"github.com/parsleydeal/parsleydeal/standin"
	"google.golang.org/protobuf/proto"
)

// newManagedRig returns a rig whose engine has loaded only what it was ordered to load.
func newManagedRig(t *testing.T, checksFencing bool, leases *[]provider.Record) *rig {
	r := &rig{t: t, is: is.New(t), engine: standin.NewEngine(1, 1, 3), plain: standin.NewPlain(), peers: peer.NewPool(), store: leaseLog(leases)}
	r.engine.Manage(checksFencing)
	srv := httptest.NewServer(r.engine.Handler())
	t.Cleanup(srv.Close)
	r.start(srv.URL, false)
	return r
}

const checkedPool = "[tables.pools.small]\nversions = [\"small@1\"]\ncold-window = 1\nfull-window = 8\nchecks-fencing = true\nrole = \"decode\"\n"

// A pool is published whose engine has loaded nothing. Requests must be refused as not run
// until the engine has loaded the version, and served afterwards.
func TestEngineIsConfiguredFromTables(t *testing.T) {
	var leases []provider.Record
	r := newManagedRig(t, true, &leases)
	r.eventually("engine seen", func() bool { return r.e.status.Load() != nil })
	r.expectRefusal(r.run(t.Context(), r.head("r1"), chatBody), refusal.NoEndpoint, refusal.NotRun)
	r.patch(checkedPool)
	r.eventually("version loaded", func() bool { return r.run(t.Context(), r.head("r2"), chatBody).text == standin.Text(3) })
	r.eventually("role changed", func() bool { return len(r.engine.Orders()) == 2 })
	r.is.Equal(r.engine.Orders(), []standin.EngineOrder{
		{Kind: "load", Version: "small@1", Fence: 0}, {Kind: "role", Role: "decode", Fence: 0},
	})
	r.is.Equal(<-r.fetched, "small@1")
}

// A process was paused after it took a lease, and another process of its VM has since taken a
// newer one. The engine ignores fencing numbers, so the first process must detect the newer
// lease itself.
func TestPausedLeaseHolderSendsNoOrder(t *testing.T) {
	var leases []provider.Record
	r := newManagedRig(t, false, &leases)
	other, err := proto.Marshal(&wire.Lease{Vm: "endpoint-1", Epoch: 7})
	r.is.NoErr(err)
	_, err = r.store.Append(t.Context(), provider.LeaseStream, other)
	r.is.NoErr(err)
	o := event.SendOrder{Kind: event.LoadVersion, Version: "small@1", Fence: -1, Until: r.n.Clock().Now() + clock.Hour, CompareFence: true}
	r.is.Equal(r.e.sendOrder(o), event.OrderFenced)
	o.Fence = 0
	o.Until = r.n.Clock().Now() - 1 // its lease has expired
	r.is.Equal(r.e.sendOrder(o), event.OrderNotSent)
	r.is.Equal(len(r.engine.Orders()), 0)
	o.Until = r.n.Clock().Now() + clock.Hour
	r.is.Equal(r.e.sendOrder(o), event.OrderAccepted)
}

// An order of a former lease holder arrives late at an engine that checks fencing numbers.
// The engine must reject it, and the endpoint must report it as fenced.
func TestLateOrderIsFenced(t *testing.T) {
	var leases []provider.Record
	r := newManagedRig(t, true, &leases)
	o := event.SendOrder{Kind: event.LoadVersion, Version: "small@2", Fence: 5, Until: clock.Hour}
	r.is.Equal(r.e.sendOrder(o), event.OrderAccepted)
	o.Kind, o.Fence = event.UnloadVersion, 4
	r.is.Equal(r.e.sendOrder(o), event.OrderFenced)
}
