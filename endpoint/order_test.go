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

// newManagedRig is a rig whose engine has loaded just what it was told to.
func newManagedRig(t *testing.T, checks bool, leases *[]provider.Record) *rig {
	r := &rig{t: t, is: is.New(t), engine: standin.NewEngine(1, 1, 3), plain: standin.NewPlain(), peers: peer.NewPool(), store: leaseLog(leases)}
	r.engine.Manage(checks)
	srv := httptest.NewServer(r.engine.Handler())
	t.Cleanup(srv.Close)
	r.start(srv.URL, false)
	return r
}

const checkedPool = "[tables.pools.small]\nversions = [\"small@1\"]\ncold-window = 1\nfull-window = 8\nchecks-fencing = true\nrole = \"decode\"\n"

// Operators publish a pool, and its engine has loaded nothing. Until it has, a
// request is refused as not run; then it is served.
func TestEngineIsConfiguredFromTables(t *testing.T) {
	var leases []provider.Record
	r := newManagedRig(t, true, &leases)
	r.eventually("engine seen", func() bool { return r.e.status.Load() != nil })
	r.refused(r.run(t.Context(), r.head("r1"), chatBody), refusal.NoEndpoint, refusal.NotRun)
	r.patch(checkedPool)
	r.eventually("version loaded", func() bool { return r.run(t.Context(), r.head("r2"), chatBody).text == standin.Text(3) })
	r.eventually("role changed", func() bool { return len(r.engine.Orders()) == 2 })
	r.is.Equal(r.engine.Orders(), []standin.EngineOrder{
		{Kind: "load", Version: "small@1", Fence: 0}, {Kind: "role", Role: "decode", Fence: 0},
	})
	r.is.Equal(<-r.fetched, "small@1")
}

// A process was paused after it took a lease; another process of its VM has taken
// one since. The engine ignores fencing numbers, so the first must see by itself
// that it is out.
func TestPausedLeaseHolderSendsNoOrder(t *testing.T) {
	var leases []provider.Record
	r := newManagedRig(t, false, &leases)
	other, err := proto.Marshal(&wire.Lease{Vm: "endpoint-1", Epoch: 7})
	r.is.NoErr(err)
	_, err = r.store.Append(t.Context(), provider.LeaseStream, other)
	r.is.NoErr(err)
	o := event.GiveOrder{Kind: event.LoadVersion, Version: "small@1", Fence: -1, Until: r.n.Clock().Now() + clock.Hour, Compare: true}
	r.is.Equal(r.e.order(o), event.OrderFenced)
	o.Fence = 0
	o.Until = r.n.Clock().Now() - 1 // its own lease has lapsed
	r.is.Equal(r.e.order(o), event.OrderNotGiven)
	r.is.Equal(len(r.engine.Orders()), 0)
	o.Until = r.n.Clock().Now() + clock.Hour
	r.is.Equal(r.e.order(o), event.OrderTaken)
}

// An order of an old holder arrives late at an engine that checks fencing
// numbers: the engine refuses it, and the gate knows that it had no effect.
func TestLateOrderIsFenced(t *testing.T) {
	var leases []provider.Record
	r := newManagedRig(t, true, &leases)
	o := event.GiveOrder{Kind: event.LoadVersion, Version: "small@2", Fence: 5, Until: clock.Hour}
	r.is.Equal(r.e.order(o), event.OrderTaken)
	o.Kind, o.Fence = event.UnloadVersion, 4
	r.is.Equal(r.e.order(o), event.OrderFenced)
}
