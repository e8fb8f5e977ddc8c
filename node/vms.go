package node

import (
	"context"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
)

const (
	// vmEntryBytes is the approximate size of one VM in the platform's list.
	vmEntryBytes = 150
	// maxVMListRate is the maximum rate at which the list is read, in bytes per second.
	maxVMListRate = 3 << 10
)

// readVMs reads the VM list until the context ends. The pause grows with the list: at 1,380 VMs,
// one read per second would take 200 KB/s in every process. The longer pause does no harm, because
// the VMs themselves report their changes before that.
func (n *Node) readVMs(ctx context.Context) {
	for {
		vms, err := n.cfg.VMs.List(ctx)
		if err != nil {
			n.cfg.Log.Debug("Could not read the VM list", "error", err)
		} else {
			n.loop.Post(ctx, event.VMsListed{Now: n.cfg.Clock.Now(), VMs: vms})
		}
		if !clock.Pause(ctx, listPause(n.cfg.Settings.VMListInterval, len(vms))) {
			return
		}
	}
}

// listPause returns the pause before the next read of a VM list with vms entries.
func listPause(minPause clock.Millis, vms int) clock.Millis {
	return max(minPause, clock.Millis(vms)*vmEntryBytes*clock.Second/maxVMListRate)
}
