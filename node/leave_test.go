package node

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/settings"
)

// startNode runs a node whose log is unavailable and that serves peers on a listener.
func startNode(ctx context.Context, t *testing.T, lis net.Listener, vm string, vms func() []provider.VM) *Node {
	t.Helper()
	s := settings.Default()
	s.VM, s.Zone, s.VMListInterval = vm, "zone-"+vm, 20
	n := New(Config{
		Settings: s, Clock: clock.System(), Log: log.New(io.Discard), Peers: peer.NewPool(),
		Store: provider.Log{Read: func(_ context.Context, _ string, _ int64, _ clock.Millis) (p provider.Page, err error) {
			return p, provider.ErrUnavailable.New("out")
		}},
		VMs: provider.VMList{List: func(context.Context) ([]provider.VM, error) { return vms(), nil }},
	})
	n.Start(ctx)
	go func() { _ = peer.Serve(ctx, lis, n, nil) }()
	return n
}

// An idle process that is asked to stop ends within milliseconds. Peers that do not receive its
// report before that would send it requests until the VM list, which lags, shows that it is gone.
func TestLeaveIsReportedBeforeExit(t *testing.T) {
	is := is.New(t)
	var vms []provider.VM
	var listeners []net.Listener
	for _, id := range []string{"a", "b"} {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		listeners = append(listeners, lis)
		vms = append(vms, provider.VM{ID: id, Role: provider.EntryRole, Zone: "zone-" + id, Address: lis.Addr().String()})
	}
	list := func() []provider.VM { return vms }
	ctx, stop := context.WithCancel(t.Context())
	leaver := startNode(ctx, t, listeners[0], "a", list)
	other := startNode(t.Context(), t, listeners[1], "b", list)
	eventually(t, func() bool { return len(leaver.View().Members().VMs()) == 2 && len(other.View().Members().VMs()) == 2 })
	leaver.Drain(ctx)
	leaver.WaitLeaveReported(ctx)
	stop()
	eventually(t, func() bool { return other.View().Members().Leaving(vms[0]) })
}

func eventually(t *testing.T, met func() bool) {
	t.Helper()
	const timeout = 20 * time.Second
	for deadline := time.Now().Add(timeout); !met(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for the condition")
		}
	}
}
